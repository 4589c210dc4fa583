"""Forwarding of answers that are buffered until they are complete."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from aiohttp import web

from yuccarouter.gateway import attempts, retries
from yuccarouter_common import clocks

if TYPE_CHECKING:
    from yuccarouter.gateway import choice

_SERVER_ERROR: Final = 500
# An attempt times out after this multiple of the route's latency objective if
# the call can be retried at another endpoint.
_TIMEOUT_OBJECTIVES: Final = 1.5
_MIN_TIMEOUT_MS: Final = 200.0


async def forward(out: attempts.OutgoingCall) -> web.StreamResponse:
    """Return an endpoint's complete answer; raises ``RefusalError``."""

    async def attempt(chosen: choice.Choice) -> web.Response:
        return await _attempt(out, chosen)

    def choose() -> choice.Choice | None:
        return out.next_endpoint('')

    return await retries.until_answered(out, choose, attempt)


def _attempt_timeout_ms(
    out: attempts.OutgoingCall, chosen: choice.Choice
) -> float:
    """Return how long the next attempt waits for its answer."""
    remaining_ms = out.remaining_ms()
    if not out.has_alternative(chosen, ''):
        return remaining_ms
    timeout_ms = max(
        _MIN_TIMEOUT_MS, _TIMEOUT_OBJECTIVES * out.route.objective_ms
    )
    return min(remaining_ms, timeout_ms)


async def _attempt(
    out: attempts.OutgoingCall, chosen: choice.Choice
) -> web.Response:
    timeout_ms = _attempt_timeout_ms(out, chosen)
    deadline_ms = clocks.monotonic_ms() + timeout_ms
    async with attempts.open_attempt(
        out, chosen, '', out.call.last_event_id, timeout_ms
    ) as opened:
        body = await attempts.read_body(out, opened, deadline_ms)
        if opened.head.status >= _SERVER_ERROR:
            attempts.record_failure(out, opened, 'failed')
        else:
            attempts.record_success(out, opened)
        return attempts.response_with(out, opened, body)
