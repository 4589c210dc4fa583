"""Tests of lost endpoints that daemons tell each other of.

The pattern of load: a part of a service's endpoints crash at once, and each of
many daemons sends only a few requests a second.
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
    """Let each daemon send to the next few ones, a number of times."""
    for turn, (place, sender) in itertools.product(
        range(rounds), enumerate(daemons)
    ):
        message = sender.message(100, now_ms)
        for step in range(fanout):
            target = place + 1 + turn * fanout + step
            daemons[target % len(daemons)].merge(message, now_ms)


@pytest.mark.parametrize(('daemons', 'rounds'), [(4, 1), (68, 3), (400, 4)])
def test_two_losses_reach_all(daemons: int, rounds: int) -> None:
    """Guards against each daemon that finds a dead endpoint by itself."""
    fleet = [
        failure_reports.FailureReports(f'd{number}')
        for number in range(daemons)
    ]
    fleet[0].report_failure('dead', NOW_MS)
    fleet[daemons // 2].report_failure('dead', NOW_MS)
    gossip(fleet, 8, rounds, NOW_MS)
    knowing = [one for one in fleet if one.unreachable(NOW_MS) == {'dead'}]
    assert len(knowing) == daemons


@pytest.mark.parametrize(
    ('pattern', 'witnesses', 'age_ms', 'expected'),
    [
        ('one daemon may be at fault', ['d1'], 100, False),
        ('two agree', ['d1', 'd2'], 100, True),
        ('the endpoint may be back', ['d1', 'd2'], 2000, False),
        ('an age that can not be is taken as new', ['d1', 'd2'], -9000, True),
    ],
)
def test_whom_to_believe(
    pattern: str, witnesses: list[str], age_ms: int, expected: bool
) -> None:
    """Guards against one daemon's faults that all others act on."""
    own = failure_reports.FailureReports('d0')
    for witness in witnesses:
        own.merge({'dead': {witness: age_ms}}, NOW_MS)
    assert ('dead' in own.unreachable(NOW_MS)) is expected, pattern


def test_daemons_that_are_cut_off_are_silent() -> None:
    """Guards against a cut data centre that has all endpoints avoided."""
    cut = failure_reports.FailureReports('d1')
    for number in range(60):
        cut.report_failure(f'e{number}', NOW_MS)
    assert cut.message(100, NOW_MS) == {}


def test_answer_outweighs_older_reports() -> None:
    """Guards against reports that go round and keep a sound endpoint idle."""
    own = failure_reports.FailureReports('d0')
    report = {'e1': {'d1': 500, 'd2': 500}}
    own.merge(report, NOW_MS)
    own.record_answer('e1', NOW_MS)
    own.merge({'e1': {'d1': 600, 'd2': 600}}, NOW_MS + 100)
    assert not own.unreachable(NOW_MS + 100)
    # Losses after the answer count again.
    own.merge({'e1': {'d1': 10, 'd2': 10}}, NOW_MS + 100)
    assert own.unreachable(NOW_MS + 100) == {'e1'}


def test_message_is_bounded() -> None:
    """Guards against a digest that no datagram holds, when all crash."""
    own = failure_reports.FailureReports('d0')
    for number in range(810):
        own.merge({f'e{number}': {'d1': 5, 'd2': 9, 'd3': 1}}, NOW_MS)
    told = own.message(810, NOW_MS)
    assert len(told) == 32
    assert {len(ages) for ages in told.values()} == {2}


@pytest.mark.parametrize('message', [[], {'e': 5}, {'e': {'d': 'x'}}, None])
def test_what_is_no_message(message: Any) -> None:
    """Guards against a faulty digest that ends a daemon."""
    own = failure_reports.FailureReports('d0')
    with pytest.raises((TypeError, ValueError, AttributeError)):
        own.merge(message, NOW_MS)


def test_lost_endpoints_are_the_last_resort() -> None:
    """Guards against the idlest endpoint, which is dead, getting all calls."""
    views = [make.view('dead'), make.view('busy', in_flight=30)]
    need = make.need(unreachable=frozenset(('dead',)))
    found = choice.choose(views, need, NOW_MS)
    assert found is not None
    assert found.endpoint.name == 'busy'
    found = choice.choose(views[:1], need, NOW_MS)
    assert found is not None
    assert found.endpoint.name == 'dead'
