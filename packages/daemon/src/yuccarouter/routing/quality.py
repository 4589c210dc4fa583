"""Quality of versions by request kind, learned from ratings.

The estimates do not depend on the organisation. They are each entry's own and
start anew with it.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Final

import attrs

from yuccarouter.routing import _calibration, _estimate, _threshold

# Ratings between two computations of a threshold, which take about 0.1 ms.
_THRESHOLD_AGE: Final = 25

# Kind and ``model@version``.
_Key = tuple[str, str]


@attrs.define
class _Threshold:
    """A computed threshold and how many ratings it may still be used for."""

    lowest: float = 0
    uses_left: int = 0


@attrs.define
class _Learned:
    """What is known of the answers of one version to one kind."""

    ratings: _estimate.Estimate = attrs.field(factory=_estimate.Estimate)
    counts: _threshold.RatingCounts = attrs.field(
        factory=_threshold.RatingCounts
    )
    calibration: _calibration.Calibration = attrs.field(
        factory=_calibration.Calibration
    )
    # By quality target.
    accepted: dict[float, _estimate.Estimate] = attrs.field(
        factory=lambda: collections.defaultdict(_estimate.Estimate)
    )
    thresholds: dict[float, _Threshold] = attrs.field(
        factory=lambda: collections.defaultdict(_Threshold)
    )


class Estimates:
    """Ratings, audits and sufficing steps, as bounds for decisions.

    ``now_ms`` is a monotonic clock. All scores are between 0 and 1.
    """

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        self._learned: dict[_Key, _Learned]
        self._learned = collections.defaultdict(_Learned)
        self._available = _estimate.Estimate()
        self._drift = _calibration.Drift()

    def record_rating(self, kind: str, version: str, score: float) -> None:
        """Learn from a rating, also from one that came too late to be used."""
        learned = self._learned[kind, version]
        learned.ratings.add(score, self._now_ms())
        learned.counts.add(score)

    def record_rating_availability(self, *, in_time: bool) -> None:
        """Learn whether the rating service answers in time."""
        self._available.add(float(in_time), self._now_ms())

    def record_audit(
        self, kind: str, version: str, score: float, audit: float
    ) -> None:
        """Learn from an answer that has a rating and an audited score.

        Ratings that drift for all versions together are detected from few
        audits of each. Nothing learned from them is then used any more.
        """
        calibration = self._learned[kind, version].calibration
        if self._drift.add(calibration.expected(score) - audit):
            for learned in self._learned.values():
                learned.calibration.distrust()
                learned.thresholds.clear()
        calibration.add(score, audit)

    def accepts(
        self, kind: str, version: str, target: float, score: float
    ) -> bool:
        """Return whether an answer with a rating suffices, and learn from it.

        The mean of the accepted answers reaches the target by a lower bound.
        """
        learned = self._learned[kind, version]
        threshold = learned.thresholds[target]
        if not threshold.uses_left:
            threshold.uses_left = _THRESHOLD_AGE
            threshold.lowest = learned.counts.threshold(
                learned.calibration, target
            )
        threshold.uses_left -= 1
        accepted = learned.calibration.expected(score) >= threshold.lowest and (
            threshold.lowest < target
            or learned.calibration.lower(score) >= target
        )
        learned.accepted[target].add(float(accepted), self._now_ms())
        return accepted

    def answer_lower_bound(
        self, kind: str, version: str, score: float
    ) -> float:
        """Return a lower bound of the quality of an answer with a rating."""
        return self._learned[kind, version].calibration.lower(score)

    def mean_lower_bound(self, kind: str, version: str) -> float:
        """Return a lower bound of the mean quality of answers; 0 if unknown.

        Both the rating's own bound and its calibration count against it.
        """
        learned = self._learned[kind, version]
        lower = learned.ratings.lower(self._now_ms())
        return learned.calibration.lower(lower) if lower else 0

    def probability(self, kind: str, version: str, target: float) -> float:
        """Return how likely a step's answer is accepted, at most.

        The upper bound makes an entry try a step of which it knows little.
        Without ratings, a step is accepted by its learned bound or never.
        """
        sufficing = self._learned[kind, version].accepted[target]
        rated_share = self._available.mean(1)
        by_rating = sufficing.upper(self._now_ms())
        by_bound = self.mean_lower_bound(kind, version) >= target
        return rated_share * by_rating + (1 - rated_share) * by_bound
