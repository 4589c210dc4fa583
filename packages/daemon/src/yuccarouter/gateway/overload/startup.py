"""Requests that arrive before a daemon has read its configuration."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final

import attrs

# A request is held for this share of its time, or for the shortest hold where
# that is longer, but not for more than half of its time.
_HOLD_SHARE: Final = 1 / 8
_MIN_HOLD_MS: Final = 150.0
_MAX_HOLD_SHARE: Final = 1 / 2
# Memory of a held request: a connection's buffers hold this much of a body.
_BUFFERED_BYTES: Final = 65_536
# Share of the process's memory that held requests may use.
_MEMORY_SHARE: Final = 1 / 16
# The store mostly stays away for about as long again as it has been away, and
# most callers return only once.
_MIN_RETRY_AFTER_MS: Final = 600.0
_MAX_RETRY_AFTER_MS: Final = 3000.0
# Callers wait at most this share of the time that they have left.
_MAX_TIME_SHARE: Final = 1 / 3
_JITTER_SHARE: Final = 0.25
_MS_PER_S: Final = 1000


def hold_ms(deadline_ms: float | None) -> float:
    """Return how long a request is held, by the time that its caller waits."""
    if deadline_ms is None:
        return _MIN_HOLD_MS
    wanted_ms = max(_MIN_HOLD_MS, _HOLD_SHARE * deadline_ms)
    return max(0, min(wanted_ms, _MAX_HOLD_SHARE * deadline_ms))


def retry_after_ms(
    outage_ms: float, time_left_ms: float | None, draw: float
) -> float:
    """Return when a refused caller should return, as the outage lasts.

    ``time_left_ms`` is ``None`` if the caller has not told how long it waits.
    ``draw`` is a random number from 0 to 1, which spreads the callers.
    """
    jitter = 1 + _JITTER_SHARE * (2 * draw - 1)
    wanted_ms = jitter * min(
        _MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, outage_ms)
    )
    if time_left_ms is None:
        return wanted_ms
    return min(wanted_ms, max(0, time_left_ms * _MAX_TIME_SHARE))


def max_held(memory_bytes: float) -> int:
    """Return how many requests may be held at once."""
    return int(memory_bytes * _MEMORY_SHARE / _BUFFERED_BYTES)


@attrs.define
class Holds:
    """The requests that are held until the daemon is ready for the first time.

    ``max_count`` bounds them, and with them their memory and connections.
    """

    max_count: int
    count: int = 0
    _ready: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def is_starting(self) -> bool:
        """Whether the daemon has not been ready yet."""
        return not self._ready.is_set()

    def end(self) -> None:
        """Let all held requests go on, as the daemon is ready."""
        self._ready.set()

    async def hold(self, limit_ms: float) -> bool:
        """Hold a request up to a time limit; return whether it was held."""
        if self.count >= self.max_count:
            return False
        self.count += 1
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_ms / _MS_PER_S):
                    await self._ready.wait()
        finally:
            self.count -= 1
        return True
