"""Tests of what an isolated process does."""

from __future__ import annotations

import pytest

from yuccarouter.configuration import freshness, staleness
from yuccarouter_common import model


class _Clock:
    now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.mark.parametrize(
    ('policy', 'log_s', 'peer_s', 'refused'),
    [
        (model.REFUSE, 0, None, False),
        (model.REFUSE, 61, None, True),
        # The log is down for everybody: nobody can have withdrawn anything.
        (model.REFUSE, 3600, 1, False),
        (model.REFUSE, 3600, 61, True),
        (model.SERVE, 3600, 3600, False),
        (model.REFUSE, None, None, True),
        (model.SERVE, None, None, False),
    ],
)
def test_refused(
    policy: str, log_s: float | None, peer_s: float | None, refused: bool
) -> None:
    """Guards against refusing everybody while the log is down for long."""
    clock = _Clock()
    known = freshness.Freshness(clock)
    organisation = model.Organisation(
        'o', stale_policy=policy, stale_limit_ms=60_000
    )
    if log_s is not None:
        known.confirm(log_s * 1000)
    if peer_s is not None:
        clock.now_s -= peer_s
        known.record_contact()
        clock.now_s += peer_s
    assert staleness.is_refused(organisation, known.isolated_ms()) is refused
