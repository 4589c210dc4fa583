"""The lowest rating at which answers are accepted."""

from __future__ import annotations

from typing import Final

from yuccarouter.routing import _calibration

_BINS: Final = 50
# About the last 500 ratings count.
_KEEP: Final = 1 - 1 / 500
# With fewer ratings, each answer must reach the target by itself.
_MIN_WEIGHT: Final = 50
# An answer expected to be further below the target is never accepted, however
# good the others are.
_MAX_SHORTFALL: Final = 0.1


class RatingCounts:
    """Decayed counts of the ratings of one kind and version."""

    def __init__(self) -> None:
        self._counts = [float(0) for _ in range(_BINS)]

    def add(self, score: float) -> None:
        """Count a rating; older ones lose weight."""
        self._counts = [count * _KEEP for count in self._counts]
        self._counts[_bin_of(score)] += 1

    def threshold(
        self, calibration: _calibration.Calibration, target: float
    ) -> float:
        """Return the lowest expected quality at which to accept.

        Ratings are noisy, so a good answer is often rated below the target.
        The threshold is the lowest one at which the mean of the accepted
        answers still reaches the target by the calibration's lower bounds.
        """
        if sum(self._counts) < _MIN_WEIGHT:
            return target
        total = float(0)
        weight = float(0)
        found = target
        for place in range(_BINS - 1, -1, -1):
            score = (place + 0.5) / _BINS
            expected = calibration.expected(score)
            if expected < target - _MAX_SHORTFALL:
                break
            weight += self._counts[place]
            total += self._counts[place] * calibration.lower(score)
            if total < target * weight:
                break
            found = min(found, expected)
        return found


def _bin_of(score: float) -> int:
    return min(_BINS - 1, max(0, int(score * _BINS)))
