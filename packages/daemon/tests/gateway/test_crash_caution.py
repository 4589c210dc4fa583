"""Tests of the caution with requests that were lost in one crash."""

from __future__ import annotations

import pytest

from yuccarouter.gateway import crash_caution, crash_suspicions

NOW_MS = 10_000.0


def attempt(
    number: int, engine: str, age_ms: float, digest: str
) -> crash_suspicions.CrashedAttempt:
    crashed_ms = NOW_MS - age_ms
    return crash_suspicions.CrashedAttempt(
        request=number,
        number=1,
        engine=engine,
        service='app',
        sent_ms=crashed_ms - 50,
        crashed_ms=crashed_ms,
        suspects=frozenset((digest,)),
        answered=frozenset((digest,)) if digest.isupper() else frozenset(),
        changed_ms=crashed_ms,
    )


@pytest.mark.parametrize(
    ('lost', 'engine_count', 'is_running', 'is_held'),
    [
        pytest.param([('a', 100, '/d')], 3, False, False, id='two left'),
        pytest.param([('a', 100, '/d')], 2, False, True, id='one left'),
        pytest.param([('a', 100, '/d')], 3, True, True, id='copy running'),
        pytest.param([('a', 100, '/s')], 2, False, False, id='not lost'),
        pytest.param([('a', 100, '/D')], 2, False, False, id='answered before'),
        pytest.param([('a', 5000, '/d')], 2, True, False, id='long ago'),
        pytest.param(
            [('a', 100, '/d'), ('b', 200, '/s')],
            3,
            False,
            True,
            id='two crashes',
        ),
        pytest.param(
            [('a', 100, '/d'), *(('a', 100, f'/{each}') for each in range(9))],
            2,
            False,
            False,
            id='lost among many',
        ),
    ],
)
def test_caution(
    lost: list[tuple[str, float, str]],
    engine_count: int,
    is_running: bool,
    is_held: bool,
) -> None:
    """Guards against services that one request leaves without engines.

    A sound request that was lost among many is not held back.
    """
    attempts = [attempt(number, *row) for number, row in enumerate(lost)]
    remaining_ms = crash_caution.remaining_ms(
        attempts, ('/d', '/D'), engine_count, NOW_MS, is_running=is_running
    )
    assert (remaining_ms > 0) is is_held
