"""Tests of the retry budget, hedging and observed latencies."""

from __future__ import annotations

import math
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from yuccarouter.routing import hedge, latency, retry_budget
from yuccarouter_testkit.bench import _retries


@hypothesis.given(
    outcomes=st.lists(st.sampled_from(['ok', 'retry', 'hedge']), max_size=400)
)
@hypothesis.settings(derandomize=True)
def test_budget_is_a_share_of_successes(outcomes: list[str]) -> None:
    """Guards against retries or hedges that together exceed the budget."""
    budget = retry_budget.RetryBudget()
    for outcome in outcomes:
        if outcome == 'ok':
            budget.record_success()
        elif outcome == 'retry':
            budget.take_retry()
        else:
            budget.take_hedge()
    assert budget.granted <= 10 + 0.1 * outcomes.count('ok')
    assert budget.granted + budget.denied == len(outcomes) - outcomes.count(
        'ok'
    )


def test_hedges_leave_budget_for_retries() -> None:
    """Guards against hedges using up the budget of retries."""
    budget = retry_budget.RetryBudget()
    while budget.take_hedge():
        continue
    assert budget.take_retry()


def test_balance_is_bounded() -> None:
    """Guards against too many retries at once after many successes."""
    budget = retry_budget.RetryBudget()
    for _ in range(100_000):
        budget.record_success()
    granted = sum(budget.take_retry() for _ in range(1000))
    assert granted == 10


def test_retry_hint_grows_and_has_jitter() -> None:
    """Guards against rejected callers returning at once or together."""
    budget = retry_budget.RetryBudget()
    rng = random.Random(1).random
    first_ms = [budget.retry_after_ms(rng) for _ in range(50)]
    assert min(first_ms) > 0
    assert len(set(first_ms)) > 25
    for _ in range(200):
        budget.take_retry()
    assert min(budget.retry_after_ms(rng) for _ in range(50)) > max(first_ms)


@pytest.mark.parametrize('attempt', [1, 3, 50])
def test_backoff_is_bounded(attempt: int) -> None:
    """Guards against overflow and against ignoring an endpoint's hint."""
    assert 0 <= retry_budget.backoff_ms(attempt, 0, random.random) <= 2000
    assert retry_budget.backoff_ms(attempt, 3000, random.random) >= 3000


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_retries_with_a_third_failing(seed: int) -> None:
    """Guards against retries that overload the remaining endpoints.

    A third of the endpoints fail. Attempts at the others then time out and are
    retried, while the endpoints still work on them.
    """
    figures = _retries.run(seed)
    assert figures['router_load'] <= 1.1
    # Immediate retries without a budget overload them in the same situation.
    assert figures['blind_load'] > 1.1
    assert figures['router_answered'] >= figures['blind_answered']


def _latencies(times_ms: list[float]) -> latency.Latencies:
    latencies = latency.Latencies(lambda: 0)
    for time_ms in times_ms:
        latencies.record('k', time_ms)
    return latencies


_TIMES_WITH_TAIL_MS = [100.0] * 94 + [200.0] * 4 + [5000.0] * 2


@pytest.mark.parametrize(
    ('times_ms', 'may_hedge', 'remaining_ms', 'is_hedged'),
    [
        (_TIMES_WITH_TAIL_MS * 2, True, 3000, True),
        # A call that isn't idempotent is never sent twice.
        (_TIMES_WITH_TAIL_MS * 2, False, 3000, False),
        (_TIMES_WITH_TAIL_MS * 2, True, 250, False),
        (_TIMES_WITH_TAIL_MS[20:], True, 3000, False),
        # All endpoints are slow: a second attempt would be slow, too.
        ([5000.0] * 200, True, 30_000, False),
        ([], True, 3000, False),
    ],
)
def test_hedge(
    times_ms: list[float],
    may_hedge: bool,
    remaining_ms: float,
    is_hedged: bool,
) -> None:
    """Guards against hedges that are unsafe, useless or too late."""
    delay_ms = hedge.delay_ms(
        _latencies(times_ms),
        'k',
        may_hedge=may_hedge,
        remaining_ms=remaining_ms,
    )
    assert (delay_ms is not None) == is_hedged
    if delay_ms is not None:
        assert 100 <= delay_ms <= 220


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_hedging_continues_when_it_works(seed: int) -> None:
    """Guards against hedging that stops because it hides the slow times.

    One in fifty attempts takes 5 s. A faster hedge cancels it, so only the time
    until then is recorded. Without hedges, such a request takes 5 s, too.
    """
    rng = random.Random(seed)
    now = [0.0]
    latencies = latency.Latencies(lambda: now[0])
    budget = retry_budget.RetryBudget()
    late = 0
    for number in range(4000):
        now[0] = number * 20.0
        first_ms, second_ms = (
            5000.0 if rng.random() < 0.02 else rng.lognormvariate(4.6, 0.3)
            for _ in range(2)
        )
        start_ms = hedge.delay_ms(
            latencies, 'k', may_hedge=True, remaining_ms=9000
        )
        ended_ms = first_ms
        if start_ms is not None and first_ms > start_ms and budget.take_hedge():
            ended_ms = min(first_ms, start_ms + second_ms)
            latencies.record('k', ended_ms - start_ms)
        latencies.record('k', ended_ms)
        budget.record_success()
        late += number >= 1000 and ended_ms > 1000
    assert budget.granted > 50
    assert late / 3000 < 0.02 / 4


@hypothesis.given(
    times_ms=st.lists(st.integers(1, 600_000), min_size=1),
    share=st.sampled_from([0.1, 0.5, 0.9, 0.95, 0.99]),
)
@hypothesis.settings(derandomize=True)
def test_quantile(times_ms: list[int], share: float) -> None:
    """Guards against quantiles with more than the histogram's error."""
    quantile_ms = _latencies([*map(float, times_ms)]).quantile_ms('k', share)
    rank = share * len(times_ms)
    below = sorted(times_ms)[max(0, math.floor(rank) - 1)]
    above = sorted(times_ms)[min(math.ceil(rank), len(times_ms) - 1)]
    assert quantile_ms is not None
    assert below * 0.93 - 1 <= quantile_ms <= above * 1.07 + 1


def test_old_latencies_expire() -> None:
    """Guards against hedging by latencies that are no longer recent."""
    now = [0.0]
    latencies = latency.Latencies(lambda: now[0])
    latencies.record('k', 9000)
    now[0] = 31_000
    latencies.record('k', 10)
    assert latencies.count('k') == 2
    now[0] = 62_000
    assert latencies.count('k') == 1
    latencies.record('k', 10)
    now[0] = 200_000
    assert latencies.quantile_ms('k', 0.5) is None
