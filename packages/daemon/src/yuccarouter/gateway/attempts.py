"""One attempt of a call at one endpoint."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

import aiohttp
import attrs
import eliot
import multidict
import yarl
from aiohttp import web

from yuccarouter.gateway import metrics, model, ports, rollouts
from yuccarouter_common import clocks, errors

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from yuccarouter.gateway import choice, endpoints, state

_MS_PER_S: Final = 1000
# Answers that are passed on once they are whole are held in memory; twenty
# that never end must fit the smallest VM, of 128 MB.
MAX_ANSWER_BYTES: Final = 2_097_152
_OK: Final = 200
# Of the budget for repeats, kept for those that follow a failure.
_RESERVE_SHARE: Final = 0.15


class AttemptError(errors.RouterError):
    """An attempt brought no answer.

    ``may_have_run`` is false only where it is certain that the endpoint did
    not run the request and never will.
    """

    code = 'attempt_failed'

    def __init__(self, message: str, code: str, *, may_have_run: bool) -> None:
        super().__init__(message, code=code)
        self.may_have_run = may_have_run


@attrs.define
class OutgoingCall:
    """A call as it goes to endpoints.

    ``arrivals`` counts the sends that reached an endpoint, or may have, and
    ``allowed_arrivals`` those that are paid for: the first one is free.
    ``has_run`` is true once an answer was dropped, so that no refusal may say
    that the call has not run.
    """

    gateway: state.Gateway
    call: model.Call
    route: model.Route
    service: str
    organisation: str
    priority: int
    body: bytes
    deadline_ms: float
    arrived_ms: float = attrs.field(factory=clocks.monotonic_ms)
    sends: int = 0
    deliveries: int = 0
    allowed_deliveries: int = 1
    runs: int = 0
    tried: frozenset[str] = frozenset()
    has_run: bool = False

    def remaining_ms(self) -> float:
        """Return the time until the call's deadline."""
        return self.deadline_ms - clocks.monotonic_ms()

    def elapsed_ms(self) -> float:
        """Return the time since the call arrived."""
        return clocks.monotonic_ms() - self.arrived_ms

    def next_endpoint(self, model_name: str) -> choice.Choice | None:
        """Return where to send the call next, if it may be sent."""
        if self.runs >= self.route.max_attempts:
            return None
        chosen = self.gateway.choose(
            self.call, self.route, self.service, self.tried, model_name
        )
        if chosen is None or not self._may_arrive():
            return None
        return chosen

    def may_run_again(self, *, after: int) -> bool:
        """Return whether ``after`` more runs leave another one."""
        return self.route.is_idempotent and (
            self.runs + after < self.route.max_attempts
        )

    def has_alternative(self, chosen: choice.Choice, model_name: str) -> bool:
        """Return whether the call may run elsewhere if ``chosen`` is silent."""
        if not self.may_run_again(after=1):
            return False
        tried = self.tried | {chosen.endpoint.name}
        other = self.gateway.choose(
            self.call, self.route, self.service, tried, model_name
        )
        return other is not None

    def take_retry(self, *, is_optional: bool = False) -> bool:
        """Take one more send from the daemons' budget.

        Optional ones leave part of the budget to repeats after failures.
        """
        is_taken = self.gateway.retry_budget.take(
            self.service,
            clocks.monotonic_ms(),
            self.gateway.daemon_count,
            _RESERVE_SHARE if is_optional else 0,
        )
        self.allowed_deliveries += is_taken
        return is_taken

    def _may_arrive(self) -> bool:
        """Return whether one more send is paid for, or can be."""
        return self.deliveries < self.allowed_deliveries or self.take_retry()


@attrs.define
class OpenAnswer:
    """An answer whose head has arrived."""

    response: aiohttp.ClientResponse
    head: model.AnswerHead
    view: endpoints.EndpointView
    sent_ms: float


@contextlib.asynccontextmanager
async def open_attempt(
    out: OutgoingCall,
    chosen: choice.Choice,
    model_name: str,
    last_event_id: str,
    head_timeout_ms: float,
) -> AsyncIterator[OpenAnswer]:
    """Send a call to an endpoint and yield its answer.

    Raises ``AttemptError`` when no answer came that belongs to the call. The
    connection is closed at the end, so that the endpoint stops work that
    nobody waits for.
    """
    view = chosen.endpoint
    sent_ms = clocks.monotonic_ms()
    speeds = out.gateway.prefill_speeds
    unread = prefill_tokens(out.call, chosen)
    pending_prefill_ms = speeds.expected_ms(model_name, unread)
    backlog_ms = view.backlog_ms(sent_ms)
    _note_sent(out, view, sent_ms)
    view.in_flight += 1
    view.pending_prefill_ms += pending_prefill_ms
    try:
        response = await _answered(
            out, view, model_name, last_event_id, head_timeout_ms
        )
    except BaseException:
        view.in_flight -= 1
        raise
    finally:
        view.pending_prefill_ms -= pending_prefill_ms
    waited_ms = clocks.monotonic_ms() - sent_ms - backlog_ms
    try:
        opened = _opened(out, view, response, sent_ms, model_name)
        if unread and opened.head.status == _OK:
            speeds.record(model_name, waited_ms, unread)
        yield opened
    finally:
        view.in_flight -= 1
        response.close()


