"""A store of keyed topics in memory that misbehaves on demand."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import attrs

from yuccarouter.gateway import ports
from yuccarouter_common.platform import errors


@attrs.define
class MemoryStore:
    """Implements ``ports.Store``.

    ``faults`` are consumed one a call: ``away`` does nothing, ``lost`` takes
    effect without an answer. ``first_offset`` is the oldest record that is
    still kept, and ``hidden`` records are left out of the newest ones.
    """

    records: dict[str, list[ports.Entry]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    faults: list[str] = attrs.field(factory=list)
    first_offset: int = 0
    hidden: int = 0
    appends: int = 0

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Append a record as others do."""
        rows = self.records[topic]
        rows.append(ports.Entry(key, value, len(rows)))

    def latest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key."""
        return {row.key: row.value for row in self.records[topic]}

    async def newest(self, topic: str) -> ports.Page:
        """Return the newest records, without those that are hidden."""
        self._fail()
        rows = self.records[topic]
        shown = rows[: len(rows) - self.hidden]
        newest = {row.key: row for row in shown}
        return ports.Page(
            tuple(row for row in newest.values() if row.value), len(shown)
        )

    async def read(self, topic: str, offset: int, wait_ms: int) -> ports.Page:
        """Return what follows ``offset`` at once."""
        self._fail()
        if offset < self.first_offset:
            raise ports.CompactedError(topic)
        rows = self.records[topic][offset:]
        return ports.Page(tuple(rows), offset + len(rows))

    async def append(
        self,
        topic: str,
        entries: Sequence[tuple[str, bytes]],
        expected_offset: int | None,
    ) -> int:
        """Append if the topic ends at ``expected_offset``."""
        fault = self._fail()
        rows = self.records[topic]
        if expected_offset is not None and expected_offset != len(rows):
            raise ports.OffsetConflictError(topic)
        self.appends += 1
        for key, value in entries:
            self.write(topic, key, value)
        if fault == 'lost':
            raise errors.AnswerLostError('lost')
        return len(rows)

    def _fail(self) -> str:
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'away':
            raise errors.UnavailableError('away')
        return fault
