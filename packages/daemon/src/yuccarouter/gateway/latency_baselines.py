"""What answers usually take, to tell the slow ones."""

from __future__ import annotations

from typing import Final

import attrs

# An answer is slow from this many times the usual time.
_SLOW_FACTOR: Final = 4.0
# Shorter answers are never slow: their times are mostly those of queues.
_MIN_SLOW_MS: Final = 250.0
_WEIGHT: Final = 0.1


@attrs.define
class LatencyBaselines:
    """Smoothed times of answers that take alike, by a key of theirs."""

    _usual_ms: dict[str, float] = attrs.field(factory=dict)

    def record(self, key: str, elapsed_ms: float) -> None:
        """Count an answer that is a standard for others."""
        usual_ms = self._usual_ms.setdefault(key, elapsed_ms)
        self._usual_ms[key] = usual_ms + _WEIGHT * (elapsed_ms - usual_ms)

    def is_slow(self, key: str, elapsed_ms: float) -> bool:
        """Return whether an answer took far longer than usual."""
        usual_ms = self._usual_ms.get(key)
        if usual_ms is None:
            return False
        return elapsed_ms > max(_MIN_SLOW_MS, _SLOW_FACTOR * usual_ms)
