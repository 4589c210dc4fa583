"""An in-memory stand-in of the platform's log client for tests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final

import attrs
import orjson

from yuccarouter_common import clocks
from yuccarouter_common.platform import errors, log

_MS: Final = 1000
_DEFAULT_LIMIT: Final = 1000


@attrs.define
class Stream:
    """One stream; ``entries`` starts at ``first_offset``."""

    first_offset: int = 0
    entries: list[log.Entry] = attrs.field(factory=list)
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end_offset(self) -> int:
        """The offset of the next append."""
        return self.first_offset + len(self.entries)


@attrs.define
class _LateAppend:
    stream: str
    append_id: str
    payload: Any


class MemoryLog:
    """Has the interface of ``platform.log.Client`` and fails on demand.

    ``down`` refuses all calls. The next ``lose_answers`` appends take effect
    and lose their answers; the next ``delay_appends`` ones lose theirs and
    take effect only at ``deliver_late``. With ``fails_at_append`` the log is
    down from the next append on, before anyone can read it. ``delay_s`` slows
    each call; with ``jitter`` a call takes between none and twice of it.
    """

    def __init__(self, clock_ms: Callable[[], int] = clocks.wall_ms) -> None:
        self.down = False
        self.lose_answers = 0
        self.delay_appends = 0
        self.fails_at_append = False
        self.delay_s: float = 0
        self.jitter: random.Random | None = None
        self.appends = 0
        self.reads = 0
        self._clock_ms = clock_ms
        self._streams: dict[str, Stream] = {}
        self._late: list[_LateAppend] = []

    def stream(self, name: str) -> Stream:
        """Return a stream, made at its first use."""
        return self._streams.setdefault(name, Stream())

    def add(self, name: str, append_id: str, payload: Any) -> log.Appended:
        """Append without faults."""
        stream = self.stream(name)
        entry = log.Entry(
            stream.end_offset,
            self._clock_ms(),
            append_id,
            orjson.loads(orjson.dumps(payload)),
        )
        stream.entries.append(entry)
        stream.grown.set()
        stream.grown = asyncio.Event()
        return log.Appended(entry.offset, entry.time_ms)

    def rewind(self, name: str, end_offset: int) -> None:
        """Drop the newest records, as a restore from a backup does."""
        stream = self.stream(name)
        del stream.entries[max(0, end_offset - stream.first_offset) :]

    def truncate(self, name: str, first_offset: int) -> None:
        """Drop the oldest records, as the retention limit does."""
        stream = self.stream(name)
        del stream.entries[: first_offset - stream.first_offset]
        stream.first_offset = first_offset

    def deliver_late(self) -> None:
        """Let delayed appends take effect, in their order."""
        late = self._late
        self._late = []
        for append in late:
            self.add(append.stream, append.append_id, append.payload)

    async def append(
        self,
        stream: str,
        append_id: str,
        payload: Any,
        timeout_s: float = 2,
    ) -> log.Appended:
        """Append one record or fail as set up."""
        await self._call()
        self.appends += 1
        self.down = self.fails_at_append
        if self.delay_appends:
            self.delay_appends -= 1
            self._late.append(_LateAppend(stream, append_id, payload))
            raise errors.AnswerLostError('append answer lost')
        appended = self.add(stream, append_id, payload)
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.AnswerLostError('append answer lost')
        return appended

    async def read(
        self,
        stream: str,
        start: int,
        *,
        limit: int = _DEFAULT_LIMIT,
        wait_ms: int = 0,
    ) -> log.Batch:
        """Read records from ``start`` on, waiting up to ``wait_ms``."""
        await self._call()
        self.reads += 1
        held = self.stream(stream)
        if start >= held.end_offset and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / _MS):
                    await held.grown.wait()
            except TimeoutError:
                self._check_up()
        self._check_up()
        index = max(0, start - held.first_offset)
        return log.Batch(
            held.entries[index : index + limit],
            held.first_offset,
            held.end_offset,
        )

    async def find(
        self,
        stream: str,
        append_id: str,
        start: int,
    ) -> log.Appended | None:
        """Return where the record with ``append_id`` is."""
        batch = await self.read(
            stream, start, limit=len(self.stream(stream).entries)
        )
        for entry in batch.records:
            if entry.append_id == append_id:
                return log.Appended(entry.offset, entry.time_ms)
        return None

    async def _call(self) -> None:
        factor = 1 if self.jitter is None else self.jitter.uniform(0, 2)
        await asyncio.sleep(factor * self.delay_s)
        self._check_up()

    def _check_up(self) -> None:
        if self.down:
            raise errors.UnavailableError('log is unreachable')
