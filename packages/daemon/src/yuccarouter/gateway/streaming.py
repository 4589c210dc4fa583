"""Streams: events as they come, resumed elsewhere when they break."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import aiohttp
import attrs
import eliot
import multidict
from aiohttp import web

from yuccarouter.gateway import (
    attempts,
    events,
    metrics,
    stream_timeouts,
    retries,
    model_escalation,
)
from yuccarouter_common import clocks, errors, refusals

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from yuccarouter.gateway import choice

_MS_PER_S: Final = 1000
_OK: Final = 200
# Longest pause that is on time where the route names none.
_DEFAULT_PAUSE_MS: Final = 2000.0


class StreamBrokenError(errors.RouterError):
    """The caller's stream ended before its last event."""

    code = 'stream_broken'


class EndpointGoneError(errors.RouterError):
    """The connection to the endpoint failed; the caller's one is whole."""

    code = 'endpoint_gone'


class CallerStalledError(errors.RouterError):
    """The caller did not read its stream until its deadline."""

    code = 'caller_stalled'


# How a stream breaks that an endpoint began.
_BROKEN: Final = (
    aiohttp.ClientError,
    events.OrderError,
    events.EventTooLongError,
    EndpointGoneError,
)


@attrs.define
class _Silence:
    """How long an endpoint has sent no event, whatever bytes came."""

    buffer: events.EventBuffer
    since_ms: float = attrs.field(factory=clocks.monotonic_ms)
    _events_seen: int = 0

    def elapsed_ms(self) -> float:
        """Return the time since the newest event with data."""
        if self.buffer.data_count > self._events_seen:
            self._events_seen = self.buffer.data_count
            self.since_ms = clocks.monotonic_ms()
        return clocks.monotonic_ms() - self.since_ms


@attrs.define
class Relay:
    """A caller's stream with what was passed on of it.

    ``response`` is the caller's answer once its head was sent.
    """

    out: attempts.OutgoingCall
    request: web.BaseRequest
    plan: model_escalation.Plan
    buffer: events.EventBuffer
    step: int = 0
    response: web.StreamResponse | None = None

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
    out: attempts.OutgoingCall, request: web.BaseRequest
) -> web.StreamResponse:
    """Pass an endpoint's stream on to the caller.

    Raises ``RefusalError`` while nothing was passed on, and
    ``StreamBrokenError`` after that.
    """
    relay = Relay(out, request, _plan(out), _buffer(out))

    async def attempt(chosen: choice.Choice) -> web.StreamResponse | None:
        return await _attempt(relay, chosen)

    def choose() -> choice.Choice | None:
        return _next_endpoint(relay)

    try:
        return await retries.until_answered(out, choose, attempt)
    except refusals.RefusalError as refusal:
        if relay.response is None:
            raise
        eliot.log_message(
            'stream_broken',
            request=out.call.request_id,
            events=relay.buffer.count,
            attempts=out.sends,
            left_ms=round(out.remaining_ms()),
        )
        raise StreamBrokenError('stream ended early') from refusal


def _plan(out: attempts.OutgoingCall) -> model_escalation.Plan:
    generation = out.call.generation
    if out.route.models:
        return model_escalation.plan_for(out.route.models)
    return model_escalation.Plan((generation.model if generation else '',))


def _buffer(out: attempts.OutgoingCall) -> events.EventBuffer:
    last = out.call.last_event_id
    is_number = last.isascii() and last.isdigit()
    return events.EventBuffer(last_id=int(last) if is_number else None)


def _next_endpoint(relay: Relay) -> choice.Choice | None:
    out = relay.out
    chosen = out.next_endpoint(relay.model)
    if chosen is None and relay.response is not None:
        # A stream that was begun may go on where it broke before.
        out.tried = frozenset()
        chosen = out.next_endpoint(relay.model)
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
    unread = attempts.prefill_tokens(out.call, chosen)
    usual = out.gateway.patience_for(out.route, relay.model)
    wait_ms = out.remaining_ms()
    if out.has_alternative(chosen, relay.model):
        usual_ms = usual.timeout_ms(
            unread,
            out.route.objective_ms,
            chosen.endpoint.backlog_ms(clocks.monotonic_ms()),
        )
        wait_ms = min(wait_ms, usual_ms)
    async with attempts.open_attempt(
        out, chosen, relay.model, relay.resume_id, wait_ms
    ) as opened:
        usual.record(clocks.monotonic_ms() - opened.sent_ms, unread)
        if opened.head.status != _OK:
            return await _failure(relay, opened)
        if _must_escalate(relay, opened.head.confidence):
            return None
        await _relay(relay, opened)
        return relay.response


def _must_escalate(relay: Relay, confidence: float | None) -> bool:
    """Turn to a larger model if this one's answer may be wrong."""
    out = relay.out
    if relay.response is not None:
        return False
    if relay.plan.accepts(relay.step, confidence):
        return False
    if not _is_worth_asking(relay, confidence):
        return False
    if not out.may_run_again(after=0):
        return False
    if not out.take_retry(is_optional=True):
        metrics.ESCALATIONS_WITHOUT_BUDGET.labels(out.service).inc()
        eliot.log_message(
            'larger_model_not_paid',
            request=out.call.request_id,
            confidence=confidence,
        )
        return False
    eliot.log_message(
        'answer_escalated',
        request=out.call.request_id,
        model=relay.model,
        confidence=confidence,
    )
    relay.step += 1
    out.has_run = True
    out.tried = frozenset()
    return True


