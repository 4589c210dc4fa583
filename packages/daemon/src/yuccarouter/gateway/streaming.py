"""Forwarding of event streams, resumed at other endpoints on failure."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from typing import TYPE_CHECKING, Final

import aiohttp
import attrs
import eliot
import multidict
from aiohttp import web

from yuccarouter.gateway import (
    attempts,
    caller_connections,
    events,
    metrics,
    model_escalation,
    retries,
    state,
    stream_timeouts,
)
from yuccarouter.gateway.model_choice import selection, service_prices
from yuccarouter_common import clocks, errors, refusals

if TYPE_CHECKING:
    from collections.abc import Awaitable, Iterator

    from yuccarouter.gateway import choice

_MS_PER_S: Final = 1000
_OK: Final = 200
# Time in which the event loop reads what a socket has received.
_SOCKET_READ_S: Final = 0.005
# Longest gap between events that is on time, for routes that set none.
_DEFAULT_GAP_OBJECTIVE_MS: Final = 2000.0


class StreamBrokenError(errors.RouterError):
    """The caller's stream was cut off before its last event."""

    code = 'stream_broken'


class EndpointDisconnectedError(errors.RouterError):
    """The connection to the endpoint failed; the caller's is open."""

    code = 'endpoint_gone'


class CallerStalledError(errors.RouterError):
    """The caller did not read its stream before the deadline."""

    code = 'caller_stalled'


# Errors that end an endpoint's stream after its head has arrived: those of
# bytes without end, and others.
_ENDLESS_ERRORS: Final = (
    events.EventTooLongError,
    events.NoProgressError,
    *attempts.ENDLESS_ERRORS,
)
_STREAM_ERRORS: Final = (
    aiohttp.ClientError,
    events.OrderError,
    EndpointDisconnectedError,
)


@attrs.define
class _IdleTimer:
    """Measures the time since an endpoint's last event with data.

    Comments and incomplete events don't reset it.
    """

    buffer: events.EventBuffer
    last_event_ms: float = attrs.field(factory=clocks.monotonic_ms)
    _event_count: int = 0

    def elapsed_ms(self) -> float:
        """Return the time since the last event with data."""
        if self.buffer.data_count > self._event_count:
            self._event_count = self.buffer.data_count
            self.last_event_ms = clocks.monotonic_ms()
        return clocks.monotonic_ms() - self.last_event_ms


@attrs.define
class Relay:
    """The state of a caller's stream across attempts.

    ``model_index`` is the index of the current model in ``plan.models``, and
    ``response`` the caller's response, ``None`` until its head is sent.
    ``choice`` holds the state of the choice of models by load, ``None`` where
    the smallest and the largest model are asked. ``is_answer_recorded`` is true
    once an answer counts in the price of engine time.
    """

    out: attempts.OutgoingCall
    request: web.BaseRequest
    plan: model_escalation.Plan
    buffer: events.EventBuffer
    model_index: int = 0
    response: web.StreamResponse | None = None
    choice: selection.Selection | None = None
    is_answer_recorded: bool = False

    @property
    def model(self) -> str:
        """The model that is asked in the current attempt."""
        return self.plan.models[self.model_index]

    @property
    def resume_id(self) -> str:
        """The id of the event after which the next attempt resumes."""
        if self.buffer.count and self.buffer.last_id is not None:
            return str(self.buffer.last_id)
        return self.out.call.last_event_id


async def forward(
    out: attempts.OutgoingCall, request: web.BaseRequest
) -> web.StreamResponse:
    """Forward an endpoint's stream to the caller.

    Raises ``RefusalError`` if no endpoint answers, and ``StreamBrokenError``
    if that happens after events were forwarded.
    """
    relay = _make_relay(out, request)

    async def attempt(chosen: choice.Choice) -> web.StreamResponse | None:
        return await _attempt(relay, chosen)

    def choose() -> choice.Choice | None:
        return _next_endpoint(relay)

    try:
        answer = await retries.until_answered(out, choose, attempt)
    except refusals.RefusalError as refusal:
        if relay.response is None:
            raise
        raise _broken(relay) from refusal
    # An error of another endpoint can't follow the events.
    if relay.response is not None and answer is not relay.response:
        raise _broken(relay)
    return answer


