"""The agent role: admits requests to its endpoint."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Final

import eliot
import mode

from yuccarouter.admission import ports, service
from yuccarouter.billing import ledger, unsettled_usage
from yuccarouter.configuration import follower, store
from yuccarouter.membership import channels, directory
from yuccarouter.registry import owner
from yuccarouter.roles import admin, peering, servers
from yuccarouter.rollout import fencing
from yuccarouter_common import errors
from yuccarouter_common.platform import exchanges, log, vms
from yuccarouter_common.proto import router_pb2_grpc

if TYPE_CHECKING:
    import aiohttp
    from grpc import aio

    from yuccarouter_common import billing_rows, model, settings, telemetry

_CATCH_UP_TIMEOUT_MS: Final = 1000
# Agents need the VM list only to find peers, so they read it less often.
_VM_LIST_INTERVAL_FACTOR: Final = 5
_MS_PER_S: Final = 1000
_FLUSH_TIMEOUT_S: Final = 5.0


class Agent(mode.Service):
    """Supervises the services of an agent."""

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
        self._ledger: ledger.Ledger | None = None
        self._usage: unsettled_usage.UnsettledUsage | None = None
        self._daemons: channels.Channels | None = None

    async def on_start(self) -> None:
        """Create and start the services, the gRPC server last."""
        conf = self._conf
        if conf.endpoint is None:
            raise errors.RouterError('an agent needs an endpoint')
        session = exchanges.new_session()
        self._session = session
        client = log.Client(session, conf.platform.log_url)
        self._ledger = ledger.Ledger(
            client, conf.timing.bill_interval_ms, _ignore_written
        )
        usage = unsettled_usage.UnsettledUsage(
            self._ledger, self._store.current, conf.timing.cover_after_ms
        )
        self._usage = usage
        registry = owner.Owner(
            client,
            window_ms=conf.timing.claim_window_ms,
            partition_count=conf.registry_partitions,
            min_interval_ms=conf.timing.claim_interval_ms,
        )
        location = ports.EndpointLocation(
            endpoint=conf.endpoint.name,
            vm=conf.vm,
            data_centre=conf.data_centre,
            pool=conf.endpoint.pool,
            url=conf.endpoint.url.rstrip('/'),
        )
        self._admission = service.AdmissionService(
            location,
            ports.Dependencies(
                configuration=self._store.current,
                catch_up=self._catch_up,
                registry=registry,
                usage=usage,
            ),
        )
        daemons = channels.Channels(conf.secrets.peer_key)
        self._daemons = daemons
        vm_directory = directory.Directory(
            vms.Client(session, conf.platform.vms_url).fetch,
            conf.timing.vm_list_interval_ms * _VM_LIST_INTERVAL_FACTOR,
        )
        exchange = peering.Peering(conf, self._store, vm_directory, daemons)
        for dependency in (
            vm_directory,
            exchange.client(),
            follower.Follower(client, self._store),
            self._ledger,
            usage,
            registry,
            self._admission,
            self._admin(),
        ):
            await self.add_runtime_dependency(dependency)
        await self.add_runtime_dependency(
            fencing.FencingNumberReader(
                client, self._admission.components.orders.raise_fencing_number
            )
        )
        # Entries may call only once admission has started.
        await self.add_runtime_dependency(
            servers.GrpcServer(
                conf.peer, conf.secrets.peer_key, self._add_servicers
            )
        )

    async def on_shutdown(self) -> None:
        """Close the session and channels once the services have stopped."""
        if self._session is not None:
            await self._session.close()
        if self._daemons is not None:
            await self._daemons.close()

    async def drain(self) -> None:
        """Announce the drain and wait for the requests in progress."""
        timing = self._conf.timing
        self._is_draining = True
        if self._admission is None:
            return
        eliot.log_message('draining')
        # The delay also lets entries settle attempts that have just ended.
        delay_s = timing.drain_delay_ms / _MS_PER_S
        try:
            await asyncio.wait_for(
                asyncio.gather(self._admission.drain(), asyncio.sleep(delay_s)),
                timing.drain_limit_ms / _MS_PER_S,
            )
        except asyncio.TimeoutError:
            eliot.log_message('drain_limit_reached')
        await self._flush_bill_rows()

    async def _flush_bill_rows(self) -> None:
        if self._usage is None or self._ledger is None:
            return
        self._usage.bill_all()
        try:
            await asyncio.wait_for(self._ledger.flush(), _FLUSH_TIMEOUT_S)
        except asyncio.TimeoutError:
            eliot.log_message('bill_rows_lost', rows=self._ledger.held_rows)

    async def _catch_up(self, position: model.Position) -> None:
        await self._store.wait_for(position, _CATCH_UP_TIMEOUT_MS)

    def _add_servicers(self, server: aio.Server) -> None:
        if self._admission is not None:
            router_pb2_grpc.add_AgentServicer_to_server(
                self._admission.servicer, server
            )
        peering.add_servicer(
            peering.PeerServicer(self._store, self._status), server
        )

    def _admin(self) -> servers.HttpServer:
        admin_views = admin.Views(
            why_not_ready=self._why_not_ready,
            status=self._status,
            explain=lambda _: None,
            configuration=lambda: peering.configuration_document(
                self._conf, self._store
            ),
        )
        return servers.HttpServer(
            admin.make_app(self._conf, self._spans, admin_views),
            self._conf.admin,
            self._conf.limits.header_bytes,
        )

    def _why_not_ready(self) -> str:
        if self._is_draining:
            return 'draining'
        if not self._store.ready:
            return 'no configuration received from the log or a peer'
        return ''

    def _status(self) -> dict[str, Any]:
        return {
            **peering.status_document(self._conf, self._store),
            'time': time.time(),
        }


async def _ignore_written(rows: list[billing_rows.BillRow]) -> None:
    """Do nothing: no other process waits for the rows of an agent."""
