"""Limit on the memory of all unfinished answers together.

An endpoint may send without end to many requests at once. The limit on one
answer does not bound their sum, and a process that exceeds the memory of its VM
is ended with the requests of all callers. So at the limit answers are ended:
those that hold most, of the endpoint whose answers hold most:

    memory = AnswerMemory(limit_bytes=25_000_000)
    with memory.hold('e1', end) as holding:
        memory.resize(holding, 65_536)
"""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING, Final

import attrs
import eliot

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# An answer has up to three copies while it is joined, and the process needs a
# third of the memory without any answer.
_MEMORY_SHARE: Final = 1 / 6
# Share of the limit to which answers are ended, so that those of an endpoint
# that sends without end are not read on until each of them is the largest.
_REMAINING_SHARE: Final = 0.5


@attrs.define(eq=False)
class Holding:
    """What one unfinished answer of an endpoint holds.

    ``end`` makes its reader fail soon.
    """

    endpoint: str
    end: Callable[[], None]
    held_bytes: int = 0


@attrs.define
class AnswerMemory:
    """The unfinished answers of a process, and the bytes that they hold."""

    limit_bytes: float
    held_bytes: int = 0
    _holdings: set[Holding] = attrs.field(factory=set)

    @contextlib.contextmanager
    def hold(self, endpoint: str, end: Callable[[], None]) -> Iterator[Holding]:
        """Count an answer within the context."""
        holding = Holding(endpoint, end)
        self._holdings.add(holding)
        try:
            yield holding
        finally:
            self._release(holding)

    def resize(self, holding: Holding, held_bytes: int) -> None:
        """Set how much an answer holds, and end answers beyond the limit."""
        if holding not in self._holdings:
            return
        self.held_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes
        while self.held_bytes > self.limit_bytes:
            self._end_answers()

    def _end_answers(self) -> None:
        """End answers of the endpoint whose answers hold most."""
        by_endpoint: collections.Counter[str] = collections.Counter()
        for holding in self._holdings:
            by_endpoint[holding.endpoint] += holding.held_bytes
        endpoint, endpoint_bytes = by_endpoint.most_common(1)[0]
        eliot.log_message(
            'answer_memory_exceeded',
            endpoint=endpoint,
            endpoint_bytes=endpoint_bytes,
            held_bytes=self.held_bytes,
            answers=len(self._holdings),
        )
        largest_first = sorted(
            (each for each in self._holdings if each.endpoint == endpoint),
            key=lambda each: each.held_bytes,
            reverse=True,
        )
        for holding in largest_first:
            if self.held_bytes <= _REMAINING_SHARE * self.limit_bytes:
                break
            self._release(holding)
            holding.end()

    def _release(self, holding: Holding) -> None:
        """Stop counting an answer; does nothing if it is not counted."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self.held_bytes -= holding.held_bytes


def limit_bytes(memory_bytes: float) -> float:
    """Return the limit of a process that may use so much memory."""
    return _MEMORY_SHARE * memory_bytes
