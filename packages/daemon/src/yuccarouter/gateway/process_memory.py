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
# Share of the limit for callers' requests and unread answers. The rest is left
# for what endpoints send, which may use all that callers don't hold.
_CALLERS_SHARE: Final = 3 / 4
# No more requests are begun for an organisation for which more of the limit is
# held, so that others have room.
_ORGANISATION_SHARE: Final = 1 / 2
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

    ``share`` of the limit is the most that all holdings of the policy may have.
    Beyond it, they are ended until ``remaining_share`` of that is left. Those
    of less than ``min_bytes`` are not ended.
    """

    name: str
    order: Callable[[Holding], float]
    share: float
    remaining_share: float
    min_bytes: int = 0


# An endpoint that sends without end would otherwise be read on until each of
# its answers is the largest.
LARGEST_FIRST: Final = Policy(
    'answer',
    lambda holding: -holding.held_bytes,
    share=1,
    remaining_share=0.5,
    # Nothing of the others has arrived.
    min_bytes=1,
)
# Callers that go on with their body, or read their answer, are spared.
STALLED_FIRST: Final = Policy(
    'caller',
    lambda holding: holding.changed,
    share=_CALLERS_SHARE,
    remaining_share=1,
    min_bytes=_MIN_CALLER_BYTES,
)


@attrs.define
class ProcessMemory:
    """What a process holds, in bytes with all copies."""

    limit_bytes: float
    _by_policy: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _holdings: set[Holding] = attrs.field(factory=set)
    # Of holdings that can be ended.
    _by_owner: collections.Counter[Owner] = attrs.field(
        factory=collections.Counter
    )
    _changes: Iterator[int] = attrs.field(factory=itertools.count)

    @property
    def held_bytes(self) -> int:
        """What all holdings have together."""
        return self._by_policy.total()

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
        self._add(holding, held_bytes - holding.held_bytes)
        holding.held_bytes = held_bytes
        holding.changed = next(self._changes)
        for policy in (STALLED_FIRST, LARGEST_FIRST):
            while self._excess_share(policy) > 0 and self._end_some(policy):
                """Another owner may hold most now."""

    def _excess_share(self, policy: Policy, share: float = 1) -> float:
        """Return how much more is held than the limit of a policy allows.

        Answers are ended where callers' holdings are within their own share.
        """
        held_bytes = self._by_policy[policy.name]
        if policy is LARGEST_FIRST:
            if held_bytes <= (1 - _CALLERS_SHARE) * self.limit_bytes:
                return 0
            held_bytes = self.held_bytes
        return held_bytes / self.limit_bytes - share * policy.share

    def protect(self, holding: Holding) -> None:
        """Let a holding not be ended any more."""
        if holding.end is not None and holding in self._holdings:
            self._add_of_owner(holding.owner, -holding.held_bytes)
        holding.end = None

    def is_over_share(self, owner: Owner) -> bool:
        """Return whether nothing more should be begun for an owner.

        What endpoints are working on does not count: it ends by itself.
        """
        return self._by_owner[owner] > _ORGANISATION_SHARE * self.limit_bytes

    def _end_some(self, policy: Policy) -> bool:
        """End holdings of one owner; return whether there was one."""
        by_owner: collections.Counter[Owner] = collections.Counter()
        for holding in self._holdings:
            if _can_end(holding, policy):
                by_owner[holding.owner] += holding.held_bytes
        if not by_owner:
            return False
        owner, owner_bytes = by_owner.most_common(1)[0]
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
                if each.owner == owner and _can_end(each, policy)
            ),
            key=policy.order,
        )
        for holding in in_order:
            self._end(holding)
            if self._excess_share(policy, policy.remaining_share) <= 0:
                break
        return True

    def _end(self, holding: Holding) -> None:
        self._release(holding)
        if holding.end is not None:
            holding.end()

    def _release(self, holding: Holding) -> None:
        """Stop counting a holding; does nothing if it is not counted."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self._add(holding, -holding.held_bytes)

    def _add(self, holding: Holding, added_bytes: int) -> None:
        self._by_policy[holding.policy.name] += added_bytes
        if holding.end is not None:
            self._add_of_owner(holding.owner, added_bytes)

    def _add_of_owner(self, owner: Owner, added_bytes: int) -> None:
        self._by_owner[owner] += added_bytes
        if not self._by_owner[owner]:
            del self._by_owner[owner]


def limit_bytes(memory_bytes: float) -> float:
    """Return the limit of a process that may use so much memory."""
    return _MEMORY_SHARE * memory_bytes


def _can_end(holding: Holding, policy: Policy) -> bool:
    if holding.end is None or holding.policy is not policy:
        return False
    return holding.held_bytes >= policy.min_bytes
