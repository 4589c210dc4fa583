"""Limit on what a process holds for its callers and endpoints together.

Callers may send many bodies that never end, or leave their answers unread, and
an endpoint may send without end to many requests at once. The limit on a single
body or answer does not bound their sum, and a process that exceeds the memory
of its VM is ended with the requests of all callers. So at the limit some are
ended, of the organisation or endpoint for which most is held:

    memory = ProcessMemory(limit_bytes=75_000_000)
    with memory.hold(Owner('endpoint', 'e1'), LARGEST_FIRST, end) as holding:
        memory.resize(holding, 65_536)
"""

from __future__ import annotations

import collections
import contextlib
import itertools
from typing import TYPE_CHECKING, Final

import attrs
import eliot

from yuccarouter.gateway import metrics

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# The process needs a third of the memory without any request.
_MEMORY_SHARE: Final = 1 / 2
# Ending a smaller request of a caller frees little.
_MIN_CALLER_BYTES: Final = 4096


@attrs.frozen
class Owner:
    """For whom something is held: an ``organisation`` or an ``endpoint``."""

    kind: str
    name: str


@attrs.define(eq=False)
class Holding:
    """What is held for one request.

    ``end`` makes its reader or writer fail soon; ``None`` if it can't be ended
    any more. ``changed`` grows with each change of any holding.
    """

    owner: Owner
    policy: Policy
    end: Callable[[], None] | None
    held_bytes: int = 0
    changed: int = 0


@attrs.frozen
class Policy:
    """Which holdings of an owner are ended first, by the smallest ``order``.

    They are ended until ``remaining_share`` of the limit is left. Those of less
    than ``min_bytes`` are not ended.
    """

    name: str
    order: Callable[[Holding], float]
    remaining_share: float
    min_bytes: int = 0


# An endpoint that sends without end would otherwise be read on until each of
# its answers is the largest.
LARGEST_FIRST: Final = Policy(
    'answer', lambda holding: -holding.held_bytes, remaining_share=0.5
)
# Callers that go on with their body, or read their answer, are spared.
STALLED_FIRST: Final = Policy(
    'caller',
    lambda holding: holding.changed,
    remaining_share=1,
    min_bytes=_MIN_CALLER_BYTES,
)


@attrs.define
class ProcessMemory:
    """What a process holds, in bytes with all copies."""

    limit_bytes: float
    held_bytes: int = 0
    _holdings: set[Holding] = attrs.field(factory=set)
    _changes: Iterator[int] = attrs.field(factory=itertools.count)

    @contextlib.contextmanager
    def hold(
        self,
        owner: Owner,
        policy: Policy,
        end: Callable[[], None] | None = None,
    ) -> Iterator[Holding]:
        """Count a holding within the context."""
        holding = Holding(owner, policy, end)
        self._holdings.add(holding)
        try:
            yield holding
        finally:
            self._release(holding)

    def resize(self, holding: Holding, held_bytes: int) -> None:
        """Set how much is held, and end some holdings beyond the limit."""
        if holding not in self._holdings:
            return
        self.held_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes
        holding.changed = next(self._changes)
        while self.held_bytes > self.limit_bytes:
            if not self._end_some():
                break

    def _end_some(self) -> bool:
        """End holdings of one owner; return whether there was one."""
        by_owner: collections.Counter[tuple[Owner, Policy]] = (
            collections.Counter()
        )
        for holding in self._holdings:
            if _can_end(holding):
                by_owner[holding.owner, holding.policy] += holding.held_bytes
        if not by_owner:
            return False
        (owner, policy), owner_bytes = by_owner.most_common(1)[0]
        metrics.MEMORY_EXCEEDED.labels(owner.kind).inc()
        eliot.log_message(
            'memory_exceeded',
            held_for=policy.name,
            **{owner.kind: owner.name},
            owner_bytes=owner_bytes,
            held_bytes=self.held_bytes,
            holdings=len(self._holdings),
        )
        in_order = sorted(
            (
                each
                for each in self._holdings
                if each.owner == owner
                and each.policy is policy
                and _can_end(each)
            ),
            key=policy.order,
        )
        for holding in in_order:
            if self.held_bytes <= policy.remaining_share * self.limit_bytes:
                break
            self._end(holding)
        return True

    def _end(self, holding: Holding) -> None:
        self._release(holding)
        if holding.end is not None:
            holding.end()

    def _release(self, holding: Holding) -> None:
        """Stop counting a holding; does nothing if it is not counted."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self.held_bytes -= holding.held_bytes


def limit_bytes(memory_bytes: float) -> float:
    """Return the limit of a process that may use so much memory."""
    return _MEMORY_SHARE * memory_bytes


def _can_end(holding: Holding) -> bool:
    is_large = holding.held_bytes >= holding.policy.min_bytes
    return holding.end is not None and is_large
