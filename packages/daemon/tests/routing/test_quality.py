"""Tests of the quality estimates from ratings."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from yuccarouter.routing import _calibration, _estimate, quality

_MINUTE_MS = 60_000


@hypothesis.given(scores=st.lists(st.floats(0, 1), max_size=50))
@hypothesis.settings(derandomize=True)
def test_bounds_enclose_the_mean(scores: list[float]) -> None:
    """Guards against bounds that exclude the mean of the values."""
    estimate = _estimate.Estimate()
    for score in scores:
        estimate.add(score, 0)
    assert 0 <= estimate.lower_bound(0) <= estimate.mean(0.5) + 1e-9
    assert estimate.mean(0.5) - 1e-9 <= estimate.upper_bound(0) <= 1
    if not scores:
        assert (estimate.lower_bound(0), estimate.upper_bound(0)) == (0, 1)


@pytest.mark.parametrize('count', [30, 300, 3000])
def test_bounds_hold_with_their_probability(count: int) -> None:
    """Guards against bounds that miss the true mean too often."""
    misses = 0
    for seed in range(200):
        rng = random.Random(seed)
        estimate = _estimate.Estimate()
        for _ in range(count):
            estimate.add(float(rng.random() < 0.9), 0)
        misses += estimate.lower_bound(0) > 0.9 or estimate.upper_bound(0) < 0.9
    assert misses <= 0.1 * 200


def test_bound_widens_without_ratings() -> None:
    """Guards against accepting answers by a bound from before an outage."""
    now = [0.0]
    estimates = quality.Estimates(lambda: now[0])
    for _ in range(1000):
        estimates.record_rating('k', 'v', 0.95)
    initial = estimates.mean_lower_bound('k', 'v')
    assert initial > 0.85
    now[0] = 60 * _MINUTE_MS
    assert estimates.mean_lower_bound('k', 'v') < initial - 0.1
    now[0] = 600 * _MINUTE_MS
    assert estimates.mean_lower_bound('k', 'v') == 0


def _calibrate(
    bias: float, noise: float, pairs: int, seed: int = 1
) -> _calibration.Calibration:
    rng = random.Random(seed)
    calibration = _calibration.Calibration()
    for _ in range(pairs):
        audit = rng.uniform(0.4, 0.9)
        calibration.add(rng.gauss(audit + bias, noise), audit)
    return calibration


@pytest.mark.parametrize('bias', [-0.1, 0.0, 0.1, 0.3])
def test_bias_is_corrected(bias: float) -> None:
    """Guards against accepting poor answers that are rated too high."""
    calibration = _calibrate(bias, 0.03, 300)
    assert abs(calibration.expected(0.7 + bias) - 0.7) < 0.03
    assert calibration.lower_bound(0.7 + bias) < calibration.expected(
        0.7 + bias
    )


def test_noise_is_discounted() -> None:
    """Guards against relying on ratings that don't depend on the quality."""
    calibration = _calibrate(0, 1.0, 500)
    spread = calibration.expected(1.0) - calibration.expected(0.4)
    assert spread < 0.3


def test_drift_makes_the_bound_low() -> None:
    """Guards against using old calibrations after ratings become biased."""
    estimates = quality.Estimates(lambda: 0)
    for _ in range(200):
        for version in ('a', 'b'):
            estimates.record_rating('k', version, 0.9)
            estimates.record_audit('k', version, 0.9, 0.9)
    assert estimates.accepts('k', 'b', 0.85, 0.9)
    for _ in range(5):
        estimates.record_audit('k', 'a', 0.9, 0.5)
    # The drift is detected in another version's audits.
    assert not estimates.accepts('k', 'b', 0.85, 0.9)
    assert estimates.answer_lower_bound('k', 'b', 0.9) < 0.85


@pytest.mark.parametrize('seed', range(5))
def test_accepted_mean_reaches_target(seed: int) -> None:
    """Guards against a threshold so low that the mean misses the target.

    The naive rule accepts each answer whose rating reaches the target.
    """
    rng = random.Random(seed)
    estimates = quality.Estimates(lambda: 0)
    accepted: list[float] = []
    naive = good = 0
    for _ in range(3000):
        audit = rng.choice([0.92, 0.92, 0.92, 0.5])
        score = min(1, max(0, rng.gauss(audit, 0.06)))
        estimates.record_rating('k', 'v', score)
        if rng.random() < 0.05:
            estimates.record_audit('k', 'v', score, audit)
        good += audit > 0.9
        naive += score >= 0.88
        if estimates.accepts('k', 'v', 0.88, score):
            accepted.append(audit)
    assert sum(accepted) / len(accepted) >= 0.88
    # The lower threshold accepts more of the good answers.
    assert len(accepted) > naive
    assert len(accepted) <= 1.02 * good
