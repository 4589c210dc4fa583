"""Choosing an endpoint and running one attempt there."""

from __future__ import annotations

import contextlib
import functools
import uuid
from typing import TYPE_CHECKING, Final

import attrs
import prometheus_client
from opentelemetry import trace

from yuccarouter.request_path import attempt, entry_state, errors, request_types
from yuccarouter.routing import choice
from yuccarouter.routing import errors as routing_errors
from yuccarouter_common import clocks, refusals, telemetry
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

# Time after the deadline for which an answer that must be complete is awaited.
_COMPLETE_EXTRA_MS: Final = 600_000

_ATTEMPTS = prometheus_client.Counter(
    'yuccarouter_attempts',
    'Attempts at endpoints by how they ended',
    ('outcome',),
)


def new_attempt_id() -> str:
    """Return a new unique attempt id."""
    return uuid.uuid4().hex


@attrs.frozen
class AttemptSpec:
    """What to send in one attempt.

    ``resume_text`` is the text that the caller has already received.
    """

    request: request_types.CallerRequest
    target: request_types.Target
    progress: request_types.Progress
    resume_text: str = ''
    prefixes: tuple[int, ...] = ()
    claim: router_pb2.ClaimProof | None = None
    attempt_id: str = attrs.field(factory=new_attempt_id)


def choose_endpoint(
    shared: entry_state.EntryState, spec: AttemptSpec
) -> choice.Choice:
    """Choose the endpoint of an attempt.

    Raises ``RefusalError`` with the code ``no_endpoint``.
    """
    progress = spec.progress
    choice_request = choice.Request(
        pool=spec.target.pool,
        version=spec.target.version_name,
        data_centre=shared.conf.data_centre,
        prefixes=spec.prefixes,
        excluded=frozenset(progress.tried_endpoints),
    )
    try:
        chosen = choice.choose(
            shared.fleet,
            choice_request,
            shared.store.current(),
            clocks.monotonic_ms(),
            shared.rng.random,
        )
    except routing_errors.RoutingError as fault:
        raise routing_refusal(fault, progress) from fault
    progress.explain(
        'choose_endpoint',
        endpoint=chosen.endpoint,
        version=spec.target.version_name,
        candidates=[attrs.asdict(option) for option in chosen.candidates],
    )
    return chosen


async def run(
    shared: entry_state.EntryState, spec: AttemptSpec
) -> AsyncGenerator[attempt.Event]:
    """Run an attempt at the best endpoint and yield its events.

    Raises the errors of ``attempt.run``, and ``RefusalError`` when there is
    no endpoint. The endpoint is added to ``progress.tried_endpoints``.
    """
    chosen = choose_endpoint(shared, spec)
    record = request_types.AttemptRecord(
        spec.attempt_id,
        chosen.view.address,
        chosen.endpoint,
        spec.target.version_name,
    )
    spec.progress.attempts.append(record)
    spec.progress.tried_endpoints.add(chosen.endpoint)
    # Another task may close this generator, so the span is not made current in
    # a context.
    span = telemetry.tracer().start_span(
        'entry.attempt',
        context=spec.request.trace_context,
        attributes={
            'attempt_id': record.attempt_id,
            'endpoint': record.endpoint,
            'version': record.version,
        },
    )
    events = attempt.run(
        shared.daemons.at(chosen.view.address),
        shared.daemons.metadata,
        _run_request(shared, spec, span),
        functools.partial(shared.canceller.cancel_on_loss, record.endpoint),
    )
    try:
        async with _recording_outcome(shared, spec, record):
            async with contextlib.aclosing(events):
                async for event in events:
                    yield event
    finally:
        span.set_attribute('outcome', record.outcome)
        span.end()


def routing_refusal(
    fault: routing_errors.RoutingError, progress: request_types.Progress
) -> refusals.RefusalError:
    """Return the refusal for a routing error of a request."""
    return refusals.RefusalError(
        fault.code,
        fault.message,
        outcome=refusal_outcome(progress),
        retry_after_ms=fault.retry_after_ms,
    )


def refusal_outcome(progress: request_types.Progress) -> str:
    """Return the outcome that a refusal of the request states."""
    return refusals.UNKNOWN if progress.may_have_run else refusals.NOT_RUN


@contextlib.asynccontextmanager
async def _recording_outcome(
    shared: entry_state.EntryState,
    spec: AttemptSpec,
    record: request_types.AttemptRecord,
) -> AsyncIterator[None]:
    """Record an attempt's start and outcome for the fleet and the request."""
    shared.fleet.record_start(record.endpoint)
    record.outcome = 'cancelled'
    is_ok = False
    try:
        yield
        is_ok = True
        record.outcome = 'done'
    except errors.AttemptRefusedError as fault:
        record.outcome = f'refused: {fault.code}'
        is_ok = fault.code != 'no_endpoint'
        if not is_ok:
            shared.fleet.record_failure(record.endpoint)
        raise
    except errors.AttemptLostError as fault:
        record.outcome = f'lost: {fault.code}'
        spec.progress.may_have_run = True
        if fault.code != 'deadline_exceeded':
            shared.fleet.record_failure(record.endpoint)
        raise
    finally:
        _record_end(shared, spec, record, is_ok=is_ok)


def _record_end(
    shared: entry_state.EntryState,
    spec: AttemptSpec,
    record: request_types.AttemptRecord,
    *,
    is_ok: bool,
) -> None:
    is_cancelled = record.outcome == 'cancelled'
    if is_cancelled:
        spec.progress.may_have_run = True
    shared.fleet.record_end(record.endpoint, is_ok or is_cancelled)
    _ATTEMPTS.labels(record.outcome.partition(':')[0]).inc()
    spec.progress.explain(
        'attempt',
        attempt_id=record.attempt_id,
        endpoint=record.endpoint,
        outcome=record.outcome,
    )


def _run_request(
    shared: entry_state.EntryState, spec: AttemptSpec, span: trace.Span
) -> router_pb2.RunRequest:
    request = spec.request
    target = spec.target
    position = shared.store.current().position
    extra_ms = _COMPLETE_EXTRA_MS if request.kind.whole else 0
    run_request = router_pb2.RunRequest(
        attempt_id=spec.attempt_id,
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
        resume_text=spec.resume_text,
        traceparent=telemetry.traceparent(span),
        service=target.service,
        entry=shared.conf.name,
        weight=request.organisation.weight,
        idempotency_key=request.idempotency_key,
        price_microcents=target.price_microcents,
        reads_following=True,
    )
    if target.version is not None:
        run_request.model = target.version.model
        run_request.version = target.version.version
    if spec.claim is not None:
        run_request.claim.CopyFrom(spec.claim)
    return run_request
