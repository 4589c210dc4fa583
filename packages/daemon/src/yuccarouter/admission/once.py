"""Running a non-idempotent call, which is sent at most once."""

from __future__ import annotations

import asyncio
import functools
from typing import Final

import grpc

from yuccarouter.admission import attempt as attempts
from yuccarouter.admission import counters, errors, relay
from yuccarouter_common import billing_rows, clocks
from yuccarouter_common import errors as common_errors
from yuccarouter_common.proto import router_pb2

_OUTCOME: Final = 'outcome'
_RELEASE: Final = 'release'
# Recording waits for the log; the caller's answer waits no longer than this.
_RECORD_S: Final = 3.0


async def run(caller: attempts.Caller, attempt: attempts.Attempt) -> None:
    """Run a call that finishes once it is sent.

    Cancelling this task, or its deadline, ends the wait for the answer. The
    call goes on and its outcome is recorded.
    """
    if not caller.begun.add(attempt.request.attempt_id):
        attempt.slot.release(served=False)
        await attempt.out.failed(
            'in_progress', 'the attempt has been sent before'
        )
        return
    sent: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    attempt.exchange.on_sent = functools.partial(_note_sent, attempt, sent)
    call = caller.background.spawn(_call(caller, attempt))
    call.add_done_callback(functools.partial(_note_ended, sent))
    try:
        async with asyncio.timeout(caller.remaining_s(attempt)):
            if await asyncio.shield(sent):
                await attempt.accept()
            ended = await asyncio.shield(call)
    except TimeoutError:
        if not attempt.exchange.sent:
            call.cancel()
        await attempt.give_up()
    except asyncio.CancelledError:
        if not attempt.exchange.sent:
            call.cancel()
            release(caller, attempt.request)
        raise
    else:
        await attempt.tell(ended)


def release(caller: attempts.Caller, request: router_pb2.RunRequest) -> None:
    """Release the claim of a request that never runs.

    Only for a call that the entry has cancelled: after a refusal the entry
    may move the claim to another agent.
    """
    if request.HasField('claim'):
        caller.background.spawn(_record(caller, _record_of(request, _RELEASE)))


async def _note_sent(
    attempt: attempts.Attempt, sent: asyncio.Future[bool]
) -> None:
    attempt.slot.mark_sent()
    # The waiting side may have been cancelled with its future.
    if not sent.done():
        sent.set_result(True)


def _note_ended(
    sent: asyncio.Future[bool], call: asyncio.Task[attempts.Ended]
) -> None:
    if not sent.done():
        sent.set_result(False)


async def _call(
    caller: attempts.Caller, attempt: attempts.Attempt
) -> attempts.Ended:
    try:
        answer = await caller.call(attempt)
        attempt.slot.release(served=answer.is_served)
    except errors.AdmissionError as fault:
        attempt.slot.mark_failed()
        return fault
    finally:
        # A call that broke after it was sent may still be running. After an
        # answer the slot has been given back already.
        attempt.slot.release(served=False, may_be_running=attempt.exchange.sent)
        if not attempt.exchange.sent:
            caller.begun.discard(attempt.request.attempt_id)
    # The outcome is recorded before the answer is given, so that a repeated
    # request never finds less than its caller has seen.
    if attempt.request.HasField('claim'):
        await _record(caller, _outcome_of(caller, attempt.request, answer))
    caller.parts.usage.record_usage(
        attempt.request, answer.done.usage, is_complete=True
    )
    return answer


async def _record(
    caller: attempts.Caller, record: router_pb2.RecordRequest
) -> None:
    if not record.key:
        return
    try:
        async with asyncio.timeout(_RECORD_S):
            reply = await caller.parts.registry.record(record)
    except (common_errors.RouterError, grpc.RpcError, OSError):
        reply = router_pb2.RecordReply(recorded=False)
    if not reply.recorded:
        # Without a record a repeated request gets outcome_unknown.
        counters.UNRECORDED.labels(record.item).inc()


def _record_of(
    request: router_pb2.RunRequest,
    item: str,
) -> router_pb2.RecordRequest:
    return router_pb2.RecordRequest(
        partition=request.claim.partition,
        # A call without a claim has no key that a repeat could come with.
        key=request.request_id if request.HasField('claim') else '',
        attempt_id=request.attempt_id,
        item=item,
    )


def _outcome_of(
    caller: attempts.Caller,
    request: router_pb2.RunRequest,
    answer: relay.Answer,
) -> router_pb2.RecordRequest:
    record = _record_of(request, _OUTCOME)
    record.status = answer.done.status
    record.content_type = answer.done.content_type
    record.body = answer.body
    row = billing_rows.attempt_row(
        request,
        answer.done.usage,
        caller.parts.configuration(),
        clocks.wall_ms(),
    )
    record.bill_row = billing_rows.encode_row(row)
    return record
