"""An in-memory store of keyed topics with injected faults."""

from __future__ import annotations

import asyncio
import collections
import math
import random
from collections.abc import Sequence

import attrs

from yuccarouter.gateway import offsets, ports
from yuccarouter_common.platform import errors


@attrs.define
class MemoryStore:
    """Implements ``ports.Store``.

    ``faults`` are consumed one per call: with ``away`` the call fails without
    effect, with ``lost`` it takes effect but its answer is lost.
    ``first_offset`` is the offset of the oldest record that is not compacted.
    ``newest`` leaves out the last ``hidden`` records, as a stale answer does.
    ``generation`` counts the restores.
    """

    records: dict[str, list[ports.Entry]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    faults: list[str] = attrs.field(factory=list)
    first_offset: int = 0
    hidden: int = 0
    appends: int = 0
    generation: int = 0

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Append a record as another daemon or an operator would."""
        rows = self.records[topic]
        rows.append(ports.Entry(key, value, self._offset(len(rows))))

    def restore(self, topic: str, count: int) -> None:
        """Restore a copy that holds the first ``count`` records of a topic."""
        self.generation += 1
        self.records[topic] = [
            attrs.evolve(row, offset=self._offset(index))
            for index, row in enumerate(self.records[topic][:count])
        ]

    def latest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key."""
        return {row.key: row.value for row in self.records[topic]}

    async def newest(self, topic: str) -> ports.Page:
        """Return the newest records without the hidden ones."""
        self._next_fault()
        rows = self.records[topic]
        visible = rows[: len(rows) - self.hidden]
        newest = {row.key: row for row in visible}
        return ports.Page(
            tuple(row for row in newest.values() if row.value),
            self._offset(len(visible)),
        )

    async def read(self, topic: str, offset: int, wait_ms: int) -> ports.Page:
        """Return the records from ``offset`` on without waiting."""
        self._next_fault()
        number = offsets.number(offset)
        if offset != self._offset(number) or number < self.first_offset:
            raise ports.CompactedError(topic)
        rows = self.records[topic][number:]
        return ports.Page(tuple(rows), offset + len(rows))

    async def append(
        self,
        topic: str,
        entries: Sequence[tuple[str, bytes]],
        expected_offset: int | None,
    ) -> int:
        """Append if the topic ends at ``expected_offset``."""
        fault = self._next_fault()
        rows = self.records[topic]
        end_offset = self._offset(len(rows))
        if expected_offset not in {None, end_offset}:
            raise ports.OffsetConflictError(topic)
        self.appends += 1
        for key, value in entries:
            self.write(topic, key, value)
        if fault == 'lost':
            raise errors.AnswerLostError('lost')
        return self._offset(len(rows))

    def _offset(self, number: int) -> int:
        return offsets.encode(self.generation, number)

    def _next_fault(self) -> str:
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'away':
            raise errors.UnavailableError('away')
        return fault


_ANSWER_S = 0.01
_CALL_TIMEOUT_S = 1.5


@attrs.define
class SilentStore(MemoryStore):
    """A store whose reads wait, and which is silent for a while.

    Calls that begin while it is silent are never answered, and time out. Those
    that wait at that moment are answered as usual. Times are those of the
    event loop, in seconds.
    """

    silent_from_s: float = math.inf
    silent_until_s: float = math.inf
    calls: int = 0

    async def newest(self, topic: str) -> ports.Page:
        """Return the newest records, or time out."""
        await self._begin_call(0)
        return await super().newest(topic)

    async def read(self, topic: str, offset: int, wait_ms: int) -> ports.Page:
        """Return the records from ``offset`` on, or time out."""
        await self._begin_call(wait_ms / 1000)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / 1000
        while True:
            page = await super().read(topic, offset, wait_ms)
            if page.entries or loop.time() >= end_s:
                return page
            await asyncio.sleep(_ANSWER_S)

    async def _begin_call(self, wait_s: float) -> None:
        self.calls += 1
        now_s = asyncio.get_running_loop().time()
        if self.silent_from_s <= now_s < self.silent_until_s:
            await asyncio.sleep(wait_s + _CALL_TIMEOUT_S)
            raise errors.UnavailableError('silent')
        await asyncio.sleep(_ANSWER_S)


@attrs.define
class BrokenOffStore(SilentStore):
    """A store that is away for a while, and ends calls in several ways.

    ``endings`` are the ways that a call which is open meanwhile may draw:
    ``unanswered`` until its timeout, ``broken off`` before that, or ``refused``
    at once.
    ``written_s`` holds when the records of each topic were written.
    """

    endings: tuple[str, ...] = ('unanswered',)
    rng: random.Random = attrs.field(factory=random.Random)
    written_s: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    @property
    def is_away(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self.silent_from_s <= now_s < self.silent_until_s

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, and note when."""
        self.written_s[topic].append(asyncio.get_running_loop().time())
        super().write(topic, key, value)

    async def newest(self, topic: str) -> ports.Page:
        """Return the newest records, or fail."""
        await self._answer(0)
        return await MemoryStore.newest(self, topic)

    async def read(self, topic: str, offset: int, wait_ms: int) -> ports.Page:
        """Return the records from ``offset`` on, or fail."""
        now_s = asyncio.get_running_loop().time
        end_s = now_s() + wait_ms / 1000
        while True:
            await self._answer(end_s - now_s())
            page = await MemoryStore.read(self, topic, offset, wait_ms)
            if page.entries or now_s() >= end_s:
                return page

    async def _answer(self, wait_s: float) -> None:
        """Take the time of an answer; a call that meets an outage fails."""
        await asyncio.sleep(_ANSWER_S)
        if not self.is_away:
            return
        ending = self.rng.choice(self.endings)
        limit_s = max(0, wait_s) + _CALL_TIMEOUT_S
        if ending == 'broken off':
            limit_s = self.rng.uniform(0, _CALL_TIMEOUT_S)
        if ending != 'refused':
            await asyncio.sleep(limit_s)
        raise errors.UnavailableError(ending)
