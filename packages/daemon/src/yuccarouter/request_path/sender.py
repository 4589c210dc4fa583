"""Choosing an endpoint and running one attempt there."""

from __future__ import annotations

import contextlib
import functools
import uuid
from typing import TYPE_CHECKING, Final

import attrs
import prometheus_client
from opentelemetry import trace

from yuccarouter.request_path import attempt, entry_state, errors, plan
from yuccarouter.routing import choice
from yuccarouter.routing import errors as routing_errors
from yuccarouter_common import clocks, refusals, telemetry
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

# A whole answer is worth waiting for past the bound, but not without end.
_WHOLE_EXTRA_MS: Final = 600_000

_ATTEMPTS = prometheus_client.Counter(
    'yuccarouter_attempts',
    'Attempts at endpoints by how they ended',
    ('outcome',),
)


def new_attempt_id() -> str:
    """Return an id that no other attempt has."""
    return uuid.uuid4().hex


@attrs.frozen
class Sending:
    """One attempt that is about to be sent.

    ``resume_text`` is the text that the caller has already received.
    """

    request: plan.Plan
    target: plan.Target
    progress: plan.Progress
    resume_text: str = ''
    prefixes: tuple[int, ...] = ()
    claim: router_pb2.ClaimProof | None = None
    attempt_id: str = attrs.field(factory=new_attempt_id)


def pick(shared: entry_state.EntryState, sending: Sending) -> choice.Choice:
    """Choose the endpoint of an attempt.

    Raises ``RefusalError`` with the code ``no_endpoint``.
    """
    progress = sending.progress
    wanted = choice.Request(
        pool=sending.target.pool,
        version=sending.target.version_name,
        data_centre=shared.conf.data_centre,
        prefixes=sending.prefixes,
        excluded=frozenset(progress.tried),
    )
    try:
        chosen = choice.choose(
            shared.fleet,
            wanted,
            shared.store.current(),
            clocks.monotonic_ms(),
            shared.rng.random,
        )
    except routing_errors.RoutingError as fault:
        raise refusal(fault, progress) from fault
    progress.explain(
        'choose_endpoint',
        endpoint=chosen.endpoint,
        version=sending.target.version_name,
        candidates=[attrs.asdict(option) for option in chosen.candidates],
    )
    return chosen


async def run(
    shared: entry_state.EntryState, sending: Sending
) -> AsyncGenerator[attempt.Event]:
    """Run an attempt at the best endpoint and yield its events.

    Raises the errors of ``attempt.run``, and ``RefusalError`` when there is
    no endpoint. The endpoint is noted in ``progress.tried``.
    """
    chosen = pick(shared, sending)
    note = plan.AttemptNote(
        sending.attempt_id,
        chosen.view.address,
        chosen.endpoint,
        sending.target.version_name,
    )
    sending.progress.attempts.append(note)
    sending.progress.tried.add(chosen.endpoint)
    # A generator may be closed by another task, so the span is not made the
    # current one of a context.
    span = telemetry.tracer().start_span(
        'entry.attempt',
        context=sending.request.trace_context,
        attributes={
            'attempt_id': note.attempt_id,
            'endpoint': note.endpoint,
            'version': note.version,
        },
    )
    events = attempt.run(
        shared.daemons.at(chosen.view.address),
        shared.daemons.metadata,
        _message(shared, sending, span),
        functools.partial(shared.canceller.cancel_on_loss, note.endpoint),
    )
    try:
        async with _watched(shared, sending, note):
            async with contextlib.aclosing(events):
                async for event in events:
                    yield event
    finally:
        span.set_attribute('outcome', note.outcome)
        span.end()


def refusal(
    fault: routing_errors.RoutingError, progress: plan.Progress
) -> refusals.RefusalError:
    """Return the refusal for a routing error, true to what has happened."""
    return refusals.RefusalError(
        fault.code,
        fault.message,
        outcome=outcome(progress),
        retry_after_ms=fault.retry_after_ms,
    )


def outcome(progress: plan.Progress) -> str:
    """Return what a refusal may say about the request."""
    return refusals.UNKNOWN if progress.may_have_run else refusals.NOT_RUN


@contextlib.asynccontextmanager
async def _watched(
    shared: entry_state.EntryState, sending: Sending, note: plan.AttemptNote
) -> AsyncIterator[None]:
    """Keep the fleet's and the request's notes of an attempt true."""
    shared.fleet.record_start(note.endpoint)
    note.outcome = 'cancelled'
    is_ok = False
    try:
        yield
        is_ok = True
        note.outcome = 'done'
    except errors.AttemptRefusedError as fault:
        note.outcome = f'refused: {fault.code}'
        is_ok = fault.code != 'no_endpoint'
        if not is_ok:
            shared.fleet.record_failure(note.endpoint)
        raise
    except errors.AttemptLostError as fault:
        note.outcome = f'lost: {fault.code}'
        sending.progress.may_have_run = True
        if fault.code != 'deadline_exceeded':
            shared.fleet.record_failure(note.endpoint)
        raise
    finally:
        _note_end(shared, sending, note, is_ok=is_ok)


def _note_end(
    shared: entry_state.EntryState,
    sending: Sending,
    note: plan.AttemptNote,
    *,
    is_ok: bool,
) -> None:
    is_cancelled = note.outcome == 'cancelled'
    if is_cancelled:
        sending.progress.may_have_run = True
    shared.fleet.record_end(note.endpoint, is_ok or is_cancelled)
    _ATTEMPTS.labels(note.outcome.partition(':')[0]).inc()
    sending.progress.explain(
        'attempt',
        attempt_id=note.attempt_id,
        endpoint=note.endpoint,
        outcome=note.outcome,
    )


def _message(
    shared: entry_state.EntryState, sending: Sending, span: trace.Span
) -> router_pb2.RunRequest:
    request = sending.request
    target = sending.target
    position = shared.store.current().position
    extra_ms = _WHOLE_EXTRA_MS if request.kind.whole else 0
    message = router_pb2.RunRequest(
        attempt_id=sending.attempt_id,
        request_id=request.request_id,
        organisation=request.organisation.name,
        kind=request.kind.name,
        priority=request.priority,
        deadline_ms=request.remaining_ms() + extra_ms,
        position=router_pb2.Position(
            generation=position.generation, offset=position.offset
        ),
        body=request.body,
        method=target.method,
        path=target.path,
        content_type=target.content_type,
        idempotent=request.is_idempotent,
        stream=request.is_stream,
        resume_text=sending.resume_text,
        traceparent=telemetry.traceparent(span),
        service=target.service,
        entry=shared.conf.name,
        weight=request.organisation.weight,
        idempotency_key=request.idempotency_key,
        price_microcents=target.price_microcents,
        reads_following=True,
    )
    if target.version is not None:
        message.model = target.version.model
        message.version = target.version.version
    if sending.claim is not None:
        message.claim.CopyFrom(sending.claim)
    return message
