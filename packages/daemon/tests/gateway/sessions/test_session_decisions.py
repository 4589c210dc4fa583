"""Tests of the decisions on sessions in a canary."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies as st

from yuccarouter.gateway.sessions import decisions, owners, versions


def known(version: str, age_ms: float, held_ms: float = 0) -> decisions.Answer:
    return decisions.Answer(version, age_ms, is_certain=True, held_ms=held_ms)


UNKNOWN = decisions.Answer(None, 0, is_certain=True)
RESTARTED = decisions.Answer(None, 0, is_certain=False)


@pytest.mark.parametrize(
    ('answers', 'kept', 'is_settled'),
    [
        ([], ('v1', 0), False),
        ([UNKNOWN], None, False),
        ([UNKNOWN, UNKNOWN], None, True),
        ([RESTARTED], ('v1', 0), False),
        ([RESTARTED, RESTARTED], ('v1', 0), True),
        ([RESTARTED, UNKNOWN], None, True),
        ([known('v1', 9)], ('v1', 9), True),
        ([UNKNOWN, known('v1', 9)], ('v1', 9), True),
        ([known('v1', 9), known('v2', 4)], ('v2', 4), True),
        ([known('v1', 9, 50), known('v2', 4, 20)], ('v1', 9), True),
    ],
)
def test_answers_of_owners(
    answers: list[decisions.Answer],
    kept: tuple[str, float] | None,
    is_settled: bool,
) -> None:
    """Guards against a session that moves as an owner restarted or is lost."""
    present = {'v1', 'v2'}
    answer = decisions.version_to_keep(answers, 'v2', present)
    assert (answer and (answer.version, answer.age_ms)) == kept
    assert decisions.is_settled(answers, 2) == is_settled
    if kept == ('v1', 0):
        # There is no old version to stay on.
        assert decisions.version_to_keep(answers, 'v2', {'v2'}) is None


@pytest.mark.parametrize(
    ('version', 'order_age_ms', 'expected'),
    [
        (None, 999, False),
        (None, 1000, True),
        ('v1', 9000, False),
        ('v2', 0, True),
        ('gone', 0, True),
    ],
)
def test_sessions_that_may_move(
    version: str | None, order_age_ms: float, expected: bool
) -> None:
    """Guards against sessions that move before all daemons know the order."""
    present = {'v1', 'v2'}
    moves = decisions.may_move(version, 'v2', present, order_age_ms)
    assert moves == expected


@pytest.mark.parametrize(
    ('remaining_ms', 'expected'), [(-5, 0), (30, 10), (90, 30), (9000, 30)]
)
def test_wait_for_answers(remaining_ms: float, expected: float) -> None:
    """Guards against waits that use up a request's remaining time."""
    assert decisions.answer_timeout_ms(remaining_ms) == pytest.approx(expected)


@hypothesis.given(
    count=st.sampled_from([1, 2, 3, 68, 400]),
    lost=st.integers(0, 399),
    key=st.text(max_size=16),
)
def test_one_owner_outlasts_any_daemon(count: int, lost: int, key: str) -> None:
    """Guards against both owners changing when one daemon joins or leaves."""
    daemons = tuple(f'd{number}' for number in range(count))
    rest = tuple(name for name in daemons if name != f'd{lost % count}')
    before = owners.owners(key, daemons)
    assert len(before) == len(set(before)) == min(2, count)
    after = owners.owners(key, rest)
    assert set(before) - {f'd{lost % count}'} <= set(after)


def test_table_of_sessions_is_bounded() -> None:
    """Guards against a process that fills its memory with callers' names."""
    table = versions.SessionVersions(5000)
    for number in range(20_001):
        table.record('engine', f's{number}', 'v1', 0)
    table.record('engine', 'x' * 5000, 'v1', 0)
    table.record('engine', 'not UTF-8: \udcff', 'v1', 0)
    assert table.version('engine', 's2', 0) is None
    assert table.version('engine', 's3', 0) == 'v1'
    assert table.version('engine', 'x' * 5000, 0) == 'v1'
    names = [newest.session for _, newest in table.in_progress('engine', 0)]
    assert len(names) == 19_999
    assert max(map(len, names)) < 100
    assert not list(table.in_progress('engine', 5001))


@pytest.mark.parametrize(
    ('case', 'v1_since_ms', 'v2_since_ms', 'expected'),
    [
        ('the first version', 300, 400, 'v1'),
        ('the first version, of older requests', 500, 100, 'v2'),
        ('at the same time', 500, 480, 'v1'),
    ],
)
def test_reports_of_another_version(
    case: str, v1_since_ms: float, v2_since_ms: float, expected: str
) -> None:
    """Guards against daemons that disagree on a session's version."""
    key = versions.session_key('engine', 's')
    reports = (
        versions.NewestRequest('v1', 800, v1_since_ms),
        versions.NewestRequest('v2', 600, v2_since_ms),
    )
    for ordered in (reports, reversed(reports)):
        table = versions.SessionVersions(5000)
        for report in ordered:
            table.merge(key, report, 900)
        assert table.version('engine', 's', 900) == expected, case
        assert table.version('engine', 's', 5801) is None