def _broken(relay: Relay) -> StreamBrokenError:
    """Log that a stream has broken off and return the error."""
    eliot.log_message(
        'stream_broken',
        request=relay.out.call.request_id,
        events=relay.buffer.count,
        attempts=relay.out.sends,
        left_ms=round(relay.out.remaining_ms()),
    )
    return StreamBrokenError('stream ended before its last event')


def _make_relay(out: attempts.OutgoingCall, request: web.BaseRequest) -> Relay:
    """Return the relay of a stream, with the models that may be asked."""
    plan = _model_plan(out)
    relay = Relay(out, request, plan, _event_buffer(out))
    has_choice = len(out.route.models) > 1
    if has_choice and state.controls_load(out.gateway, out.service):
        relay.plan = attrs.evolve(plan, models=out.route.models)
        relay.choice = selection.Selection(out)
    return relay


def _model_plan(out: attempts.OutgoingCall) -> model_escalation.Plan:
    generation = out.call.generation
    if out.route.models:
        return model_escalation.plan_for(out.route.models)
    return model_escalation.Plan((generation.model if generation else '',))


def _event_buffer(out: attempts.OutgoingCall) -> events.EventBuffer:
    last = out.call.last_event_id
    is_numeric = last.isascii() and last.isdigit()
    return events.EventBuffer(last_id=int(last) if is_numeric else None)


def _next_endpoint(relay: Relay) -> choice.Choice | None:
    out = relay.out
    if relay.choice is not None and relay.choice.avoided:
        chosen = out.next_endpoint(relay.model, relay.choice.take_avoided())
        if chosen is not None:
            return chosen
    chosen = out.next_endpoint(relay.model)
    if chosen is None and relay.response is not None:
        # A stream in progress may resume at an endpoint that failed before, at
        # the one that has just broken it off only if no other can take it.
        out.tried = frozenset((out.last_endpoint,))
        chosen = out.next_endpoint(relay.model)
    if chosen is None and relay.response is not None:
        out.tried = frozenset()
        chosen = out.next_endpoint(relay.model)
    return chosen


async def _attempt(
    relay: Relay, chosen: choice.Choice
) -> web.StreamResponse | None:
    """Forward the answer of one endpoint.

    Returns the caller's response once it is complete, or ``None`` if a larger
    model has to be asked. Raises ``AttemptError`` if the stream broke.
    """
    out = relay.out
    relay.buffer.discard_incomplete()
    prefill_tokens = attempts.prefill_tokens(out.call, chosen)
    timeout = out.gateway.first_event_timeout_for(out.route, relay.model)
    head_timeout_ms = out.remaining_ms()
    if out.has_alternative(chosen, relay.model):
        adaptive_ms = timeout.timeout_ms(
            prefill_tokens,
            out.route.objective_ms,
            chosen.endpoint.backlog_ms(clocks.monotonic_ms()),
        )
        if relay.choice is not None:
            with _guarded(relay):
                adaptive_ms = relay.choice.head_timeout_ms(
                    chosen, adaptive_ms, out.remaining_ms()
                )
        head_timeout_ms = min(head_timeout_ms, adaptive_ms)
    async with attempts.open_attempt(
        out, chosen, relay.model, relay.resume_id, head_timeout_ms
    ) as opened:
        timeout.record(clocks.monotonic_ms() - opened.sent_ms, prefill_tokens)
        if opened.head.status != _OK:
            return await _forward_failure(relay, opened)
        with _guarded(relay):
            _record_head(relay, opened.head.confidence, prefill_tokens)
        if _escalate_if_uncertain(relay, opened.head.confidence):
            return None
        await _relay_stream(relay, opened)
        return relay.response


@contextlib.contextmanager
def _guarded(relay: Relay) -> Iterator[None]:
    """Log exceptions of the choice of models by load.

    The request is then served as without it.
    """
    try:
        yield
    except Exception as fault:
        eliot.log_message(
            'model_choice_failed',
            request=relay.out.call.request_id,
            reason=repr(fault),
        )
        eliot.write_traceback(exc_info=sys.exc_info())


