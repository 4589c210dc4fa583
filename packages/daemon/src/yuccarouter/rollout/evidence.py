"""Collecting what is known of a new version and its baseline."""

from __future__ import annotations

import bisect
import collections
import itertools
from typing import Final

import attrs

from yuccarouter.rollout import sequential_test

POOLED: Final = 'all kinds'

RATING: Final = 'rating'
ERRORS: Final = 'errors'
LATENCY: Final = 'latency'

# Differences of means: of ratings from 0 to 1, of the share of failed
# requests, and of the share of requests over the baseline's 90th percentile.
MARGINS: Final = {
    RATING: sequential_test.Margins(0.01, (0.2, 0.12, 0.08, 0.06, 0.05)),
    ERRORS: sequential_test.Margins(0.005, (0.15, 0.08, 0.04, 0.03, 0.02)),
    LATENCY: sequential_test.Margins(0.05, (0.3, 0.2, 0.15, 0.12, 0.1)),
}

_BLOCK: Final = 8
_MAX_UNUSED: Final = 512
_LATENCIES_KEPT: Final = 200
_SLOW_QUANTILE: Final = 0.9
_LAG_SMOOTHING: Final = 0.05
# A rating is overdue after this factor of the usual lag.
_OVERDUE_FACTOR: Final = 10
_MIN_OVERDUE_MS: Final = 60_000
# Kinds with a smaller share of the traffic are tested for harm only: waiting
# for evidence of no harm on each of them would stop most roll-outs.
_MIN_KIND_SHARE: Final = 0.02


@attrs.frozen
class Request:
    """A completed request of the new version or of its baseline.

    ``time_ms`` is on one clock for all requests and ratings. ``is_rated`` says
    that a rating of the answer has been asked for.
    """

    request_id: str
    kind: str
    is_new: bool
    failed: bool
    latency_ms: float
    time_ms: int
    is_rated: bool = True


@attrs.frozen
class Rating:
    """A rating, from 0 to 1, of an answer."""

    request_id: str
    kind: str
    is_new: bool
    score: float
    time_ms: int


@attrs.frozen
class Evidence:
    """What is known of a roll-out's version at one time.

    ``harm`` is an e-value that its version is worse, over all kinds and
    measures; ``harm_cause`` names the strongest one. ``no_harm`` is the
    weakest e-value of no harm and ``weakest`` names it. ``unrated`` counts
    requests of the version whose ratings may still come, and
    ``missing_share`` is the share of this step's due ratings that did not.
    """

    harm: float = 1
    harm_cause: str = ''
    no_harm: float = 1
    weakest: str = ''
    sent: int = 0
    unrated: int = 0
    missing_share: float = 0
    rating_lag_ms: float = 0
    requests_per_s: float = 0
    in_step_ms: int = 0
    loaded: bool = True


@attrs.define
class _Baseline:
    """Baseline values of one kind and measure that no gain has used yet."""

    unused: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_UNUSED)
    )

    def mean(self) -> float | None:
        """Mean of a block of the newest unused values; none without any."""
        if not self.unused:
            return None
        size = min(_BLOCK, len(self.unused))
        block = [self.unused.pop() for _ in range(size)]
        return sum(block) / size


@attrs.define
class _SlowThreshold:
    """The baseline's 90th percentile of latency, of its last requests."""

    recent: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_LATENCIES_KEPT)
    )
    ordered: list[float] = attrs.field(factory=list)

    def add(self, latency_ms: float) -> None:
        if len(self.recent) == _LATENCIES_KEPT:
            oldest = self.recent[0]
            self.ordered.pop(bisect.bisect_left(self.ordered, oldest))
        self.recent.append(latency_ms)
        bisect.insort(self.ordered, latency_ms)

    def is_slow(self, latency_ms: float) -> bool:
        if not self.ordered:
            return False
        place = int(_SLOW_QUANTILE * len(self.ordered))
        return latency_ms > self.ordered[place]


