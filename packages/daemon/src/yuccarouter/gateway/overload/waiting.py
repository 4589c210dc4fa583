"""A bounded queue of the requests of a service that wait to be sent."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

# Requests that wait are few: one that is refused early can return in time.
_MAX_ENTRIES: Final = 64
# Bytes of bodies that wait, as a share of the process's memory.
_MEMORY_SHARE: Final = 1 / 64
# An entry that was overtaken so often goes first.
_MAX_OVERTAKEN: Final = 4
# Entries that decide anew on a report: each decision compares all endpoints.
_WOKEN_PER_REPORT: Final = 4
_MIN_SLACK_MS: Final = 1.0


def limit_bytes(memory_bytes: float) -> float:
    """Return how many bytes of bodies may wait in a process."""
    return memory_bytes * _MEMORY_SHARE


@attrs.define(eq=False)
class Entry:
    """A request that waits.

    ``latest_ms`` is the last moment at which it can be sent and meet its
    objective. ``weight`` is its value: that of priority 0 and of a small
    request is 1. ``wake`` lets it decide anew.
    """

    latest_ms: float
    weight: float
    body_bytes: int
    wake: Callable[[], None]
    overtaken: int = 0


@attrs.define
class WaitingQueue:
    """The entries of a service in the order of their arrival."""

    max_bytes: float
    entries: list[Entry] = attrs.field(factory=list)
    _held_bytes: int = 0

    def add(self, entry: Entry) -> bool:
        """Add an entry; return whether there was room."""
        held_bytes = self._held_bytes + entry.body_bytes
        if len(self.entries) >= _MAX_ENTRIES or held_bytes > self.max_bytes:
            return False
        self.entries.append(entry)
        self._held_bytes = held_bytes
        return True

    def remove(self, entry: Entry, *, is_sent: bool) -> None:
        """Remove an entry, whose request is sent, refused or abandoned."""
        index = self.entries.index(entry)
        self.entries.pop(index)
        self._held_bytes -= entry.body_bytes
        if is_sent:
            for earlier in self.entries[:index]:
                earlier.overtaken += 1

    def ordered(self, now_ms: float) -> list[Entry]:
        """Return the entries in the order in which they should be sent.

        Little time and a high value come first, and before them what was
        overtaken too often, in the order of arrival.
        """

        def rank(entry: Entry) -> float:
            if entry.overtaken >= _MAX_OVERTAKEN:
                return -math.inf
            slack_ms = max(_MIN_SLACK_MS, entry.latest_ms - now_ms)
            return slack_ms / entry.weight

        return sorted(self.entries, key=rank)

    def on_report(self, now_ms: float) -> None:
        """Let the first entries decide anew."""
        for entry in self.ordered(now_ms)[:_WOKEN_PER_REPORT]:
            entry.wake()
