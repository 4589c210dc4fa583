"""Tests of prefill estimates, and of timeouts that depend on them."""

from __future__ import annotations

import gateway_makers as make
import pytest

from yuccarouter.gateway import choice, prefill_speeds, stream_timeouts

SMALL_MS_PER_TOKEN = 0.014
LARGE_MS_PER_TOKEN = 0.072
BASE_MS = 25


def trained_speeds() -> prefill_speeds.PrefillSpeeds:
    speeds = prefill_speeds.PrefillSpeeds()
    for number in range(60):
        tokens = 500 + 400 * number
        for name, ms_per_token in (
            ('small', SMALL_MS_PER_TOKEN),
            ('large', LARGE_MS_PER_TOKEN),
        ):
            speeds.record(name, BASE_MS + ms_per_token * tokens, tokens)
    return speeds


@pytest.mark.parametrize(
    ('name', 'expected_ms'),
    [
        ('small', 10_000 * SMALL_MS_PER_TOKEN),
        ('large', 10_000 * LARGE_MS_PER_TOKEN),
        ('unknown', 10_000 * prefill_speeds.ASSUMED_MS_PER_TOKEN),
    ],
)
def test_speeds_are_learned_by_model(name: str, expected_ms: float) -> None:
    """Guards against one estimate for models that differ fivefold."""
    estimate_ms = trained_speeds().expected_ms(name, 10_000)
    assert estimate_ms == pytest.approx(expected_ms, rel=0.05)


def test_estimate_is_never_negative() -> None:
    """Guards against a negative estimate when the backlog was overestimated."""
    speeds = prefill_speeds.PrefillSpeeds()
    for _ in range(200):
        speeds.record('m', -500, 1000)
    assert 0 <= speeds.expected_ms('m', 10_000) < 10


def test_backlog_counts_time_rather_than_tokens() -> None:
    """Guards against queues that are compared by tokens.

    A prompt would wait for seconds behind fewer tokens of the largest model,
    which prefills more slowly.
    """
    speeds = trained_speeds()
    views = [
        make.view('e1', pending_prefill_ms=speeds.expected_ms('large', 20_000)),
        make.view('e2', pending_prefill_ms=speeds.expected_ms('small', 40_000)),
    ]
    need = make.need(
        prompt_tokens=2000, prefill_ms_per_token=SMALL_MS_PER_TOKEN
    )
    chosen = choice.choose(views, need, 0)
    assert chosen is not None
    assert chosen.endpoint.name == 'e2'


@pytest.mark.parametrize(
    ('case', 'backlog_ms', 'min_ms'),
    [
        ('idle endpoint: the answer was lost', 0, 1500),
        ('all callers retry at once', 4000, 4000),
    ],
)
def test_timeout_at_a_busy_endpoint(
    case: str, backlog_ms: float, min_ms: float
) -> None:
    """Guards against calls that leave one queue after another.

    After an outage of all daemons a call was moved away from three busy
    endpoints in turn, each after 1.5 s, until its deadline passed.
    """
    timeout = stream_timeouts.FirstEventTimeout(mean=1, deviation=0.1)
    wait_ms = timeout.timeout_ms(800, 2000, backlog_ms)
    assert min_ms <= wait_ms <= min_ms + 2 * backlog_ms, case
