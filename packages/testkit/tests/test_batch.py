"""Tests of the engine emulator's batch and prefix cache."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from yuccarouter_testkit.stand_ins import batch


def _batch(capacity: int, cold: bool = False) -> batch.Batch:
    timing = batch.Timing(step_ms=2, stream_step_ms=0.5, cold_factor=3)
    return batch.Batch(capacity, timing, lambda: cold, lambda: False)


@pytest.mark.parametrize(
    ('streams', 'cold', 'step_ms'),
    [(1, False, 2.5), (4, False, 4), (9, False, 4), (4, True, 12)],
)
async def test_step_time(streams: int, cold: bool, step_ms: float) -> None:
    """Guards against a batch whose size costs nothing or has no limit."""
    filled = _batch(4, cold)
    for number in range(streams):
        filled.add(batch.Stream(str(number), 0, ['t'], 0))
    assert filled.step_s() * 1000 == pytest.approx(step_ms)


async def test_priority() -> None:
    """Guards against a low priority that starts before a high one."""
    filled = _batch(1)
    streams = [
        batch.Stream(f'{priority}/{number}', priority, ['t'], 0)
        for number, priority in enumerate([0, 0, 5, 1, 5])
    ]
    for stream in streams:
        filled.add(stream)
    order = []
    while filled.running:
        order.extend(filled.running)
        filled.remove(next(iter(filled.running.values())))
    assert order == ['0/0', '5/2', '5/4', '1/3', '0/1']


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(
    capacity=strategies.integers(1, 4),
    calls=strategies.lists(strategies.lists(strategies.integers(0, 6))),
)
def test_prefix_cache(capacity: int, calls: list[list[int]]) -> None:
    """Guards against a cache that differs from a naive list of recent use."""
    naive: list[int] = []
    held: set[int] = set()
    change = {'stored': held.add, 'evicted': held.remove}
    cache = batch.PrefixCache(
        capacity, lambda event, prefix: change[event](prefix)
    )
    for prefixes in calls:
        missing = [prefix not in naive for prefix in prefixes]
        known = missing.index(True) if True in missing else len(prefixes)
        assert cache.use(prefixes) == known
        for prefix in prefixes:
            naive = [*(kept for kept in naive if kept != prefix), prefix]
            naive = naive[-capacity:]
        assert held == set(naive)
        assert cache.used_share == len(naive) / capacity
