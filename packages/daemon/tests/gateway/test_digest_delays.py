"""Tests of how long digests were on their way."""

from __future__ import annotations

import gateway_makers as make
import pytest

from yuccarouter.gateway import digest_delays

# The sender's clock is this far from that of the receiver.
APART_MS = 70_000


@pytest.mark.parametrize(
    ('digests', 'delays_ms'),
    [
        # Each digest has its process, when it was sent, and how long it took.
        ([(1, 0, 5)], [0]),
        (
            [(1, 0, 5), (1, 400, 5), (1, 800, 3005), (1, 1200, 2605)],
            [0, 0, 3000, 2600],
        ),
        # A faster one shows that the earlier ones were late.
        ([(1, 0, 50), (1, 400, 5), (1, 800, 25)], [0, 0, 20]),
        ([(1, 400, 5), (1, 0, 505), (1, 400, 45)], [0, None, 40]),
        # Another process has another clock.
        ([(1, 400, 5), (2, 0, 900)], [0, 0]),
        # Digests are compared over a suspension of any length.
        ([(1, 0, 5), (1, 9000, 5), (1, 9400, 60_005)], [0, 0, 60_000]),
        # What was the fastest is forgotten after two windows.
        (
            [(1, 0, 5), (1, 11_000, 25), (1, 22_000, 25), (1, 33_000, 25)],
            [0, 20, 0, 0],
        ),
    ],
)
def test_delays(
    clock: make.Clock,
    digests: list[tuple[int, float, float]],
    delays_ms: list[float | None],
) -> None:
    """Guards against digests that count as new although they have waited."""
    delays = digest_delays.DigestDelays()
    measured = []
    for process, sent_ms, way_ms in digests:
        clock.now_ms = APART_MS + sent_ms + way_ms
        digest = {'process': process, 'sent_ms': sent_ms}
        measured.append(delays.delay_ms('d2', digest))
    assert measured == delays_ms


@pytest.mark.parametrize('sent_ms', [-1, 'x', None, [], 1e300])
def test_malformed_time(clock: make.Clock, sent_ms: object) -> None:
    """Guards against a foreign digest that sets the times of others."""
    delays = digest_delays.DigestDelays()
    with pytest.raises(ValueError, match='not a number'):
        delays.delay_ms('d2', {'sent_ms': sent_ms})