async def _answered(
    out: OutgoingCall,
    view: endpoints.EndpointView,
    model_name: str,
    last_event_id: str,
    head_timeout_ms: float,
) -> aiohttp.ClientResponse:
    try:
        async with asyncio.timeout(max(0, head_timeout_ms) / _MS_PER_S):
            return await _send(out, view, model_name, last_event_id)
    except (
        aiohttp.ConnectionTimeoutError,
        aiohttp.ClientConnectorError,
    ) as fault:
        out.runs -= 1
        out.deliveries -= 1
        _out_of_reach(out, view)
        _ended(out, view, 'unreachable')
        raise AttemptError(
            'endpoint is unreachable', 'unreachable', may_have_run=False
        ) from fault
    except TimeoutError as fault:
        _silent(out, view)
        raise AttemptError(
            'no answer in time', 'no_answer', may_have_run=True
        ) from fault
    except (aiohttp.ClientError, OSError, ValueError) as fault:
        _lost(out, view, 'answer_lost', f'{type(fault).__name__}: {fault}')
        raise AttemptError(
            'answer was lost', 'answer_lost', may_have_run=True
        ) from fault


async def _send(
    out: OutgoingCall,
    view: endpoints.EndpointView,
    model_name: str,
    last_event_id: str,
) -> aiohttp.ClientResponse:
    call = out.call
    headers = out.gateway.platform.encode_attempt(
        call,
        ports.Attempt(
            endpoint=view.name,
            deadline_ms=out.remaining_ms(),
            organisation=out.organisation,
            priority=out.priority,
            model=model_name,
            last_event_id=last_event_id,
        ),
    )
    return await out.gateway.session.request(
        call.method,
        yarl.URL(f'http://{view.announced.address}{call.target}', encoded=True),
        headers=multidict.CIMultiDict(headers),
        data=out.body or None,
        allow_redirects=False,
    )


def _opened(
    out: OutgoingCall,
    view: endpoints.EndpointView,
    response: aiohttp.ClientResponse,
    sent_ms: float,
    model_name: str,
) -> OpenAnswer:
    """Return the answer, unless its head shows that it is not one."""
    head = out.gateway.platform.decode_answer(response)
    now_ms = clocks.monotonic_ms()
    if head.load is not None:
        view.record_load(head.load, now_ms)
    if head.not_run:
        if head.is_misdirected:
            _out_of_reach(out, view)
        _ended(out, view, 'refused', status=head.status)
        out.runs -= 1
        raise AttemptError(
            'endpoint refused the request', 'refused', may_have_run=False
        )
    is_foreign = head.request_id not in {'', out.call.request_id}
    if is_foreign or head.is_encoded or not head.is_signed:
        view.record_failure()
        _ended(out, view, 'foreign_answer', status=head.status)
        raise AttemptError(
            'answer is not one to this request',
            'foreign_answer',
            may_have_run=True,
        )
    out.gateway.failure_reports.record_answer(view.name, now_ms)
    generation = out.call.generation
    if generation is not None:
        parts = [part.name for part in generation.parts]
        view.record_cached(model_name, parts, now_ms)
    return OpenAnswer(response, head, view, sent_ms)


async def read_body(
    out: OutgoingCall, opened: OpenAnswer, until_ms: float
) -> bytes:
    """Return an answer's body; raises ``AttemptError`` if it breaks off.

    A body that does not end within ``MAX_ANSWER_BYTES`` counts as broken.
    """
    left_ms = until_ms - clocks.monotonic_ms()
    try:
        async with asyncio.timeout(max(0, left_ms) / _MS_PER_S):
            body = await _read_bounded(opened.response)
    except TimeoutError as fault:
        record_timeout(out, opened)
        raise AttemptError(
            'answer did not end in time', 'no_answer', may_have_run=True
        ) from fault
    except (aiohttp.ClientError, OSError) as fault:
        record_failure(out, opened, 'broken_answer', str(fault))
        raise AttemptError(
            'answer broke off', 'broken_answer', may_have_run=True
        ) from fault
    if body is None:
        record_failure(out, opened, 'endless_answer')
        raise AttemptError(
            'answer is too long', 'endless_answer', may_have_run=True
        )
    return body


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes | None:
    """Return a body, ``None`` if it is too long."""
    chunks: list[bytes] = []
    length = response.content_length or 0
    if length > MAX_ANSWER_BYTES:
        return None
    length = 0
    async for chunk in response.content.iter_any():
        length += len(chunk)
        if length > MAX_ANSWER_BYTES:
            return None
        chunks.append(chunk)
    return b''.join(chunks)


