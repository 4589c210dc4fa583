"""What a rating says of the audited quality, learned from pairs of both."""

from __future__ import annotations

import math
from typing import Final

# About the last 200 pairs count.
_KEEP: Final = 1 - 1 / 200
# Before there are pairs, ratings are taken as they are, with this deviation.
_PRIOR_DEVIATION: Final = 0.05
# After a drift of the ratings they say little until there are new pairs.
_DRIFT_DEVIATION: Final = 0.5
# The prior is the line on which rating and audit are equal.
_PRIOR_POINTS: Final[tuple[float, ...]] = (0, 0.5, 1)
_PRIOR_WEIGHT: Final = 2.0
_DRIFT_WEIGHT: Final = 0.5
# Standard errors between the estimate and its lower bound.
_ERRORS: Final = 2.0
# Cumulative sum of the overestimates: a constant bias below the slack is not
# counted; one of 0.25 above it is detected after four pairs.
_DRIFT_SLACK: Final = 0.05
_DRIFT_SUM: Final = 0.8


class Drift:
    """A cumulative sum of overestimates, which detects a sudden bias."""

    def __init__(self) -> None:
        self._sum = float(0)

    def add(self, overestimate: float) -> bool:
        """Return whether the ratings have drifted; the sum then restarts."""
        self._sum = max(0, self._sum + overestimate - _DRIFT_SLACK)
        if self._sum <= _DRIFT_SUM:
            return False
        self._sum = 0
        return True


class Calibration:
    """A decayed linear regression of the audit on the rating.

    The slope below 1 of noisy ratings corrects the selection of answers whose
    rating is high by chance; the intercept corrects a bias.
    """

    def __init__(self) -> None:
        self._drift = Drift()
        self._reset(_PRIOR_DEVIATION, _PRIOR_WEIGHT)

    def add(self, rating: float, audit: float) -> None:
        """Learn from an answer that has both."""
        overestimate = self.expected(rating) - audit
        if self._drift.add(overestimate):
            self.distrust()
        self._decay()
        self._count(rating, audit, 1)
        self._residual += overestimate**2

    def distrust(self) -> None:
        """Forget all pairs, with bounds that are wide until there are new."""
        self._reset(_DRIFT_DEVIATION, _DRIFT_WEIGHT)

    def expected(self, rating: float) -> float:
        """Return the expected audit of an answer with a rating."""
        return self._mean_audit + self._slope * (rating - self._mean_rating)

    def lower(self, rating: float) -> float:
        """Return a lower bound of the expected audit."""
        deviation = math.sqrt(self._residual / self._weight)
        offset = rating - self._mean_rating
        share = 1 / self._weight + offset**2 / self._spread
        radius = _ERRORS * deviation * math.sqrt(share)
        return max(0, self.expected(rating) - radius)

    @property
    def _mean_rating(self) -> float:
        return self._ratings / self._weight

    @property
    def _mean_audit(self) -> float:
        return self._audits / self._weight

    @property
    def _spread(self) -> float:
        # Bounded below, because old prior points lose their weight.
        centred = self._squares - self._ratings**2 / self._weight
        return max(centred, 0.01)

    @property
    def _slope(self) -> float:
        product = self._products - self._ratings * self._mean_audit
        return min(1, max(0, product / self._spread))

    def _reset(self, deviation: float, weight: float) -> None:
        self._weight = float(0)
        self._ratings = float(0)
        self._audits = float(0)
        self._squares = float(0)
        self._products = float(0)
        for point in _PRIOR_POINTS:
            self._count(point, point, weight)
        self._residual = self._weight * deviation**2

    def _count(self, rating: float, audit: float, weight: float) -> None:
        self._weight += weight
        self._ratings += weight * rating
        self._audits += weight * audit
        self._squares += weight * rating**2
        self._products += weight * rating * audit

    def _decay(self) -> None:
        self._weight *= _KEEP
        self._ratings *= _KEEP
        self._audits *= _KEEP
        self._squares *= _KEEP
        self._products *= _KEEP
        self._residual *= _KEEP
