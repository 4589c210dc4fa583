"""The agent role: admits work to the endpoint beside it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Final

import aiohttp
import eliot
import mode

from yuccarouter.admission import ports, service
from yuccarouter.billing import cover, ledger
from yuccarouter.configuration import follower, store
from yuccarouter.membership import channels, directory
from yuccarouter.registry import owner
from yuccarouter.roles import admin, peering, servers
from yuccarouter.rollout import fencing
from yuccarouter_common import errors
from yuccarouter_common.platform import log, vms
from yuccarouter_common.proto import router_pb2_grpc

if TYPE_CHECKING:
    from grpc import aio

    from yuccarouter_common import billing_rows, model, settings, telemetry

_CATCH_UP_MS: Final = 1000
# Agents only need the list to find peers, so they read it less often.
_VM_LIST_FACTOR: Final = 5
_MS_PER_S: Final = 1000
_FLUSH_LIMIT_S: Final = 5.0


class Agent(mode.Service):
    """Supervises everything that an agent consists of."""

    def __init__(
        self, conf: settings.Settings, spans: telemetry.SpanStore
    ) -> None:
        super().__init__()
        self._conf = conf
        self._spans = spans
        self._session: aiohttp.ClientSession | None = None
        self._store = store.Store()
        self._is_draining = False
        self._admission: service.AdmissionService | None = None
        self._rows: ledger.Ledger | None = None
        self._usage: cover.UsageCover | None = None
        self._daemons: channels.Channels | None = None

    async def on_start(self) -> None:
        """Build the parts and start them, the gRPC port last."""
        conf = self._conf
        if conf.endpoint is None:
            raise errors.RouterError('an agent needs an endpoint')
        session = aiohttp.ClientSession()
        self._session = session
        client = log.Client(session, conf.platform.log_url)
        self._rows = ledger.Ledger(
            client, conf.timing.bill_interval_ms, _ignore_written
        )
        usage = cover.UsageCover(
            self._rows, self._store.current, conf.timing.cover_after_ms
        )
        self._usage = usage
        registry = owner.Owner(
            client,
            window_ms=conf.timing.claim_window_ms,
            partition_count=conf.registry_partitions,
            min_interval_ms=conf.timing.claim_interval_ms,
        )
        place = ports.Place(
            endpoint=conf.endpoint.name,
            vm=conf.vm,
            data_centre=conf.data_centre,
            pool=conf.endpoint.pool,
            url=conf.endpoint.url.rstrip('/'),
        )
        self._admission = service.AdmissionService(
            place,
            ports.Collaborators(
                configuration=self._store.current,
                catch_up=self._catch_up,
                registry=registry,
                usage=usage,
            ),
        )
        daemons = channels.Channels(conf.secrets.peer_key)
        self._daemons = daemons
        known = directory.Directory(
            vms.Client(session, conf.platform.vms_url).fetch,
            conf.timing.vm_list_interval_ms * _VM_LIST_FACTOR,
        )
        exchange = peering.Peering(conf, self._store, known, daemons)
        for part in (
            known,
            exchange.client(),
            follower.Follower(client, self._store),
            self._rows,
            usage,
            registry,
            self._admission,
            self._admin(),
        ):
            await self.add_runtime_dependency(part)
        await self.add_runtime_dependency(
            fencing.FencingNumberReader(
                client, self._admission.parts.orders.raise_to
            )
        )
        # Entries may only call when admission is there.
        await self.add_runtime_dependency(
            servers.GrpcServer(
                conf.peer, conf.secrets.peer_key, self._add_servicers
            )
        )

    async def on_shutdown(self) -> None:
        """Close the HTTP session when nothing uses it any more."""
        if self._session is not None:
            await self._session.close()
        if self._daemons is not None:
            await self._daemons.close()

    async def drain(self) -> None:
        """Announce leaving, then let the work in progress finish."""
        timing = self._conf.timing
        self._is_draining = True
        if self._admission is None:
            return
        eliot.log_message('draining')
        # The delay also lets entries settle what has just ended.
        delay_s = timing.drain_delay_ms / _MS_PER_S
        try:
            await asyncio.wait_for(
                asyncio.gather(
                    self._admission.leaving(), asyncio.sleep(delay_s)
                ),
                timing.drain_limit_ms / _MS_PER_S,
            )
        except asyncio.TimeoutError:
            eliot.log_message('drain_limit_reached')
        await self._write_bills()

    async def _write_bills(self) -> None:
        if self._usage is None or self._rows is None:
            return
        self._usage.cover_all()
        try:
            await asyncio.wait_for(self._rows.flush(), _FLUSH_LIMIT_S)
        except asyncio.TimeoutError:
            eliot.log_message('bill_rows_lost', rows=self._rows.held_rows)

    async def _catch_up(self, position: model.Position) -> None:
        await self._store.wait_for(position, _CATCH_UP_MS)

    def _add_servicers(self, server: aio.Server) -> None:
        if self._admission is not None:
            router_pb2_grpc.add_AgentServicer_to_server(
                self._admission.servicer, server
            )
        peering.add_servicer(
            peering.PeerServicer(self._store, self._status), server
        )

    def _admin(self) -> servers.HttpServer:
        shown = admin.Views(
            why_not_ready=self._why_not_ready,
            status=self._status,
            explain=lambda _: None,
            configuration=lambda: peering.configuration_document(
                self._conf, self._store
            ),
        )
        return servers.HttpServer(
            admin.make_app(self._conf, self._spans, shown),
            self._conf.admin,
            self._conf.limits.header_bytes,
        )

    def _why_not_ready(self) -> str:
        if self._is_draining:
            return 'draining'
        if not self._store.ready:
            return 'no configuration: neither the log nor a peer has given one'
        return ''

    def _status(self) -> dict[str, Any]:
        return {
            **peering.status_document(self._conf, self._store),
            'time': time.time(),
        }


async def _ignore_written(rows: list[billing_rows.BillRow]) -> None:
    """Covered rows have no other process to tell."""
