"""Memory of an endpoint's answer, from the first byte of its head on."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs

from yuccarouter.gateway import process_memory
from yuccarouter_common import errors

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class MemoryExceededError(errors.RouterError):
    """An answer was ended, as all unfinished ones held too much memory."""

    code = 'memory_exceeded'


@attrs.define(eq=False)
class AnswerMemory:
    """An answer that counts in the memory of the process.

    Its connection holds the head and trailer, which are parsed whole, and its
    reader the body.
    """

    _memory: process_memory.ProcessMemory
    holding: process_memory.Holding = attrs.field(init=False)
    _end_connection: Callable[[BaseException], None] | None = None
    _fields_bytes: int = 0
    _body_bytes: int = 0

    def resize_fields(
        self, held_bytes: int, end: Callable[[BaseException], None]
    ) -> None:
        """Set how much the connection holds, and what ends it with an error."""
        self._end_connection = end
        self._fields_bytes = held_bytes
        self._resize()

    def resize_body(self, held_bytes: int) -> None:
        """Set how much of the body is held."""
        self._body_bytes = held_bytes
        self._resize()

    def _resize(self) -> None:
        self._memory.resize(self.holding, self._fields_bytes + self._body_bytes)

    def release(self) -> None:
        """Keep the connection no longer."""
        self._end_connection = None

    def end(self) -> None:
        """Close the connection, so that the reader gets an error."""
        if self._end_connection is not None:
            self._end_connection(MemoryExceededError('ended'))


@contextlib.contextmanager
def hold(
    memory: process_memory.ProcessMemory, endpoint: str
) -> Iterator[AnswerMemory]:
    """Count an answer of an endpoint within the context."""
    answer = AnswerMemory(memory)
    with memory.hold(
        process_memory.Owner('endpoint', endpoint),
        process_memory.LARGEST_FIRST,
        answer.end,
    ) as holding:
        answer.holding = holding
        try:
            yield answer
        finally:
            answer.release()
