"""Running attempts: checks, waiting for a slot, and the call."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from yuccarouter.admission import (
    attempt,
    cancellable,
    checks,
    events,
    non_idempotent,
    ports,
    request_body,
    slots,
)
from yuccarouter_common import errors, refusals
from yuccarouter_common.proto import router_pb2

_CATCH_UP_TIMEOUT_S: Final = 1.0


@attrs.frozen
class Runner:
    """Runs attempts at one endpoint."""

    client: attempt.EndpointClient
    slot_queue: slots.SlotQueue

    async def run(
        self, request: router_pb2.RunRequest, write: ports.Write
    ) -> None:
        """Run one attempt and write its events.

        Cancelling this task cancels the work at the engine. A non-idempotent
        call that has been sent continues and its outcome is recorded.
        """
        writer = events.EventWriter(
            request.attempt_id, write, may_combine=request.reads_following
        )
        deadline = self.client.clock() + request.deadline_ms / 1000
        is_non_idempotent = bool(request.service) and not request.idempotent
        try:
            body = request_body.build(request)
            slot = await self._admit(request, deadline)
        except refusals.RefusalError as refusal:
            await writer.send_refused(refusal)
            return
        except asyncio.CancelledError:
            if is_non_idempotent:
                non_idempotent.release(self.client, request)
            raise
        may_finish_late = checks.may_finish_late(
            self.client.dependencies.configuration(), request
        )
        new_attempt = attempt.new_attempt(
            request,
            body,
            writer,
            slot,
            None if may_finish_late else deadline,
        )
        if is_non_idempotent:
            await non_idempotent.run(self.client, new_attempt)
        else:
            await cancellable.run(self.client, new_attempt)

    async def wait_until_done(self) -> None:
        """Wait for calls and cancellations that outlive their request."""
        await self.client.background.wait_until_done()

    async def _admit(
        self, request: router_pb2.RunRequest, deadline: float
    ) -> slots.Slot:
        await self._catch_up(request)
        self._check(request)
        slot = await self.slot_queue.acquire(request, deadline)
        try:
            # The configuration may have changed while the request was queued.
            self._check(request)
        except refusals.RefusalError:
            slot.release(served=False)
            raise
        return slot

    def _check(self, request: router_pb2.RunRequest) -> None:
        configuration = self.client.dependencies.configuration()
        checks.check(configuration, self.client.location, request)

    async def _catch_up(self, request: router_pb2.RunRequest) -> None:
        position = checks.entry_position(request)
        if self.client.dependencies.configuration().position >= position:
            return
        try:
            async with asyncio.timeout(_CATCH_UP_TIMEOUT_S):
                await self.client.dependencies.catch_up(position)
        except (TimeoutError, errors.RouterError):
            # The agent's own configuration applies; ``checks`` refuses
            # unknown versions with ``configuration_stale``.
            return
