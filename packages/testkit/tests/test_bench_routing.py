"""Tests of the routing benchmark's targets."""

from __future__ import annotations

import pytest

from yuccarouter_testkit.bench import routing, targets


@pytest.mark.parametrize(
    ('target', 'met', 'missed'),
    [
        (targets.Target('g', 'f', 1.5), 1.5, 1.51),
        (targets.Target('g', 'f', 0.98, at_least=True), 0.98, 0.97),
    ],
)
def test_target(target: targets.Target, met: float, missed: float) -> None:
    """Guards against a missed target that is reported as met."""
    assert target.is_met({'g': {'f': met}})
    assert not target.is_met({'g': {'f': missed}})


def test_table_names_missed_targets() -> None:
    """Guards against a table that hides a missed target."""
    figures = {'decision': {'ratio': 2.0}, 'missed': ['decision.ratio']}
    text = targets.table(figures, routing.TARGETS)
    assert 'at most 1.5' in text
    assert 'targets missed: decision.ratio' in text
