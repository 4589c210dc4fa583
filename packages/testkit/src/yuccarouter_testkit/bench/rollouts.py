"""Roll-outs by evidence against roll-outs by the clock, in simulated time.

Both meet the same versions. The roll-out by evidence runs the collector and
the policy of the daemon. The one by the clock uses the same steps, an hour
each, and compares the means of the step's requests with the baseline's at the
end of each step.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Callable
from typing import Any, Final

import attrs

from yuccarouter.rollout import controller, evidence, policy
from yuccarouter_common import model
from yuccarouter_testkit.bench import versions

_GOOD_ROLLOUTS: Final = 60
_BAD_ROLLOUTS: Final = 20

_REQUESTS_PER_S: Final = 100.0
# Requests of the new version whose errors and latency are observed, and those
# that are rated as well; more are only counted. A good version's roll-out is
# observed less to keep the simulation short; the bound on wrong withdrawals
# holds for any number of observations.
_OBSERVED_PER_S: Final = 20.0
_OBSERVED_GOOD_PER_S: Final = 1.0
_RATED_PER_S: Final = 4.0
_BLOCK: Final = 8
_RATING_LAG_MS: Final = 20_000
# From a decision to its effect at every entry.
_EFFECT_MS: Final = 5000
_TICK_MS: Final = 1000
# Time between decisions at large shares, to keep the simulation short.
_LONG_TICK_MS: Final = 5000
_LARGE_SHARE: Final = 0.3
_CLOCK_STEP_MS: Final = 3_600_000
_CLOCK_SAMPLES: Final = 2000
# Both end here, finished or not.
_HORIZON_MS: Final = 5 * _CLOCK_STEP_MS


@attrs.frozen
class Outcome:
    """How one roll-out ended, and how many requests met the bad version."""

    state: str
    exposed: float
    end_ms: int


@attrs.define
class _Simulation:
    """One roll-out by evidence."""

    rng: random.Random
    fault: versions.Fault
    collector: evidence.Collector
    rollout: model.Rollout
    observed_per_s: float
    share: float = 0
    exposed: float = 0
    requests: int = 0
    ratings: list[tuple[int, int, evidence.Rating]] = attrs.field(factory=list)
    changes: list[tuple[int, float]] = attrs.field(factory=list)

    def run(self) -> Outcome:
        now_ms = 0
        while now_ms < _HORIZON_MS:
            tick_ms = _TICK_MS if self.share < _LARGE_SHARE else _LONG_TICK_MS
            now_ms += tick_ms
            self._traffic(now_ms, tick_ms)
            self._deliver(now_ms)
            if self._decide(now_ms):
                self._count_rest(now_ms)
                break
        return Outcome(self.rollout.state, self.exposed, now_ms)

    def _count_rest(self, ended_ms: int) -> None:
        """Count the exposure after the end, until the horizon.

        A withdrawal takes effect after a delay; a version whose roll-out is
        finished keeps all the traffic.
        """
        finished = self.rollout.state == 'finished'
        until_ms = _HORIZON_MS if finished else ended_ms + _EFFECT_MS
        share = 1 if finished else self.share
        arrivals = _REQUESTS_PER_S * share * _TICK_MS / 1000
        for now_ms in range(ended_ms, until_ms, _TICK_MS):
            self.exposed += arrivals * versions.bad_part(self.fault, now_ms)

    def _traffic(self, now_ms: int, tick_ms: int) -> None:
        while self.changes and self.changes[0][0] <= now_ms:
            self.share = self.changes.pop(0)[1]
        arrivals = _REQUESTS_PER_S * self.share * tick_ms / 1000
        self.exposed += arrivals * versions.bad_part(self.fault, now_ms)
        others = _REQUESTS_PER_S * tick_ms / 1000 - arrivals
        most = self.observed_per_s * tick_ms / 1000
        observed = min(arrivals, others, most)
        for _ in range(self._rounded(observed)):
            self._compare(now_ms, min(_BLOCK, others / observed))

    def _rounded(self, expected: float) -> int:
        whole = int(expected)
        return whole + (self.rng.random() < expected - whole)

    def _compare(self, now_ms: int, baseline: float) -> None:
        kind = versions.choose_kind(self.rng)
        new_per_s = _REQUESTS_PER_S * self.share
        observed_per_s = min(new_per_s, self.observed_per_s)
        is_rated = self.rng.random() < _RATED_PER_S / observed_per_s
        for _ in range(self._rounded(baseline)):
            self._request(kind, now_ms, is_new=False, is_rated=is_rated)
        self._request(kind, now_ms, is_new=True, is_rated=is_rated)

    def _request(
        self,
        kind: str,
        now_ms: int,
        *,
        is_new: bool,
        is_rated: bool,
    ) -> None:
        part = self.fault.part(kind, now_ms) if is_new else 0
        self.requests += 1
        failed = self.rng.random() < versions.FAILED + part * self.fault.failed
        request = evidence.Request(
            str(self.requests),
            kind,
            is_new,
            failed=failed,
            latency_ms=self.rng.lognormvariate(0, versions.LATENCY_SPREAD)
            * (1 + part * self.fault.latency),
            time_ms=now_ms,
            is_rated=is_rated and not failed,
        )
        self.collector.add_request(request)
        if not request.is_rated:
            return
        score = self.rng.gauss(
            versions.SCORE - part * self.fault.score, versions.SCORE_SPREAD
        )
        due_ms = now_ms + int(self.rng.expovariate(1 / _RATING_LAG_MS))
        rating = evidence.Rating(
            request.request_id, kind, is_new, min(max(score, 0), 1), due_ms
        )
        heapq.heappush(self.ratings, (due_ms, self.requests, rating))

    def _deliver(self, now_ms: int) -> None:
        while self.ratings and self.ratings[0][0] <= now_ms:
            self.collector.add_rating(heapq.heappop(self.ratings)[2])

    def _decide(self, now_ms: int) -> bool:
        """Decide once; true when the roll-out has ended."""
        known = self.collector.evidence(now_ms, _REQUESTS_PER_S)
        decision = policy.decide(self.rollout, known)
        changed = controller.apply_decision(self.rollout, decision, 1)
        if changed.share != self.rollout.share:
            self.changes.append((now_ms + _EFFECT_MS, changed.share))
        if changed.step != self.rollout.step or self.rollout.state == 'created':
            self.collector.start_step(changed.step, now_ms)
        self.rollout = changed
        return changed.state in {'withdrawn', 'finished'}


def by_evidence(rng: random.Random, fault: versions.Fault) -> Outcome:
    """Run a roll-out of a version with ``fault`` as the daemon does."""
    kinds = tuple(name for name, _ in versions.KINDS)
    simulation = _Simulation(
        rng,
        fault,
        evidence.Collector(kinds),
        model.Rollout('m@2', 'm', '2', 'm@1'),
        _OBSERVED_GOOD_PER_S if fault == versions.Fault() else _OBSERVED_PER_S,
    )
    return simulation.run()


def by_clock(rng: random.Random, fault: versions.Fault) -> Outcome:
    """Run a roll-out of a version with ``fault`` by the clock."""
    exposed: float = 0
    end_ms = 0
    for share in model.Rollout('m@2', 'm', '2', 'm@1').steps:
        started_ms = end_ms
        end_ms += _CLOCK_STEP_MS
        for now_ms in range(started_ms, end_ms, _TICK_MS):
            arrivals = _REQUESTS_PER_S * share * _TICK_MS / 1000
            exposed += arrivals * versions.bad_part(fault, now_ms)
        if _clock_withdraws(rng, fault, started_ms):
            return Outcome('withdrawn', exposed, end_ms)
    return Outcome('finished', exposed, end_ms)


def run(
    seed: int,
    good_rollouts: int = _GOOD_ROLLOUTS,
    bad_rollouts: int = _BAD_ROLLOUTS,
) -> dict[str, Any]:
    """Return figures of each sort of version, and the target's ratios.

    ``exposed`` are requests that met the bad version in all roll-outs of the
    sort; ``exposure_ratio`` is theirs by evidence to theirs by the clock.
    """
    figures: dict[str, Any] = {
        sort: compare_sort(
            sort,
            seed,
            good_rollouts if sort == versions.GOOD else bad_rollouts,
        )
        for sort in versions.SORTS
    }
    bad = [figures[sort] for sort in versions.SORTS if sort != versions.GOOD]
    by_evidence_total = sum(row['exposed'] for row in bad)
    by_clock_total = sum(row['clock_exposed'] for row in bad)
    good = figures[versions.GOOD]
    figures['exposure_ratio'] = by_evidence_total / by_clock_total
    figures['good_withdrawn_share'] = good['withdrawn'] / max(
        good['rollouts'], 1
    )
    return figures


def compare_sort(sort: str, seed: int, count: int) -> dict[str, Any]:
    """Return the figures of ``count`` versions of one sort."""
    choose = versions.SORTS[sort]
    pairs = [
        _run_pair(random.Random(f'{seed}/{sort}/{number}'), choose)
        for number in range(count)
    ]
    own = [pair[0] for pair in pairs]
    clock = [pair[1] for pair in pairs]
    clock_exposed = sum(outcome.exposed for outcome in clock)
    exposed = sum(outcome.exposed for outcome in own)
    return {
        'rollouts': count,
        'exposed': exposed,
        'clock_exposed': clock_exposed,
        'exposure_ratio': exposed / clock_exposed if clock_exposed else 0,
        'withdrawn': _count(own, 'withdrawn'),
        'clock_withdrawn': _count(clock, 'withdrawn'),
        'finished': _count(own, 'finished'),
        'median_end_s': _median_end_s(own),
        'clock_median_end_s': _median_end_s(clock),
    }


def _run_pair(
    rng: random.Random,
    choose: Callable[[random.Random], versions.Fault],
) -> tuple[Outcome, Outcome]:
    fault = choose(rng)
    return by_evidence(rng, fault), by_clock(rng, fault)


def _count(outcomes: list[Outcome], state: str) -> int:
    return sum(outcome.state == state for outcome in outcomes)


def _median_end_s(outcomes: list[Outcome]) -> float:
    if not outcomes:
        return 0
    return statistics.median(outcome.end_ms for outcome in outcomes) / 1000


def _clock_withdraws(
    rng: random.Random,
    fault: versions.Fault,
    started_ms: int,
) -> bool:
    failed = 0
    slow = 0
    score: float = 0
    threshold = versions.slow_threshold()
    for _ in range(_CLOCK_SAMPLES):
        kind = versions.choose_kind(rng)
        part = fault.part(kind, started_ms + rng.random() * _CLOCK_STEP_MS)
        failed += rng.random() < versions.FAILED + part * fault.failed
        latency = rng.lognormvariate(0, versions.LATENCY_SPREAD)
        slow += latency * (1 + part * fault.latency) > threshold
        own_score = rng.gauss(
            versions.SCORE - part * fault.score, versions.SCORE_SPREAD
        )
        score += min(max(own_score, 0), 1)
    return (
        versions.SCORE - score / _CLOCK_SAMPLES > versions.TOLERATED_SCORE
        or failed / _CLOCK_SAMPLES - versions.FAILED > versions.TOLERATED_FAILED
        or slow / _CLOCK_SAMPLES - versions.SLOW > versions.TOLERATED_SLOW
    )
