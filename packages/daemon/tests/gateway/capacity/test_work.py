"""Tests of learned times, of a service's room and of news of long reads."""

from __future__ import annotations

import math
import random
from typing import Any

import gateway_makers as make
import pytest

from yuccarouter.gateway import model
from yuccarouter.gateway.capacity import observations, room, work

NOW_MS = 50_000.0
QUEUED = model.Load(6, 2, 6)


@pytest.mark.parametrize(
    ('case', 'linear_ms', 'quadratic_ms', 'noise'),
    [
        ('linear', 100, 0, 0.1),
        ('quadratic', 100, 40, 0.1),
        ('noisy', 300, 100, 0.25),
    ],
)
def test_reads_are_fitted(
    case: str, linear_ms: float, quadratic_ms: float, noise: float
) -> None:
    """Guards against long prompts whose read is taken for as fast per token."""
    drawn = random.Random(7)
    times = work.ServiceTimes()
    for _ in range(300):
        units = drawn.choice((0.05, 0.2, 0.5, 1.5, 3, 5))
        read_ms = linear_ms * units + quadratic_ms * units**2
        elapsed_ms = 25 + read_ms * drawn.uniform(1 - noise, 1 + noise)
        times.record_read('m', units * 10_000, elapsed_ms, 0)
    for units in (0.5, 2, 5):
        expected_ms = linear_ms * units + quadratic_ms * units**2
        found_ms = times.read_ms('m', units * 10_000)
        assert found_ms == pytest.approx(expected_ms, rel=0.12), case


def test_few_reads_change_little() -> None:
    """Guards against a quadratic term from the noise of a few reads."""
    times = work.ServiceTimes()
    assert times.read_ms('m', 10_000) == 400
    for tokens, elapsed_ms in ((1000, 45), (20_000, 900), (30_000, 2000)):
        times.record_read('m', tokens, elapsed_ms, 0)
    first_ms = times.read_ms('m', 10_000)
    assert times.read_ms('m', 40_000) == pytest.approx(4 * first_ms)
    times.record_read('m', 10_000, 4000, 3600)
    assert times.read_ms('m', 10_000) == pytest.approx(first_ms, rel=0.05)
    for number in range(2000):
        times.record_read(f'other{number}', 10, math.inf, 0)
        times.record_read('m', 0, 10, 0)
    assert len(times._reads) <= 512


def test_service_times_by_route() -> None:
    """Guards against one time for routes of different work."""
    times = work.ServiceTimes()
    assert times.service_ms('s', 'r', 100) == 100
    for _ in range(50):
        times.record_service('s', 'r', 150, 2.5)
    assert times.service_ms('s', 'r', 100) == pytest.approx(60)
    assert times.service_ms('s', 'new', 100) == pytest.approx(60)
    for number in range(2000):
        times.record_service('s', f'r{number}', 60, 1)
    assert len(times._services_ms) <= 512


@pytest.mark.parametrize(
    ('case', 'is_engine', 'fields', 'expected'),
    [
        ('none', False, [], (0, math.inf, math.inf)),
        ('idle', False, [{}, {}], (12_000, 0, math.inf)),
        ('slow', False, [{'name': 'slow'}], (2400, 0, math.inf)),
        ('engine', True, [{}, {}], (2000, 0, math.inf)),
        ('full', False, [{'in_flight': 11}], (6000, 75, math.inf)),
        (
            'engine reads',
            True,
            [{'name': 'slow', 'pending_prefill_ms': 100}],
            (400, 250, math.inf),
        ),
        ('drains', False, [{'is_draining': True}], (0, math.inf, math.inf)),
        ('silent', False, [{'avoid_until_ms': 1e9}], (0, math.inf, math.inf)),
        (
            'reported',
            False,
            [{'load': QUEUED, 'load_received_ms': NOW_MS - 40}],
            (6000, 37.5, 40),
        ),
    ],
)
def test_room(
    case: str,
    is_engine: bool,
    fields: list[dict[str, Any]],
    expected: tuple[float, float, float],
) -> None:
    """Guards against admission by capacity that endpoints don't have now."""
    views = [make.view(**{'slots': 6, **given}) for given in fields]
    scope = room.Scope(
        make.need(),
        is_engine,
        75,
        lambda name, now_ms: 2.5 if name == 'slow' else 1.0,
    )
    found = room.service_room(views, scope, NOW_MS)
    assert found == room.Room(*map(pytest.approx, expected)), case


def test_news_of_long_reads_are_bounded() -> None:
    """Guards against digests that exceed the control's share of the network."""
    news = observations.ReadNews()
    due = [news.is_due(300, now_ms) for now_ms in range(0, 10_000, 5)]
    assert due[:3] == [True] * 3
    assert 10 <= sum(due) <= 13
    assert not observations.ReadNews().is_due(250, 0)
