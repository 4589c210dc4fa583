"""What every caller-facing request has in common."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import TYPE_CHECKING, Final

import xxhash
from aiohttp import web

from yuccarouter.request_path import claims, plan
from yuccarouter_common import model, refusals, telemetry

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state
    from yuccarouter_common import settings

_MS_PER_S: Final = 1000
_MAX_KEY_CHARS: Final = 255
_MAX_PRIORITY: Final = 9
_DEFAULT_KIND: Final = model.RequestKind('default')


async def read_body(request: web.Request, limits: settings.Limits) -> bytes:
    """Read the whole body within its limits of size and time.

    Raises ``RefusalError``: ``body_too_large``, ``request_timeout`` or
    ``invalid_request``.
    """
    try:
        async with asyncio.timeout(limits.body_timeout_ms / _MS_PER_S):
            return await request.read()
    except web.HTTPRequestEntityTooLarge as large:
        raise refusals.RefusalError(
            'body_too_large',
            f'the body is larger than {limits.body_bytes} bytes',
        ) from large
    except TimeoutError as slow:
        raise refusals.RefusalError(
            'request_timeout', 'the body did not arrive in time'
        ) from slow
    except (web.PayloadAccessError, ConnectionError) as broken:
        raise refusals.RefusalError(
            'invalid_request', 'the body is broken'
        ) from broken


def make_plan(
    shared: entry_state.EntryState,
    request: web.Request,
    organisation: model.Organisation,
    body: bytes,
    kind_name: str = '',
) -> plan.Plan:
    """Return the plan of a request from its headers.

    Raises ``RefusalError`` with the code ``invalid_request``.
    """
    kind = _kind(shared, request, kind_name)
    key = request.headers.get('Idempotency-Key', '')
    if len(key) > _MAX_KEY_CHARS or not key.isprintable():
        raise _invalid(
            'Idempotency-Key', f'at most {_MAX_KEY_CHARS} characters'
        )
    deadline_ms = _number(request, 'X-Deadline-Ms', kind.bound_ms)
    if deadline_ms < 1:
        raise _invalid('X-Deadline-Ms', 'a time above 0')
    priority = _number(request, 'X-Priority', kind.priority)
    if priority > _MAX_PRIORITY:
        raise _invalid('X-Priority', f'0 to {_MAX_PRIORITY}')
    bound_ms = min(deadline_ms, kind.bound_ms)
    return plan.Plan(
        request_id=_request_id(organisation, key),
        organisation=organisation,
        kind=kind,
        priority=priority,
        deadline_s=time.monotonic() + bound_ms / _MS_PER_S,
        body=body,
        idempotency_key=key,
        body_digest=_digest(request, body),
        trace_context=telemetry.current_context(),
    )


def _kind(
    shared: entry_state.EntryState, request: web.Request, kind_name: str
) -> model.RequestKind:
    name = request.headers.get('X-Request-Kind', '') or kind_name
    if not name:
        return _DEFAULT_KIND
    kind = shared.store.current().kinds.get(name)
    if kind is None:
        raise _invalid('X-Request-Kind', 'a configured request kind')
    return kind


def _request_id(organisation: model.Organisation, key: str) -> str:
    if not key:
        return f'u-{uuid.uuid4().hex}'
    return claims.request_id(organisation.name, key)


def _digest(request: web.Request, body: bytes) -> str:
    hashed = xxhash.xxh3_128()
    hashed.update(f'{request.method} {request.raw_path}\n'.encode())
    hashed.update(body)
    return hashed.hexdigest()


def _number(request: web.Request, header: str, default: int) -> int:
    text = request.headers.get(header, '')
    if not text:
        return default
    if not (text.isascii() and text.isdigit()):
        raise _invalid(header, 'a whole number')
    return int(text[:_MAX_KEY_CHARS])


def _invalid(header: str, expected: str) -> refusals.RefusalError:
    return refusals.RefusalError(
        'invalid_request', f'{header}: expected {expected}'
    )
