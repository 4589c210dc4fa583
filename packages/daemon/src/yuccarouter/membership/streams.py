"""Reading a message stream from another daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

import attrs
from grpc import aio

if TYPE_CHECKING:
    from yuccarouter.membership import pause

_GRACE_S: Final = 0.25


@attrs.frozen
class Reading:
    """How to read a stream.

    ``timeout_s`` bounds the wait for each message and ``handle`` receives it.
    ``is_current`` returns False once the request of the stream is outdated.
    """

    timeout_s: float
    handle: Callable[[Any], None]
    is_current: Callable[[], bool]


async def follow(
    call: Any, pauses: pause.PauseDetector, reading: Reading
) -> str:
    """Read a stream until it ends; return the reason.

    The reason is empty when the caller should open a new stream: the request
    is outdated, or this process was paused and the buffered messages are old
    although they look new. The call is always cancelled at the end.
    """
    pauses_at_start = pauses.count
    try:
        while reading.is_current():
            message = await read(call, reading.timeout_s)
            pauses.check()
            if pauses.count != pauses_at_start:
                return ''
            if message is None:
                return 'no message before the timeout'
            if message is aio.EOF:
                return 'the sender ended the stream'
            reading.handle(message)
    except aio.AioRpcError as fault:
        return f'the stream failed: {fault.code().name}'
    finally:
        call.cancel()
    return ''


async def read(call: Any, timeout_s: float) -> Any:
    """Return the next message of a stream, or ``None`` after a timeout.

    A short second wait follows the first: after a pause of this process the
    first wait expires at once although messages have arrived meanwhile.
    """
    read_task = asyncio.ensure_future(call.read())
    try:
        for wait_s in (timeout_s, _GRACE_S):
            done, _ = await asyncio.wait({read_task}, timeout=wait_s)
            if done:
                return read_task.result()
    finally:
        read_task.cancel()
    return None
