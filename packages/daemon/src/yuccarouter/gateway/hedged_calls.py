"""Calls of which one answer is enough, to peers that may be dead."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, TypeVar

from yuccarouter_common import turn_timeouts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

_Target = TypeVar('_Target')

# A peer answers within milliseconds, and a busy one within this time. One that
# is dead, or cut off, costs no more than it.
HEDGE_DELAY_S: Final = 0.2


async def first_answer(
    targets: Sequence[_Target], call: Callable[[_Target], Awaitable[bool]]
) -> bool:
    """Call targets in order until one call returns true; else return false.

    The next target is called as soon as a call fails, or does not end in
    ``HEDGE_DELAY_S`` and the turns that an answer takes in a busy process.
    Calls that are open after an answer are cancelled.
    """
    remaining = list(targets)
    running: set[asyncio.Future[bool]] = set()
    try:
        while remaining or running:
            if remaining:
                running.add(asyncio.ensure_future(call(remaining.pop(0))))
            ended, running = await turn_timeouts.wait_first(
                running, HEDGE_DELAY_S if remaining else None
            )
            if any(each.result() for each in ended):
                return True
    finally:
        for each in running:
            each.cancel()
        await asyncio.gather(*running, return_exceptions=True)
    return False
