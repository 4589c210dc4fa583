"""Tests of cascade steps and of their acceptance."""

from __future__ import annotations

import itertools
import random

import pytest

from yuccarouter.routing import cascade, latency, quality
from yuccarouter_common import model
from yuccarouter_testkit.bench import _cascade

_VERSIONS = tuple(
    model.ModelVersion(name, '1', name, 0, price)
    for name, price in (('small', 1), ('medium', 4), ('large', 20))
)
_CASCADE = model.Cascade(
    'c',
    tuple(model.CascadeStep(version.name) for version in _VERSIONS),
    quality_target=0.85,
    latency_budget_ms=1000,
)


def _cascades(
    rng: float = 1, times_ms: dict[str, float] | None = None
) -> cascade.Cascades:
    latencies = latency.Latencies(lambda: 0)
    for key, time_ms in (times_ms or {}).items():
        latencies.record(key, time_ms)
    estimates = quality.Estimates(lambda: 0)
    return cascade.Cascades(estimates, latencies, lambda: rng)


def _request(
    elapsed_ms: float = 0, remaining_ms: float = 9000
) -> cascade.Request:
    return cascade.Request('k', elapsed_ms, remaining_ms, 0, 1)


def _learn(cascades: cascade.Cascades, version: str, score: float) -> None:
    for _ in range(600):
        cascades.estimates.record_rating('k', version, score)
        cascades.estimates.accepts('k', version, 0.85, score)


@pytest.mark.parametrize(
    ('times_ms', 'elapsed_ms', 'remaining_ms', 'reasons'),
    [
        ({}, 0, 9000, ['worth_it']),
        ({'k/small@1': 400}, 0, 9000, ['worth_it']),
        ({'k/small@1': 400}, 700, 9000, ['latency_budget', 'worth_it']),
        ({'k/small@1': 400, 'rating': 700}, 0, 9000, ['latency_budget']),
        ({'k/small@1': 400, 'k/large@1': 3000}, 0, 3200, ['deadline']),
        (
            {'k/small@1': 9, 'k/medium@1': 900, 'k/large@1': 500},
            980,
            600,
            ['worth_it'],
        ),
    ],
)
def test_steps_within_time(
    times_ms: dict[str, float],
    elapsed_ms: float,
    remaining_ms: float,
    reasons: list[str],
) -> None:
    """Guards against a cheap step that makes the request miss its deadline.

    This happens if the last step has too little time after a rejected answer.
    """
    step = _cascades(times_ms=times_ms).next_step(
        _CASCADE, _VERSIONS, 0, _request(elapsed_ms, remaining_ms)
    )
    reasons_found = [considered.reason for considered in step.considered]
    assert reasons_found[: len(reasons)] == reasons
    assert step.considered[-1].version == step.version.name


def test_last_step_is_never_skipped() -> None:
    """Guards against a late request that gets no step at all."""
    step = _cascades().next_step(_CASCADE, _VERSIONS, 0, _request(5000, 1))
    assert step.place == 2
    assert step.considered[-1].reason == 'last'


@pytest.mark.parametrize(
    ('rng', 'place', 'reason'), [(0.9, 1, 'worth_it'), (0.0, 0, 'explored')]
)
def test_poor_step_is_skipped_but_explored(
    rng: float, place: int, reason: str
) -> None:
    """Guards against steps that cost more than they save.

    It also guards against a step that is never tried again, so that an
    improvement isn't noticed.
    """
    cascades = _cascades(rng)
    _learn(cascades, 'small@1', 0.2)
    _learn(cascades, 'medium@1', 0.95)
    step = cascades.next_step(_CASCADE, _VERSIONS, 0, _request())
    assert (step.place, step.considered[-1].reason) == (place, reason)


@pytest.mark.parametrize(
    ('learned', 'score', 'accepted'),
    [
        # Score of earlier answers, rating of this one, expected result.
        (None, None, False),
        (None, 0.84, False),
        (None, 0.99, True),
        (0.95, None, True),
        (0.86, None, False),
        (0.95, 0.3, False),
        (0.5, None, False),
    ],
)
def test_acceptance(
    learned: float | None, score: float | None, accepted: bool
) -> None:
    """Guards against returning an answer of unknown or poor quality."""
    cascades = _cascades()
    if learned is not None:
        _learn(cascades, 'small@1', learned)
    for is_last in (False, True):
        acceptance = cascades.accept(
            _CASCADE, _VERSIONS[0], 'k', score, is_last=is_last
        )
        assert acceptance.accepted == (accepted or is_last)


def test_rating_wait_leaves_time_for_the_last_step() -> None:
    """Guards against a slow rating that leaves no time for the last step."""
    cascades = _cascades(times_ms={'k/large@1': 3000})
    wait_ms = cascades.rating_wait_ms(_CASCADE, _VERSIONS, _request(100, 3500))
    assert 0 < wait_ms <= 500
    assert (
        cascades.rating_wait_ms(_CASCADE, _VERSIONS, _request(100, 2000)) == 0
    )


def test_step_is_skipped_without_ratings() -> None:
    """Guards against running a step whose answer can't be accepted.

    While the rating service fails, only the learned bound can accept it.
    """
    cascades = _cascades(rng=0.5)
    for _ in range(50):
        cascades.accept(_CASCADE, _VERSIONS[0], 'k', None, is_last=False)
    step = cascades.next_step(_CASCADE, _VERSIONS, 0, _request())
    assert step.place == 2


@pytest.mark.parametrize('seed', range(30))
def test_worth_it_against_enumeration(seed: int) -> None:
    """Guards against a plan that costs more than the best of all plans."""
    rng = random.Random(seed)
    cascades = _cascades()
    for version in _VERSIONS[:2]:
        for _ in range(600):
            score = 0.95 if rng.random() < seed / 30 else 0.2
            cascades.estimates.record_rating('k', version.name, score)
            cascades.estimates.accepts('k', version.name, 0.85, score)
    costs = [1, 4, 20]
    probabilities = [
        cascades.estimates.probability('k', version.name, 0.85)
        for version in _VERSIONS[:2]
    ]

    def expected(plan: tuple[bool, ...]) -> float:
        remaining, total = 1.0, 0.0
        for runs, cost, probability in zip(
            plan, costs, probabilities, strict=False
        ):
            if runs:
                total += remaining * cost
                remaining *= 1 - probability
        return total + remaining * costs[-1]

    plans = list(itertools.product([False, True], repeat=2))
    best = min(plans, key=expected)
    step = cascades.next_step(_CASCADE, _VERSIONS, 0, _request())
    assert step.place == (*best, True).index(True)


@pytest.mark.parametrize('ratings', _cascade.RATINGS)
def test_cost_and_quality_targets(ratings: _cascade.Ratings) -> None:
    """Guards against saving cost at too low a quality, also by bad ratings."""
    figures = _cascade.run(5, ratings)
    assert figures['cascade_quality'] >= 0.98
    assert figures['second_half_quality'] >= 0.98
    if ratings.name == 'good':
        assert figures['cascade_cost'] <= 0.5
    # Using only the cheapest version would miss the quality target.
    assert figures['cheap_quality'] < 0.98