@attrs.define
class Collector:
    """Evidence on one roll-out, fed with requests and ratings.

    ``kinds`` are the request kinds that are tested on their own; others count
    in the pooled test only. Their number fixes the correction for several
    tests: the e-value of harm is the mean over all kinds and measures.
    """

    kinds: tuple[str, ...]
    step: int = 0
    _step_began_ms: int = 0
    _tests: dict[tuple[str, str], sequential_test.Comparison] = attrs.field(
        factory=dict
    )
    _baselines: dict[tuple[str, str], _Baseline] = attrs.field(
        factory=lambda: collections.defaultdict(_Baseline)
    )
    _thresholds: dict[str, _SlowThreshold] = attrs.field(
        factory=lambda: collections.defaultdict(_SlowThreshold)
    )
    _unrated: dict[str, int] = attrs.field(factory=dict)
    _by_kind: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _sent: int = 0
    _rated_in_step: int = 0
    _lost_in_step: int = 0
    _lag_ms: float = 0

    def __attrs_post_init__(self) -> None:
        """Start a comparison for each kind and measure, and pooled ones."""
        for kind in (POOLED, *self.kinds):
            for measure, margins in MARGINS.items():
                self._tests[kind, measure] = sequential_test.Comparison(
                    margins, self.step
                )

    def start_step(self, step: int, now_ms: int) -> None:
        """Ask for new evidence of no harm before ``step`` is left."""
        self.step = step
        self._step_began_ms = now_ms
        self._rated_in_step = 0
        self._lost_in_step = 0
        for comparison in self._tests.values():
            comparison.start_step(step)

    def add_request(self, request: Request) -> None:
        """Count a completed request."""
        self._by_kind[request.kind] += 1
        threshold = self._thresholds[request.kind]
        slow = threshold.is_slow(request.latency_ms)
        self._compare(request.kind, request.is_new, ERRORS, request.failed)
        self._compare(request.kind, request.is_new, LATENCY, slow)
        if request.is_new:
            self._sent += 1
            if request.is_rated:
                self._unrated[request.request_id] = request.time_ms
        else:
            threshold.add(request.latency_ms)

    def add_rating(self, rating: Rating) -> None:
        """Count a rating; a second one of the same request is ignored."""
        if rating.is_new:
            sent_ms = self._unrated.pop(rating.request_id, None)
            if sent_ms is None:
                return
            self._learn_lag(sent_ms, rating.time_ms)
        # A loss is positive when the new version is worse.
        self._compare(rating.kind, rating.is_new, RATING, 1 - rating.score)

    def evidence(
        self,
        now_ms: int,
        requests_per_s: float,
        *,
        loaded: bool = True,
    ) -> Evidence:
        """Return what is known at ``now_ms``.

        ``requests_per_s`` is the rate of both versions together, also where
        only a part of the baseline's requests is counted here.
        """
        harms = {
            name: comparison.harm for name, comparison in self._tests.items()
        }
        no_harms = {
            name: comparison.no_harm.value
            for name, comparison in self._tests.items()
            if self._is_frequent(name[0])
        }
        strongest = max(harms, key=lambda name: harms[name])
        weakest = min(no_harms, key=lambda name: no_harms[name])
        return Evidence(
            harm=sum(harms.values()) / len(harms),
            harm_cause=_label(strongest),
            no_harm=no_harms[weakest],
            weakest=_label(weakest),
            sent=self._sent,
            unrated=len(self._unrated),
            missing_share=self._missing_share(now_ms),
            rating_lag_ms=self._lag_ms,
            requests_per_s=requests_per_s,
            in_step_ms=now_ms - self._step_began_ms,
            loaded=loaded,
        )

    @property
    def _overdue_ms(self) -> float:
        return max(_OVERDUE_FACTOR * self._lag_ms, _MIN_OVERDUE_MS)

    def _is_frequent(self, kind: str) -> bool:
        least = _MIN_KIND_SHARE * self._by_kind.total()
        return kind == POOLED or self._by_kind[kind] > least

    def _missing_share(self, now_ms: int) -> float:
        overdue = len(self._sent_before(now_ms - self._overdue_ms))
        missing = overdue + self._lost_in_step
        return missing / max(missing + self._rated_in_step, 1)

    def _learn_lag(self, sent_ms: int, rated_ms: int) -> None:
        self._rated_in_step += 1
        weight = _LAG_SMOOTHING if self._lag_ms else 1
        self._lag_ms += weight * (rated_ms - sent_ms - self._lag_ms)
        # A much later request is rated, so that the ratings of earlier ones
        # are lost. While no rating comes at all, none counts as lost, and
        # the limit on unrated requests holds.
        lost = self._sent_before(sent_ms - self._overdue_ms)
        self._lost_in_step += len(lost)
        for request_id in lost:
            self._unrated.pop(request_id)

    def _sent_before(self, limit_ms: float) -> list[str]:
        # The mapping is in the order of sending.
        pairs = itertools.takewhile(
            lambda pair: pair[1] < limit_ms, self._unrated.items()
        )
        return [request_id for request_id, _ in pairs]

    def _compare(
        self,
        kind: str,
        is_new: bool,
        measure: str,
        badness: float,
    ) -> None:
        baseline = self._baselines[kind, measure]
        if not is_new:
            baseline.unused.append(badness)
            return
        expected = baseline.mean()
        if expected is None:
            # Comparing with values that another gain has used would make the
            # gains dependent, and old values would blame the version for a
            # change of the traffic.
            return
        loss = badness - expected
        self._tests[POOLED, measure].update(loss)
        if kind in self.kinds:
            self._tests[kind, measure].update(loss)


def _label(name: tuple[str, str]) -> str:
    kind, measure = name
    return f'{measure} of {kind}'
