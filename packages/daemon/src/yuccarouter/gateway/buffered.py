"""Answers that are passed on once they are whole."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from aiohttp import web

from yuccarouter.gateway import attempts, retries
from yuccarouter_common import clocks

if TYPE_CHECKING:
    from yuccarouter.gateway import choice

_SERVER_ERROR: Final = 500
# A call that may be repeated is sent elsewhere after this many objectives.
_PATIENCE: Final = 1.5
_MIN_PATIENCE_MS: Final = 200.0


async def forward(out: attempts.OutgoingCall) -> web.StreamResponse:
    """Return an endpoint's whole answer; raises ``RefusalError``."""

    async def attempt(chosen: choice.Choice) -> web.Response:
        return await _attempt(out, chosen)

    def choose() -> choice.Choice | None:
        return out.next_endpoint('')

    return await retries.until_answered(out, choose, attempt)


def _patience_ms(out: attempts.OutgoingCall, chosen: choice.Choice) -> float:
    """Return how long to wait for an answer of the next attempt."""
    left_ms = out.remaining_ms()
    if not out.has_alternative(chosen, ''):
        return left_ms
    patience_ms = max(_MIN_PATIENCE_MS, _PATIENCE * out.route.objective_ms)
    return min(left_ms, patience_ms)


async def _attempt(
    out: attempts.OutgoingCall, chosen: choice.Choice
) -> web.Response:
    patience_ms = _patience_ms(out, chosen)
    until_ms = clocks.monotonic_ms() + patience_ms
    async with attempts.open_attempt(
        out, chosen, '', out.call.last_event_id, patience_ms
    ) as opened:
        body = await attempts.read_body(out, opened, until_ms)
        elapsed_ms = clocks.monotonic_ms() - opened.sent_ms
        if opened.head.status >= _SERVER_ERROR:
            attempts.record_failure(out, opened, 'failed')
        else:
            is_slow = out.gateway.control.is_slow(
                opened.view, out.route.name, elapsed_ms
            )
            attempts.record_success(out, opened, is_slow=is_slow)
        return attempts.response_with(opened, body)
