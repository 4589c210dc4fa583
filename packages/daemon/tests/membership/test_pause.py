"""Tests of detecting that the process was paused."""

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
        # The boot clock of a frozen VM stands still; the host corrects the wall
        # clock afterwards.
        ([(100, 100), (0, 9000), (100, 100)], [9000]),
        ([(100, -9000), (100, 100)], []),
        ([(2000, 2000), (3000, 3000)], [2000, 3000]),
    ],
)
def test_pauses_by_clock(
    steps: list[tuple[float, float]], paused: list[float]
) -> None:
    """Guards against missed pauses and false ones after a step of a clock."""
    clocks = [0.0, 0.0]
    detector = pause.PauseDetector(750, (lambda: clocks[0], lambda: clocks[1]))
    notified: list[Any] = []
    detector.subscribe(notified.append)
    detector.subscribe(lambda _: notified.append('second'))
    for boot_ms, wall_ms in steps:
        clocks[0] += boot_ms
        clocks[1] += wall_ms
        # The first check after a pause has called the listeners on return.
        before = len(notified)
        assert detector.check() is (len(notified) > before)
        assert not detector.check()
    assert notified == [
        item for length in paused for item in (length, 'second')
    ]


@pytest.mark.parametrize('first', ['old report', 'silence'])
async def test_reports_from_before_a_pause(world: Any, first: str) -> None:
    """Guards against old reports taken as new and false losses after a pause.

    While the process is paused, reports arrive in the stream's buffer and the
    timeout of the next report passes.
    """
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
