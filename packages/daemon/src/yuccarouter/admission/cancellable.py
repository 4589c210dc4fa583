"""Running an attempt that may be cancelled or retried."""

from __future__ import annotations

import asyncio

from yuccarouter.admission import attempt as attempts
from yuccarouter.admission import errors, relay


async def run(
    client: attempts.EndpointClient, attempt: attempts.Attempt
) -> None:
    """Run an attempt; cancelling this task cancels it at the engine."""
    attempt.progress.on_sent = attempt.send_accepted
    answer: relay.Answer | None = None
    try:
        async with asyncio.timeout(client.remaining_s(attempt)):
            answer = await client.call(attempt)
    except errors.AdmissionError as fault:
        attempt.slot.mark_failed()
        await attempt.send_result(fault)
    except TimeoutError:
        await attempt.send_deadline_passed()
    finally:
        if answer is None:
            _abort(client, attempt)
    if answer is not None:
        attempt.slot.release(served=answer.is_served)
        client.dependencies.usage.record_usage(
            attempt.request, answer.done.usage, is_complete=True
        )
        await attempt.send_result(answer)


def _abort(client: attempts.EndpointClient, attempt: attempts.Attempt) -> None:
    if not attempt.progress.sent:
        attempt.slot.release(served=False)
        return
    if attempt.reader is not None and attempt.reader.has_text:
        client.dependencies.usage.record_usage(
            attempt.request, attempt.reader.usage, is_complete=False
        )
    client.background.spawn(_cancel_at_engine(client, attempt))


async def _cancel_at_engine(
    client: attempts.EndpointClient, attempt: attempts.Attempt
) -> None:
    # The slot is held until the engine has stopped the work. A plain service
    # has no way to cancel a call.
    is_cancelled = False
    try:
        if not attempt.request.service:
            is_cancelled = await client.cancel(attempt)
    finally:
        attempt.slot.release(served=False, may_be_running=not is_cancelled)
