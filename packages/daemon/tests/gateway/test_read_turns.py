"""Tests of turns in which connections read."""

from __future__ import annotations

import asyncio

from yuccarouter.gateway import read_turns


async def test_one_connection_in_a_turn() -> None:
    """Guards against connections that all read in one turn of the loop.

    Each took milliseconds, and others waited for seconds.
    """
    turns = read_turns.ReadTurns()
    taken: list[str] = []
    for name in ('a', 'b', 'c'):
        turns.wait(lambda name=name: taken.append(name))
    counts = []
    for _ in range(5):
        await asyncio.sleep(0)
        counts.append(len(taken))
    assert counts == [1, 2, 3, 3, 3]
    assert taken == ['a', 'b', 'c']


async def test_connection_that_waits_again() -> None:
    """Guards against one connection that takes the turns of others."""
    turns = read_turns.ReadTurns()
    taken: list[str] = []

    def take(name: str) -> None:
        taken.append(name)
        if len(taken) < 6:
            turns.wait(lambda: take(name))

    for name in ('a', 'b', 'c'):
        turns.wait(lambda name=name: take(name))
    for _ in range(8):
        await asyncio.sleep(0)
    assert taken[:6] == ['a', 'b', 'c', 'a', 'b', 'c']
