"""Running attempts: checks, a slot, and the call."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from yuccarouter.admission import (
    attempt,
    cancellable,
    checks,
    events,
    once,
    ports,
    prepare,
    slots,
)
from yuccarouter_common import errors, refusals
from yuccarouter_common.proto import router_pb2

_CATCH_UP_S: Final = 1.0


@attrs.frozen
class Runner:
    """Runs attempts at one endpoint."""

    caller: attempt.Caller
    admission: slots.SlotQueue

    async def run(
        self, request: router_pb2.RunRequest, write: ports.Write
    ) -> None:
        """Run one attempt and write its events.

        Cancellation stops the work at the engine. A non-idempotent call that
        has been sent finishes all the same and its outcome is recorded.
        """
        out = events.Events(
            request.attempt_id, write, may_combine=request.reads_following
        )
        deadline = self.caller.clock() + request.deadline_ms / 1000
        is_once = bool(request.service) and not request.idempotent
        try:
            prepared = prepare.prepare(request)
            slot = await self._admit(request, deadline)
        except refusals.RefusalError as refusal:
            await out.refused(refusal)
            return
        except asyncio.CancelledError:
            if is_once:
                once.release(self.caller, request)
            raise
        late = checks.is_whole(self.caller.parts.configuration(), request)
        started = attempt.new_attempt(
            request, prepared, out, slot, None if late else deadline
        )
        if is_once:
            await once.run(self.caller, started)
        else:
            await cancellable.run(self.caller, started)

    async def drained(self) -> None:
        """Wait for calls and cancellations that outlive their request."""
        await self.caller.background.drained()

    async def _admit(
        self, request: router_pb2.RunRequest, deadline: float
    ) -> slots.Slot:
        await self._catch_up(request)
        self._check(request)
        slot = await self.admission.acquire(request, deadline)
        try:
            # The configuration may have changed while the request queued.
            self._check(request)
        except refusals.RefusalError:
            slot.release(served=False)
            raise
        return slot

    def _check(self, request: router_pb2.RunRequest) -> None:
        configuration = self.caller.parts.configuration()
        checks.check(configuration, self.caller.place, request)

    async def _catch_up(self, request: router_pb2.RunRequest) -> None:
        wanted = checks.position_of(request)
        if self.caller.parts.configuration().position >= wanted:
            return
        try:
            async with asyncio.timeout(_CATCH_UP_S):
                await self.caller.parts.catch_up(wanted)
        except (TimeoutError, errors.RouterError):
            # The agent's own view decides; see checks for unknown versions.
            return
