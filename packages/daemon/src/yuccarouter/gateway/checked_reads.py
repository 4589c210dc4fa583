"""Reads that wait for records, and checks of whether they miss any.

A store that was silent for a moment never answers the reads that began then,
and nothing tells such a read from one for which there is no record yet. So no
replica relies on one read: while it waits, further reads that do not wait show
whether there are newer records.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from yuccarouter.gateway import ports

    Read = Callable[[int], Awaitable[ports.Page]]

_MS_PER_S: Final = 1000


async def read(
    begin_read: Read,
    wait_ms: int,
    check_delay_ms: Callable[[], float],
    on_checked: Callable[[], object],
) -> tuple[ports.Page, bool]:
    """Return the next records, and whether a check found them.

    ``begin_read`` reads the records from one offset on and waits up to the
    given time in ms for the first. ``check_delay_ms`` returns the time until
    the next check, infinite for none. ``on_checked`` is called after each check
    that was answered and found no records. A read or check that fails ends the
    other one, and its error is raised: the store can't be relied on then.
    """
    if check_delay_ms() == math.inf:
        return await begin_read(wait_ms), False
    waiting = asyncio.ensure_future(begin_read(wait_ms))
    try:
        while not waiting.done():
            delay_ms = check_delay_ms()
            if delay_ms > 0:
                await asyncio.wait((waiting,), timeout=delay_ms / _MS_PER_S)
                continue
            found = await _check(begin_read, waiting)
            if found is None:
                # The read has ended first, so that nothing answered the check.
                continue
            if found.entries:
                return found, True
            on_checked()
        return waiting.result(), False
    finally:
        await _cancel(waiting)


async def _check(
    begin_read: Read, waiting: asyncio.Future[ports.Page]
) -> ports.Page | None:
    """Read without waiting; ``None`` if the waiting read ends before that."""
    checking = asyncio.ensure_future(begin_read(0))
    try:
        await asyncio.wait(
            (waiting, checking), return_when=asyncio.FIRST_COMPLETED
        )
        return None if waiting.done() else checking.result()
    finally:
        await _cancel(checking)


async def _cancel(call: asyncio.Future[ports.Page]) -> None:
    """End a call whose outcome is of no use any more."""
    if not call.done():
        call.cancel()
        await asyncio.wait((call,))
    if not call.cancelled():
        # An exception that is never retrieved would be logged as a fault.
        call.exception()
