"""Tests of the roll-out benchmark; the bounds are the design's targets."""

from __future__ import annotations

import pytest

from yuccarouter_testkit.bench import rollouts, versions


# Eight versions of each sort, because one that turns bad just before the
# clock's first check has about the same exposure either way.
@pytest.mark.timeout(600)
@pytest.mark.parametrize(
    'sort', [sort for sort in versions.SORTS if sort != versions.GOOD]
)
def test_exposure(sort: str) -> None:
    """Guards against more exposure than a tenth of that by the clock."""
    figures = rollouts.compare_sort(sort, seed=3, count=8)
    assert figures['clock_exposed'] > 0
    assert figures['exposure_ratio'] <= 0.1
    assert figures['withdrawn'] == 8


@pytest.mark.timeout(600)
def test_good_versions() -> None:
    """Guards against good versions that are withdrawn or never finish."""
    figures = rollouts.compare_sort(versions.GOOD, seed=3, count=2)
    assert figures['withdrawn'] == 0
    assert figures['finished'] == 2


def test_same_seed() -> None:
    """Guards against figures that can't be reproduced."""
    first = rollouts.run(4, good_rollouts=0, bad_rollouts=1)
    assert first == rollouts.run(4, good_rollouts=0, bad_rollouts=1)
    assert 0 < first['exposure_ratio'] < 1
