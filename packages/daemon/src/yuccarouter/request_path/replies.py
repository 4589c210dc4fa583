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
    from yuccarouter.request_path import entry_state, plan

_JSON: Final = 'application/json'
_MS_PER_S: Final = 1000


def refusal(fault: refusals.RefusalError) -> web.Response:
    """Return the response that tells a caller of a refusal."""
    wire = attrs.asdict(refusals.error_body(fault))
    wire['param'] = getattr(fault, 'param', None)
    headers = {}
    if fault.retry_after_ms:
        seconds = math.ceil(fault.retry_after_ms / _MS_PER_S)
        headers['Retry-After'] = str(seconds)
    return web.Response(
        status=fault.status,
        body=orjson.dumps({'error': wire}),
        content_type=_JSON,
        headers=headers,
    )


def refusal_event(fault: refusals.RefusalError) -> bytes:
    """Return the event that ends a stream that can't be made whole."""
    wire = attrs.asdict(refusals.error_body(fault))
    return b''.join((b'data: ', orjson.dumps({'error': wire}), b'\n\n'))


def whole(
    shared: entry_state.EntryState, request: plan.Plan, answer: plan.Answer
) -> web.Response:
    """Return the response with a whole answer."""
    response = web.Response(
        status=answer.status,
        body=answer.body,
        headers=headers_of(shared, request, answer.target),
    )
    response.headers['Content-Type'] = answer.content_type or _JSON
    if answer.is_replayed:
        response.headers['Idempotency-Replayed'] = 'true'
    return response


def headers_of(
    shared: entry_state.EntryState, request: plan.Plan, target: plan.Target
) -> dict[str, str]:
    """Return the headers that say what answered a request."""
    headers = {'X-Request-Id': request.request_id}
    if target.version is None:
        return headers
    headers['X-Served-Version'] = target.version_name
    if request.session is not None:
        kept = attrs.evolve(request.session, version=target.version_name)
        headers['X-Session-Id'] = sessions.issue(shared.session_key, kept)
    return headers
