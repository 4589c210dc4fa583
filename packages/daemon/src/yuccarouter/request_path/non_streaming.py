"""Complete answers of requests that are not streamed."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.request_path import (
    attempt,
    entry_state,
    errors,
    request_types,
    retries,
    sender,
)
from yuccarouter.routing import hedge
from yuccarouter_common import clocks, refusals

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_MS_PER_S: Final = 1000
_DEADLINE_RETRY_MS: Final = 1000


async def answer(
    shared: entry_state.EntryState, first: sender.AttemptSpec
) -> request_types.Answer:
    """Return the complete answer, with retries and hedging if allowed.

    Raises ``RefusalError``.
    """
    spec = first
    while True:
        try:
            received = await _within_deadline(shared, spec)
        except errors.AttemptError as fault:
            await retries.wait_for_retry(
                shared, spec.request, spec.progress, fault
            )
            spec = next_attempt(spec)
        else:
            shared.retry_budget.record_success()
            return received


def next_attempt(spec: sender.AttemptSpec) -> sender.AttemptSpec:
    """Return the next attempt, with a new id unless it is claimed.

    Delayed events of the previous attempt don't match the new id. A claim
    allows only one attempt to run. A claimed attempt is repeated only if it has
    certainly not run, so its id can be sent to the next agent.
    """
    if spec.claim is not None:
        return spec
    return attrs.evolve(spec, attempt_id=sender.new_attempt_id())


async def _within_deadline(
    shared: entry_state.EntryState, spec: sender.AttemptSpec
) -> request_types.Answer:
    request = spec.request
    if request.kind.whole:
        return await _run_with_hedge(shared, spec)
    try:
        async with asyncio.timeout(request.remaining_ms() / _MS_PER_S):
            return await _run_with_hedge(shared, spec)
    except TimeoutError as timeout:
        raise refusals.RefusalError(
            'deadline_exceeded',
            'the request exceeded its deadline',
            outcome=sender.refusal_outcome(spec.progress),
            retry_after_ms=_DEADLINE_RETRY_MS,
        ) from timeout


async def _run_with_hedge(
    shared: entry_state.EntryState, spec: sender.AttemptSpec
) -> request_types.Answer:
    """Run an attempt and, if allowed, a hedged one after a delay."""
    request = spec.request
    key = _latency_key(spec)
    delay_ms = hedge.delay_ms(
        shared.latencies,
        key,
        may_hedge=request.is_idempotent and request.kind.hedge,
        remaining_ms=request.remaining_ms(),
    )
    started_ms = clocks.monotonic_ms()
    if delay_ms is None:
        received = await _collect(shared, spec)
    else:
        received = await _hedged(shared, spec, delay_ms)
    shared.latencies.record(key, clocks.monotonic_ms() - started_ms)
    return received


async def _hedged(
    shared: entry_state.EntryState, spec: sender.AttemptSpec, delay_ms: float
) -> request_types.Answer:
    async with _cancel_on_exit() as tasks:
        tasks.add(asyncio.create_task(_collect(shared, spec)))
        done, _ = await asyncio.wait(tasks, timeout=delay_ms / _MS_PER_S)
        if not done and shared.retry_budget.take_hedge():
            spec.progress.explain('hedge', after_ms=delay_ms)
            hedged = _collect(shared, next_attempt(spec))
            tasks.add(asyncio.create_task(hedged))
        return await _first_success(tasks)


async def _first_success(
    tasks: set[asyncio.Task[request_types.Answer]],
) -> request_types.Answer:
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
async def _cancel_on_exit() -> AsyncIterator[
    set[asyncio.Task[request_types.Answer]]
]:
    tasks: set[asyncio.Task[request_types.Answer]] = set()
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _collect(
    shared: entry_state.EntryState, spec: sender.AttemptSpec
) -> request_types.Answer:
    parts: list[bytes] = []
    events = sender.run(shared, spec)
    async with contextlib.aclosing(events):
        async for event in events:
            if isinstance(event, attempt.Chunk):
                parts.append(event.data)
            else:
                return _answer(spec, event, b''.join(parts))
    raise errors.AttemptLostError('the attempt ended without a final event')


def _answer(
    spec: sender.AttemptSpec, end: attempt.Finished, body: bytes
) -> request_types.Answer:
    return request_types.Answer(
        status=end.status,
        body=body,
        content_type=end.content_type,
        target=spec.target,
        prompt_tokens=end.prompt_tokens,
        completion_tokens=end.completion_tokens,
        attempt_id=spec.attempt_id,
    )


def _latency_key(spec: sender.AttemptSpec) -> str:
    return f'{spec.target.pool}/{spec.request.kind.name}'
