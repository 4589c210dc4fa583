"""An event loop with virtual time.

Time advances by a small step with each turn of the loop, and up to the next
timer when nothing else can run. Tests with time-outs become repeatable and
take little real time. The loop serves
code that waits for timers and in-memory events; network traffic is seen, but
timers do not wait for it.
"""

from __future__ import annotations

import asyncio
import selectors
from typing import Any, Final

# Each turn of the loop takes this long, so that a timer can fire between any
# two steps of a chain of callbacks, as it does in real time.
_TURN_S: Final = 0.0005


class _InstantSelector(selectors.DefaultSelector):
    """Adds the time that it is asked to wait to ``now_s`` instead."""

    now_s: float = 0
    turn_s: float = _TURN_S

    def select(self, timeout: float | None = None) -> Any:
        """Poll, and advance the time by ``timeout`` when nothing is ready."""
        self.now_s += self.turn_s
        ready = super().select(0)
        if not ready and timeout is None:
            return super().select(None)
        if not ready and timeout is not None:
            self.now_s += max(0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them.

    ``turn_s`` is how long each turn takes; a busy loop has long ones.
    """

    def __init__(self) -> None:
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    @property
    def turn_s(self) -> float:
        """The time that each turn takes."""
        return self._instant.turn_s

    @turn_s.setter
    def turn_s(self, turn_s: float) -> None:
        self._instant.turn_s = turn_s

    def time(self) -> float:
        """Return virtual seconds since the loop was made."""
        return self._instant.now_s
