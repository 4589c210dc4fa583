"""A decayed mean of values with confidence bounds."""

from __future__ import annotations

import math
from typing import Final

# Weight factor of a value after each new one: about the last 500 values count.
_DECAY_FACTOR: Final = 1 - 1 / 500
# Without new values, the effective number of values halves in this time, so
# that a bound from before a long outage of the rating service is not relied on.
_HALF_LIFE_MS: Final = 900_000.0
# Each bound holds with a probability of 0.95: log(2 / 0.05).
_LOG_TERM: Final = math.log(40)


class Estimate:
    """A decayed mean of values between 0 and 1.

    The bounds are empirical Bernstein bounds at the effective number of
    values. They hold for any distribution, also when all values are equal.
    """

    def __init__(self) -> None:
        self._weight = float(0)
        self._square_weight = float(0)
        self._sum = float(0)
        self._square_sum = float(0)
        self._updated_ms = float(0)

    def add(self, value: float, now_ms: float) -> None:
        """Add a value and reduce the weight of older ones."""
        decay = _DECAY_FACTOR * self._time_decay(now_ms)
        self._weight = self._weight * decay + 1
        self._square_weight = self._square_weight * decay**2 + 1
        self._sum = self._sum * decay + value
        self._square_sum = self._square_sum * decay + value**2
        self._updated_ms = now_ms

    def lower_bound(self, now_ms: float) -> float:
        """Return a lower bound of the mean; 0 without values."""
        if not self._weight:
            return 0
        return max(0, self._sum / self._weight - self._radius(now_ms))

    def upper_bound(self, now_ms: float) -> float:
        """Return an upper bound of the mean; 1 without values."""
        if not self._weight:
            return 1
        return min(1, self._sum / self._weight + self._radius(now_ms))

    def mean(self, default: float) -> float:
        """Return the mean, or the default without values."""
        return self._sum / self._weight if self._weight else default

    def _time_decay(self, now_ms: float) -> float:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        return math.exp2(-elapsed_ms / _HALF_LIFE_MS)

    def _radius(self, now_ms: float) -> float:
        effective_count = self._weight**2 / self._square_weight
        effective_count *= self._time_decay(now_ms)
        if effective_count <= 1:
            return 1
        mean = self._sum / self._weight
        variance = max(0, self._square_sum / self._weight - mean**2)
        spread = math.sqrt(2 * variance * _LOG_TERM / effective_count)
        return spread + 7 * _LOG_TERM / (3 * (effective_count - 1))
