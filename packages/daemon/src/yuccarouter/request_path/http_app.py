"""The HTTP application for callers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import eliot
import orjson
import prometheus_client
from aiohttp import web

from yuccarouter.request_path import (
    authentication,
    completions,
    outcomes,
    replies,
    request_types,
    service_calls,
)
from yuccarouter.routing import version_selection
from yuccarouter_common import errors, refusals, telemetry

if TYPE_CHECKING:
    from opentelemetry import trace

    from yuccarouter.request_path import entry_state
    from yuccarouter_common import model

_JSON: Final = 'application/json'
# Errors of this program, for which the caller gets a refusal with a code.
_PROGRAM_FAULTS: Final = (
    errors.RouterError,
    ArithmeticError,
    AssertionError,
    AttributeError,
    LookupError,
    RuntimeError,
    TypeError,
    ValueError,
)

_REQUESTS = prometheus_client.Counter(
    'yuccarouter_requests',
    'Requests of callers by outcome and kind',
    ('outcome', 'kind'),
)
_REFUSALS = prometheus_client.Counter(
    'yuccarouter_refusals',
    'Refusals by code and by what is known of the outcome',
    ('code', 'outcome'),
)
_SECONDS = prometheus_client.Histogram(
    'yuccarouter_request_seconds',
    'Time from a request to the end of its answer',
    ('kind',),
)

_Handler = Callable[
    [
        'entry_state.EntryState',
        web.Request,
        'model.Organisation',
        request_types.Progress,
    ],
    Awaitable[web.StreamResponse],
]


def make_app(shared: entry_state.EntryState) -> web.Application:
    """Return the application for callers."""
    app = web.Application(client_max_size=shared.conf.limits.body_bytes)
    shared.store.subscribe(lambda change: _export_zero_counts(change.current))
    app.router.add_post(
        '/v1/chat/completions', _make_handler(shared, completions.complete)
    )
    app.router.add_get('/v1/models', _make_handler(shared, _models))
    app.router.add_route(
        '*',
        '/services/{service}/{path:.*}',
        _make_handler(shared, service_calls.call),
    )
    app.router.add_route('*', '/{path:.*}', _make_handler(shared, _not_found))
    return app


def _export_zero_counts(configuration: model.Configuration) -> None:
    """Export a zero count for each outcome and kind.

    If a counter first appeared with its first failure, a rate over it would
    miss that failure.
    """
    for kind in ('default', *configuration.kinds):
        for outcome in outcomes.ALERTED:
            _REQUESTS.labels(outcome, kind)


def _make_handler(
    shared: entry_state.EntryState, handle: _Handler
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    authenticate = authentication.authenticator(shared.store.current)

    async def answer(request: web.Request) -> web.StreamResponse:
        progress = request_types.Progress()
        started_s = time.monotonic()
        with telemetry.tracer().start_as_current_span(
            'entry.request',
            context=telemetry.parent_context(request.headers),
            attributes={'method': request.method, 'path': request.path},
        ) as span:
            try:
                organisation = authenticate(
                    request.headers.get('Authorization', '')
                )
                response = await _handle_within_limits(
                    shared, organisation, handle, request, progress
                )
            except refusals.RefusalError as fault:
                progress.refusal = fault
                response = replies.refusal_response(fault)
            except (ConnectionError, asyncio.CancelledError):
                _REQUESTS.labels(outcomes.CALLER_LEFT, progress.kind).inc()
                raise
            except _PROGRAM_FAULTS as fault:
                progress.refusal = _internal_refusal(fault)
                response = replies.refusal_response(progress.refusal)
            _record_metrics(progress, time.monotonic() - started_s)
            _record_explanation(shared, response, progress, span)
            return response

    return answer


def _internal_refusal(fault: Exception) -> refusals.RefusalError:
    """Log an error of this program; return a refusal without its text."""
    eliot.write_traceback()
    return refusals.RefusalError(
        'internal',
        f'internal error: {type(fault).__name__}',
        outcome=refusals.UNKNOWN,
    )


def _record_metrics(progress: request_types.Progress, elapsed_s: float) -> None:
    outcome = outcomes.request_outcome(progress, elapsed_s)
    _REQUESTS.labels(outcome, progress.kind).inc()
    _SECONDS.labels(progress.kind).observe(elapsed_s)
    if progress.refusal is not None:
        _REFUSALS.labels(progress.refusal.code, progress.refusal.outcome).inc()
        progress.explain(
            'refuse', code=progress.refusal.code, why=progress.refusal.message
        )


async def _handle_within_limits(
    shared: entry_state.EntryState,
    organisation: model.Organisation,
    handle: _Handler,
    request: web.Request,
    progress: request_types.Progress,
) -> web.StreamResponse:
    shared.limiter.acquire(organisation)
    try:
        return await handle(shared, request, organisation, progress)
    finally:
        shared.limiter.release(organisation)


def _record_explanation(
    shared: entry_state.EntryState,
    response: web.StreamResponse,
    progress: request_types.Progress,
    span: trace.Span,
) -> None:
    trace_id = telemetry.trace_id(span)
    span.set_attribute('status', response.status)
    if not response.prepared:
        response.headers['X-Trace-Id'] = trace_id
    request_id = response.headers.get('X-Request-Id', '') or trace_id
    shared.explanations.store(
        request_id,
        {
            'request_id': request_id,
            'trace_id': trace_id,
            'status': response.status,
            'decisions': progress.decisions,
        },
    )


async def _models(
    shared: entry_state.EntryState,
    request: web.Request,
    organisation: model.Organisation,
    progress: request_types.Progress,
) -> web.StreamResponse:
    """List the models, versions and cascades the organisation may use."""
    configuration = shared.store.current()
    usable_versions = version_selection.usable_versions(
        configuration, organisation
    )
    names = {version.model for version in usable_versions}
    names |= {version.name for version in usable_versions}
    for cascade in configuration.cascades.values():
        targets = {step.target for step in cascade.steps}
        if targets & names:
            names.add(cascade.name)
    listed_models = [
        {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'yuccarouter'}
        for name in sorted(names)
    ]
    return web.Response(
        body=orjson.dumps({'object': 'list', 'data': listed_models}),
        content_type=_JSON,
    )


async def _not_found(
    shared: entry_state.EntryState,
    request: web.Request,
    organisation: model.Organisation,
    progress: request_types.Progress,
) -> web.StreamResponse:
    raise refusals.RefusalError('not_found', f'no resource {request.path!r}')
