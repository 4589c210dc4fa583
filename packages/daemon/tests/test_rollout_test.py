"""Tests of the sequential tests and of the collection of evidence."""

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
def test_matches_direct_sum(gains: list[float], per_start: int) -> None:
    """Guards against a running sum that differs from the sum of all starts."""
    process = sequential_test.EProcess(gains_per_start=per_start)
    wealths: list[float] = []
    for number, gain in enumerate(gains):
        if number % per_start == 0:
            wealths.append(1)
        bet = process._bet()
        wealths = [wealth * (1 + bet * gain) for wealth in wealths]
        process.update(gain)
    direct = 1 / (len(wealths) + 1) + sum(
        wealth / (start * (start + 1))
        for start, wealth in enumerate(wealths, start=1)
    )
    assert process.value == pytest.approx(direct)


@pytest.mark.parametrize('low', [-1.0, -0.5, -0.1])
def test_fair_game(low: float) -> None:
    """Guards against a bet that depends on the gain that it applies to.

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


def _add_requests(
    collector: evidence.Collector,
    rng: random.Random,
    requests: int,
    *,
    score: float = 0.8,
    failed: float = 0.01,
    latency_factor: float = 1,
    bad_kind: str = '',
) -> list[evidence.Evidence]:
    """Add requests of both versions; keywords describe the new one.

    Returns the evidence after each request of the new version.
    """
    history = []
    for number in range(requests):
        kind = rng.choice('ab')
        for index in range(5):
            is_new = index == 4
            is_bad = is_new and bad_kind in {'', kind}
            fails = rng.random() < (failed if is_bad else 0.01)
            request = evidence.Request(
                f'{number}/{index}',
                kind,
                is_new,
                fails,
                rng.lognormvariate(0, 0.5) * (latency_factor if is_bad else 1),
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
        history.append(collector.evidence(number, 10))
    return history


@pytest.mark.parametrize(
    ('fault', 'cause'),
    [
        ({'score': 0.5}, 'rating of all kinds'),
        ({'failed': 0.4}, 'errors of all kinds'),
        ({'latency_factor': 3}, 'latency of all kinds'),
        ({'score': 0.4, 'bad_kind': 'a'}, 'rating of a'),
    ],
)
def test_finds_harm(fault: dict[str, Any], cause: str) -> None:
    """Guards against harm in one measure that is not detected."""
    collector = evidence.Collector(('a', 'b'))
    latest = _add_requests(collector, random.Random(1), 150, **fault)[-1]
    assert latest.harm > 100
    assert latest.harm_cause == cause
    assert latest.no_harm < 1


def test_finds_late_harm() -> None:
    """Guards against missing harm that begins after many good requests."""
    collector = evidence.Collector(('a', 'b'))
    rng = random.Random(2)
    assert _add_requests(collector, rng, 1500)[-1].harm < 100
    assert _add_requests(collector, rng, 200, score=0.5)[-1].harm > 100


def test_good_versions() -> None:
    """Guards against withdrawing good versions through repeated checks.

    By Ville's inequality, at most 1 in 100 good versions exceeds the limit.
    The probability that 5 or more of 60 do is below 1 in 2000.
    """
    withdrawn = 0
    for seed in range(60):
        collector = evidence.Collector(('a', 'b'))
        history = _add_requests(collector, random.Random(seed), 300)
        withdrawn += max(known.harm for known in history) >= 100
        assert history[-1].no_harm > 20
    assert withdrawn < 5


def test_no_baseline() -> None:
    """Guards against evidence of harm without recent baseline requests.

    Compared with old ones, a change of the traffic would count as harm.
    """
    collector = evidence.Collector(('a',))
    for number in range(100):
        collector.add_request(
            evidence.Request(str(number), 'a', True, True, 1, number)
        )
    assert collector.evidence(100, 10).harm == 1


def test_missing_ratings() -> None:
    """Guards against counting requests without ratings as rated."""
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
    """Guards against a kind without traffic that stops all roll-outs."""
    collector = evidence.Collector(('a', 'b', 'never'))
    latest = _add_requests(collector, random.Random(3), 300)[-1]
    assert latest.no_harm > 20
