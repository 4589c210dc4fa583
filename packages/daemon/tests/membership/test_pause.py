"""Tests of noticing that the process did not run."""

from __future__ import annotations

from typing import Any

import pytest

from yuccarouter.membership import pause


@pytest.mark.parametrize(
    ('steps', 'paused'),
    [
        ([(100, 100), (100, 100)], []),
        ([(750, 750)], []),
        ([(751, 0)], [751]),
        # A frozen VM's own clock stands still; a host then sets the wall clock.
        ([(100, 100), (0, 9000), (100, 100)], [9000]),
        ([(100, -9000), (100, 100)], []),
        ([(2000, 2000), (3000, 3000)], [2000, 3000]),
    ],
)
def test_pauses_by_clock(
    steps: list[tuple[float, float]], paused: list[float]
) -> None:
    """Guards against missed pauses and false ones on a stepped clock."""
    clocks = [0.0, 0.0]
    watch = pause.PauseWatch(750, (lambda: clocks[0], lambda: clocks[1]))
    told: list[Any] = []
    watch.subscribe(told.append)
    watch.subscribe(lambda _: told.append('second'))
    for boot, wall in steps:
        clocks[0] += boot
        clocks[1] += wall
        # Listeners have been told when the first check after it returns.
        before = len(told)
        assert watch.check() is (len(told) > before)
        assert not watch.check()
    assert told == [item for one in paused for item in (one, 'second')]


@pytest.mark.parametrize('first', ['old report', 'silence'])
async def test_reports_from_before_a_pause(world: Any, first: str) -> None:
    """Guards against buffered reports taken for new and for false losses."""
    await world.list(world.vm('x'))
    await world.daemons.send('x:1', world.report('x'))
    cancels: list[str] = []
    world.now_ms += 5000
    with world.canceller.cancel_on_loss('e-x', lambda: cancels.append('call')):
        buffered = world.report('x', sequence=2, state='cold')
        await world.daemons.send(
            'x:1', buffered if first == 'old report' else None
        )
    assert [view.sequence for view in world.fleet] == [1]
    assert cancels == []
    assert len(world.daemons.calls['x:1']) == 2
    assert world.daemons.calls['x:1'][0].cancelled
    await world.daemons.send('x:1', world.report('x', sequence=3))
    assert [view.sequence for view in world.fleet] == [3]
