"""Timeouts that leave a received answer its turns of the event loop.

A call takes several turns of the loop: its connection opens, its answer is
received, and tasks that wait for each other resume one after the other. In a
busy process each turn may take longer than the timeout allows for all of them.
A timeout that counts only time would then end calls that were answered at once,
again and again.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final, TypeVar

_Outcome = TypeVar('_Outcome')

# A call over a connection of its own takes seven turns with aiohttp, and a few
# more where other tasks wait for it. An idle loop passes them within a
# millisecond.
_TURNS: Final = 12


@contextlib.asynccontextmanager
async def limit(timeout_s: float | None) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` in the body after a time, and then some turns.

    There is no limit without ``timeout_s``.

    Example: ``async with limit(1.5): answer = await call()``.
    """
    if timeout_s is None:
        yield
        return
    loop = asyncio.get_running_loop()
    handle: asyncio.Handle
    async with asyncio.timeout(None) as scope:

        def count_turn(remaining: int) -> None:
            nonlocal handle  # noqa: WPS420
            if remaining:
                handle = loop.call_soon(count_turn, remaining - 1)
            else:
                scope.reschedule(loop.time())

        handle = loop.call_later(timeout_s, count_turn, _TURNS)
        try:
            yield
        finally:
            handle.cancel()


async def wait_first(
    running: set[asyncio.Future[_Outcome]], timeout_s: float | None
) -> tuple[set[asyncio.Future[_Outcome]], set[asyncio.Future[_Outcome]]]:
    """Wait for the first of the futures; return those done, and the others.

    None is done if the time is over, and then some turns.
    """
    with contextlib.suppress(TimeoutError):
        async with limit(timeout_s):
            await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
    done = {each for each in running if each.done()}
    return done, running - done
