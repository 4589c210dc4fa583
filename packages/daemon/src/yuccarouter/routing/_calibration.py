"""The expected audited quality of a rating, learned from pairs of both."""

from __future__ import annotations

import math
from typing import Final

# Weight factor of a pair after each new one: about the last 200 count.
_DECAY_FACTOR: Final = 1 - 1 / 200
# Standard deviation of audits before there are pairs; the expected audit then
# equals the rating.
_PRIOR_DEVIATION: Final = 0.05
# Standard deviation of audits after a drift of the ratings. It keeps the bounds
# wide until there are new pairs.
_DRIFT_DEVIATION: Final = 0.5
# The prior consists of pairs with these ratings and equal audits.
_PRIOR_RATINGS: Final[tuple[float, ...]] = (0, 0.5, 1)
_PRIOR_WEIGHT: Final = 2.0
_DRIFT_WEIGHT: Final = 0.5
# Number of standard errors between the estimate and its lower bound.
_STANDARD_ERRORS: Final = 2.0
# CUSUM of the overestimates: a constant bias below the slack is not counted,
# one of 0.25 above the slack is detected after four pairs.
_DRIFT_SLACK: Final = 0.05
_DRIFT_THRESHOLD: Final = 0.8


class DriftDetector:
    """Detects a sudden bias by the cumulative sum (CUSUM) of overestimates."""

    def __init__(self) -> None:
        self._sum = float(0)

    def add(self, overestimate: float) -> bool:
        """Return whether the ratings have drifted; the sum is then reset."""
        self._sum = max(0, self._sum + overestimate - _DRIFT_SLACK)
        if self._sum <= _DRIFT_THRESHOLD:
            return False
        self._sum = 0
        return True


class Calibration:
    """A decayed linear regression of the audit on the rating.

    Noisy ratings give a slope below 1, which corrects for answers whose rating
    is high by chance. The intercept corrects a constant bias.
    """

    def __init__(self) -> None:
        self._drift_detector = DriftDetector()
        self._reset(_PRIOR_DEVIATION, _PRIOR_WEIGHT)

    def add(self, rating: float, audit: float) -> None:
        """Record the rating and the audit of one answer."""
        overestimate = self.expected(rating) - audit
        if self._drift_detector.add(overestimate):
            self.reset_after_drift()
        self._decay()
        self._add_pair(rating, audit, 1)
        self._residual += overestimate**2

    def reset_after_drift(self) -> None:
        """Discard all pairs; bounds are wide until there are new ones."""
        self._reset(_DRIFT_DEVIATION, _DRIFT_WEIGHT)

    def expected(self, rating: float) -> float:
        """Return the expected audit of an answer with a rating."""
        return self._mean_audit + self._slope * (rating - self._mean_rating)

    def lower_bound(self, rating: float) -> float:
        """Return a lower bound of the expected audit."""
        deviation = math.sqrt(self._residual / self._weight)
        offset = rating - self._mean_rating
        share = 1 / self._weight + offset**2 / self._spread
        radius = _STANDARD_ERRORS * deviation * math.sqrt(share)
        return max(0, self.expected(rating) - radius)

    @property
    def _mean_rating(self) -> float:
        return self._ratings / self._weight

    @property
    def _mean_audit(self) -> float:
        return self._audits / self._weight

    @property
    def _spread(self) -> float:
        # Bounded below, because the prior's pairs lose their weight.
        centred = self._squares - self._ratings**2 / self._weight
        return max(centred, 0.01)

    @property
    def _slope(self) -> float:
        centred_product = self._products - self._ratings * self._mean_audit
        return min(1, max(0, centred_product / self._spread))

    def _reset(self, deviation: float, weight: float) -> None:
        self._weight = float(0)
        self._ratings = float(0)
        self._audits = float(0)
        self._squares = float(0)
        self._products = float(0)
        for rating in _PRIOR_RATINGS:
            self._add_pair(rating, rating, weight)
        self._residual = self._weight * deviation**2

    def _add_pair(self, rating: float, audit: float, weight: float) -> None:
        self._weight += weight
        self._ratings += weight * rating
        self._audits += weight * audit
        self._squares += weight * rating**2
        self._products += weight * rating * audit

    def _decay(self) -> None:
        self._weight *= _DECAY_FACTOR
        self._ratings *= _DECAY_FACTOR
        self._audits *= _DECAY_FACTOR
        self._squares *= _DECAY_FACTOR
        self._products *= _DECAY_FACTOR
        self._residual *= _DECAY_FACTOR
