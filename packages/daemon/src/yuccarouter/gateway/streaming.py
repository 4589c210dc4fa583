"""Streams: events as they come, resumed elsewhere when they break."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import aiohttp
import attrs
import eliot
import multidict
from aiohttp import web

from yuccarouter.gateway import attempts, events, patience, refusing, sizes
from yuccarouter_common import clocks

if TYPE_CHECKING:
    from yuccarouter.gateway import choice

_MS_PER_S: Final = 1000
_SERVER_ERROR: Final = 500
_OK: Final = 200
_MAX_SENDS: Final = 8
# Longest pause that is on time where the route names none.
_DEFAULT_PAUSE_MS: Final = 2000.0


class StreamBrokenError(Exception):
    """The caller's stream ended before its last event."""


@attrs.define
class Relay:
    """A caller's stream with what was passed on of it.

    ``response`` is the caller's answer once its head was sent.
    """

    out: attempts.Outgoing
    request: web.BaseRequest
    plan: sizes.Plan
    buffer: events.EventBuffer
    step: int = 0
    response: web.StreamResponse | None = None
    arrived_ms: float = attrs.field(factory=clocks.monotonic_ms)

    @property
    def model(self) -> str:
        """The model that answers now."""
        return self.plan.models[self.step]

    @property
    def resume_id(self) -> str:
        """The id after which the next attempt goes on."""
        if self.buffer.count and self.buffer.last_id is not None:
            return str(self.buffer.last_id)
        return self.out.call.last_event_id


async def forward(
    out: attempts.Outgoing, request: web.BaseRequest
) -> web.StreamResponse:
    """Pass an endpoint's stream on to the caller.

    Raises ``RefusalError`` while nothing was passed on, and
    ``StreamBrokenError`` after that.
    """
    relay = Relay(out, request, _plan(out), _buffer(out))
    lost: attempts.AttemptError | None = None
    failure: web.Response | None = None
    while out.left_ms() > 0 and out.sends < _MAX_SENDS:
        chosen = _next_endpoint(relay)
        if chosen is None:
            break
        try:
            answer = await _attempt(relay, chosen)
        except attempts.AttemptError as fault:
            lost = fault if lost is None or fault.may_have_run else lost
            if fault.may_have_run and not out.route.is_idempotent:
                break
            continue
        if answer is None:
            continue
        if isinstance(answer, web.Response):
            if answer.status < _SERVER_ERROR or not out.route.is_idempotent:
                return answer
            failure = answer
            continue
        return answer
    if relay.response is not None:
        eliot.log_message(
            'stream_broken',
            request=out.call.request_id,
            events=relay.buffer.count,
            attempts=out.sends,
            left_ms=round(out.left_ms()),
        )
        raise StreamBrokenError
    if failure is not None:
        return failure
    raise refusing.after_attempts(out, lost)


def _plan(out: attempts.Outgoing) -> sizes.Plan:
    generation = out.call.generation
    if out.route.models:
        return sizes.plan_for(out.route.models)
    return sizes.Plan((generation.model if generation else '',))


def _buffer(out: attempts.Outgoing) -> events.EventBuffer:
    last = out.call.last_event_id
    return events.EventBuffer(last_id=int(last) if last.isdigit() else None)


def _next_endpoint(relay: Relay) -> choice.Choice | None:
    out = relay.out
    if out.runs >= out.route.max_attempts:
        return None
    if out.sends and not out.take_repeat():
        return None
    chosen = out.gateway.choose(
        out.call, out.route, out.service, out.tried, relay.model
    )
    if chosen is None and relay.response is not None:
        # A stream that was begun may go on where it broke before.
        chosen = out.gateway.choose(
            out.call, out.route, out.service, frozenset(), relay.model
        )
    return chosen