def response_with(opened: OpenAnswer, body: bytes) -> web.Response:
    """Return an endpoint's answer for the caller."""
    return web.Response(
        status=opened.head.status,
        body=body,
        headers=multidict.CIMultiDict(opened.head.headers),
    )


def record_success(
    out: OutgoingCall, opened: OpenAnswer, *, is_slow: bool = False
) -> None:
    """Count an answer that came whole."""
    opened.view.record_success()
    _note_session(out, opened.view)
    answers = rollouts.Tally(slow=1) if is_slow else rollouts.Tally(good=1)
    out.gateway.control.record_answers(opened.view, out.route.name, answers)
    _ended(out, opened.view, 'slow' if is_slow else 'served')


def record_timeout(out: OutgoingCall, opened: OpenAnswer) -> None:
    """Count a stream that went silent."""
    _silent(out, opened.view)


def record_failure(
    out: OutgoingCall, opened: OpenAnswer, outcome: str, reason: str = ''
) -> None:
    """Count an answer that failed or broke off."""
    opened.view.record_failure()
    out.gateway.control.record_answers(
        opened.view, out.route.name, rollouts.Tally(bad=1)
    )
    _ended(out, opened.view, outcome, status=opened.head.status, reason=reason)


def _note_sent(
    out: OutgoingCall, view: endpoints.EndpointView, now_ms: float
) -> None:
    view.sent_since_load += 1
    _note_session(out, view)
    if view.is_cold(now_ms):
        view.cold_send_times_ms.append(now_ms)
    out.sends += 1
    out.deliveries += 1
    out.runs += 1
    out.tried |= {view.name}


def _note_session(out: OutgoingCall, view: endpoints.EndpointView) -> None:
    """Remember on which version a request of a session runs, or ran."""
    if out.call.session:
        out.gateway.control.sessions.record(
            out.service,
            out.call.session,
            view.announced.version,
            clocks.monotonic_ms(),
        )


def prefill_tokens(call: model.Call, chosen: choice.Choice) -> float:
    """Return the prompt tokens that the endpoint has to read."""
    generation = call.generation
    if generation is None:
        return 0
    shared = sum(part.tokens for part in generation.parts[:-1])
    return generation.prompt_tokens - shared + chosen.uncached_tokens


def _silent(out: OutgoingCall, view: endpoints.EndpointView) -> None:
    """Count an attempt that was given up before an answer.

    Where the call's own time is over, the endpoint need not be at fault: some
    calls take longer than their route allows.
    """
    if out.remaining_ms() > 0:
        view.record_no_answer(clocks.monotonic_ms())
        out.gateway.control.record_answers(
            view, out.route.name, rollouts.Tally(slow=1)
        )
    _ended(out, view, 'no_answer')


def _out_of_reach(out: OutgoingCall, view: endpoints.EndpointView) -> None:
    """Avoid an endpoint that is not there, and tell the other daemons."""
    now_ms = clocks.monotonic_ms()
    view.record_no_answer(now_ms)
    out.gateway.failure_reports.report_failure(view.name, now_ms)


def _lost(
    out: OutgoingCall,
    view: endpoints.EndpointView,
    outcome: str,
    reason: str = '',
) -> None:
    view.record_no_answer(clocks.monotonic_ms())
    out.gateway.control.record_answers(
        view, out.route.name, rollouts.Tally(bad=1)
    )
    _ended(out, view, outcome, reason=reason)


def _ended(
    out: OutgoingCall,
    view: endpoints.EndpointView,
    outcome: str,
    *,
    status: int = 0,
    reason: str = '',
) -> None:
    metrics.ATTEMPTS.labels(out.service, outcome).inc()
    eliot.log_message(
        'attempt_ended',
        request=out.call.request_id,
        attempt=out.sends,
        endpoint=view.name,
        version=view.announced.version,
        outcome=outcome,
        status=status,
        reason=reason,
        left_ms=round(out.remaining_ms()),
    )
