"""A bounded fair queue in front of one endpoint.

Higher priorities go first. Within a priority, start-time fair queueing
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

    ``priority`` is higher for more urgent requests. ``cost`` is the time in
    seconds that the request is expected to hold a slot; ``weight`` is the
    organisation's share. ``start_tag`` is its place in virtual time.
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
    _virtual: float = 0
    _pushed: int = 0
    _finish_tags: dict[str, float] = attrs.field(factory=dict)
    _levels: dict[int, dict[str, collections.deque[Entry[_Payload]]]] = (
        attrs.field(factory=dict)
    )

    def push(self, entry: Entry[_Payload]) -> None:
        """Add an entry behind the others of its organisation."""
        self._tag(entry)
        level = self._levels.setdefault(entry.priority, {})
        waiting = level.setdefault(entry.organisation, collections.deque())
        waiting.append(entry)
        self.size += 1

    def shed(self, bound: int) -> Entry[_Payload] | None:
        """Remove and return an entry when more than ``bound`` are queued.

        It has the lowest priority and, within it, is the newest of the
        organisation with the most queued cost for its weight.
        """
        if self.size <= bound:
            return None
        victim = self._victim()
        self.withdraw(victim)
        return victim

    def pop(
        self, eligible: Callable[[Entry[_Payload]], bool]
    ) -> Entry[_Payload] | None:
        """Remove and return the next entry of an eligible organisation."""
        for priority in sorted(self._levels, reverse=True):
            heads = [
                waiting[0]
                for waiting in self._levels[priority].values()
                if eligible(waiting[0])
            ]
            if heads:
                chosen = min(heads, key=_place)
                self._remove(chosen)
                # Later arrivals start no earlier than what is served now.
                self._virtual = max(self._virtual, chosen.start_tag)
                self._forget_idle()
                return chosen
        return None

    def withdraw(self, entry: Entry[_Payload]) -> bool:
        """Remove an entry that will not run; return whether it was queued.

        Its organisation is not charged for it.
        """
        if not self._remove(entry):
            return False
        name = entry.organisation
        finish = self._finish_tags.get(name, 0) - entry.cost / entry.weight
        self._finish_tags[name] = max(finish, self._virtual)
        return True

    def ahead(self, organisation: str, priority: int) -> list[Entry[_Payload]]:
        """Return the entries that would go before a new one."""
        tag = max(self._virtual, self._finish_tags.get(organisation, 0))
        return [
            entry
            for entry in self
            if (-entry.priority, entry.start_tag) <= (-priority, tag)
        ]

    def in_order(self) -> list[Entry[_Payload]]:
        """Return the entries in the order in which they would be served."""
        return sorted(self, key=_urgency)

    def __iter__(self) -> Iterator[Entry[_Payload]]:
        """Yield the entries in no given order."""
        for level in self._levels.values():
            for waiting in level.values():
                yield from waiting

    def _remove(self, entry: Entry[_Payload]) -> bool:
        level = self._levels.get(entry.priority, {})
        waiting = level.get(entry.organisation)
        if waiting is None or entry not in waiting:
            return False
        waiting.remove(entry)
        self.size -= 1
        if not waiting:
            del level[entry.organisation]  # noqa: WPS420
        if not level:
            del self._levels[entry.priority]  # noqa: WPS420
        return True

    def _tag(self, entry: Entry[_Payload]) -> None:
        finish = self._finish_tags.get(entry.organisation, 0)
        entry.start_tag = max(self._virtual, finish)
        self._finish_tags[entry.organisation] = (
            entry.start_tag + entry.cost / entry.weight
        )
        self._pushed += 1
        entry.sequence = self._pushed

    def _victim(self) -> Entry[_Payload]:
        lowest = self._levels[min(self._levels)]
        largest = max(lowest.values(), key=_queued_share)
        return largest[-1]

    def _forget_idle(self) -> None:
        # A tag in the past has no effect on later entries.
        self._finish_tags = {
            name: tag
            for name, tag in self._finish_tags.items()
            if tag > self._virtual
        }


def _place(entry: Entry[_Payload]) -> tuple[float, int]:
    return entry.start_tag, entry.sequence


def _urgency(entry: Entry[_Payload]) -> tuple[int, float, int]:
    return -entry.priority, entry.start_tag, entry.sequence


def _queued_share(waiting: Iterable[Entry[_Payload]]) -> float:
    return sum(entry.cost / entry.weight for entry in waiting)
