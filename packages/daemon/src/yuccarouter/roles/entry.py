"""The entry role: takes callers' requests and routes them."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, Final

import aiohttp
import attrs
import eliot
import mode

from yuccarouter.billing import ledger
from yuccarouter.configuration import follower, store
from yuccarouter.membership import (
    channels,
    digests,
    directory,
    pause,
    peer_service,
    relay,
    remote,
    reports,
    watch,
)
from yuccarouter.request_path import (
    answers,
    explanations,
    front,
    router,
    session_versions,
    settlements,
)
from yuccarouter.roles import admin, peering, servers
from yuccarouter.routing import latency, retry_budget, views
from yuccarouter_common.platform import log, vms
from yuccarouter_common.proto import router_pb2_grpc

if TYPE_CHECKING:
    from yuccarouter_common import settings, telemetry

_MS_PER_S: Final = 1000
_FLUSH_LIMIT_S: Final = 5.0


class Entry(mode.Service):
    """Supervises everything that an entry consists of."""

    def __init__(
        self, conf: settings.Settings, spans: telemetry.SpanStore
    ) -> None:
        super().__init__()
        self._conf = conf
        self._spans = spans
        self._session: aiohttp.ClientSession | None = None
        self.shared: router.Router | None = None
        # Also for whoever holds a lease in this process.
        self.pauses = pause.PauseWatch()

    async def on_start(self) -> None:
        """Build the parts and start them, the callers' port last."""
        conf = self._conf
        session = aiohttp.ClientSession()
        self._session = session
        log_client = log.Client(session, conf.platform.log_url)
        known = directory.Directory(
            vms.Client(session, conf.platform.vms_url).fetch,
            conf.timing.vm_list_interval_ms,
        )
        rng = random.Random()  # noqa: S311
        daemons = channels.Channels(conf.secrets.peer_key)
        settled = settlements.Settlements(daemons)
        gatherer = relay.Gatherer(log_client)
        shared = router.Router(
            conf=conf,
            store=store.Store(),
            fleet=views.Fleet(router.now_ms, rng.random),
            daemons=daemons,
            known=known,
            watch=watch.EndpointWatch(),
            ledger=ledger.Ledger(
                relay.RelayedLog(conf, log_client, gatherer, known, daemons),
                conf.timing.bill_interval_ms,
                settled.written,
            ),
            settlements=settled,
            budget=retry_budget.RetryBudget(),
            latencies=latency.Latencies(router.now_ms),
            answers=answers.HeldAnswers(conf.limits.held_answers_bytes),
            explanations=explanations.Explanations(),
            load=router.Load(conf.limits.requests),
            pins=session_versions.KnownPins(),
            rng=rng,
        )
        self.shared = shared
        for part in (
            self.pauses,
            reports.Reports(
                conf, shared.fleet, known, daemons, shared.watch, self.pauses
            ),
            remote.RemoteEndpoints(
                conf, shared.fleet, known, daemons, self.pauses
            ),
            known,
            gatherer,
            self._peer_server(shared, gatherer),
        ):
            await self.add_runtime_dependency(part)
        await self.add_runtime_dependency(
            follower.Follower(log_client, shared.store)
        )
        await self.add_runtime_dependency(shared.ledger)
        await self.add_runtime_dependency(self._admin(shared))
        if conf.listen is not None:
            await self.add_runtime_dependency(
                servers.HttpServer(
                    front.make_app(shared),
                    conf.listen,
                    conf.limits.header_bytes,
                )
            )

    async def on_shutdown(self) -> None:
        """Close the HTTP session when nothing uses it any more."""
        if self._session is not None:
            await self._session.close()

    async def drain(self) -> None:
        """Tell the balancer, then let the work in progress finish."""
        if self.shared is None:
            return
        timing = self._conf.timing
        load = self.shared.load
        load.is_draining = True
        eliot.log_message('draining', in_progress=load.total)
        await asyncio.sleep(timing.drain_delay_ms / _MS_PER_S)
        if load.total:
            await _bounded(load.idle.wait(), timing.drain_limit_ms / _MS_PER_S)
        await _bounded(self.shared.ledger.flush(), _FLUSH_LIMIT_S)
        await self.shared.settlements.finish()
        await self.shared.daemons.close()

    def _peer_server(
        self, shared: router.Router, gatherer: relay.Gatherer
    ) -> servers.GrpcServer:
        served = peer_service.PeerService(
            digests.Source(
                self._conf.data_centre,
                shared.fleet,
                shared.known,
                router.now_ms,
            ),
            gatherer,
        )
        return servers.GrpcServer(
            self._conf.peer,
            self._conf.secrets.peer_key,
            lambda server: router_pb2_grpc.add_PeerServicer_to_server(
                served, server
            ),
        )

    def _admin(self, shared: router.Router) -> servers.HttpServer:
        shown = admin.Views(
            why_not_ready=lambda: _why_not_ready(shared),
            status=lambda: _status(shared),
            explain=shared.explanations.find,
        )
        return servers.HttpServer(
            admin.make_app(self._conf, self._spans, shown),
            self._conf.admin,
            self._conf.limits.header_bytes,
        )


def _why_not_ready(shared: router.Router) -> str:
    if shared.load.is_draining:
        return 'draining'
    if not shared.store.ready:
        return 'no configuration: neither the log nor a peer has given one'
    return ''


def _status(shared: router.Router) -> dict[str, Any]:
    held = {
        'bill_rows_held': shared.ledger.held_rows,
        'requests_in_progress': shared.load.total,
        'endpoints': [_endpoint(view) for view in shared.fleet],
    }
    return {**peering.status_of(shared.conf, shared.store), **held}


def _endpoint(view: views.EndpointView) -> dict[str, Any]:
    fields = attrs.asdict(view)
    fields.pop('prefixes')
    return {**fields, 'age_ms': router.now_ms() - view.measured_ms}


async def _bounded(work: Any, limit_s: float) -> None:
    try:
        await asyncio.wait_for(work, limit_s)
    except asyncio.TimeoutError:
        eliot.log_message('drain_limit_reached', limit_s=limit_s)
