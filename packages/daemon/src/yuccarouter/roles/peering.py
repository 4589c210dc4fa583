"""Services and documents for peers and operators, used by both roles."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final

import attrs
import orjson

from yuccarouter.configuration import peers, snapshot_writer
from yuccarouter.membership import subset
from yuccarouter_common import apply, settings
from yuccarouter_common.proto import router_pb2, router_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    import grpc

    from yuccarouter.configuration import store
    from yuccarouter.membership import channels, directory
    from yuccarouter_common import history

_MAX_VOID_CHANGES: Final = 20
# Numbers of peers for the exchange of configuration: enough that a change
# spreads within seconds, few enough to keep all channels open.
_LOCAL_PEERS: Final = 8
_REMOTE_PEERS: Final = 4
_AGENT_INTERVAL_FACTOR: Final = 3
_MS_PER_S: Final = 1000


@attrs.frozen
class Peering:
    """Creates the services that exchange configuration with peers."""

    conf: settings.Settings
    configuration_store: store.Store
    vm_directory: directory.Directory
    daemons: channels.Channels

    def client(self) -> peers.PeerClient:
        """Return the service that requests missing changes from peers."""
        return peers.PeerClient(
            self.configuration_store,
            self.conf.name,
            self._channels,
            interval_s=self._interval_s(),
            on_delta=self._record_contact,
            metadata=self.daemons.metadata,
        )

    def snapshot_writer(
        self, client: history.LogClient
    ) -> snapshot_writer.SnapshotWriter:
        """Return the service that writes snapshots of the configuration."""
        return snapshot_writer.SnapshotWriter(
            client,
            self.configuration_store,
            self.conf.name,
            lambda: max(1, len(self.vm_directory.live('entry'))),
        )

    def _interval_s(self) -> float:
        interval_s = self.conf.timing.exchange_interval_ms / _MS_PER_S
        # Agents also learn of changes from the requests of entries, so they
        # exchange less often.
        is_agent = self.conf.role == settings.AGENT
        return interval_s * _AGENT_INTERVAL_FACTOR if is_agent else interval_s

    def _record_contact(self, address: str, delta: router_pb2.Delta) -> None:
        """Record contact when an answer came from another data centre.

        If all daemons are in one data centre, any answer counts.
        """
        remote_addresses = {
            vm.address
            for vm in self.vm_directory.vms()
            if vm.data_centre != self.conf.data_centre
        }
        if not remote_addresses or address in remote_addresses:
            self.configuration_store.freshness.record_contact()

    def _channels(self) -> Mapping[str, grpc.aio.Channel]:
        others = [vm for vm in self.vm_directory.vms() if vm.vm != self.conf.vm]
        selected = subset.select_daemons(
            self.conf.name,
            self.conf.data_centre,
            others,
            _LOCAL_PEERS,
            _REMOTE_PEERS,
        )
        addresses = {vm.address for vm in selected} | set(self.conf.peers)
        return {
            address: self.daemons.at(address).channel for address in addresses
        }


class PeerServicer(peers.PeerService):
    """Serves exchanges with peers and the status document over gRPC."""

    def __init__(
        self,
        configuration_store: store.Store,
        status: Callable[[], dict[str, Any]],
        membership: router_pb2_grpc.PeerServicer | None = None,
    ) -> None:
        super().__init__(configuration_store)
        self._status = status
        # An agent serves no digests and batches no appends. The methods of the
        # generated class answer ``UNIMPLEMENTED``.
        self._membership = membership or router_pb2_grpc.PeerServicer()

    async def Endpoints(  # noqa: N802
        self, request: router_pb2.EndpointsRequest, context: Any
    ) -> Any:
        """Stream digests of the endpoints of this data centre."""
        async for digest in self._membership.Endpoints(request, context):
            yield digest

    async def Append(  # noqa: N802
        self, request: router_pb2.AppendRequest, context: Any
    ) -> Any:
        """Append the rows of a sender together with those of other senders."""
        return await self._membership.Append(request, context)

    async def Status(  # noqa: N802
        self, request: router_pb2.StatusRequest, context: Any
    ) -> router_pb2.StatusReply:
        """Return the document that the admin port shows."""
        return router_pb2.StatusReply(
            json=orjson.dumps(self._status(), default=str)
        )


def add_servicer(servicer: PeerServicer, server: grpc.aio.Server) -> None:
    """Register the servicer with a server."""
    router_pb2_grpc.add_PeerServicer_to_server(servicer, server)


def status_document(
    conf: settings.Settings, configuration_store: store.Store
) -> dict[str, Any]:
    """Return a daemon's identity and the state of its configuration."""
    age_ms = configuration_store.freshness.age_ms()
    return {
        'daemon': conf.name,
        'role': conf.role,
        'vm': conf.vm,
        'data_centre': conf.data_centre,
        'position': attrs.asdict(configuration_store.position),
        'confirmed_age_ms': None if math.isinf(age_ms) else round(age_ms),
        'log_state': 'rewound' if configuration_store.rewound else 'following',
        'void_changes': [
            attrs.asdict(void)
            for void in configuration_store.void_changes()[-_MAX_VOID_CHANGES:]
        ],
    }


def configuration_document(
    conf: settings.Settings, configuration_store: store.Store
) -> dict[str, Any]:
    """Return the complete configuration that a daemon holds.

    ``body`` is the body of a snapshot record and ``digest`` its 64-bit digest
    in hexadecimal digits. It lets a reader detect a damaged copy.
    """
    return {
        'daemon': conf.name,
        'digest': f'{configuration_store.state_digest():016x}',
        'body': apply.snapshot_body(configuration_store.current()),
    }
