"""Tests of calls of which one answer is enough."""

from __future__ import annotations

import asyncio

import pytest

from yuccarouter.gateway import hedged_calls
from yuccarouter_testkit import virtual_time


@pytest.mark.parametrize(
    ('targets', 'is_answered', 'called', 'elapsed_s'),
    [
        ([], False, 0, 0),
        ([('sound', 0.01)], True, 1, 0.01),
        ([('sound', 0.01), ('sound', 0.01)], True, 1, 0.01),
        ([('fails', 0.01), ('sound', 0.01)], True, 2, 0.02),
        ([('sound', 9), ('sound', 0.01), ('sound', 0.01)], True, 2, 0.21),
        ([('sound', 9), ('fails', 0.1), ('sound', 0.01)], True, 3, 0.31),
        # A slow answer that comes first still counts.
        ([('sound', 0.3), ('sound', 9)], True, 2, 0.3),
        ([('fails', 0.3), ('fails', 0.3)], False, 2, 0.5),
    ],
)
def test_first_answer(
    targets: list[tuple[str, float]],
    is_answered: bool,
    called: int,
    elapsed_s: float,
) -> None:
    """Guards against a dead peer that holds up a call, and surplus calls."""
    calls: list[float] = []

    async def call(target: tuple[str, float]) -> bool:
        kind, answer_s = target
        calls.append(answer_s)
        await asyncio.sleep(answer_s)
        return kind == 'sound'

    loop = virtual_time.VirtualTimeLoop()
    outcome = loop.run_until_complete(hedged_calls.first_answer(targets, call))
    assert outcome is is_answered
    assert len(calls) == called
    assert loop.time() == pytest.approx(elapsed_s, abs=0.02)
    assert not asyncio.all_tasks(loop)
    loop.close()


@pytest.mark.parametrize(
    ('turns', 'is_answered', 'called'),
    [(1, True, 1), (7, True, 1), (9, True, 1), (40, True, 2)],
)
def test_first_answer_in_a_busy_process(
    turns: int, is_answered: bool, called: int
) -> None:
    """Guards against more calls of a daemon that is busy already.

    An answer takes some turns of its event loop, and these take long.
    """
    calls: list[int] = []

    async def call(target: int) -> bool:
        calls.append(target)
        for _ in range(turns if len(calls) == 1 else 1):
            await asyncio.sleep(0)
        return True

    loop = virtual_time.VirtualTimeLoop()
    loop.turn_s = 0.1
    outcome = loop.run_until_complete(
        hedged_calls.first_answer([1, 2, 3], call)
    )
    loop.close()
    assert outcome is is_answered
    assert len(calls) == called
