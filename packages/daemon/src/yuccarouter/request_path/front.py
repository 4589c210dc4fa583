"""The HTTP application that callers use."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import eliot
import orjson
import prometheus_client
from aiohttp import web

from yuccarouter.request_path import (
    authentication,
    completions,
    plan,
    replies,
    service_calls,
)
from yuccarouter.routing import allowed
from yuccarouter_common import refusals, telemetry

if TYPE_CHECKING:
    from opentelemetry import trace

    from yuccarouter.request_path import router
    from yuccarouter_common import model

_LOST_CODES: Final = frozenset(('attempt_lost', 'upstream_failed'))
_LATE_CODES: Final = frozenset(('deadline_exceeded',))
_CALLER_ERRORS: Final = 500
_JSON: Final = 'application/json'

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
    ['router.Router', web.Request, 'model.Organisation', plan.Progress],
    Awaitable[web.StreamResponse],
]


def make_app(shared: router.Router) -> web.Application:
    """Return the application for callers."""
    app = web.Application(client_max_size=shared.conf.limits.body_bytes)
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


def _handler(
    shared: router.Router, handle: _Handle
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    authenticate = authentication.authenticator(shared.store.current)

    async def answer(request: web.Request) -> web.StreamResponse:  # noqa: WPS430
        progress = plan.Progress()
        kind = request.headers.get('X-Request-Kind', 'default')
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
                _note_refusal(fault, kind)
                progress.explain('refuse', code=fault.code, why=fault.message)
                response = replies.refusal(fault)
            else:
                _REQUESTS.labels('ok', kind).inc()
            _close(shared, response, progress, span)
            return response

    return answer


async def _counted(
    shared: router.Router,
    organisation: model.Organisation,
    handle: _Handle,
    request: web.Request,
    progress: plan.Progress,
) -> web.StreamResponse:
    shared.load.enter(organisation)
    try:
        return await handle(shared, request, organisation, progress)
    finally:
        shared.load.leave(organisation)


def _close(
    shared: router.Router,
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


def _note_refusal(fault: refusals.RefusalError, kind: str) -> None:
    _REFUSALS.labels(fault.code, fault.outcome).inc()
    if fault.code in _LOST_CODES:
        outcome = 'lost'
    elif fault.code in _LATE_CODES:
        outcome = 'late'
    elif fault.status >= _CALLER_ERRORS:
        outcome = 'rejected'
    else:
        # The caller's own mistakes say nothing about the service.
        outcome = 'caller_error'
    _REQUESTS.labels(outcome, kind).inc()
    if outcome == 'lost':
        eliot.log_message('request_lost', code=fault.code, kind=kind)


async def _models(
    shared: router.Router,
    request: web.Request,
    organisation: model.Organisation,
    progress: plan.Progress,
) -> web.StreamResponse:
    """List the models, versions and cascades the organisation may use."""
    configuration = shared.store.current()
    usable = allowed.usable_versions(configuration, organisation)
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
    shared: router.Router,
    request: web.Request,
    organisation: model.Organisation,
    progress: plan.Progress,
) -> web.StreamResponse:
    raise refusals.RefusalError('not_found', f'no resource {request.path!r}')
