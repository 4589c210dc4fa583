"""Channels to the other daemons."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs
from grpc import aio

from yuccarouter_common import peer_auth
from yuccarouter_common.proto import router_pb2_grpc

# Broken connections are noticed by keepalive pings within a few seconds, and
# a returning agent is reached again at once rather than after a long backoff.
_OPTIONS: Final = (
    ('grpc.keepalive_time_ms', 10_000),
    ('grpc.keepalive_timeout_ms', 3000),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.max_receive_message_length', 16_777_216),
    ('grpc.enable_http_proxy', 0),
    # Without it, each report caused a ping to measure the connection: 58
    # reports/s cost 1.8% of a core instead of 2.5%. The window is set instead.
    ('grpc.http2.bdp_probe', 0),
    ('grpc.http2.lookahead_bytes', 1_048_576),
)

# Calls to a daemon that has left the VM list may still end well; they get as
# long as a graceful shutdown takes by default.
_CLOSE_GRACE_S: Final = 60.0


@attrs.frozen
class DaemonClient:
    """A channel to one daemon with the stubs of both services."""

    address: str
    channel: aio.Channel
    stub: router_pb2_grpc.AgentStub
    peer: router_pb2_grpc.PeerStub


class Channels:
    """Channels by address, opened on first use."""

    def __init__(self, peer_key: str) -> None:
        self.metadata = peer_auth.metadata(peer_key)
        self._daemons: dict[str, DaemonClient] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def at(self, address: str) -> DaemonClient:
        """Return the channel to ``host:port``."""
        known = self._daemons.get(address)
        if known is None:
            channel = aio.insecure_channel(address, options=_OPTIONS)
            known = DaemonClient(
                address,
                channel,
                router_pb2_grpc.AgentStub(channel),
                router_pb2_grpc.PeerStub(channel),
            )
            self._daemons[address] = known
        return known

    async def keep_only(self, addresses: set[str]) -> None:
        """Close the other channels when the calls on them have ended."""
        gone = [
            address for address in self._daemons if address not in addresses
        ]
        for address in gone:
            channel = self._daemons.pop(address).channel
            closing = asyncio.create_task(channel.close(_CLOSE_GRACE_S))
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all channels at once."""
        for closing in tuple(self._closing):
            closing.cancel()
        open_channels = [known.channel for known in self._daemons.values()]
        self._daemons.clear()
        for channel in open_channels:
            await channel.close()
