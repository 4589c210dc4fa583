"""One attempt at the endpoint and what it needs."""

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
    prepare,
    relay,
    slots,
    stream,
    tracing,
)
from yuccarouter_common import refusals
from yuccarouter_common.proto import router_pb2

RETRY_MS: Final = 500

_MAX_BEGUN: Final = 10_000

_Result = TypeVar('_Result')
# A complete answer, or why there is none.
Ended = relay.Answer | errors.AdmissionError


@attrs.define
class Background:
    """Tasks that outlive the request that started them."""

    _tasks: set[asyncio.Task[Any]] = attrs.field(factory=set)

    def spawn(
        self, work: Coroutine[Any, Any, _Result]
    ) -> asyncio.Task[_Result]:
        """Start a task and keep it referenced until it ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def drained(self) -> None:
        """Wait until no task is left."""
        while self._tasks:
            await asyncio.wait(self._tasks)


@attrs.frozen
class Begun:
    """Non-idempotent attempts that have begun, to reject repeats.

    The oldest are forgotten; the registry's claims cover longer times.
    """

    _ids: dict[str, None] = attrs.field(factory=dict)

    def add(self, attempt_id: str) -> bool:
        """Add an attempt and return whether it is new."""
        if attempt_id in self._ids:
            return False
        self._ids[attempt_id] = None
        if len(self._ids) > _MAX_BEGUN:
            self._ids.pop(next(iter(self._ids)))
        return True

    def discard(self, attempt_id: str) -> None:
        """Forget an attempt that was not sent."""
        self._ids.pop(attempt_id, None)


@attrs.frozen
class Caller:
    """Calls one endpoint over one HTTP session."""

    place: ports.EndpointLocation
    parts: ports.Dependencies
    session: aiohttp.ClientSession
    clock: ports.Clock
    background: Background = attrs.field(factory=Background)
    begun: Begun = attrs.field(factory=Begun)

    async def call(self, attempt: Attempt) -> relay.Answer:
        """Send an attempt and return the complete answer.

        Raises ``NotConnectedError`` or ``BrokenCallError``.
        """
        name = 'service' if attempt.request.service else 'engine'
        with tracing.hop(name, attempt.request):
            return await self._call(attempt)

    async def _call(self, attempt: Attempt) -> relay.Answer:
        request = attempt.request
        async with calls.opened(
            self.session,
            self.place.url,
            request,
            attempt.body,
            attempt.exchange,
        ) as response:
            if attempt.reader is not None:
                return await relay.engine_stream(
                    response, attempt.out, attempt.slot, attempt.reader
                )
            answer = await relay.whole_answer(
                response, engine=not request.service
            )
            if request.service:
                attempt.slot.mark_first_token()
        if request.idempotent and relay.is_gateway_error(answer.done.status):
            raise errors.BrokenCallError(f'service said {answer.done.status}')
        return answer

    async def cancel(self, attempt: Attempt) -> bool:
        """Cancel an attempt at the engine; return whether it agreed."""
        return await calls.cancel(
            self.session, self.place.url, attempt.request.attempt_id
        )

    def remaining_s(self, attempt: Attempt) -> float | None:
        """Return the time left, or none for a kind that may be late."""
        if attempt.deadline is None:
            return None
        return max(0, attempt.deadline - self.clock())


@attrs.define
class Attempt:
    """One attempt that has a slot.

    ``reader`` is set for an engine's stream. ``deadline`` is a time of the
    agent's clock in seconds, or none for a kind that may be late.
    """

    request: router_pb2.RunRequest
    body: bytes
    out: events.Events
    slot: slots.Slot
    deadline: float | None
    exchange: calls.Exchange
    reader: stream.EventReader | None = None

    async def accept(self) -> None:
        """Tell the entry that the request goes out."""
        self.slot.mark_sent()
        await self.out.accepted(self.slot.queued_ms)

    async def give_up(self) -> None:
        """Tell the entry that the deadline has passed."""
        if self.exchange.sent:
            await self.out.failed(
                'deadline_exceeded', 'no complete answer before the deadline'
            )
            return
        await self.out.refused(
            refusals.RefusalError(
                'deadline_too_short',
                'no connection before the deadline',
                retry_after_ms=RETRY_MS,
            )
        )

    async def tell(self, ended: Ended) -> None:
        """Tell the entry how the attempt ended."""
        if isinstance(ended, relay.Answer):
            await relay.write_body(self.out, ended.body)
            await self.out.done(ended.done)
        elif isinstance(ended, errors.NotConnectedError):
            await self.out.refused(
                refusals.RefusalError(
                    ended.code, ended.message, retry_after_ms=RETRY_MS
                )
            )
        else:
            await self.out.failed(ended.code, ended.message)


def new_attempt(
    request: router_pb2.RunRequest,
    prepared: prepare.Prepared,
    out: events.Events,
    slot: slots.Slot,
    deadline: float | None,
) -> Attempt:
    """Return an attempt that has not been sent."""
    reader = None
    if request.stream and not request.service:
        reader = stream.EventReader(hide_usage=not prepared.shows_usage)
    return Attempt(
        request,
        prepared.body,
        out,
        slot,
        deadline,
        calls.Exchange(),
        reader,
    )
