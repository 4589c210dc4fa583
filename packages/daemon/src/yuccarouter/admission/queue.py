"""A fair queue of requests for one endpoint.

Higher priorities are served first. Within a priority, start-time fair queueing
shares the endpoint among organisations by weight and estimated cost.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable, Iterator
from typing import Generic, TypeVar

import attrs

_Payload = TypeVar('_Payload')


@attrs.define(eq=False)
class Entry(Generic[_Payload]):
    """A queued request.

    ``priority`` is higher for more urgent requests. ``cost`` is the expected
    time in seconds for which the request holds a slot. ``weight`` is the
    organisation's share. ``start_tag`` is its start in virtual time.
    """

    organisation: str
    priority: int
    weight: float
    cost: float
    payload: _Payload
    start_tag: float = 0
    sequence: int = 0


@attrs.define
class FairQueue(Generic[_Payload]):
    """Entries by priority and organisation, in order of their start tags."""

    size: int = 0
    _virtual_time: float = 0
    _push_count: int = 0
    _finish_tags: dict[str, float] = attrs.field(factory=dict)
    _by_priority: dict[int, dict[str, collections.deque[Entry[_Payload]]]] = (
        attrs.field(factory=dict)
    )

    def push(self, entry: Entry[_Payload]) -> None:
        """Add an entry after the others of its organisation and priority."""
        self._assign_tags(entry)
        level = self._by_priority.setdefault(entry.priority, {})
        waiting = level.setdefault(entry.organisation, collections.deque())
        waiting.append(entry)
        self.size += 1

    def shed(self, max_size: int) -> Entry[_Payload] | None:
        """Remove and return an entry when more than ``max_size`` are queued.

        The entry has the lowest priority. Within it, it is the newest of the
        organisation with the highest queued cost per weight.
        """
        if self.size <= max_size:
            return None
        victim = self._victim()
        self.discard(victim)
        return victim

    def pop(
        self, eligible: Callable[[Entry[_Payload]], bool]
    ) -> Entry[_Payload] | None:
        """Remove and return the next entry of an eligible organisation."""
        for priority in sorted(self._by_priority, reverse=True):
            heads = [
                waiting[0]
                for waiting in self._by_priority[priority].values()
                if eligible(waiting[0])
            ]
            if heads:
                chosen = min(heads, key=_tag_order)
                self._remove(chosen)
                # Later arrivals get no start tag below the current one.
                self._virtual_time = max(self._virtual_time, chosen.start_tag)
                self._drop_past_tags()
                return chosen
        return None

    def discard(self, entry: Entry[_Payload]) -> bool:
        """Remove an entry that will not run; return whether it was queued.

        Its organisation is not charged for it: the cost is subtracted from the
        finish tag.
        """
        if not self._remove(entry):
            return False
        name = entry.organisation
        finish_tag = self._finish_tags.get(name, 0) - entry.cost / entry.weight
        self._finish_tags[name] = max(finish_tag, self._virtual_time)
        return True

    def entries_before(
        self, organisation: str, priority: int
    ) -> list[Entry[_Payload]]:
        """Return the entries that would be served before a new one."""
        tag = max(self._virtual_time, self._finish_tags.get(organisation, 0))
        return [
            entry
            for entry in self
            if (-entry.priority, entry.start_tag) <= (-priority, tag)
        ]

    def in_service_order(self) -> list[Entry[_Payload]]:
        """Return the entries in the order of service."""
        return sorted(self, key=_service_order)

    def __iter__(self) -> Iterator[Entry[_Payload]]:
        """Yield the entries in no particular order."""
        for level in self._by_priority.values():
            for waiting in level.values():
                yield from waiting

    def _remove(self, entry: Entry[_Payload]) -> bool:
        level = self._by_priority.get(entry.priority, {})
        waiting = level.get(entry.organisation)
        if waiting is None or entry not in waiting:
            return False
        waiting.remove(entry)
        self.size -= 1
        if not waiting:
            del level[entry.organisation]  # noqa: WPS420
        if not level:
            del self._by_priority[entry.priority]  # noqa: WPS420
        return True

    def _assign_tags(self, entry: Entry[_Payload]) -> None:
        finish_tag = self._finish_tags.get(entry.organisation, 0)
        entry.start_tag = max(self._virtual_time, finish_tag)
        self._finish_tags[entry.organisation] = (
            entry.start_tag + entry.cost / entry.weight
        )
        self._push_count += 1
        entry.sequence = self._push_count

    def _victim(self) -> Entry[_Payload]:
        lowest = self._by_priority[min(self._by_priority)]
        largest = max(lowest.values(), key=_weighted_cost)
        return largest[-1]

    def _drop_past_tags(self) -> None:
        # A finish tag below the virtual time does not affect later entries.
        self._finish_tags = {
            name: tag
            for name, tag in self._finish_tags.items()
            if tag > self._virtual_time
        }


def _tag_order(entry: Entry[_Payload]) -> tuple[float, int]:
    return entry.start_tag, entry.sequence


def _service_order(entry: Entry[_Payload]) -> tuple[int, float, int]:
    return -entry.priority, entry.start_tag, entry.sequence


def _weighted_cost(waiting: Iterable[Entry[_Payload]]) -> float:
    return sum(entry.cost / entry.weight for entry in waiting)
