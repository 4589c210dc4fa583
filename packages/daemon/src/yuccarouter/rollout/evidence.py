"""Evidence on a new version, compared with its baseline."""

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
# requests, and of the share of requests slower than the baseline's 90th
# percentile.
MARGINS: Final = {
    RATING: sequential_test.Margins(0.01, (0.2, 0.12, 0.08, 0.06, 0.05)),
    ERRORS: sequential_test.Margins(0.005, (0.15, 0.08, 0.04, 0.03, 0.02)),
    LATENCY: sequential_test.Margins(0.05, (0.3, 0.2, 0.15, 0.12, 0.1)),
}

# Baseline requests with whose mean one request of the new version is compared.
_BASELINE_BLOCK_REQUESTS: Final = 8
_MAX_UNUSED_LOSSES: Final = 512
_LATENCY_SAMPLES: Final = 200
_SLOW_QUANTILE: Final = 0.9
_LAG_SMOOTHING_FACTOR: Final = 0.05
# A rating is overdue after this multiple of the smoothed rating lag.
_OVERDUE_FACTOR: Final = 10
_MIN_OVERDUE_MS: Final = 60_000
# Kinds with a smaller share of the traffic are tested only for harm. Most
# roll-outs would never finish if they needed evidence of no harm on such kinds.
_MIN_KIND_SHARE: Final = 0.02


@attrs.frozen
class Request:
    """A completed request of the new version or of its baseline.

    The ``time_ms`` of all requests and ratings are from one clock.
    ``is_rated`` is true if a rating of the answer has been requested.
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
    """A rating of an answer, from 0 to 1."""

    request_id: str
    kind: str
    is_new: bool
    score: float
    time_ms: int


@attrs.frozen
class Evidence:
    """Evidence on a roll-out's version at one time.

    ``harm`` is the mean of the e-values of harm of all kinds and measures; a
    large one shows that the version is worse than its baseline. ``harm_cause``
    names the kind and measure with the largest one. ``no_harm`` is the
    smallest e-value of no harm, and ``weakest_test`` names its kind and
    measure. ``request_count`` counts requests of the version, and ``unrated``
    those whose ratings may still arrive. ``missing_share`` is the share of
    this step's due ratings that did not arrive.
    """

    harm: float = 1
    harm_cause: str = ''
    no_harm: float = 1
    weakest_test: str = ''
    request_count: int = 0
    unrated: int = 0
    missing_share: float = 0
    rating_lag_ms: float = 0
    requests_per_s: float = 0
    step_elapsed_ms: int = 0
    loaded: bool = True


@attrs.define
class _Baseline:
    """Baseline losses of one kind and measure that no gain has used yet."""

    unused_losses: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_UNUSED_LOSSES)
    )

    def take_mean(self) -> float | None:
        """Remove the newest losses and return their mean, or none."""
        if not self.unused_losses:
            return None
        size = min(_BASELINE_BLOCK_REQUESTS, len(self.unused_losses))
        block = [self.unused_losses.pop() for _ in range(size)]
        return sum(block) / size


@attrs.define
class _SlowThreshold:
    """The 90th percentile of latency of the baseline's last requests."""

    recent: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_LATENCY_SAMPLES)
    )
    ordered: list[float] = attrs.field(factory=list)

    def add(self, latency_ms: float) -> None:
        if len(self.recent) == _LATENCY_SAMPLES:
            oldest = self.recent[0]
            self.ordered.pop(bisect.bisect_left(self.ordered, oldest))
        self.recent.append(latency_ms)
        bisect.insort(self.ordered, latency_ms)

    def is_slow(self, latency_ms: float) -> bool:
        if not self.ordered:
            return False
        index = int(_SLOW_QUANTILE * len(self.ordered))
        return latency_ms > self.ordered[index]


