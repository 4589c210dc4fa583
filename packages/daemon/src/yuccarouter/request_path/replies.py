"""HTTP responses to callers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs
import orjson
from aiohttp import web

from yuccarouter.routing import sessions
from yuccarouter_common import refusals

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state, request_types

_JSON: Final = 'application/json'
_MS_PER_S: Final = 1000


def refusal_response(fault: refusals.RefusalError) -> web.Response:
    """Return the error response for a refusal."""
    error = attrs.asdict(refusals.error_body(fault))
    error['param'] = getattr(fault, 'param', None)
    headers = {}
    if fault.retry_after_ms:
        seconds = math.ceil(fault.retry_after_ms / _MS_PER_S)
        headers['Retry-After'] = str(seconds)
    return web.Response(
        status=fault.status,
        body=orjson.dumps({'error': error}),
        content_type=_JSON,
        headers=headers,
    )


def refusal_event(fault: refusals.RefusalError) -> bytes:
    """Return the error event that ends an incomplete stream."""
    error = attrs.asdict(refusals.error_body(fault))
    return b''.join((b'data: ', orjson.dumps({'error': error}), b'\n\n'))


def answer_response(
    shared: entry_state.EntryState,
    request: request_types.CallerRequest,
    answer: request_types.Answer,
) -> web.Response:
    """Return the response with a complete answer."""
    response = web.Response(
        status=answer.status,
        body=answer.body,
        headers=answer_headers(shared, request, answer.target),
    )
    response.headers['Content-Type'] = answer.content_type or _JSON
    if answer.is_replayed:
        response.headers['Idempotency-Replayed'] = 'true'
    return response


def answer_headers(
    shared: entry_state.EntryState,
    request: request_types.CallerRequest,
    target: request_types.Target,
) -> dict[str, str]:
    """Return the headers with the request id, version and session token."""
    headers = {'X-Request-Id': request.request_id}
    if target.version is None:
        return headers
    headers['X-Served-Version'] = target.version_name
    if request.session is not None:
        session = attrs.evolve(request.session, version=target.version_name)
        headers['X-Session-Id'] = sessions.issue(shared.session_key, session)
    return headers
