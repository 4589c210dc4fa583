"""Running an attempt that may be cancelled or repeated."""

from __future__ import annotations

import asyncio

from yuccarouter.admission import attempt as attempts
from yuccarouter.admission import errors, relay


async def run(caller: attempts.Caller, attempt: attempts.Attempt) -> None:
    """Run an attempt; cancelling this task stops the work at the engine."""
    attempt.exchange.on_sent = attempt.accept
    answer: relay.Answer | None = None
    try:
        async with asyncio.timeout(caller.remaining_s(attempt)):
            answer = await caller.call(attempt)
    except errors.AdmissionError as fault:
        attempt.slot.mark_failed()
        await attempt.tell(fault)
    except TimeoutError:
        await attempt.give_up()
    finally:
        if answer is None:
            _abort(caller, attempt)
    if answer is not None:
        attempt.slot.release(served=answer.is_served)
        caller.parts.usage.record_usage(
            attempt.request, answer.done.usage, is_complete=True
        )
        await attempt.tell(answer)


def _abort(caller: attempts.Caller, attempt: attempts.Attempt) -> None:
    if not attempt.exchange.sent:
        attempt.slot.release(served=False)
        return
    if attempt.reader is not None and attempt.reader.has_text:
        caller.parts.usage.record_usage(
            attempt.request, attempt.reader.usage, is_complete=False
        )
    caller.background.spawn(_cancel_at_engine(caller, attempt))


async def _cancel_at_engine(
    caller: attempts.Caller, attempt: attempts.Attempt
) -> None:
    # The slot stays taken until the engine has stopped the work. A plain
    # service can't be asked to stop.
    stopped = False
    try:
        if not attempt.request.service:
            stopped = await caller.cancel(attempt)
    finally:
        attempt.slot.release(served=False, may_be_running=not stopped)
