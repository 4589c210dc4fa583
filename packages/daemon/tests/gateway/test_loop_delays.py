"""Tests of the measurement of the event loop's delays."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from yuccarouter.gateway import late_log, loop_delays
from yuccarouter_common import clocks
from yuccarouter_testkit import virtual_time


@pytest.mark.parametrize(
    ('delays_ms', 'lines'),
    [
        ([0, 20, 149], []),
        ([150], [(1, 150)]),
        # The first one is logged at once, the others once a second.
        ([200, 300, 10, 250, 0], [(1, 200), (2, 300)]),
        ([200] * 9, [(1, 200), (4, 200), (4, 200)]),
    ],
)
def test_lines(
    monkeypatch: pytest.MonkeyPatch,
    delays_ms: list[float],
    lines: list[tuple[int, int]],
) -> None:
    """Guards against an overload that no log shows, or fills the log."""
    logged: list[dict[str, Any]] = []
    monkeypatch.setattr(
        late_log.eliot,
        'log_message',
        lambda kind, **fields: logged.append(fields),
    )
    delays = loop_delays.LoopDelays('callers')
    for step, delay_ms in enumerate(delays_ms):
        delays.record(delay_ms, now_ms=step * 250)
    assert [(each['count'], each['longest_ms']) for each in logged] == lines


def test_turn_that_takes_long(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against long turns of the loop that are not measured."""
    loop = virtual_time.VirtualTimeLoop()
    monkeypatch.setattr(clocks, 'monotonic_ms', lambda: loop.time() * 1000)
    observed: list[float] = []
    monkeypatch.setattr(
        loop_delays.metrics,
        'observe_loop_delay',
        lambda loop, delay_ms: observed.append(delay_ms),
    )

    async def scenario() -> None:
        measuring = asyncio.create_task(loop_delays.LoopDelays('callers').run())
        await asyncio.sleep(1.1)
        loop.turn_s = 0.3
        await asyncio.sleep(1.3)
        measuring.cancel()

    loop.run_until_complete(scenario())
    loop.close()
    assert max(observed[:4]) < 10
    assert max(observed[4:]) > 150
