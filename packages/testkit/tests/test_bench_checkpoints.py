"""Tests of the benchmark of checkpoints."""

from __future__ import annotations

import math

import pytest

from yuccarouter_testkit.bench import checkpoints


@pytest.mark.parametrize('faults_per_s', [0.0001, 0.003, 0.05])
@pytest.mark.parametrize('cost_s', [0.01, 1, 6])
def test_optimal_parts(faults_per_s: float, cost_s: float) -> None:
    """Guards against a number of parts that another one beats."""

    def expected_s(parts: int) -> float:
        part_s = (math.exp(faults_per_s * 60 / parts) - 1) / faults_per_s
        return parts * part_s + (parts - 1) * cost_s

    best = min(range(1, 2000), key=expected_s)
    assert checkpoints.optimal_parts(faults_per_s, 60, cost_s) == best
