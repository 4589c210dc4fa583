"""Getting the whole answer of a request that is not streamed."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.request_path import (
    attempt,
    entry_state,
    errors,
    plan,
    retries,
    sender,
)
from yuccarouter.routing import hedge
from yuccarouter_common import clocks, refusals

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_MS_PER_S: Final = 1000
_LATE_RETRY_MS: Final = 1000


async def answer(
    shared: entry_state.EntryState, first: sender.Sending
) -> plan.Answer:
    """Return the whole answer, retrying and hedging as the request allows.

    Raises ``RefusalError``.
    """
    sending = first
    while True:
        try:
            found = await _within_deadline(shared, sending)
        except errors.AttemptError as fault:
            await retries.may_repeat(
                shared, sending.request, sending.progress, fault
            )
            sending = again(sending)
        else:
            shared.retry_budget.record_success()
            return found


def again(sending: sender.Sending) -> sender.Sending:
    """Return the next attempt; late events of the last one don't match it.

    A claim covers one attempt that may run. The last one certainly has not
    run if it was claimed, so its id goes on to the next agent.
    """
    if sending.claim is not None:
        return sending
    return attrs.evolve(sending, attempt_id=sender.new_attempt_id())


async def _within_deadline(
    shared: entry_state.EntryState, sending: sender.Sending
) -> plan.Answer:
    request = sending.request
    if request.kind.whole:
        return await _first_answer(shared, sending)
    try:
        async with asyncio.timeout(request.remaining_ms() / _MS_PER_S):
            return await _first_answer(shared, sending)
    except TimeoutError as late:
        raise refusals.RefusalError(
            'deadline_exceeded',
            'the request took longer than its deadline',
            outcome=sender.outcome(sending.progress),
            retry_after_ms=_LATE_RETRY_MS,
        ) from late


async def _first_answer(
    shared: entry_state.EntryState, sending: sender.Sending
) -> plan.Answer:
    """Run an attempt and, where allowed, a hedge after a while."""
    request = sending.request
    key = _latency_key(sending)
    delay_ms = hedge.delay_ms(
        shared.latencies,
        key,
        may_hedge=request.is_idempotent and request.kind.hedge,
        remaining_ms=request.remaining_ms(),
    )
    started_ms = clocks.monotonic_ms()
    if delay_ms is None:
        found = await _collect(shared, sending)
    else:
        found = await _hedged(shared, sending, delay_ms)
    shared.latencies.record(key, clocks.monotonic_ms() - started_ms)
    return found


async def _hedged(
    shared: entry_state.EntryState, sending: sender.Sending, delay_ms: float
) -> plan.Answer:
    async with _cancelling() as tasks:
        tasks.add(asyncio.create_task(_collect(shared, sending)))
        done, _ = await asyncio.wait(tasks, timeout=delay_ms / _MS_PER_S)
        if not done and shared.retry_budget.take_hedge():
            sending.progress.explain('hedge', after_ms=delay_ms)
            hedge = _collect(shared, again(sending))
            tasks.add(asyncio.create_task(hedge))
        return await _first_success(tasks)


async def _first_success(tasks: set[asyncio.Task[plan.Answer]]) -> plan.Answer:
    pending = set(tasks)
    fault: BaseException | None = None
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            fault = task.exception()
            if fault is None:
                return task.result()
    raise fault or errors.AttemptLostError('no attempt was made')


@contextlib.asynccontextmanager
async def _cancelling() -> AsyncIterator[set[asyncio.Task[plan.Answer]]]:
    tasks: set[asyncio.Task[plan.Answer]] = set()
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _collect(
    shared: entry_state.EntryState, sending: sender.Sending
) -> plan.Answer:
    parts: list[bytes] = []
    events = sender.run(shared, sending)
    async with contextlib.aclosing(events):
        async for event in events:
            if isinstance(event, attempt.Piece):
                parts.append(event.data)
            else:
                return _answer(sending, event, b''.join(parts))
    raise errors.AttemptLostError('the attempt has no end')


def _answer(
    sending: sender.Sending, end: attempt.Finished, body: bytes
) -> plan.Answer:
    return plan.Answer(
        status=end.status,
        body=body,
        content_type=end.content_type,
        target=sending.target,
        prompt_tokens=end.prompt_tokens,
        completion_tokens=end.completion_tokens,
        attempt_id=sending.attempt_id,
    )


def _latency_key(sending: sender.Sending) -> str:
    return f'{sending.target.pool}/{sending.request.kind.name}'
