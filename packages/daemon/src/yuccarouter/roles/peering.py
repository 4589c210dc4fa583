"""What both roles show to peers and operators."""

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

_VOIDS_SHOWN: Final = 20
# Daemons that a process exchanges its position with: enough that a change
# spreads in seconds, few enough to keep their channels open.
_LOCAL_PEERS: Final = 8
_REMOTE_PEERS: Final = 4
_AGENT_FACTOR: Final = 3
_MS_PER_S: Final = 1000


@attrs.frozen
class Peering:
    """What a role needs to exchange configuration with peers."""

    conf: settings.Settings
    held: store.Store
    known: directory.Directory
    daemons: channels.Channels

    def client(self) -> peers.PeerClient:
        """Return the service that asks peers for what is missing here."""
        return peers.PeerClient(
            self.held,
            self.conf.name,
            self._channels,
            interval_s=self._interval_s(),
            on_delta=self._note_contact,
            metadata=self.daemons.metadata,
        )

    def snapshot_writer(
        self, client: history.LogClient
    ) -> snapshot_writer.SnapshotWriter:
        """Return the service that writes snapshots of the configuration."""
        return snapshot_writer.SnapshotWriter(
            client,
            self.held,
            self.conf.name,
            lambda: max(1, len(self.known.live('entry'))),
        )

    def _interval_s(self) -> float:
        interval_s = self.conf.timing.exchange_interval_ms / _MS_PER_S
        # Agents have the entries' requests to learn of changes from as well.
        is_agent = self.conf.role == settings.AGENT
        return interval_s * _AGENT_FACTOR if is_agent else interval_s

    def _note_contact(self, address: str, delta: router_pb2.Delta) -> None:
        """Count an answer from another data centre as contact.

        Where all daemons are in one data centre, any of them counts.
        """
        others = {
            vm.address
            for vm in self.known.vms()
            if vm.data_centre != self.conf.data_centre
        }
        if not others or address in others:
            self.held.freshness.record_contact()

    def _channels(self) -> Mapping[str, grpc.aio.Channel]:
        others = [vm for vm in self.known.vms() if vm.vm != self.conf.vm]
        chosen = subset.select_daemons(
            self.conf.name,
            self.conf.data_centre,
            others,
            _LOCAL_PEERS,
            _REMOTE_PEERS,
        )
        addresses = {vm.address for vm in chosen} | set(self.conf.peers)
        return {
            address: self.daemons.at(address).channel for address in addresses
        }


class PeerServicer(peers.PeerService):
    """Serves peers' exchanges and operators' status over gRPC."""

    def __init__(
        self,
        held: store.Store,
        status: Callable[[], dict[str, Any]],
        members: router_pb2_grpc.PeerServicer | None = None,
    ) -> None:
        super().__init__(held)
        self._status = status
        # An agent serves no digests and gathers no appends: the generated
        # class answers that the method is not implemented.
        self._members = members or router_pb2_grpc.PeerServicer()

    async def Endpoints(  # noqa: N802
        self, request: router_pb2.EndpointsRequest, context: Any
    ) -> Any:
        """Stream digests of the endpoints of this data centre."""
        async for digest in self._members.Endpoints(request, context):
            yield digest

    async def Append(  # noqa: N802
        self, request: router_pb2.AppendRequest, context: Any
    ) -> Any:
        """Append a payload together with those of other senders."""
        return await self._members.Append(request, context)

    async def Status(  # noqa: N802
        self, request: router_pb2.StatusRequest, context: Any
    ) -> router_pb2.StatusReply:
        """Return the document that the admin port shows."""
        return router_pb2.StatusReply(
            json=orjson.dumps(self._status(), default=str)
        )


def add_servicer(servicer: PeerServicer, server: grpc.aio.Server) -> None:
    """Register the servicer at a server."""
    router_pb2_grpc.add_PeerServicer_to_server(servicer, server)


def status_of(conf: settings.Settings, held: store.Store) -> dict[str, Any]:
    """Return who a daemon is and which configuration it holds."""
    age_ms = held.freshness.age_ms()
    return {
        'daemon': conf.name,
        'role': conf.role,
        'vm': conf.vm,
        'data_centre': conf.data_centre,
        'position': attrs.asdict(held.position),
        'confirmed_age_ms': None if math.isinf(age_ms) else round(age_ms),
        'log_state': 'rewound' if held.rewound else 'following',
        'void_changes': [
            attrs.asdict(void) for void in held.void_changes()[-_VOIDS_SHOWN:]
        ],
    }


def configuration_of(
    conf: settings.Settings, held: store.Store
) -> dict[str, Any]:
    """Return the whole configuration that a daemon holds.

    ``body`` is that of a snapshot record and ``digest`` its 64-bit digest in
    hexadecimal digits, by which a reader detects a damaged copy.
    """
    return {
        'daemon': conf.name,
        'digest': f'{held.state_digest():016x}',
        'body': apply.snapshot_body(held.current()),
    }
