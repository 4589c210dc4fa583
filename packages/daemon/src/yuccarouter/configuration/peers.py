"""Exchanging configuration with peers over gRPC."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

import attrs
import eliot
import grpc
import mode

from yuccarouter.configuration import errors, exchange
from yuccarouter.configuration import store as stores
from yuccarouter_common import errors as common_errors
from yuccarouter_common.proto import router_pb2, router_pb2_grpc

_INTERVAL_S: Final = 1.0
# With three peers a second, a change known to one process reaches 1,200 in
# about seven exchanges.
_FAN_OUT: Final = 3
_TIMEOUT_S: Final = 0.8
# Snapshots are the only large messages; this bounds what a process sends
# when many peers start at once.
_MIN_SNAPSHOT_INTERVAL_S: Final = 0.25
_MS: Final = 1000

Channels = Callable[[], Mapping[str, grpc.aio.Channel]]


@attrs.define
class Counters:
    """Exchanges since the start, with sizes of encoded messages."""

    asked: int = 0
    failed: int = 0
    answered: int = 0
    diverged: int = 0
    snapshots_sent: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class PeerService(router_pb2_grpc.PeerServicer):
    """Answers ``Peer.Exchange``; a daemon's servicer delegates to it.

    ``extend`` may add to the answer, such as reports of endpoints.
    """

    def __init__(
        self,
        store: stores.Store,
        extend: Callable[[router_pb2.Digest, router_pb2.Delta], None]
        | None = None,
    ) -> None:
        self.counters = Counters()
        self._store = store
        self._extend = extend
        self._snapshot_at = float('-inf')

    async def Exchange(  # noqa: N802
        self,
        request: router_pb2.Digest,
        context: Any,
    ) -> router_pb2.Delta:
        """Return what the asking process lacks."""
        self.counters.answered += 1
        now = time.monotonic()
        try:
            delta = exchange.build_delta(
                self._store,
                request,
                with_snapshot=now - self._snapshot_at
                >= _MIN_SNAPSHOT_INTERVAL_S,
            )
        except errors.DivergedError as fault:
            _report(self.counters, fault)
            await context.abort(
                grpc.StatusCode.FAILED_PRECONDITION,
                fault.message,
            )
        if delta.snapshot:
            self._snapshot_at = now
            self.counters.snapshots_sent += 1
        if self._extend is not None:
            self._extend(request, delta)
        self.counters.sent_bytes += delta.ByteSize()
        return delta


class PeerClient(mode.Service):
    """Asks a few random peers each second for what this process lacks.

    ``channels`` returns the channels to live peers by address. ``extend``
    may add to the digest and ``on_delta`` sees each answer.
    """

    def __init__(
        self,
        store: stores.Store,
        name: str,
        channels: Channels,
        extend: Callable[[router_pb2.Digest], None] | None = None,
        on_delta: Callable[[str, router_pb2.Delta], None] | None = None,
        interval_s: float = _INTERVAL_S,
        metadata: tuple[tuple[str, str], ...] = (),
    ) -> None:
        super().__init__()
        self.counters = Counters()
        self._store = store
        self._name = name
        self._channels = channels
        self._extend = extend
        self._on_delta = on_delta
        self._interval_s = interval_s
        self._metadata = metadata
        self._random = random.Random()

    async def on_started(self) -> None:
        """Start to exchange, at once: the log may be down."""
        self.add_future(self._exchange_often())

    async def exchange_once(self) -> None:
        """Ask a few random peers and take what they add."""
        channels = self._channels()
        chosen = self._random.sample(
            sorted(channels),
            min(_FAN_OUT, len(channels)),
        )
        await asyncio.gather(
            *(self._ask(address, channels[address]) for address in chosen),
        )

    async def _exchange_often(self) -> None:
        while not self.should_stop:
            started = time.monotonic()
            await self.exchange_once()
            spent_s = time.monotonic() - started
            # Jitter keeps daemons that start together from asking together.
            pause_s = self._random.uniform(0.9, 1.1) * self._interval_s
            await asyncio.sleep(max(0, pause_s - spent_s))

    async def _ask(self, address: str, channel: grpc.aio.Channel) -> None:
        digest = exchange.build_digest(self._store, self._name)
        if self._extend is not None:
            self._extend(digest)
        self.counters.asked += 1
        self.counters.sent_bytes += digest.ByteSize()
        started = time.monotonic()
        new_stub: Callable[[grpc.aio.Channel], Any] = router_pb2_grpc.PeerStub
        stub = new_stub(channel)
        try:
            delta = await stub.Exchange(
                digest, timeout=_TIMEOUT_S, metadata=self._metadata
            )
        except grpc.aio.AioRpcError:
            self.counters.failed += 1
            return
        self.counters.received_bytes += delta.ByteSize()
        age_ms = (time.monotonic() - started) * _MS
        try:
            exchange.apply_delta(self._store, delta, address, age_ms)
        except common_errors.RouterError as fault:
            _report(self.counters, fault)
            return
        if self._on_delta is not None:
            self._on_delta(address, delta)


def _report(counters: Counters, fault: common_errors.RouterError) -> None:
    # One line per fault kind would repeat each second; the counter raises
    # the alert and the first line names the peer.
    if not counters.diverged:
        eliot.log_message('configuration_diverged', reason=fault.message)
    counters.diverged += 1
