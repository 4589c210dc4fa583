"""Tests of how the parts that crash engines are found."""

from __future__ import annotations

import itertools

import pytest

from yuccarouter.gateway import crash_suspicions

# Time from the send to the crash.
RUN_MS = 100.0

# An attempt in short: request, engine, time of the crash, suspects. Suspects in
# capitals had been answered before.
Row = tuple[int, str, float, str]


def attempt(number: int, row: Row) -> crash_suspicions.CrashedAttempt:
    request, engine, crashed_ms, suspects = row
    names = frozenset(suspects.split())
    return crash_suspicions.CrashedAttempt(
        request=request,
        number=number,
        engine=engine,
        service='engine',
        sent_ms=crashed_ms - RUN_MS,
        crashed_ms=crashed_ms,
        suspects=names,
        answered=frozenset(name for name in names if name.isupper()),
        changed_ms=crashed_ms,
    )


def find(rows: list[Row]) -> set[str]:
    attempts = itertools.starmap(attempt, enumerate(rows))
    return {
        ' '.join(sorted(found.parts))
        for found in crash_suspicions.find_suspicions(attempts)
    }


@pytest.mark.parametrize(
    ('rows', 'parts'),
    [
        pytest.param([], set(), id='no crash'),
        pytest.param(
            [(1, 'a', 100, 'x'), (2, 'b', 300, 'x')], set(), id='two crashes'
        ),
        pytest.param(
            [(1, 'a', 100, 'x'), (1, 'b', 300, 'x'), (2, 'c', 500, 'x')],
            {'x'},
            id='three crashes in sequence',
        ),
        pytest.param(
            [(1, 'a', 100, 'x'), (1, 'b', 300, 'x'), (1, 'c', 500, 'x')],
            set(),
            id='one request',
        ),
        pytest.param(
            [(each, f'e{each}', 100 + each, 'x') for each in range(20)],
            set(),
            id='loss of power',
        ),
        pytest.param(
            [
                (1, 'a', 100, 'SYS x own1'),
                (1, 'b', 300, 'SYS x own1'),
                (2, 'c', 500, 'SYS x own2'),
            ],
            {'x'},
            id='part that most prompts share',
        ),
        pytest.param(
            [
                (1, 'a', 100, 'SYS x'),
                (1, 'b', 300, 'SYS x'),
                (2, 'c', 500, 'SYS y'),
                (2, 'd', 700, 'SYS y'),
                (3, 'e', 900, 'SYS x'),
                (4, 'f', 1100, 'SYS y'),
            ],
            {'x', 'y'},
            id='two parts at once',
        ),
        pytest.param(
            [
                (1, 'a', 100, 'x'),
                (1, 'b', 300, 'x'),
                (9, 'b', 300, 'z'),
                (2, 'c', 500, 'x'),
                (9, 'c', 500, 'z'),
                (3, 'd', 700, 'x'),
                (8, 'd', 700, 'z'),
            ],
            {'x'},
            id='prompt that met the same crashes',
        ),
        pytest.param(
            [
                (
                    request,
                    f'e{request}{each}',
                    1000 * request + 200 * each,
                    'OLD',
                )
                for request in (1, 2, 3)
                for each in (0, 1)
            ],
            {'OLD'},
            id='answered before and crashing now',
        ),
        pytest.param(
            [
                (
                    request,
                    f'e{request}{each}',
                    1000 * request + 200 * each,
                    f'OLD own{request}',
                )
                for request in (1, 2, 3)
                for each in (0, 1, 2)
            ],
            {'OLD'},
            id='answered before, beside new parts',
        ),
        pytest.param(
            [(1, 'a', 100, 'x /d'), (2, 'b', 300, 'x /d')],
            {'/d'},
            id='request that comes again',
        ),
        pytest.param(
            [(1, 'a', 100, '/d'), (2, 'b', 110, '/d')],
            {'/d'},
            id='copies of a request at the same time',
        ),
        pytest.param(
            [
                (1, 'a', 100, 'x /d'),
                (2, 'b', 300, 'x /d'),
                (3, 'c', 500, 'x /d'),
                (4, 'c', 500, 'x /s'),
            ],
            {'/d'},
            id='part that one request brought several times',
        ),
        pytest.param(
            [
                (1, 'a', 100, 'x /d1'),
                (1, 'b', 300, 'x /d1'),
                (2, 'c', 500, 'x /d2'),
            ],
            {'x'},
            id='part that several requests brought',
        ),
        pytest.param(
            [
                (1, 'a', 100, '/d'),
                (2, 'a', 100, '/s'),
                (1, 'b', 300, '/d'),
                (2, 'b', 300, '/s'),
            ],
            set(),
            id='two requests lost in the same crashes',
        ),
        pytest.param(
            [
                (1, 'a', 100, '/d'),
                (2, 'a', 100, '/s'),
                (1, 'b', 300, '/d'),
                (2, 'b', 300, '/s'),
                (3, 'c', 500, '/d'),
            ],
            {'/d'},
            id='two requests told apart by a third crash',
        ),
        pytest.param(
            [
                (request, engine, 100 * step, name)
                for step, engine in enumerate('abc')
                for request, name in ((1, '/d'), (2, '/s'))
            ],
            {'/d', '/s'},
            id='two requests lost in the same three crashes',
        ),
        pytest.param(
            [(1, 'a', 100, '/D'), (2, 'b', 300, '/D')],
            set(),
            id='request that was answered before, two crashes',
        ),
        pytest.param(
            [(1, 'a', 100, '/D'), (2, 'b', 300, '/D'), (3, 'c', 500, '/D')],
            {'/D'},
            id='request that was answered before, three crashes',
        ),
        pytest.param(
            [
                (
                    request,
                    f'e{request}{each}',
                    1000 * request + 200 * each,
                    f'OLD /d{request}',
                )
                for request in (1, 2, 3)
                for each in (0, 1)
            ],
            {'OLD', '/d1', '/d2', '/d3'},
            id='answered before, in requests that are held too',
        ),
        pytest.param(
            [
                (1, 'a', 100, '/d1'),
                (2, 'b', 150, '/d2'),
                (1, 'c', 300, '/d1'),
                (2, 'd', 350, '/d2'),
            ],
            {'/d1', '/d2'},
            id='two requests at once',
        ),
    ],
)
def test_parts_that_explain_the_crashes(
    rows: list[Row], parts: set[str]
) -> None:
    """Guards against sound requests that are held for crashes of others."""
    assert find(rows) == parts


@pytest.mark.parametrize(
    ('suspect', 'crashes', 'hold_ms'),
    [
        ('x', 3, 20_000),
        ('x', 4, 40_000),
        ('x', 6, 160_000),
        ('x', 9, 600_000),
        ('OLD', 5, 5000),
        ('OLD', 6, 10_000),
        ('OLD', 8, 40_000),
        ('/d', 2, 20_000),
        ('/d', 3, 40_000),
    ],
)
def test_hold_grows_with_each_crash(
    suspect: str, crashes: int, hold_ms: float
) -> None:
    """Guards against tries that crash engines again and again.

    A part that most prompts share must not stop its service for long.
    """
    rows = [
        (each, f'e{each}', 200.0 * each, suspect) for each in range(crashes)
    ]
    (found,) = crash_suspicions.find_suspicions(
        itertools.starmap(attempt, enumerate(rows))
    )
    assert found.hold_until_ms() - rows[-1][2] == hold_ms