def _record_head(
    relay: Relay, confidence: float | None, prefill_tokens: float
) -> None:
    """Record the head of an answer, for the choice of models by load.

    Routes without a choice of models use the same engines, and count in the
    price of their time as well.
    """
    out = relay.out
    if relay.response is not None or not state.controls_load(
        out.gateway, out.service
    ):
        return
    if not relay.is_answer_recorded:
        relay.is_answer_recorded = True
        read_ms = selection.read_ms(
            out.gateway, relay.plan.models, relay.model_index, prefill_tokens
        )
        service_prices.record_first_answer(out, read_ms)
    if relay.choice is not None:
        relay.choice.record_answer(relay.model_index, confidence)


def _escalate_if_uncertain(relay: Relay, confidence: float | None) -> bool:
    """Select the next larger model if this answer is too uncertain.

    Returns whether a larger model has to be asked.
    """
    out = relay.out
    if relay.response is not None:
        return False
    if relay.plan.accepts(relay.model_index, confidence):
        return False
    larger_index = _larger_model_index(relay, confidence)
    if larger_index is None:
        return False
    if not out.may_run_again(after=0):
        return False
    if not out.take_retry(is_optional=True):
        if relay.choice is not None:
            selection.count_accepted(out.service, 'no_retry_budget')
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
    relay.model_index = larger_index
    if relay.choice is not None:
        with _guarded(relay):
            relay.choice.begin(larger_index)
    out.has_run = True
    out.tried = frozenset()
    return True


def _larger_model_index(relay: Relay, confidence: float | None) -> int | None:
    """Return the larger model to ask, ``None`` to accept the answer."""
    if relay.choice is not None:
        with _guarded(relay):
            return relay.choice.larger_index(relay.model_index, confidence)
    if _should_ask_larger_model(relay, confidence):
        return len(relay.plan.models) - 1
    return None


def _should_ask_larger_model(relay: Relay, confidence: float | None) -> bool:
    """Return whether the largest model would answer soon enough."""
    out = relay.out
    larger = relay.plan.models[-1]
    chosen = out.gateway.choose(
        out.call, out.route, out.service, frozenset(), larger
    )
    if chosen is None:
        return False
    prefill_tokens = attempts.prefill_tokens(out.call, chosen)
    estimate = model_escalation.EscalationTimes(
        elapsed_ms=out.elapsed_ms(),
        backlog_ms=chosen.endpoint.backlog_ms(clocks.monotonic_ms()),
        read_ms=out.gateway.prefill_speeds.expected_ms(larger, prefill_tokens),
    )
    if model_escalation.should_escalate(
        estimate, out.route.objective_ms, out.priority
    ):
        return True
    eliot.log_message(
        'larger_model_not_asked',
        request=out.call.request_id,
        confidence=confidence,
        priority=out.priority,
        elapsed_ms=round(estimate.elapsed_ms),
        backlog_ms=round(estimate.backlog_ms),
        read_ms=round(estimate.read_ms),
    )
    return False


async def _forward_failure(
    relay: Relay, opened: attempts.OpenAnswer
) -> web.StreamResponse:
    """Return an endpoint's error response for the caller.

    Raises ``AttemptError`` if events were forwarded before: the stream can't
    turn into an error response.
    """
    out = relay.out
    until_ms = clocks.monotonic_ms() + out.remaining_ms()
    body = await attempts.read_body(out, opened, until_ms)
    attempts.record_failure(out, opened, 'failed')
    if relay.response is not None:
        raise attempts.AttemptError(
            'endpoint failed to resume the stream', 'failed', may_have_run=True
        )
    return attempts.response_with(out, opened, body)


async def _relay_stream(relay: Relay, opened: attempts.OpenAnswer) -> None:
    """Forward all events; raises ``AttemptError`` if the stream breaks."""
    out = relay.out
    try:
        await _forward_events(relay, opened)
    except TimeoutError as fault:
        attempts.record_timeout(out, opened)
        raise attempts.AttemptError(
            'stream sent no event within the timeout',
            'silent_stream',
            may_have_run=True,
        ) from fault
    except _ENDLESS_ERRORS as fault:
        attempts.record_endless(out, opened, fault.code, fault.message)
        raise attempts.AttemptError(
            fault.message, fault.code, may_have_run=True
        ) from fault
    except _STREAM_ERRORS as fault:
        attempts.record_failure(out, opened, 'broken_stream', str(fault))
        raise attempts.AttemptError(
            'stream ended before its last event',
            'broken_stream',
            may_have_run=True,
            lost=opened.progress,
        ) from fault
    attempts.record_success(out, opened)
    if relay.response is not None:
        await _await_write(relay, relay.response.write_eof())