@attrs.define
class Collector:
    """Computes the evidence on one roll-out from requests and ratings.

    ``kinds`` are the request kinds with a test of their own; others count only
    in the pooled test. The e-value of harm is the mean over all kinds and
    measures, which corrects for multiple tests; ``kinds`` is therefore fixed.
    """

    kinds: tuple[str, ...]
    step: int = 0
    _step_started_ms: int = 0
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
    _requests_by_kind: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _request_count: int = 0
    _rated_in_step: int = 0
    _missing_in_step: int = 0
    _rating_lag_ms: float = 0

    def __attrs_post_init__(self) -> None:
        """Create a comparison for each kind and measure, and pooled ones."""
        for kind in (POOLED, *self.kinds):
            for measure, margins in MARGINS.items():
                self._tests[kind, measure] = sequential_test.Comparison(
                    margins, self.step
                )

    def start_step(self, step: int, now_ms: int) -> None:
        """Discard the evidence of no harm; ``step`` needs its own."""
        self.step = step
        self._step_started_ms = now_ms
        self._rated_in_step = 0
        self._missing_in_step = 0
        for comparison in self._tests.values():
            comparison.start_step(step)

    def add_request(self, request: Request) -> None:
        """Count a completed request."""
        self._requests_by_kind[request.kind] += 1
        threshold = self._thresholds[request.kind]
        slow = threshold.is_slow(request.latency_ms)
        self._compare(request.kind, request.is_new, ERRORS, request.failed)
        self._compare(request.kind, request.is_new, LATENCY, slow)
        if request.is_new:
            self._request_count += 1
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
            self._update_rating_lag(sent_ms, rating.time_ms)
        # The larger the loss, the worse the answer.
        self._compare(rating.kind, rating.is_new, RATING, 1 - rating.score)

    def evidence(
        self,
        now_ms: int,
        requests_per_s: float,
        *,
        loaded: bool = True,
    ) -> Evidence:
        """Return the evidence at ``now_ms``.

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
            weakest_test=_label(weakest),
            request_count=self._request_count,
            unrated=len(self._unrated),
            missing_share=self._missing_share(now_ms),
            rating_lag_ms=self._rating_lag_ms,
            requests_per_s=requests_per_s,
            step_elapsed_ms=now_ms - self._step_started_ms,
            loaded=loaded,
        )

    @property
    def _overdue_ms(self) -> float:
        return max(_OVERDUE_FACTOR * self._rating_lag_ms, _MIN_OVERDUE_MS)

    def _is_frequent(self, kind: str) -> bool:
        min_requests = _MIN_KIND_SHARE * self._requests_by_kind.total()
        return kind == POOLED or self._requests_by_kind[kind] > min_requests

    def _missing_share(self, now_ms: int) -> float:
        overdue = len(self._sent_before(now_ms - self._overdue_ms))
        missing = overdue + self._missing_in_step
        return missing / max(missing + self._rated_in_step, 1)

    def _update_rating_lag(self, sent_ms: int, rated_ms: int) -> None:
        self._rated_in_step += 1
        weight = _LAG_SMOOTHING_FACTOR if self._rating_lag_ms else 1
        self._rating_lag_ms += weight * (
            rated_ms - sent_ms - self._rating_lag_ms
        )
        # Ratings of requests that were sent much earlier than this one are
        # lost. While no rating arrives at all, none counts as lost, so that
        # the limit on unrated requests still applies.
        lost = self._sent_before(sent_ms - self._overdue_ms)
        self._missing_in_step += len(lost)
        for request_id in lost:
            self._unrated.pop(request_id)

    def _sent_before(self, limit_ms: float) -> list[str]:
        # The mapping is ordered by the time of the requests.
        pairs = itertools.takewhile(
            lambda pair: pair[1] < limit_ms, self._unrated.items()
        )
        return [request_id for request_id, _ in pairs]

    def _compare(
        self,
        kind: str,
        is_new: bool,
        measure: str,
        loss: float,
    ) -> None:
        baseline = self._baselines[kind, measure]
        if not is_new:
            baseline.unused_losses.append(loss)
            return
        expected = baseline.take_mean()
        if expected is None:
            # Comparing with losses that another gain has used would make the
            # gains dependent. With old losses, a change of the traffic would
            # count against the version.
            return
        excess_loss = loss - expected
        self._tests[POOLED, measure].update(excess_loss)
        if kind in self.kinds:
            self._tests[kind, measure].update(excess_loss)


def _label(name: tuple[str, str]) -> str:
    kind, measure = name
    return f'{measure} of {kind}'
