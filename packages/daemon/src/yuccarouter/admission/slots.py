"""Slots at the endpoint: who may send work to it, and when."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from yuccarouter.admission import ports
from yuccarouter_common import model, refusals
from yuccarouter_common.proto import router_pb2

_RETRY_MS: Final = 500


@attrs.define
class Slot:
    """Permission to have one request in flight at the endpoint.

    ``leave`` gives it back once and takes whether the endpoint served well.
    """

    queued_ms: int
    _left: Callable[[bool], None]
    _held: bool = True

    def first_token(self) -> None:
        """Note that the endpoint has begun to answer."""

    def leave(self, *, served: bool) -> None:
        """Give the slot back; later calls have no effect."""
        if self._held:
            self._held = False
            self._left(served)


@attrs.define
class Slots:
    """A bounded first-come queue in front of a fixed limit."""

    pool: Callable[[], model.Pool]
    clock: ports.Clock
    in_flight: int = 0
    _waiting: list[asyncio.Future[None]] = attrs.field(factory=list)

    async def enter(
        self, request: router_pb2.RunRequest, deadline: float
    ) -> Slot:
        """Wait for a slot; raise ``RefusalError`` when there is none in time.

        ``deadline`` is a time of the slots' clock, in seconds.
        """
        entered = self.clock()
        if self.in_flight >= self.pool().max_in_flight:
            await self._wait(deadline)
        else:
            self.in_flight += 1
        return Slot(int((self.clock() - entered) * 1000), self._leave)

    async def _wait(self, deadline: float) -> None:
        if len(self._waiting) >= self.pool().max_queued:
            raise refusals.RefusalError(
                'overloaded', 'the queue is full', retry_after_ms=_RETRY_MS
            )
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            async with asyncio.timeout(deadline - self.clock()):
                await turn
        except TimeoutError:
            self._abandon(turn)
            raise refusals.RefusalError(
                'deadline_too_short',
                'no slot before the deadline',
                retry_after_ms=_RETRY_MS,
            ) from None
        except asyncio.CancelledError:
            self._abandon(turn)
            raise

    def _abandon(self, turn: asyncio.Future[None]) -> None:
        if turn in self._waiting:
            self._waiting.remove(turn)
        elif not turn.cancelled():
            self._leave(served=True)

    def _leave(self, served: bool) -> None:
        while self._waiting:
            turn = self._waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.in_flight -= 1
