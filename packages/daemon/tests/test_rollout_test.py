"""Tests of the sequential test and of the evidence that it is fed."""

from __future__ import annotations

import itertools
import random
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies

from yuccarouter.rollout import evidence, sequential_test

_GAINS = strategies.lists(
    strategies.floats(min_value=-1, max_value=1), max_size=120
)


@hypothesis.settings(deadline=None)
@hypothesis.given(_GAINS, strategies.integers(1, 40))
def test_differs_not_from_naive(gains: list[float], per_start: int) -> None:
    """Guards against losing the wealth of a start in the running sum."""
    process = sequential_test.EProcess(gains_per_start=per_start)
    wealths: list[float] = []
    for number, gain in enumerate(gains):
        if number % per_start == 0:
            wealths.append(1)
        bet = process._bet()
        wealths = [wealth * (1 + bet * gain) for wealth in wealths]
        process.update(gain)
    naive = 1 / (len(wealths) + 1) + sum(
        wealth / (start * (start + 1))
        for start, wealth in enumerate(wealths, start=1)
    )
    assert process.value == pytest.approx(naive)


@pytest.mark.parametrize('low', [-1.0, -0.5, -0.1])
def test_fair_game(low: float) -> None:
    """Guards against a bet that depends on the gain that it is made on.

    Over all outcomes of a fair game the mean e-value is exactly 1.
    """
    high = 0.5
    low_probability = high / (high - low)
    total = 0.0
    for gains in itertools.product((low, high), repeat=10):
        process = sequential_test.EProcess(gains_per_start=3)
        probability = 1.0
        for gain in gains:
            process.update(gain)
            probability *= (
                low_probability if gain == low else 1 - low_probability
            )
        total += probability * process.value
    assert total == pytest.approx(1)


def _feed(
    collector: evidence.Collector,
    rng: random.Random,
    requests: int,
    *,
    score: float = 0.8,
    failed: float = 0.01,
    slow: float = 1,
    bad_kind: str = '',
) -> list[evidence.Evidence]:
    """Feed requests of both versions; the named figures are the new one's."""
    seen = []
    for number in range(requests):
        kind = rng.choice('ab')
        for place in range(5):
            is_new = place == 4
            is_bad = is_new and bad_kind in {'', kind}
            fails = rng.random() < (failed if is_bad else 0.01)
            request = evidence.Request(
                f'{number}/{place}',
                kind,
                is_new,
                fails,
                rng.lognormvariate(0, 0.5) * (slow if is_bad else 1),
                number,
                is_rated=not fails,
            )
            collector.add_request(request)
            if not fails:
                rating = rng.gauss(score if is_bad else 0.8, 0.1)
                rating = min(max(rating, 0), 1)
                collector.add_rating(
                    evidence.Rating(
                        request.request_id, kind, is_new, rating, number
                    )
                )
        seen.append(collector.evidence(number, 10))
    return seen


@pytest.mark.parametrize(
    ('fault', 'cause'),
    [
        ({'score': 0.5}, 'rating of all kinds'),
        ({'failed': 0.4}, 'errors of all kinds'),
        ({'slow': 3}, 'latency of all kinds'),
        ({'score': 0.4, 'bad_kind': 'a'}, 'rating of a'),
    ],
)
def test_finds_harm(fault: dict[str, Any], cause: str) -> None:
    """Guards against a kind of harm that the test does not see."""
    collector = evidence.Collector(('a', 'b'))
    last = _feed(collector, random.Random(1), 150, **fault)[-1]
    assert last.harm > 100
    assert last.harm_cause == cause
    assert last.no_harm < 1


def test_finds_late_harm() -> None:
    """Guards against a long good time that hides a later turn."""
    collector = evidence.Collector(('a', 'b'))
    rng = random.Random(2)
    assert _feed(collector, rng, 1500)[-1].harm < 100
    assert _feed(collector, rng, 200, score=0.5)[-1].harm > 100


def test_good_versions() -> None:
    """Guards against withdrawing good versions by looking again and again.

    The bound of 1 in 100 is Ville's; of 60 versions, 5 or more over the
    limit would have a probability below 1 in 2000.
    """
    withdrawn = 0
    for seed in range(60):
        collector = evidence.Collector(('a', 'b'))
        seen = _feed(collector, random.Random(seed), 300)
        withdrawn += max(known.harm for known in seen) >= 100
        assert seen[-1].no_harm > 20
    assert withdrawn < 5


def test_no_baseline() -> None:
    """Guards against comparing with old values after the traffic changed."""
    collector = evidence.Collector(('a',))
    for number in range(100):
        collector.add_request(
            evidence.Request(str(number), 'a', True, True, 1, number)
        )
    assert collector.evidence(100, 10).harm == 1


def test_missing_ratings() -> None:
    """Guards against counting requests as rated whose ratings never came."""
    collector = evidence.Collector(('a',))
    for number in range(10):
        collector.add_request(
            evidence.Request(str(number), 'a', True, False, 1, number)
        )
    assert collector.evidence(10, 10).unrated == 10
    assert collector.evidence(10, 10).missing_share == 0
    assert collector.evidence(100_000, 10).missing_share == 1
    assert collector.evidence(100_000, 10).unrated == 10
    collector.add_request(
        evidence.Request('later', 'a', True, False, 1, 100_000)
    )
    collector.add_rating(evidence.Rating('later', 'a', True, 0.8, 100_010))
    collector.add_rating(evidence.Rating('later', 'a', True, 0.8, 100_020))
    known = collector.evidence(100_020, 10)
    assert known.unrated == 0
    assert known.missing_share == pytest.approx(10 / 11)
    assert known.rating_lag_ms == 10


def test_rare_kind() -> None:
    """Guards against a kind without traffic that stops every roll-out."""
    collector = evidence.Collector(('a', 'b', 'never'))
    last = _feed(collector, random.Random(3), 300)[-1]
    assert last.no_harm > 20
