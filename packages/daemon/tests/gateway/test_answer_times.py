"""Tests of what answers show about crashes."""

from __future__ import annotations

import math

import pytest

from yuccarouter.gateway import answer_times

SERVICE = 'engine'
ENDED = math.inf
NEVER = -math.inf


@pytest.mark.parametrize(
    ('answers', 'ran_ms', 'expected_ms'),
    [
        # For how long an answer went on, and when it was recorded.
        ([], 0, NEVER),
        ([(499, 10)], 0, NEVER),
        ([(500, 10)], 0, 10),
        ([(500, 10)], 250, 10),
        ([(500, 10)], 251, NEVER),
        # The time between two levels counts as the lower one.
        ([(1999, 10)], 600, NEVER),
        ([(2000, 10)], 600, 10),
        ([(16_000, 10)], 8000, 10),
        ([(60_000, 10)], 8001, NEVER),
        ([(ENDED, 10)], 60_000, 10),
        # A later answer that shows less.
        ([(ENDED, 10), (500, 20)], 0, 20),
        ([(ENDED, 10), (500, 20)], 600, 10),
        ([(500, 10), (ENDED, 20)], 0, 20),
    ],
)
@pytest.mark.parametrize('suspect', ['part', '/request'])
def test_last_answer_that_rules_out_a_suspect(
    suspect: str,
    answers: list[tuple[float, float]],
    ran_ms: float,
    expected_ms: float,
) -> None:
    """Guards against answers that clear a request of crashes after them."""
    times = answer_times.AnswerTimes()
    for proceeded_ms, now_ms in answers:
        times.record(SERVICE, suspect, now_ms, proceeded_ms)
    assert times.last_ms(SERVICE, suspect, ran_ms) == expected_ms


@pytest.mark.parametrize('place', [0, 20, 40])
def test_rarest_parts(place: int) -> None:
    """Guards against a suspect that is left out because of its place."""
    times = answer_times.AnswerTimes()
    parts = [f'p{number}' for number in range(40)]
    for now_ms, part in enumerate(parts):
        times.record(SERVICE, part, now_ms)
    parts.insert(place, 'never')
    assert times.rarest(SERVICE, parts, 3, 0) == ['never', 'p0', 'p1']
