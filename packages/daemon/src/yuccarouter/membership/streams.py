"""Reading a stream of another daemon for as long as it is of use."""

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
    """How a stream is read.

    ``take`` gets each message. ``is_wanted`` tells after each one whether the
    stream is still the right one.
    """

    silence_s: float
    take: Callable[[Any], None]
    is_wanted: Callable[[], bool]


async def follow(call: Any, pauses: pause.PauseWatch, reading: Reading) -> str:
    """Read a stream until it ends; return why it ended.

    The text is empty when another stream is wanted. That is also so after a
    pause of this process: what it finds in the stream then looks new and is
    old. The call is cancelled in the end.
    """
    seen_pauses = pauses.count
    try:
        while reading.is_wanted():
            message = await read(call, reading.silence_s)
            pauses.check()
            if pauses.count != seen_pauses:
                return ''
            if message is None:
                return 'no message in time'
            if message is aio.EOF:
                return 'the sender ended the stream'
            reading.take(message)
    except aio.AioRpcError as fault:
        return f'the stream broke: {fault.code().name}'
    finally:
        call.cancel()
    return ''


async def read(call: Any, silence_s: float) -> Any:
    """Return the next message of a stream, or ``None`` when none comes in time.

    Two waits follow each other: when this process itself was paused, the
    first one ends at once although messages have arrived meanwhile.
    """
    reading = asyncio.ensure_future(call.read())
    try:
        for limit_s in (silence_s, _GRACE_S):
            done, _ = await asyncio.wait({reading}, timeout=limit_s)
            if done:
                return reading.result()
    finally:
        reading.cancel()
    return None
