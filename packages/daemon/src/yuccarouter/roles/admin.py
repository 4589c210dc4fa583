"""The admin port: health, metrics, traces and status of a daemon."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Final

import attrs
import orjson
import prometheus_client
from aiohttp import web

if TYPE_CHECKING:
    from yuccarouter_common import settings, telemetry

_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAUTHORIZED: Final = 401
_UNAVAILABLE: Final = 503
_JSON: Final = 'application/json'
_OPEN_PATHS: Final = frozenset(('/healthz', '/readyz', '/metrics'))

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@attrs.frozen
class Views:
    """Functions that return the documents of the admin port.

    ``why_not_ready`` returns an empty string when the daemon is ready.
    ``explain`` takes a request id and returns ``None`` for an unknown one.
    """

    why_not_ready: Callable[[], str]
    status: Callable[[], dict[str, Any]]
    explain: Callable[[str], dict[str, Any] | None]
    configuration: Callable[[], dict[str, Any]]


def make_app(
    conf: settings.Settings, spans: telemetry.SpanStore, views: Views
) -> web.Application:
    """Return the application of the admin port.

    Health and metrics are open to the platform. The other paths require the
    operator key as bearer token.
    """

    async def health(request: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def ready(request: web.Request) -> web.Response:
        reason = views.why_not_ready()
        status = _UNAVAILABLE if reason else _OK
        return web.Response(status=status, text=f'{reason or "ready"}\n')

    async def metrics(request: web.Request) -> web.Response:
        return web.Response(
            body=prometheus_client.generate_latest(),
            headers={'Content-Type': prometheus_client.CONTENT_TYPE_LATEST},
        )

    async def status(request: web.Request) -> web.Response:
        return _json(views.status())

    async def configuration(request: web.Request) -> web.Response:
        return _json(views.configuration())

    async def explain(request: web.Request) -> web.Response:
        return _json(views.explain(request.match_info['request_id']))

    async def trace(request: web.Request) -> web.Response:
        trace_spans = spans.spans_of(request.match_info['trace_id'])
        return _json([attrs.asdict(span) for span in trace_spans] or None)

    app = web.Application(middlewares=[_operator_key_check(conf)])
    app.router.add_get('/healthz', health)
    app.router.add_get('/readyz', ready)
    app.router.add_get('/metrics', metrics)
    app.router.add_get('/status', status)
    app.router.add_get('/configuration', configuration)
    app.router.add_get('/explain/{request_id}', explain)
    app.router.add_get('/traces/{trace_id}', trace)
    return app


def _operator_key_check(conf: settings.Settings) -> Any:
    expected = f'Bearer {conf.secrets.operator_key}'.encode()

    @web.middleware
    async def check(
        request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        received = request.headers.get('Authorization', '').encode()
        is_open = request.path in _OPEN_PATHS
        if is_open or hmac.compare_digest(received, expected):
            return await handler(request)
        return _json({'error': 'the operator key is required'}, _UNAUTHORIZED)

    return check


def _json(document: Any, status: int = _OK) -> web.Response:
    if document is None:
        status = _NOT_FOUND
        document = {'error': 'not found or no longer kept'}
    return web.Response(
        status=status,
        body=orjson.dumps(document, default=str),
        content_type=_JSON,
    )
