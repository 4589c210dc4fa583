"""Estimates of the quality of versions by request kind, from ratings.

The estimates do not depend on the organisation. Each entry has its own and
loses them at a restart.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Final

import attrs

from yuccarouter.routing import _calibration, _estimate, _threshold

# A threshold is used this often before it is recomputed, which takes about
# 0.1 ms.
_THRESHOLD_USES: Final = 25

# Kind and ``model@version``.
_Key = tuple[str, str]


@attrs.define
class _Threshold:
    """A cached threshold and its remaining uses before it is recomputed."""

    lowest: float = 0
    remaining_uses: int = 0


@attrs.define
class _Statistics:
    """Statistics of the answers of one version to one request kind."""

    ratings: _estimate.Estimate = attrs.field(factory=_estimate.Estimate)
    histogram: _threshold.RatingHistogram = attrs.field(
        factory=_threshold.RatingHistogram
    )
    calibration: _calibration.Calibration = attrs.field(
        factory=_calibration.Calibration
    )
    # Share of accepted answers and the threshold, by quality target.
    accepted: dict[float, _estimate.Estimate] = attrs.field(
        factory=lambda: collections.defaultdict(_estimate.Estimate)
    )
    thresholds: dict[float, _Threshold] = attrs.field(
        factory=lambda: collections.defaultdict(_Threshold)
    )


class Estimates:
    """Bounds of quality and acceptance, from ratings and audits.

    ``now_ms`` is a monotonic clock. All scores are between 0 and 1.
    """

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        self._statistics: dict[_Key, _Statistics]
        self._statistics = collections.defaultdict(_Statistics)
        self._available = _estimate.Estimate()
        self._drift_detector = _calibration.DriftDetector()

    def record_rating(self, kind: str, version: str, score: float) -> None:
        """Record a rating, also one that came too late for its answer."""
        stats = self._statistics[kind, version]
        stats.ratings.add(score, self._now_ms())
        stats.histogram.add(score)

    def record_rating_availability(self, *, in_time: bool) -> None:
        """Record whether the rating service answered in time."""
        self._available.add(float(in_time), self._now_ms())

    def record_audit(
        self, kind: str, version: str, score: float, audit: float
    ) -> None:
        """Record an answer that has a rating and an audited score.

        A drift of the ratings of all versions together is detected from few
        audits of each. All calibrations and thresholds are then discarded.
        """
        calibration = self._statistics[kind, version].calibration
        if self._drift_detector.add(calibration.expected(score) - audit):
            for stats in self._statistics.values():
                stats.calibration.reset_after_drift()
                stats.thresholds.clear()
        calibration.add(score, audit)

    def accepts(
        self, kind: str, version: str, target: float, score: float
    ) -> bool:
        """Return whether an answer with a rating is accepted, and record it.

        The lower bound of the mean quality of accepted answers reaches the
        target.
        """
        stats = self._statistics[kind, version]
        threshold = stats.thresholds[target]
        if not threshold.remaining_uses:
            threshold.remaining_uses = _THRESHOLD_USES
            threshold.lowest = stats.histogram.threshold(
                stats.calibration, target
            )
        threshold.remaining_uses -= 1
        accepted = stats.calibration.expected(score) >= threshold.lowest and (
            threshold.lowest < target
            or stats.calibration.lower_bound(score) >= target
        )
        stats.accepted[target].add(float(accepted), self._now_ms())
        return accepted

    def answer_lower_bound(
        self, kind: str, version: str, score: float
    ) -> float:
        """Return a lower bound of the quality of an answer with a rating."""
        return self._statistics[kind, version].calibration.lower_bound(score)

    def mean_lower_bound(self, kind: str, version: str) -> float:
        """Return a lower bound of the mean quality of answers; 0 if unknown.

        It is the calibration's lower bound at the mean rating's lower bound.
        """
        stats = self._statistics[kind, version]
        lower = stats.ratings.lower_bound(self._now_ms())
        return stats.calibration.lower_bound(lower) if lower else 0

    def probability(self, kind: str, version: str, target: float) -> float:
        """Return an upper bound of the probability that a step is accepted.

        The upper bound makes an entry try a step that has few ratings. Without
        a rating in time, a step is accepted only if the lower bound of its
        mean quality reaches the target.
        """
        acceptance = self._statistics[kind, version].accepted[target]
        rated_share = self._available.mean(1)
        by_rating = acceptance.upper_bound(self._now_ms())
        by_bound = self.mean_lower_bound(kind, version) >= target
        return rated_share * by_rating + (1 - rated_share) * by_bound
