"""Prompt prefixes that the engine's cache holds, from its events.

Events arrive late and with gaps. After a gap nothing read before it is
certain, so the prefixes are forgotten and collected anew; a forgotten prefix
costs affinity, a wrong one sends a request to an endpoint without the cache.
"""

from __future__ import annotations

from typing import Final

import attrs

_STORED: Final = 'stored'
_EVICTED: Final = 'evicted'
_CLEARED: Final = 'cleared'
# Bounds the agent's memory and, with _REPORTED, the size of a report.
_MAX_PREFIXES: Final = 4096
_REPORTED: Final = 16


@attrs.frozen
class CacheEvent:
    """A change of the cache; ``prefix`` is the hash of a prompt prefix."""

    offset: int
    kind: str
    prefix: int = 0


@attrs.frozen
class Batch:
    """The answer to ``GET /cache-events``.

    ``first_offset`` is the oldest event that the engine still keeps and
    ``end_offset`` the offset of its next one.
    """

    events: list[CacheEvent]
    first_offset: int
    end_offset: int


@attrs.define
class PrefixCache:
    """The prefixes in the engine's cache, oldest first."""

    next_offset: int = 0
    _prefixes: dict[int, None] = attrs.field(factory=dict)

    def apply(self, batch: Batch) -> bool:
        """Apply events in order; return whether there was no gap."""
        if batch.end_offset < self.next_offset:
            # The engine has restarted: its cache is empty and its numbering
            # begins again.
            self._restart_at(batch.first_offset)
            return False
        is_whole = True
        for event in batch.events:
            if event.offset < self.next_offset:
                continue
            if event.offset > self.next_offset:
                is_whole = self.next_offset == 0 and is_whole
                self._prefixes.clear()
            self._apply_one(event)
            self.next_offset = event.offset + 1
        if self.next_offset < batch.first_offset:
            self._restart_at(batch.first_offset)
            return False
        return is_whole

    def newest(self) -> list[int]:
        """Return the most recently stored prefixes, newest last."""
        return list(self._prefixes)[-_REPORTED:]

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

    def _restart_at(self, offset: int) -> None:
        self._prefixes.clear()
        self.next_offset = offset
