"""Tests of the roll-out benchmark; the bounds are the design's targets."""

from __future__ import annotations

from yuccarouter_testkit.bench import rollouts


def test_targets() -> None:
    """Guards against more exposure than a tenth of that by the clock.

    Eight versions of each sort, because one that turns bad just before the
    clock's first check has about the same exposure either way.
    """
    figures = rollouts.run(3, good_rollouts=2, bad_rollouts=8)
    assert figures['exposure_ratio'] <= 0.1
    assert figures['good']['finished'] == 2
    assert figures['good_withdrawn_share'] == 0
    for sort in ('bad at once', 'slowly worsening', 'bad for one kind'):
        assert figures[sort]['withdrawn'] == 8
        assert figures[sort]['clock_exposed'] > 0


def test_same_seed() -> None:
    """Guards against figures that can't be reproduced."""
    assert rollouts.run(4, 0, 1) == rollouts.run(4, 0, 1)
