"""Attempts at the endpoint and the client that sends them."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

import aiohttp
import attrs

from yuccarouter.admission import (
    calls,
    errors,
    events,
    ports,
    relay,
    request_body,
    slots,
    stream,
    tracing,
)
from yuccarouter_common import refusals
from yuccarouter_common.proto import router_pb2

RETRY_MS: Final = 500

_MAX_STARTED_ATTEMPTS: Final = 10_000

_Result = TypeVar('_Result')
# A complete answer, or the error that prevented it.
Result = relay.Answer | errors.AdmissionError


@attrs.define
class BackgroundTasks:
    """Tasks that outlive the request that started them."""

    _tasks: set[asyncio.Task[Any]] = attrs.field(factory=set)

    def spawn(
        self, coroutine: Coroutine[Any, Any, _Result]
    ) -> asyncio.Task[_Result]:
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait_until_done(self) -> None:
        """Wait until all tasks have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)


@attrs.frozen
class StartedAttempts:
    """Ids of non-idempotent attempts that have started, to reject repeats.

    The oldest are dropped to bound memory; the registry's claims reject later
    repeats.
    """

    _ids: dict[str, None] = attrs.field(factory=dict)

    def add(self, attempt_id: str) -> bool:
        """Add an attempt and return whether it is new."""
        if attempt_id in self._ids:
            return False
        self._ids[attempt_id] = None
        if len(self._ids) > _MAX_STARTED_ATTEMPTS:
            self._ids.pop(next(iter(self._ids)))
        return True

    def discard(self, attempt_id: str) -> None:
        """Remove an attempt that was not sent."""
        self._ids.pop(attempt_id, None)


@attrs.frozen
class EndpointClient:
    """Calls one endpoint over one HTTP session."""

    location: ports.EndpointLocation
    dependencies: ports.Dependencies
    session: aiohttp.ClientSession
    clock: ports.Clock
    background: BackgroundTasks = attrs.field(factory=BackgroundTasks)
    started_attempts: StartedAttempts = attrs.field(factory=StartedAttempts)

    async def call(self, attempt: Attempt) -> relay.Answer:
        """Send an attempt and return the complete answer.

        Raises ``NotConnectedError`` or ``BrokenCallError``.
        """
        name = 'service' if attempt.request.service else 'engine'
        with tracing.attempt_span(name, attempt.request):
            return await self._call(attempt)

    async def _call(self, attempt: Attempt) -> relay.Answer:
        request = attempt.request
        async with calls.open_call(
            self.session,
            self.location.url,
            request,
            attempt.body,
            attempt.progress,
        ) as response:
            if attempt.reader is not None:
                return await relay.relay_engine_stream(
                    response, attempt.writer, attempt.slot, attempt.reader
                )
            answer = await relay.read_complete_answer(
                response, engine=not request.service
            )
            if request.service:
                attempt.slot.mark_first_token()
        if request.idempotent and relay.is_gateway_error(answer.done.status):
            raise errors.BrokenCallError(
                f'service answered {answer.done.status}'
            )
        return answer

    async def cancel(self, attempt: Attempt) -> bool:
        """Cancel an attempt at the engine; return whether that succeeded."""
        return await calls.cancel(
            self.session, self.location.url, attempt.request.attempt_id
        )

    def remaining_s(self, attempt: Attempt) -> float | None:
        """Return the remaining time, or none without a deadline."""
        if attempt.deadline is None:
            return None
        return max(0, attempt.deadline - self.clock())


@attrs.define
class Attempt:
    """One attempt that has a slot.

    ``reader`` is set for an engine's stream. ``deadline`` is a time of the
    agent's clock in seconds, or none for a request kind that may end late.
    """

    request: router_pb2.RunRequest
    body: bytes
    writer: events.EventWriter
    slot: slots.Slot
    deadline: float | None
    progress: calls.CallProgress
    reader: stream.EventReader | None = None

    async def send_accepted(self) -> None:
        """Notify the entry that the request is being sent."""
        self.slot.mark_sent()
        await self.writer.send_accepted(self.slot.queued_ms)

    async def send_deadline_passed(self) -> None:
        """Notify the entry that the deadline has passed."""
        if self.progress.sent:
            await self.writer.send_failed(
                'deadline_exceeded', 'no complete answer before the deadline'
            )
            return
        await self.writer.send_refused(
            refusals.RefusalError(
                'deadline_too_short',
                'no connection before the deadline',
                retry_after_ms=RETRY_MS,
            )
        )

    async def send_result(self, result: Result) -> None:
        """Send the answer or the error of the attempt to the entry."""
        if isinstance(result, relay.Answer):
            await relay.write_body(self.writer, result.body)
            await self.writer.send_done(result.done)
        elif isinstance(result, errors.NotConnectedError):
            await self.writer.send_refused(
                refusals.RefusalError(
                    result.code, result.message, retry_after_ms=RETRY_MS
                )
            )
        else:
            await self.writer.send_failed(result.code, result.message)


def new_attempt(
    request: router_pb2.RunRequest,
    body: request_body.RequestBody,
    writer: events.EventWriter,
    slot: slots.Slot,
    deadline: float | None,
) -> Attempt:
    """Return an attempt that has not been sent."""
    reader = None
    if request.stream and not request.service:
        reader = stream.EventReader(hide_usage=not body.wants_usage)
    return Attempt(
        request,
        body.body,
        writer,
        slot,
        deadline,
        calls.CallProgress(),
        reader,
    )
