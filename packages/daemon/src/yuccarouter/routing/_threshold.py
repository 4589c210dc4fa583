"""The acceptance threshold, computed from ratings and their calibration."""

from __future__ import annotations

from typing import Final

from yuccarouter.routing import _calibration

_BINS: Final = 50
# Weight factor of a rating after each new one: about the last 500 count.
_DECAY_FACTOR: Final = 1 - 1 / 500
# With fewer ratings, each answer must reach the target on its own.
_MIN_WEIGHT: Final = 50
# Answers that are expected to be further below the target are never accepted,
# whatever the quality of the others.
_MAX_SHORTFALL: Final = 0.1


class RatingHistogram:
    """A decayed histogram of the ratings of one kind and version."""

    def __init__(self) -> None:
        self._counts = [float(0) for _ in range(_BINS)]

    def add(self, score: float) -> None:
        """Count a rating; older ones lose weight."""
        self._counts = [count * _DECAY_FACTOR for count in self._counts]
        self._counts[_bin_index(score)] += 1

    def threshold(
        self, calibration: _calibration.Calibration, target: float
    ) -> float:
        """Return the lowest expected quality of an accepted answer.

        Ratings are noisy, so a good answer is often rated below the target.
        The threshold is the lowest one at which the accepted answers' mean,
        taken from the calibration's lower bounds, still reaches the target.
        """
        if sum(self._counts) < _MIN_WEIGHT:
            return target
        total = float(0)
        weight = float(0)
        lowest = target
        for index in range(_BINS - 1, -1, -1):
            score = (index + 0.5) / _BINS
            expected = calibration.expected(score)
            if expected < target - _MAX_SHORTFALL:
                break
            weight += self._counts[index]
            total += self._counts[index] * calibration.lower_bound(score)
            if total < target * weight:
                break
            lowest = min(lowest, expected)
        return lowest


def _bin_index(score: float) -> int:
    return min(_BINS - 1, max(0, int(score * _BINS)))
