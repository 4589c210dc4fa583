"""Tests of how long peers have had records that a replica lacks."""

from __future__ import annotations

import gateway_makers as make
import pytest

from yuccarouter.gateway import record_lags


@pytest.mark.parametrize(
    ('events', 'lag_ms'),
    [
        ([], 0),
        # Each event is when a peer told of an offset, and the own one then.
        ([(100, 5, 5)], 0),
        ([(100, 5, 4)], 900),
        ([(100, 5, 4), (400, 6, 4)], 900),
        # The first record has come since, and a newer one lacks.
        ([(100, 5, 4), (400, 6, 5)], 600),
        ([(100, 5, 4), (400, 5, 5)], 0),
    ],
)
def test_lag(
    clock: make.Clock, events: list[tuple[float, int, int]], lag_ms: float
) -> None:
    """Guards against a daemon that looks current while it lacks records."""
    lag = record_lags.RecordLag()
    own_offset = -1
    for at_ms, peer_offset, own_offset in events:
        clock.now_ms = at_ms
        lag.note(peer_offset, own_offset)
    clock.now_ms = 1000
    assert lag.age_ms(own_offset) == lag_ms
