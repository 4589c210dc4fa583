"""Tests of the gossip about unreachable endpoints.

They guard against slow detection when several endpoints crash at once: each of
many daemons sends only a few requests per second, so that one alone would take
long to find all of them.
"""

from __future__ import annotations

import itertools
from typing import Any

import gateway_makers as make
import pytest

from yuccarouter.gateway import choice, failure_reports

NOW_MS = 50_000.0


def gossip(
    daemons: list[failure_reports.FailureReports],
    fanout: int,
    rounds: int,
    now_ms: float,
) -> None:
    """Let each daemon send to the next ``fanout`` ones in each round."""
    for round_number, (index, sender) in itertools.product(
        range(rounds), enumerate(daemons)
    ):
        message = sender.message(100, now_ms)
        for step in range(fanout):
            target = index + 1 + round_number * fanout + step
            daemons[target % len(daemons)].merge(message, now_ms)


@pytest.mark.parametrize(('daemons', 'rounds'), [(4, 1), (68, 3), (400, 4)])
def test_reports_of_two_daemons_reach_all(daemons: int, rounds: int) -> None:
    """Guards against each daemon having to detect a dead endpoint itself."""
    fleet = [
        failure_reports.FailureReports(f'd{number}')
        for number in range(daemons)
    ]
    fleet[0].report_failure('dead', NOW_MS)
    fleet[daemons // 2].report_failure('dead', NOW_MS)
    gossip(fleet, 8, rounds, NOW_MS)
    informed = [
        reports for reports in fleet if reports.unreachable(NOW_MS) == {'dead'}
    ]
    assert len(informed) == daemons


@pytest.mark.parametrize(
    ('case', 'reporters', 'age_ms', 'expected'),
    [
        ('one reporter may be at fault', ['d1'], 100, False),
        ('two reporters', ['d1', 'd2'], 100, True),
        ('expired reports', ['d1', 'd2'], 2000, False),
        ('a negative age counts as new', ['d1', 'd2'], -9000, True),
    ],
)
def test_number_and_age_of_reports(
    case: str, reporters: list[str], age_ms: int, expected: bool
) -> None:
    """Guards against acting on the fault of a single daemon."""
    reports = failure_reports.FailureReports('d0')
    for reporter in reporters:
        reports.merge({'dead': {reporter: age_ms}}, NOW_MS)
    assert ('dead' in reports.unreachable(NOW_MS)) is expected, case


def test_isolated_daemon_reports_nothing() -> None:
    """Guards against an isolated data centre that reports all endpoints."""
    isolated = failure_reports.FailureReports('d1')
    for number in range(60):
        isolated.report_failure(f'e{number}', NOW_MS)
    assert isolated.message(100, NOW_MS) == {}


def test_answer_discards_older_reports() -> None:
    """Guards against old reports that keep a healthy endpoint unused."""
    reports = failure_reports.FailureReports('d0')
    message = {'e1': {'d1': 500, 'd2': 500}}
    reports.merge(message, NOW_MS)
    reports.record_answer('e1', NOW_MS)
    reports.merge({'e1': {'d1': 600, 'd2': 600}}, NOW_MS + 100)
    assert not reports.unreachable(NOW_MS + 100)
    # Failures after the answer count again.
    reports.merge({'e1': {'d1': 10, 'd2': 10}}, NOW_MS + 100)
    assert reports.unreachable(NOW_MS + 100) == {'e1'}


def test_message_is_bounded() -> None:
    """Guards against a message too long for a datagram, when all crash."""
    reports = failure_reports.FailureReports('d0')
    for number in range(810):
        reports.merge({f'e{number}': {'d1': 5, 'd2': 9, 'd3': 1}}, NOW_MS)
    message = reports.message(810, NOW_MS)
    assert len(message) == 32
    assert {len(ages) for ages in message.values()} == {2}


@pytest.mark.parametrize('message', [[], {'e': 5}, {'e': {'d': 'x'}}, None])
def test_malformed_message(message: Any) -> None:
    """Guards against a malformed message that crashes a daemon."""
    reports = failure_reports.FailureReports('d0')
    with pytest.raises((TypeError, ValueError, AttributeError)):
        reports.merge(message, NOW_MS)


def test_unreachable_endpoints_are_the_last_resort() -> None:
    """Guards against sending all calls to a dead endpoint that looks idle."""
    views = [make.view('dead'), make.view('busy', in_flight=30)]
    need = make.need(unreachable=frozenset(('dead',)))
    chosen = choice.choose(views, need, NOW_MS)
    assert chosen is not None
    assert chosen.endpoint.name == 'busy'
    chosen = choice.choose(views[:1], need, NOW_MS)
    assert chosen is not None
    assert chosen.endpoint.name == 'dead'
