"""Answers that are passed on once they are whole."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import aiohttp
import multidict
from aiohttp import web

from yuccarouter.gateway import attempts, refusing
from yuccarouter_common import clocks

if TYPE_CHECKING:
    from yuccarouter.gateway import choice

_MS_PER_S: Final = 1000
_SERVER_ERROR: Final = 500
# Sends of one request, refused ones included.
_MAX_SENDS: Final = 6
# A call that may be repeated is sent elsewhere after this many objectives.
_PATIENCE: Final = 1.5
_MIN_PATIENCE_MS: Final = 200.0


async def forward(out: attempts.Outgoing) -> web.Response:
    """Return an endpoint's whole answer; raises ``RefusalError``.

    A request that may run once only is sent again only after a promise that
    it has not run. Others are repeated within the route's attempts and the
    budget; the last failure of an endpoint is passed on as it is.
    """
    failure: web.Response | None = None
    lost: attempts.AttemptError | None = None
    while out.left_ms() > 0 and out.sends < _MAX_SENDS:
        chosen = _next_endpoint(out)
        if chosen is None:
            break
        try:
            answer = await _attempt(out, chosen)
        except attempts.AttemptError as fault:
            lost = _worse(lost, fault)
            if fault.may_have_run and not out.route.is_idempotent:
                break
            continue
        if answer.status < _SERVER_ERROR or not out.route.is_idempotent:
            return answer
        failure = answer
    if failure is not None:
        return failure
    raise refusing.after_attempts(out, lost)


def _next_endpoint(out: attempts.Outgoing) -> choice.Choice | None:
    if out.runs >= out.route.max_attempts:
        return None
    if out.sends and not out.take_repeat():
        return None
    return out.gateway.choose(
        out.call, out.route, out.service, out.tried, ''
    )


def _worse(
    known: attempts.AttemptError | None, fault: attempts.AttemptError
) -> attempts.AttemptError:
    """Return the failure that leaves more open."""
    if known is not None and known.may_have_run:
        return known
    return fault


def _patience_ms(out: attempts.Outgoing) -> float:
    """Return how long to wait for an answer of this attempt."""
    left_ms = out.left_ms()
    is_last = out.runs + 1 >= out.route.max_attempts
    if is_last or not out.route.is_idempotent:
        return left_ms
    patience_ms = max(_MIN_PATIENCE_MS, _PATIENCE * out.route.objective_ms)
    return min(left_ms, patience_ms)


async def _attempt(
    out: attempts.Outgoing, chosen: choice.Choice
) -> web.Response:
    patience_ms = _patience_ms(out)
    until_ms = clocks.monotonic_ms() + patience_ms
    async with attempts.open_attempt(
        out, chosen, '', out.call.last_event_id, patience_ms
    ) as opened:
        try:
            async with asyncio.timeout(
                (until_ms - clocks.monotonic_ms()) / _MS_PER_S
            ):
                body = await opened.response.read()
        except TimeoutError as fault:
            attempts.note_silent(out, opened)
            raise attempts.AttemptError(
                'answer did not end in time', 'no_answer', may_have_run=True
            ) from fault
        except (aiohttp.ClientError, OSError) as fault:
            attempts.note_bad(out, opened, 'broken_answer')
            raise attempts.AttemptError(
                'answer broke off', 'broken_answer', may_have_run=True
            ) from fault
        elapsed_ms = clocks.monotonic_ms() - opened.sent_ms
        if opened.head.status >= _SERVER_ERROR:
            attempts.note_bad(out, opened, 'failed')
        else:
            is_slow = out.gateway.control.is_slow(
                opened.view, out.route.name, elapsed_ms
            )
            attempts.note_good(out, opened, is_slow=is_slow)
        return web.Response(
            status=opened.head.status,
            body=body,
            headers=multidict.CIMultiDict(opened.head.headers),
        )