async def _attempt(
    relay: Relay, chosen: choice.Choice
) -> web.StreamResponse | None:
    """Pass on what one endpoint answers.

    Returns the caller's whole answer, or ``None`` when a larger model has to
    be asked; raises ``AttemptError`` when the stream broke.
    """
    out = relay.out
    relay.buffer.restart()
    unread = attempts.unread_tokens(out.call, chosen)
    usual = out.gateway.patience_for(out.route, relay.model)
    may_move = out.may_run_again(after=1)
    wait_ms = out.left_ms()
    if may_move:
        wait_ms = min(
            wait_ms, usual.first_ms(unread, out.route.objective_ms)
        )
    async with attempts.open_attempt(
        out, chosen, relay.model, relay.resume_id, wait_ms
    ) as opened:
        usual.note(clocks.monotonic_ms() - opened.sent_ms, unread)
        if opened.head.status != _OK:
            return await _failure(out, opened)
        confidence = opened.head.confidence
        if relay.response is None and not relay.plan.accepts(
            relay.step, confidence
        ):
            if out.take_repeat(is_optional=True):
                eliot.log_message(
                    'answer_escalated',
                    request=out.call.request_id,
                    model=relay.model,
                    confidence=confidence,
                )
                relay.step += 1
                out.tried = frozenset()
                out.has_budget = True
                return None
        return await _relay(relay, opened)


async def _failure(
    out: attempts.Outgoing, opened: attempts.Opened
) -> web.Response:
    try:
        async with asyncio.timeout(max(0, out.left_ms()) / _MS_PER_S):
            body = await opened.response.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as fault:
        attempts.note_bad(out, opened, 'broken_answer')
        raise attempts.AttemptError(
            'answer broke off', 'broken_answer', may_have_run=True
        ) from fault
    attempts.note_bad(out, opened, 'failed')
    return web.Response(
        status=opened.head.status,
        body=body,
        headers=multidict.CIMultiDict(opened.head.headers),
    )


async def _relay(
    relay: Relay, opened: attempts.Opened
) -> web.StreamResponse:
    out = relay.out
    pause_ms = out.left_ms()
    if out.may_run_again(after=0):
        pause_ms = patience.pause_ms(
            out.route.gap_objective_ms or _DEFAULT_PAUSE_MS
        )
    first_ms: float | None = None
    try:
        while True:
            async with asyncio.timeout(
                max(0, min(pause_ms, out.left_ms())) / _MS_PER_S
            ):
                chunk = await opened.response.content.readany()
            if not chunk:
                break
            if first_ms is None:
                first_ms = clocks.monotonic_ms() - opened.sent_ms
            whole = relay.buffer.feed(chunk)
            if whole:
                await _write(relay, opened, whole)
        if not relay.buffer.is_clean or relay.response is None:
            raise events.OrderError('stream ended within an event')
    except TimeoutError as fault:
        attempts.note_silent(out, opened)
        raise attempts.AttemptError(
            'stream went silent', 'silent_stream', may_have_run=True
        ) from fault
    except (aiohttp.ClientError, OSError, events.OrderError) as fault:
        attempts.note_bad(out, opened, f'broken_stream {fault}')
        raise attempts.AttemptError(
            'stream broke off', 'broken_stream', may_have_run=True
        ) from fault
    attempts.note_good(
        out, opened, is_slow=_is_slow(relay, opened, first_ms or 0)
    )
    await relay.response.write_eof()
    return relay.response


async def _write(
    relay: Relay, opened: attempts.Opened, whole: bytes
) -> None:
    if relay.response is None:
        relay.response = web.StreamResponse(
            status=opened.head.status,
            headers=multidict.CIMultiDict(opened.head.headers),
        )
        if relay.out.gateway.is_draining:
            relay.response.force_close()
        relay.response.enable_chunked_encoding()
        await relay.response.prepare(relay.request)  # type: ignore[arg-type]
    await relay.response.write(whole)


def _is_slow(
    relay: Relay, opened: attempts.Opened, first_ms: float
) -> bool:
    return relay.out.gateway.control.is_slow(
        opened.view, f'{relay.out.route.name}/{relay.model}', first_ms
    )
