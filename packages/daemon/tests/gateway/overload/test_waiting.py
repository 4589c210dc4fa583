"""Tests of queues, times to return, holds at the start and load reports."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from yuccarouter.gateway import model
from yuccarouter.gateway.overload import (
    endpoint_loads,
    retry_after,
    startup,
    waiting,
)


def entry(latest_ms: float, **fields: Any) -> waiting.Entry:
    values = {'weight': 1, 'body_bytes': 0, 'wake': lambda: None, **fields}
    return waiting.Entry(latest_ms, **values)


def test_order_and_overtaking() -> None:
    """Guards against requests that wait until they are late, or for ever."""
    queue = waiting.WaitingQueue(max_bytes=100)
    slow, urgent, valuable = entry(900), entry(100), entry(800, weight=16)
    for each in (slow, urgent, valuable):
        assert queue.add(each)
    assert queue.ordered(0) == [valuable, urgent, slow]
    for _ in range(4):
        later = entry(50)
        queue.add(later)
        queue.remove(later, is_sent=True)
    queue.add(entry(10))
    assert queue.ordered(0)[:3] == [slow, urgent, valuable]


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 2000), st.integers(0, 60), st.booleans()),
        max_size=200,
    )
)
def test_bounds_of_the_queue(steps: list[tuple[int, int, bool]]) -> None:
    """Guards against a queue that grows with the load, and lost places."""
    queue = waiting.WaitingQueue(max_bytes=1000)
    for latest_ms, body_bytes, leaves in steps:
        added = entry(latest_ms, body_bytes=body_bytes)
        if queue.add(added) and leaves:
            queue.remove(added, is_sent=False)
        assert len(queue.entries) <= 64
        assert sum(each.body_bytes for each in queue.entries) <= 1000
    for each in tuple(queue.entries):
        queue.remove(each, is_sent=True)
    assert queue.add(entry(0, body_bytes=1000))


@hypothesis.given(
    daemons=st.sampled_from((3, 68, 400)),
    wait_ms=st.floats(0, 5000),
    left_ms=st.floats(0, 60_000),
    draws=st.lists(st.floats(0, 1), min_size=2, max_size=40),
)
def test_times_to_return(
    daemons: int, wait_ms: float, left_ms: float, draws: list[float]
) -> None:
    """Guards against callers that return all at once, too early or not at all.

    Callers wait at most a third of the time that they have left.
    """
    returns = retry_after.ReturnTimes()
    room = retry_after.Room(wait_ms, 75 / 6 * daemons)
    times_ms = [
        returns.retry_after_ms('s', room, left_ms, 1000, draw) for draw in draws
    ]
    assert all(0 <= time_ms <= left_ms / 3 for time_ms in times_ms)
    if left_ms / 3 > 2 * max(100, wait_ms):
        assert min(times_ms) >= 0.8 * max(100, wait_ms)
        assert times_ms[0] <= min(times_ms[1:]) * 1.3


@pytest.mark.parametrize(
    ('deadline_ms', 'expected_ms'),
    [(None, 150), (200, 100), (400, 150), (4000, 500), (0, 0), (-5, 0)],
)
def test_time_of_a_hold(deadline_ms: float | None, expected_ms: float) -> None:
    """Guards against requests that are held until their deadline."""
    assert startup.hold_ms(deadline_ms) == expected_ms


@pytest.mark.parametrize(
    ('outage_ms', 'left_ms', 'least_ms', 'most_ms'),
    [
        (0, None, 450, 750),
        (2000, None, 1500, 2500),
        (60_000, None, 2250, 3750),
        (2000, 3000, 1000, 1000),
        (2000, -1, 0, 0),
    ],
)
def test_time_to_return_in_an_outage(
    outage_ms: float, left_ms: float | None, least_ms: float, most_ms: float
) -> None:
    """Guards against callers that return once, and are refused again."""
    for draw in (0, 0.3, 1):
        time_ms = startup.retry_after_ms(outage_ms, left_ms, draw)
        assert least_ms <= time_ms <= most_ms


async def test_holds_are_bounded_and_end() -> None:
    """Guards against memory for held requests, and holds after the start."""
    holds = startup.Holds(max_count=2)
    held = [asyncio.create_task(holds.hold(60_000)) for _ in range(2)]
    await asyncio.sleep(0)
    assert not await holds.hold(60_000)
    held[0].cancel()
    await asyncio.sleep(0)
    assert holds.count == 1
    holds.end()
    assert await held[1]
    assert not holds.is_starting


@pytest.mark.parametrize(
    'message',
    [
        {'e': [1, 2, 3]},
        {'e': [-1, 6, 0, 75]},
        {'e': [1, 6, math.nan, 75]},
        {'e': [10**9, 6, 0, 75]},
        {'e': None},
        [],
    ],
)
def test_bad_reports_of_peers(message: Any) -> None:
    """Guards against a peer's message that sheds or admits all requests."""
    loads = endpoint_loads.Loads()
    with pytest.raises((AttributeError, TypeError, ValueError)):
        loads.merge({'good': [1, 6, 0, 75], **message}, 0)
    assert loads.get('good') is None


def test_reports_of_peers() -> None:
    """Guards against older figures that replace newer ones, and long digests.

    Without any report for long, figures must not keep requests away.
    """
    loads = endpoint_loads.Loads()
    for index in range(40):
        loads.record_report(f'e{index}', model.Load(6, index, 6), 1000)
        loads.get(f'e{index}').record_work(100)  # type: ignore[union-attr]
    message = loads.message(1100)
    assert len(message) == 8
    assert 'e39' in message
    assert not loads.message(3000)
    peer = endpoint_loads.Loads()
    peer.merge(message, 1200)
    known = peer.get('e39')
    assert known is not None
    assert (known.waiting, known.reported_ms, known.work_ms) == (39, 1100, 100)
    peer.merge({'e39': [0, 6, 500, 100]}, 1200)
    assert known.waiting == 39
    assert known.wait_ms(0, 1100) == pytest.approx(650)
    assert known.is_known(1100 + 15_000)
    assert not known.is_known(1101 + 15_000)
    assert known.wait_ms(0, 60_000) < 5
