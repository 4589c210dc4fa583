"""The entry role: accepts callers' requests and routes them."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Any, Final

import attrs
import eliot
import mode

from yuccarouter.request_path import entry_state, http_app
from yuccarouter.roles import admin, entry_parts, peering, servers
from yuccarouter_common import clocks
from yuccarouter_common.platform import exchanges

if TYPE_CHECKING:
    import aiohttp

    from yuccarouter.membership import peer_service
    from yuccarouter.routing import views
    from yuccarouter_common import settings, telemetry

_MS_PER_S: Final = 1000
_FLUSH_TIMEOUT_S: Final = 5.0


class Entry(mode.Service):
    """Supervises the services of an entry."""

    def __init__(
        self, conf: settings.Settings, spans: telemetry.SpanStore
    ) -> None:
        super().__init__()
        self._conf = conf
        self._spans = spans
        self._session: aiohttp.ClientSession | None = None
        self.shared: entry_state.EntryState | None = None

    async def on_start(self) -> None:
        """Create and start the services, the callers' server last."""
        session = exchanges.new_session()
        self._session = session
        parts = entry_parts.build(self._conf, session)
        shared = parts.shared
        self.shared = shared
        for service in (
            *parts.services,
            self._peer_server(shared, parts.membership),
            self._admin(shared),
            *self._callers_servers(shared),
        ):
            await self.add_runtime_dependency(service)

    async def on_shutdown(self) -> None:
        """Close the channels and session once the services have stopped."""
        if self.shared is not None:
            await self.shared.daemons.close()
        if self._session is not None:
            await self._session.close()

    async def drain(self) -> None:
        """Announce the drain and wait for the requests in progress."""
        if self.shared is None:
            return
        timing = self._conf.timing
        limiter = self.shared.limiter
        # Requests are accepted until the load balancer has noticed the drain.
        limiter.is_drain_announced = True
        eliot.log_message('draining', in_progress=limiter.total)
        await asyncio.sleep(timing.drain_delay_ms / _MS_PER_S)
        limiter.is_draining = True
        if limiter.total:
            await _wait_with_timeout(
                limiter.idle.wait(), timing.drain_limit_ms / _MS_PER_S
            )
        await _wait_with_timeout(self.shared.ledger.flush(), _FLUSH_TIMEOUT_S)
        await self.shared.settlements.wait_until_sent()

    def _callers_servers(
        self, shared: entry_state.EntryState
    ) -> list[mode.ServiceT]:
        if self._conf.listen is None:
            return []
        return [
            servers.HttpServer(
                http_app.make_app(shared),
                self._conf.listen,
                self._conf.limits.header_bytes,
            )
        ]

    def _peer_server(
        self,
        shared: entry_state.EntryState,
        membership: peer_service.MembershipServicer,
    ) -> servers.GrpcServer:
        servicer = peering.PeerServicer(
            shared.store, lambda: _status(shared), membership
        )
        return servers.GrpcServer(
            self._conf.peer,
            self._conf.secrets.peer_key,
            functools.partial(peering.add_servicer, servicer),
        )

    def _admin(self, shared: entry_state.EntryState) -> servers.HttpServer:
        admin_views = admin.Views(
            why_not_ready=lambda: _why_not_ready(shared),
            status=lambda: _status(shared),
            explain=shared.explanations.find,
            configuration=lambda: peering.configuration_document(
                shared.conf, shared.store
            ),
        )
        return servers.HttpServer(
            admin.make_app(self._conf, self._spans, admin_views),
            self._conf.admin,
            self._conf.limits.header_bytes,
        )


def _why_not_ready(shared: entry_state.EntryState) -> str:
    if shared.limiter.is_drain_announced:
        return 'draining'
    if not shared.store.ready:
        return 'no configuration received from the log or a peer'
    return ''


def _status(shared: entry_state.EntryState) -> dict[str, Any]:
    own_status = {
        'bill_rows_held': shared.ledger.held_rows,
        'requests_in_progress': shared.limiter.total,
        'endpoints': [_endpoint_document(view) for view in shared.fleet],
    }
    return {**peering.status_document(shared.conf, shared.store), **own_status}


def _endpoint_document(view: views.EndpointView) -> dict[str, Any]:
    fields = attrs.asdict(view)
    fields.pop('prefixes')
    return {**fields, 'age_ms': clocks.monotonic_ms() - view.measured_ms}


async def _wait_with_timeout(awaited: Any, limit_s: float) -> None:
    try:
        await asyncio.wait_for(awaited, limit_s)
    except asyncio.TimeoutError:
        eliot.log_message('drain_limit_reached', limit_s=limit_s)
