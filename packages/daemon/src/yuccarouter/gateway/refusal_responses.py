"""Refusals of the gateway: what callers are told and when to come back."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, Final

import orjson
from aiohttp import web

from yuccarouter_common import records, refusals

if TYPE_CHECKING:
    from yuccarouter.gateway import attempts

# Pauses that refused callers are told; spread so that they don't return
# together.
_SOON_MS: Final = 300.0
_LATER_MS: Final = 800.0
# A store that is away when a daemon starts is mostly so for another second;
# most callers come back only once.
_STARTING_MS: Final = 1000.0
_MS_PER_S: Final = 1000
_JSON: Final = 'application/json'


def not_configured() -> refusals.RefusalError:
    """No configuration is known yet."""
    return _without_configuration(_STARTING_MS)


def configuration_too_old() -> refusals.RefusalError:
    """The known configuration is too old to say no."""
    return _without_configuration(_SOON_MS)


def _without_configuration(pause_ms: float) -> refusals.RefusalError:
    return refusals.RefusalError(
        'configuration_stale',
        'the configuration is not known here yet',
        retry_after_ms=_spread(pause_ms),
    )


def no_endpoint(service: str) -> refusals.RefusalError:
    """No endpoint of the service may be used now."""
    return refusals.RefusalError(
        'no_endpoint',
        f'no endpoint of {service} can take the request now',
        retry_after_ms=_spread(_LATER_MS),
    )


def after_failed_attempts(
    out: attempts.OutgoingCall, lost: attempts.AttemptError | None
) -> refusals.RefusalError:
    """Return the refusal after attempts that brought no answer.

    Only where no attempt may have run does it say so.
    """
    if out.has_run or (lost is not None and lost.may_have_run):
        code = (
            'upstream_failed' if out.remaining_ms() > 0 else 'deadline_exceeded'
        )
        message = 'no other endpoint answers' if lost is None else lost.message
        return refusals.RefusalError(code, message, outcome=refusals.UNKNOWN)
    if lost is None and out.remaining_ms() > 0:
        return no_endpoint(out.service)
    return refusals.RefusalError(
        'overloaded',
        'no endpoint took the request',
        retry_after_ms=_spread(_SOON_MS),
    )


def response(refusal: refusals.RefusalError) -> web.Response:
    """Return the answer that tells a caller of a refusal."""
    error = records.converter.unstructure(refusals.error_body(refusal))
    headers = {}
    if refusal.retry_after_ms:
        headers['Retry-After'] = f'{refusal.retry_after_ms / _MS_PER_S:.2f}'
    return web.Response(
        status=refusal.status,
        body=orjson.dumps({'error': error}),
        content_type=_JSON,
        headers=headers,
    )


def _spread(pause_ms: float) -> int:
    return math.ceil(pause_ms * (0.75 + random.random() / 2))
