"""Reading of the body and headers of callers' requests."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import TYPE_CHECKING, Final

import xxhash
from aiohttp import web

from yuccarouter.request_path import claims, request_types
from yuccarouter_common import model, refusals, telemetry

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state
    from yuccarouter_common import settings

_MS_PER_S: Final = 1000
_MAX_KEY_CHARS: Final = 255
_MAX_PRIORITY: Final = 9
_DEFAULT_KIND: Final = model.RequestKind('default')


async def read_body(request: web.Request, limits: settings.Limits) -> bytes:
    """Return the complete body, read within its size and time limits.

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
            'invalid_request', 'the body is incomplete or malformed'
        ) from broken


def parse(
    shared: entry_state.EntryState,
    request: web.Request,
    organisation: model.Organisation,
    body: bytes,
    kind_name: str = '',
) -> request_types.CallerRequest:
    """Return the request described by the headers.

    Raises ``RefusalError`` with the code ``invalid_request``.
    """
    kind = _request_kind(shared, request, kind_name)
    key = request.headers.get('Idempotency-Key', '')
    if len(key) > _MAX_KEY_CHARS or not key.isprintable():
        raise _invalid_header(
            'Idempotency-Key', f'at most {_MAX_KEY_CHARS} characters'
        )
    deadline_ms = _integer(request, 'X-Deadline-Ms', kind.bound_ms)
    if deadline_ms < 1:
        raise _invalid_header('X-Deadline-Ms', 'a time above 0')
    priority = _integer(request, 'X-Priority', kind.priority)
    if priority > _MAX_PRIORITY:
        raise _invalid_header('X-Priority', f'0 to {_MAX_PRIORITY}')
    bound_ms = min(deadline_ms, kind.bound_ms)
    return request_types.CallerRequest(
        request_id=_request_id(organisation, key),
        organisation=organisation,
        kind=kind,
        priority=priority,
        deadline_s=time.monotonic() + bound_ms / _MS_PER_S,
        body=body,
        idempotency_key=key,
        body_digest=_body_digest(request, body),
        trace_context=telemetry.current_context(),
    )


def _request_kind(
    shared: entry_state.EntryState, request: web.Request, kind_name: str
) -> model.RequestKind:
    name = request.headers.get('X-Request-Kind', '') or kind_name
    if not name:
        return _DEFAULT_KIND
    kind = shared.store.current().kinds.get(name)
    if kind is None:
        raise _invalid_header('X-Request-Kind', 'a configured request kind')
    return kind


def _request_id(organisation: model.Organisation, key: str) -> str:
    if not key:
        return f'u-{uuid.uuid4().hex}'
    return claims.request_id(organisation.name, key)


def _body_digest(request: web.Request, body: bytes) -> str:
    hasher = xxhash.xxh3_128()
    hasher.update(f'{request.method} {request.raw_path}\n'.encode())
    hasher.update(body)
    return hasher.hexdigest()


def _integer(request: web.Request, header: str, default: int) -> int:
    digits = request.headers.get(header, '')
    if not digits:
        return default
    if not (digits.isascii() and digits.isdigit()):
        raise _invalid_header(header, 'a whole number')
    return int(digits[:_MAX_KEY_CHARS])


def _invalid_header(header: str, expected: str) -> refusals.RefusalError:
    return refusals.RefusalError(
        'invalid_request', f'{header}: expected {expected}'
    )
