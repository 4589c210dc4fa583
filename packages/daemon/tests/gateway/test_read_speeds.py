"""Tests of what reading a prompt is expected to take."""

from __future__ import annotations

import gateway_makers as make
import pytest

from yuccarouter.gateway import choice, stream_timeouts, prefill_speeds

SMALL_MS_PER_TOKEN = 0.014
LARGE_MS_PER_TOKEN = 0.072
BASE_MS = 25


def learned() -> prefill_speeds.PrefillSpeeds:
    speeds = prefill_speeds.PrefillSpeeds()
    for number in range(60):
        tokens = 500 + 400 * number
        for name, pace in (
            ('small', SMALL_MS_PER_TOKEN),
            ('large', LARGE_MS_PER_TOKEN),
        ):
            speeds.record(name, BASE_MS + pace * tokens, tokens)
    return speeds


@pytest.mark.parametrize(
    ('name', 'expected_ms'),
    [
        ('small', 10_000 * SMALL_MS_PER_TOKEN),
        ('large', 10_000 * LARGE_MS_PER_TOKEN),
        ('never asked', 10_000 * prefill_speeds.ASSUMED_MS_PER_TOKEN),
    ],
)
def test_speeds_are_learned_by_model(name: str, expected_ms: float) -> None:
    """Guards against one speed for models that differ by a factor of five."""
    found_ms = learned().expected_ms(name, 10_000)
    assert found_ms == pytest.approx(expected_ms, rel=0.05)


def test_waits_for_others_do_not_slow_the_speed() -> None:
    """Guards against a negative speed where the known backlog was too long."""
    speeds = prefill_speeds.PrefillSpeeds()
    for _ in range(200):
        speeds.record('m', -500, 1000)
    assert 0 <= speeds.expected_ms('m', 10_000) < 10


def test_a_long_prompt_of_the_large_model_is_a_long_wait() -> None:
    """Pattern: two queues of as many tokens, one for the largest model.

    Guards against prompts that wait seconds behind fewer but slower tokens.
    """
    speeds = learned()
    views = [
        make.view('e1', pending_prefill_ms=speeds.expected_ms('large', 20_000)),
        make.view('e2', pending_prefill_ms=speeds.expected_ms('small', 40_000)),
    ]
    need = make.need(
        prompt_tokens=2000, prefill_ms_per_token=SMALL_MS_PER_TOKEN
    )
    found = choice.choose(views, need, 0)
    assert found is not None
    assert found.endpoint.name == 'e2'


@pytest.mark.parametrize(
    ('pattern', 'backlog_ms', 'least_ms'),
    [
        ('idle endpoint: silence is a lost answer', 0, 1500),
        ('all callers come back at once', 4000, 4000),
    ],
)
def test_patience_with_a_busy_endpoint(
    pattern: str, backlog_ms: float, least_ms: float
) -> None:
    """Guards against calls that lose their place in one queue after another.

    After the loss of all daemons a call was taken from three busy engines in
    turn, each after 1.5 s, until its deadline passed.
    """
    usual = stream_timeouts.FirstEventTimeout(mean=1, deviation=0.1)
    wait_ms = usual.timeout_ms(800, 2000, backlog_ms)
    assert least_ms <= wait_ms <= least_ms + 2 * backlog_ms, pattern
