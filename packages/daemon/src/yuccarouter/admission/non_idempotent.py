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
# Bounds the delay of the caller's answer when the log is slow.
_RECORD_TIMEOUT_S: Final = 3.0


async def run(
    client: attempts.EndpointClient, attempt: attempts.Attempt
) -> None:
    """Run a call that is not cancelled once it has been sent.

    Cancelling this task, or its deadline, ends the wait for the answer. A sent
    call continues and its outcome is recorded.
    """
    if not client.started_attempts.add(attempt.request.attempt_id):
        attempt.slot.release(served=False)
        await attempt.writer.send_failed(
            'in_progress', 'the attempt was already sent'
        )
        return
    sent: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    attempt.progress.on_sent = functools.partial(_on_sent, attempt, sent)
    call = client.background.spawn(_call(client, attempt))
    call.add_done_callback(functools.partial(_on_call_ended, sent))
    try:
        async with asyncio.timeout(client.remaining_s(attempt)):
            if await asyncio.shield(sent):
                await attempt.send_accepted()
            result = await asyncio.shield(call)
    except TimeoutError:
        if not attempt.progress.sent:
            call.cancel()
        await attempt.send_deadline_passed()
    except asyncio.CancelledError:
        if not attempt.progress.sent:
            call.cancel()
            release(client, attempt.request)
        raise
    else:
        await attempt.send_result(result)


def release(
    client: attempts.EndpointClient, request: router_pb2.RunRequest
) -> None:
    """Release the registry claim of a request that will not run.

    Call this only when the entry has cancelled the request: after a refusal the
    entry may use the claim at another agent.
    """
    if request.HasField('claim'):
        client.background.spawn(
            _record(client, _registry_record(request, _RELEASE))
        )


async def _on_sent(
    attempt: attempts.Attempt, sent: asyncio.Future[bool]
) -> None:
    attempt.slot.mark_sent()
    # The future is already cancelled when the waiting task was cancelled.
    if not sent.done():
        sent.set_result(True)


def _on_call_ended(
    sent: asyncio.Future[bool], call: asyncio.Task[attempts.Result]
) -> None:
    if not sent.done():
        sent.set_result(False)


async def _call(
    client: attempts.EndpointClient, attempt: attempts.Attempt
) -> attempts.Result:
    try:
        answer = await client.call(attempt)
        attempt.slot.release(served=answer.is_served)
    except errors.AdmissionError as fault:
        attempt.slot.mark_failed()
        return fault
    finally:
        # A call that failed after it was sent may still be running. After an
        # answer the slot is already released and this has no effect.
        attempt.slot.release(served=False, may_be_running=attempt.progress.sent)
        if not attempt.progress.sent:
            client.started_attempts.discard(attempt.request.attempt_id)
    # The outcome is recorded before the answer is sent, so that a repeated
    # request always finds an outcome that its caller has seen.
    if attempt.request.HasField('claim'):
        await _record(client, _outcome_record(client, attempt.request, answer))
    client.dependencies.usage.record_usage(
        attempt.request, answer.done.usage, is_complete=True
    )
    return answer


async def _record(
    client: attempts.EndpointClient, record: router_pb2.RecordRequest
) -> None:
    if not record.key:
        return
    try:
        async with asyncio.timeout(_RECORD_TIMEOUT_S):
            reply = await client.dependencies.registry.record(record)
    except (common_errors.RouterError, grpc.RpcError, OSError):
        reply = router_pb2.RecordReply(recorded=False)
    if not reply.recorded:
        # A repeated request then gets the error outcome_unknown.
        counters.UNRECORDED.labels(record.item).inc()


def _registry_record(
    request: router_pb2.RunRequest,
    item: str,
) -> router_pb2.RecordRequest:
    return router_pb2.RecordRequest(
        partition=request.claim.partition,
        # A request without a claim has no key, so a repeat can't be recognised.
        key=request.request_id if request.HasField('claim') else '',
        attempt_id=request.attempt_id,
        item=item,
    )


def _outcome_record(
    client: attempts.EndpointClient,
    request: router_pb2.RunRequest,
    answer: relay.Answer,
) -> router_pb2.RecordRequest:
    record = _registry_record(request, _OUTCOME)
    record.status = answer.done.status
    record.content_type = answer.done.content_type
    record.body = answer.body
    row = billing_rows.attempt_row(
        request,
        answer.done.usage,
        client.dependencies.configuration(),
        clocks.wall_ms(),
    )
    record.bill_row = billing_rows.encode_row(row)
    return record