async def _forward_events(relay: Relay, opened: attempts.OpenAnswer) -> None:
    """Forward the events of one answer, up to its last one."""
    out = relay.out
    gap_ms = out.route.gap_objective_ms or _DEFAULT_GAP_OBJECTIVE_MS
    idle_limit_ms = out.remaining_ms()
    if out.may_run_again(after=0):
        idle_limit_ms = stream_timeouts.gap_timeout_ms(gap_ms)
    idle_timer = _IdleTimer(relay.buffer)
    reader = _ChunkReader(opened.response.content)
    events_before = relay.buffer.data_count
    while True:
        idle_remaining_ms = idle_limit_ms - idle_timer.elapsed_ms()
        chunk = await reader.next_chunk(
            min(idle_remaining_ms, out.remaining_ms())
        )
        if not chunk:
            break
        complete = relay.buffer.feed(chunk)
        opened.resize(relay.buffer.incomplete_bytes)
        opened.progress.record_events(
            relay.buffer.data_count - events_before, clocks.monotonic_ms()
        )
        attempts.record_proceeding(out, opened)
        if complete:
            await _write(relay, opened, complete)
    if not relay.buffer.is_at_event_end or relay.response is None:
        raise events.OrderError('stream ended within an event')


@attrs.define
class _ChunkReader:
    """Reads a stream up to a time limit, and what had arrived until then.

    After a suspension of this process, the limit expires before what was sent
    meanwhile has been read from the socket. That is taken once: an endpoint
    that sends without end would otherwise be read without end.
    """

    content: aiohttp.StreamReader
    _is_late_read: bool = False

    async def next_chunk(self, timeout_ms: float) -> bytes:
        """Return the next bytes, none at the end of the stream.

        Raises ``TimeoutError`` once nothing is left of the time limit and of
        what had arrived, and ``EndpointDisconnectedError``.
        """
        if timeout_ms > 0:
            self._is_late_read = False
            with contextlib.suppress(TimeoutError):
                return await self._read(timeout_ms)
        if self._is_late_read:
            if self.content.at_eof():
                return b''
            raise TimeoutError
        self._is_late_read = True
        await asyncio.sleep(_SOCKET_READ_S)
        chunk = self.content.read_nowait()
        if chunk or self.content.at_eof():
            return chunk
        raise TimeoutError

    async def _read(self, timeout_ms: float) -> bytes:
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                return await self.content.readany()
        except TimeoutError:
            # A subclass of OSError.
            raise
        except OSError as fault:
            raise EndpointDisconnectedError(str(fault)) from fault


async def _write(
    relay: Relay, opened: attempts.OpenAnswer, complete_events: bytes
) -> None:
    try:
        await _write_events(relay, opened, complete_events)
    except ConnectionError as fault:
        # aiohttp's error is one that the endpoint's connection has as well.
        raise ConnectionResetError('caller has left') from fault


async def _write_events(
    relay: Relay, opened: attempts.OpenAnswer, complete_events: bytes
) -> None:
    if relay.response is None:
        relay.response = web.StreamResponse(
            status=opened.head.status,
            headers=multidict.CIMultiDict(opened.head.headers),
        )
        if relay.out.gateway.stop.has_begun:
            caller_connections.close_after_last(relay.request, relay.response)
        relay.response.enable_chunked_encoding()
        metrics.observe_first_byte(relay.out.route.kind, relay.out.elapsed_ms())
        relay.out.is_answer_begun = True
        await relay.response.prepare(relay.request)
    await _await_write(relay, relay.response.write(complete_events))


async def _await_write(relay: Relay, writing: Awaitable[None]) -> None:
    """Wait for a write to the caller, at most until the deadline.

    A caller that stops reading must not occupy an endpoint for longer. Raises
    ``CallerStalledError``.
    """
    try:
        async with asyncio.timeout(
            max(0, relay.out.remaining_ms()) / _MS_PER_S
        ):
            await writing
    except TimeoutError as fault:
        raise CallerStalledError(
            'caller did not read its stream before the deadline'
        ) from fault
