"""Turns in which connections read whose data takes long to process."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


@attrs.define
class ReadTurns:
    """Lets one waiting connection read in each turn of the event loop.

    Each small chunk of a body costs as much time as a large one. Connections
    on which many arrive would otherwise all be read in each turn, and others
    would wait for all of them.
    """

    _waiting: collections.deque[Callable[[], None]] = attrs.field(
        factory=collections.deque
    )
    _next: asyncio.Handle | None = None

    def wait(self, resume: Callable[[], None]) -> None:
        """Call ``resume`` in one of the next turns."""
        self._waiting.append(resume)
        if self._next is None:
            self._schedule()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._next = loop.call_soon(self._resume_next)

    def _resume_next(self) -> None:
        self._next = None
        resume = self._waiting.popleft()
        if self._waiting:
            self._schedule()
        resume()
