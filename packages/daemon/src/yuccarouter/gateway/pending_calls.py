"""How long a call that should be answered at once has had no answer."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

import attrs

from yuccarouter_common import clocks

if TYPE_CHECKING:
    from collections.abc import Awaitable

_Answer = TypeVar('_Answer')


@attrs.define
class PendingCall:
    """The last call that does not wait for anything but its answer."""

    _began_ms: float = math.inf

    async def answer(self, call: Awaitable[_Answer]) -> _Answer:
        """Return the answer of a call."""
        self._began_ms = clocks.monotonic_ms()
        try:
            return await call
        finally:
            self._began_ms = math.inf

    def age_ms(self) -> float:
        """Return the time since its beginning, 0 if it has ended."""
        return max(0, clocks.monotonic_ms() - self._began_ms)
