"""The HTTP application that callers use."""

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
    plan,
    replies,
    service_calls,
)
from yuccarouter.routing import version_selection
from yuccarouter_common import errors, refusals, telemetry

if TYPE_CHECKING:
    from opentelemetry import trace

    from yuccarouter.request_path import entry_state
    from yuccarouter_common import model

_JSON: Final = 'application/json'
# Faults of this program; the caller gets a code for them as well.
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

_Handle = Callable[
    [
        'entry_state.EntryState',
        web.Request,
        'model.Organisation',
        plan.Progress,
    ],
    Awaitable[web.StreamResponse],
]


def make_app(shared: entry_state.EntryState) -> web.Application:
    """Return the application for callers."""
    app = web.Application(client_max_size=shared.conf.limits.body_bytes)
    shared.store.subscribe(lambda change: _show_kinds(change.current))
    app.router.add_post(
        '/v1/chat/completions', _handler(shared, completions.complete)
    )
    app.router.add_get('/v1/models', _handler(shared, _models))
    app.router.add_route(
        '*',
        '/services/{service}/{path:.*}',
        _handler(shared, service_calls.call),
    )
    app.router.add_route('*', '/{path:.*}', _handler(shared, _not_found))
    return app


def _show_kinds(configuration: model.Configuration) -> None:
    """Export a zero for each outcome and kind.

    A rate over a counter that appears with its first failure misses that
    failure.
    """
    for kind in ('default', *configuration.kinds):
        for outcome in outcomes.ALERTED:
            _REQUESTS.labels(outcome, kind)


def _handler(
    shared: entry_state.EntryState, handle: _Handle
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    authenticate = authentication.authenticator(shared.store.current)

    async def answer(request: web.Request) -> web.StreamResponse:
        progress = plan.Progress()
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
                response = await _counted(
                    shared, organisation, handle, request, progress
                )
            except refusals.RefusalError as fault:
                progress.cut = fault
                response = replies.refusal(fault)
            except (ConnectionError, asyncio.CancelledError):
                _REQUESTS.labels(outcomes.CALLER_LEFT, progress.kind).inc()
                raise
            except _PROGRAM_FAULTS as fault:
                progress.cut = _internal(fault)
                response = replies.refusal(progress.cut)
            _count(progress, time.monotonic() - started_s)
            _close(shared, response, progress, span)
            return response

    return answer


def _internal(fault: Exception) -> refusals.RefusalError:
    """Return the refusal for a fault of this program; its text stays here."""
    eliot.write_traceback()
    return refusals.RefusalError(
        'internal',
        f'internal fault: {type(fault).__name__}',
        outcome=refusals.UNKNOWN,
    )


def _count(progress: plan.Progress, elapsed_s: float) -> None:
    outcome = outcomes.of_request(progress, elapsed_s)
    _REQUESTS.labels(outcome, progress.kind).inc()
    _SECONDS.labels(progress.kind).observe(elapsed_s)
    if progress.cut is not None:
        _REFUSALS.labels(progress.cut.code, progress.cut.outcome).inc()
        progress.explain(
            'refuse', code=progress.cut.code, why=progress.cut.message
        )


async def _counted(
    shared: entry_state.EntryState,
    organisation: model.Organisation,
    handle: _Handle,
    request: web.Request,
    progress: plan.Progress,
) -> web.StreamResponse:
    shared.limiter.acquire(organisation)
    try:
        return await handle(shared, request, organisation, progress)
    finally:
        shared.limiter.release(organisation)


def _close(
    shared: entry_state.EntryState,
    response: web.StreamResponse,
    progress: plan.Progress,
    span: trace.Span,
) -> None:
    trace_id = telemetry.trace_id(span)
    span.set_attribute('status', response.status)
    if not response.prepared:
        response.headers['X-Trace-Id'] = trace_id
    request_id = response.headers.get('X-Request-Id', '') or trace_id
    shared.explanations.keep(
        request_id,
        {
            'request_id': request_id,
            'trace_id': trace_id,
            'status': response.status,
            'decisions': progress.reasons,
        },
    )


async def _models(
    shared: entry_state.EntryState,
    request: web.Request,
    organisation: model.Organisation,
    progress: plan.Progress,
) -> web.StreamResponse:
    """List the models, versions and cascades the organisation may use."""
    configuration = shared.store.current()
    usable = version_selection.usable_versions(configuration, organisation)
    names = {version.model for version in usable}
    names |= {version.name for version in usable}
    for cascade in configuration.cascades.values():
        targets = {step.target for step in cascade.steps}
        if targets & names:
            names.add(cascade.name)
    listed = [
        {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'yuccarouter'}
        for name in sorted(names)
    ]
    return web.Response(
        body=orjson.dumps({'object': 'list', 'data': listed}),
        content_type=_JSON,
    )


async def _not_found(
    shared: entry_state.EntryState,
    request: web.Request,
    organisation: model.Organisation,
    progress: plan.Progress,
) -> web.StreamResponse:
    raise refusals.RefusalError('not_found', f'no resource {request.path!r}')
