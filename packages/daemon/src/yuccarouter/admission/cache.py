"""Prompt prefixes in the engine's cache, tracked from its cache events.

Events arrive late and with gaps. After a gap the known prefixes may have been
evicted, so they are dropped and collected anew. A missing prefix only loses
cache affinity; a wrong one routes a request to an endpoint without the prefix.
"""

from __future__ import annotations

from typing import Final

import attrs

_STORED: Final = 'stored'
_EVICTED: Final = 'evicted'
_CLEARED: Final = 'cleared'
# Bounds the agent's memory.
_MAX_PREFIXES: Final = 4096
# Bounds the size of a report.
_MAX_REPORTED_PREFIXES: Final = 16


@attrs.frozen
class CacheEvent:
    """A change of the cache; ``prefix`` is the hash of a prompt prefix."""

    offset: int
    kind: str
    prefix: int = 0


@attrs.frozen
class Batch:
    """The answer to ``GET /cache-events``.

    ``first_offset`` is the offset of the oldest event that the engine retains,
    and ``end_offset`` that of its next event.
    """

    events: list[CacheEvent]
    first_offset: int
    end_offset: int


@attrs.define
class PrefixCache:
    """Prefixes in the engine's cache, the oldest first."""

    next_offset: int = 0
    _prefixes: dict[int, None] = attrs.field(factory=dict)

    def apply(self, batch: Batch) -> bool:
        """Apply events in order; return whether they had no gap."""
        if batch.end_offset < self.next_offset:
            # The engine has restarted: its cache is empty and its offsets start
            # again.
            self._reset_to(batch.first_offset)
            return False
        is_contiguous = True
        for event in batch.events:
            if event.offset < self.next_offset:
                continue
            if event.offset > self.next_offset:
                is_contiguous = self.next_offset == 0 and is_contiguous
                self._prefixes.clear()
            self._apply_one(event)
            self.next_offset = event.offset + 1
        if self.next_offset < batch.first_offset:
            self._reset_to(batch.first_offset)
            return False
        return is_contiguous

    def newest(self) -> list[int]:
        """Return the most recently stored prefixes, newest last."""
        return list(self._prefixes)[-_MAX_REPORTED_PREFIXES:]

    def _apply_one(self, event: CacheEvent) -> None:
        if event.kind == _STORED:
            self._prefixes.pop(event.prefix, None)
            self._prefixes[event.prefix] = None
            if len(self._prefixes) > _MAX_PREFIXES:
                self._prefixes.pop(next(iter(self._prefixes)))
        elif event.kind == _EVICTED:
            self._prefixes.pop(event.prefix, None)
        elif event.kind == _CLEARED:
            self._prefixes.clear()

    def _reset_to(self, offset: int) -> None:
        self._prefixes.clear()
        self.next_offset = offset
