"""Attempts that a daemon ended before the engine's answer had gone on."""

from __future__ import annotations

import collections
from typing import Final

import attrs

from yuccarouter.gateway import crash_suspicions

# Longest time from the end of an attempt to the crash that it caused.
_MAX_CRASH_DELAY_MS: Final = 1000.0
_MAX_ATTEMPTS: Final = 64


@attrs.define
class DroppedAttempts:
    """The newest dropped attempts.

    The ``crashed_ms`` of each is when this daemon closed the connection; the
    engine may still crash on the prompt a moment later.
    """

    _attempts: collections.deque[crash_suspicions.CrashedAttempt] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_ATTEMPTS)
    )

    def record(self, attempt: crash_suspicions.CrashedAttempt) -> None:
        """Record a dropped attempt."""
        self._attempts.append(attempt)

    def take(
        self, engine: str, crashed_ms: float
    ) -> list[crash_suspicions.CrashedAttempt]:
        """Remove and return those that may have crashed an engine."""
        taken = [
            attempt
            for attempt in self._attempts
            if attempt.engine == engine
            and 0 <= crashed_ms - attempt.crashed_ms <= _MAX_CRASH_DELAY_MS
        ]
        for attempt in taken:
            self._attempts.remove(attempt)
        return [attrs.evolve(each, crashed_ms=crashed_ms) for each in taken]
