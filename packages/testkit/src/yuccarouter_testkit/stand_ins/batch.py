"""Continuous batching of the engine emulator."""

from __future__ import annotations

import asyncio
import collections
import heapq
import itertools
import time
from collections.abc import Callable, Sequence
from typing import Final

import attrs

_HANG_POLL_S: Final = 0.005


@attrs.frozen
class Timing:
    """Durations of the engine's decode steps and prefill.

    A step emits one token for each running stream. It takes ``step_ms`` plus
    ``stream_step_ms`` for each of these streams. A stream's first token also
    waits for its prefill, which takes ``prefill_ms`` for each block of the
    prompt that is not cached. A cold engine takes ``cold_factor`` times as
    long.
    """

    step_ms: float = 2
    stream_step_ms: float = 0.2
    prefill_ms: float = 1
    cold_factor: float = 3


@attrs.define(eq=False)
class Stream:
    """One request; ``None`` in ``emitted`` marks the end of its tokens."""

    stream_id: str
    priority: int
    tokens: Sequence[str]
    prefill_ms: float
    position: int = 0
    ready_s: float = 0
    cancelled: bool = False
    emitted: asyncio.Queue[str | None] = attrs.field(factory=asyncio.Queue)

    def step(self) -> bool:
        """Emit one token; return whether more tokens follow."""
        if self.position < len(self.tokens):
            self.emitted.put_nowait(self.tokens[self.position])
            self.position += 1
        if self.position < len(self.tokens):
            return True
        self.emitted.put_nowait(None)
        return False

    def cancel(self) -> None:
        """End the stream after the tokens already emitted."""
        self.cancelled = True
        self.emitted.put_nowait(None)


@attrs.define(eq=False)
class Batch:
    """Running and waiting streams.

    ``is_cold`` and ``is_hung`` are called at each step. Waiting streams start
    in order of descending priority, then of arrival.
    """

    capacity: int
    timing: Timing
    is_cold: Callable[[], bool]
    is_hung: Callable[[], bool]
    running: dict[str, Stream] = attrs.field(factory=dict)
    _waiting: list[tuple[int, int, Stream]] = attrs.field(factory=list)
    _sequence: itertools.count[int] = attrs.field(factory=itertools.count)
    _has_work: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def in_flight(self) -> int:
        """Number of running and waiting streams."""
        return len(self.running) + self.waiting

    @property
    def waiting(self) -> int:
        """Number of streams that wait for a slot in the batch."""
        return sum(not entry[2].cancelled for entry in self._waiting)

    def add(self, stream: Stream) -> None:
        """Queue a stream and start it if the batch has a free slot."""
        entry = (-stream.priority, next(self._sequence), stream)
        heapq.heappush(self._waiting, entry)
        self._admit()
        self._has_work.set()

    def remove(self, stream: Stream) -> None:
        """Cancel a running or waiting stream."""
        self.running.pop(stream.stream_id, None)
        stream.cancel()
        self._admit()

    async def run(self) -> None:
        """Run steps while streams are running; never returns."""
        while True:
            if not self.running:
                self._has_work.clear()
                await self._has_work.wait()
            await asyncio.sleep(self.step_s())
            while self.is_hung():
                await asyncio.sleep(_HANG_POLL_S)
            self._step()

    def step_s(self) -> float:
        """Return the duration of the next step in seconds."""
        streams_ms = self.timing.stream_step_ms * len(self.running)
        return (
            (self.timing.step_ms + streams_ms) * self._duration_factor() / 1000
        )

    def _duration_factor(self) -> float:
        return self.timing.cold_factor if self.is_cold() else 1

    def _step(self) -> None:
        now_s = time.monotonic()
        for stream in tuple(self.running.values()):
            if stream.ready_s <= now_s and not stream.step():
                self.running.pop(stream.stream_id)
        self._admit()

    def _admit(self) -> None:
        while self._waiting and len(self.running) < self.capacity:
            _, _, stream = heapq.heappop(self._waiting)
            if stream.cancelled:
                continue
            prefill_s = stream.prefill_ms * self._duration_factor() / 1000
            stream.ready_s = time.monotonic() + prefill_s
            self.running[stream.stream_id] = stream


@attrs.define(eq=False)
class PrefixCache:
    """LRU cache of hashes of prompt prefixes.

    ``on_event`` is called with ``stored`` or ``evicted`` and the hash.
    """

    capacity_blocks: int
    on_event: Callable[[str, int], None]
    _blocks: collections.OrderedDict[int, None] = attrs.field(
        factory=collections.OrderedDict
    )

    @property
    def used_share(self) -> float:
        """Share of the capacity in use, from 0 to 1."""
        if not self.capacity_blocks:
            return 0
        return len(self._blocks) / self.capacity_blocks

    def use(self, prefixes: Sequence[int]) -> int:
        """Store the prefixes; return how many leading ones were cached."""
        cached = 0
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            cached += 1
        for prefix in prefixes:
            self._store(prefix)
        return cached

    def _store(self, prefix: int) -> None:
        if prefix in self._blocks:
            self._blocks.move_to_end(prefix)
            return
        self._blocks[prefix] = None
        self.on_event('stored', prefix)
        if len(self._blocks) > self.capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self.on_event('evicted', evicted)