def _is_worth_asking(relay: Relay, confidence: float | None) -> bool:
    """Return whether the next larger model is not too far behind."""
    out = relay.out
    larger = relay.plan.models[relay.step + 1]
    chosen = out.gateway.choose(
        out.call, out.route, out.service, frozenset(), larger
    )
    if chosen is None:
        return False
    unread = attempts.prefill_tokens(out.call, chosen)
    prospect = model_escalation.EscalationTimes(
        elapsed_ms=out.elapsed_ms(),
        backlog_ms=chosen.endpoint.backlog_ms(clocks.monotonic_ms()),
        read_ms=out.gateway.prefill_speeds.expected_ms(larger, unread),
    )
    if model_escalation.should_escalate(
        prospect, out.route.objective_ms, out.priority
    ):
        return True
    eliot.log_message(
        'larger_model_not_asked',
        request=out.call.request_id,
        confidence=confidence,
        priority=out.priority,
        elapsed_ms=round(prospect.elapsed_ms),
        backlog_ms=round(prospect.backlog_ms),
        read_ms=round(prospect.read_ms),
    )
    return False


async def _failure(
    relay: Relay, opened: attempts.OpenAnswer
) -> web.StreamResponse:
    out = relay.out
    until_ms = clocks.monotonic_ms() + out.remaining_ms()
    body = await attempts.read_body(out, opened, until_ms)
    attempts.record_failure(out, opened, 'failed')
    if relay.response is not None:
        raise attempts.AttemptError(
            'stream was not resumed', 'failed', may_have_run=True
        )
    return attempts.response_with(opened, body)


async def _relay(relay: Relay, opened: attempts.OpenAnswer) -> None:
    """Pass on all events; raises ``AttemptError`` if the stream breaks."""
    out = relay.out
    try:
        first_ms = await _pass_events(relay, opened)
    except TimeoutError as fault:
        attempts.record_timeout(out, opened)
        raise attempts.AttemptError(
            'stream went silent', 'silent_stream', may_have_run=True
        ) from fault
    except _BROKEN as fault:
        attempts.record_failure(out, opened, 'broken_stream', str(fault))
        raise attempts.AttemptError(
            'stream broke off', 'broken_stream', may_have_run=True
        ) from fault
    attempts.record_success(
        out, opened, is_slow=_is_slow(relay, opened, first_ms)
    )
    if relay.response is not None:
        await _until_read(relay, relay.response.write_eof())


async def _pass_events(relay: Relay, opened: attempts.OpenAnswer) -> float:
    """Return the time to the first event, once the stream has ended."""
    out = relay.out
    gap_ms = out.route.gap_objective_ms or _DEFAULT_PAUSE_MS
    pause_ms = out.remaining_ms()
    if out.may_run_again(after=0):
        pause_ms = stream_timeouts.gap_timeout_ms(gap_ms)
    first_ms: float = 0
    silence = _Silence(relay.buffer)
    while True:
        borne_ms = pause_ms - silence.elapsed_ms()
        chunk = await _next_chunk(opened, min(borne_ms, out.remaining_ms()))
        if not chunk:
            break
        first_ms = first_ms or clocks.monotonic_ms() - opened.sent_ms
        whole = relay.buffer.feed(chunk)
        if whole:
            await _write(relay, opened, whole)
    if not relay.buffer.is_clean or relay.response is None:
        raise events.OrderError('stream ended within an event')
    return first_ms


async def _next_chunk(opened: attempts.OpenAnswer, pause_ms: float) -> bytes:
    try:
        async with asyncio.timeout(max(0, pause_ms) / _MS_PER_S):
            return await opened.response.content.readany()
    except OSError as fault:
        if isinstance(fault, TimeoutError):
            raise
        raise EndpointGoneError(str(fault)) from fault


async def _write(
    relay: Relay, opened: attempts.OpenAnswer, whole: bytes
) -> None:
    if relay.response is None:
        relay.response = web.StreamResponse(
            status=opened.head.status,
            headers=multidict.CIMultiDict(opened.head.headers),
        )
        if relay.out.gateway.is_draining:
            relay.response.force_close()
        relay.response.enable_chunked_encoding()
        metrics.observe_first_byte(relay.out.route.kind, relay.out.elapsed_ms())
        await relay.response.prepare(relay.request)
    await _until_read(relay, relay.response.write(whole))


async def _until_read(relay: Relay, writing: Awaitable[None]) -> None:
    """Wait for a caller to read; one that reads nothing holds no endpoint."""
    try:
        async with asyncio.timeout(
            max(0, relay.out.remaining_ms()) / _MS_PER_S
        ):
            await writing
    except TimeoutError as fault:
        raise CallerStalledError('caller does not read') from fault


def _is_slow(
    relay: Relay, opened: attempts.OpenAnswer, first_ms: float
) -> bool:
    return relay.out.gateway.control.is_slow(
        opened.view, f'{relay.out.route.name}/{relay.model}', first_ms
    )
