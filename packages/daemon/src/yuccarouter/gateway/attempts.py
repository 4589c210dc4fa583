"""Sends a call to one endpoint and records the outcome."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
from typing import TYPE_CHECKING, Final

import aiohttp
import attrs
import eliot
import multidict
import yarl
from aiohttp import hdrs, web

from yuccarouter import answer_connections
from yuccarouter.gateway import (
    answer_memory,
    answer_progress,
    caller_answers,
    connections,
    crash_evidence,
    lost_answers,
    metrics,
    model,
    ports,
    promises,
    prompt_parts,
    request_digests,
    rollouts,
    state,
)
from yuccarouter.gateway.capacity import observations
from yuccarouter.gateway.overload import gate
from yuccarouter_common import clocks, errors

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from yuccarouter.gateway import choice, endpoints

_MS_PER_S: Final = 1000
# Non-streamed answers are buffered in memory. Twenty that never end must fit
# the smallest VM, which has 128 MB.
MAX_ANSWER_BYTES: Final = 2_097_152
# While a body is joined, and then written to the caller.
_ANSWER_COPIES: Final = 3
_OK: Final = 200
# Lower ones, as that of a switch of protocols, end no request of a caller.
_MIN_FINAL_STATUS: Final = 200
_MAX_STATUS: Final = 599
# Errors of answers that go on beyond a limit.
ENDLESS_ERRORS: Final = (
    answer_memory.MemoryExceededError,
    answer_connections.EndlessAnswerError,
)
# Share of the retry budget that is reserved for retries after failures.
_FAILURE_RESERVE_SHARE: Final = 0.15
# Errors of the connection while an answer's head is awaited.
_HEAD_ERRORS: Final = (
    aiohttp.ClientError,
    OSError,
    ValueError,
    answer_memory.MemoryExceededError,
)

# Attempts that did not reach an engine, or that the engine ended.
_NOT_DROPPED: Final = frozenset(
    ('unreachable', 'answer_lost', 'superseded'),
)
# A request is not sent again after so many crashes if it, or a part of its
# prompt, was never answered before. Others probably met the crashes by chance.
_MAX_CRASHES: Final = 2


class SupersededError(errors.RouterError):
    """A newer configuration would not send a call that is not sent yet."""

    code = 'superseded'


def _always() -> bool:
    """Return that no newer configuration decides otherwise."""
    return True


class AttemptError(errors.RouterError):
    """Raised when an attempt ends without a usable answer.

    ``may_have_run`` is false only where it is certain that the endpoint did
    not run the request and never will. ``lost`` is the answer's progress if
    its connection failed.
    """

    code = 'attempt_failed'

    def __init__(
        self,
        message: str,
        code: str,
        *,
        may_have_run: bool,
        lost: answer_progress.Progress | None = None,
    ) -> None:
        super().__init__(message, code=code)
        self.may_have_run = may_have_run
        self.lost = lost


@attrs.define
class OutgoingCall:
    """A caller's request and the state of its attempts.

    ``sends`` counts all attempts and ``runs`` those that may have run the
    request. ``deliveries`` counts the sends that reached an endpoint, or may
    have. ``allowed_deliveries`` is how many are permitted: the first one and
    one for each retry taken from the budget. ``tried`` names the endpoints
    that are not chosen again. ``has_run`` is true once an answer was
    discarded; a refusal must then not say that the call has not run.
    ``part_ids`` are the parts of the prompt that other prompts may share.
    ``last_endpoint`` is the one that got the newest attempt.
    ``crashes`` counts the crashes that a new one of them, or the request as a
    whole, may have caused. ``is_answer_begun`` is true once a part of the
    answer was passed to the caller. ``sent_configuration`` is the version that
    was in force when the newest attempt began. ``is_current`` returns whether
    the configuration in force would still send the call. ``admitted`` is the
    endpoint that admission has just chosen, by the model.
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
    last_endpoint: str = ''
    has_run: bool = False
    crashes: int = 0
    is_answer_begun: bool = False
    admitted: dict[str, choice.Choice] = attrs.field(factory=dict)
    sent_configuration: int = -1
    is_current: Callable[[], bool] = _always
    part_ids: tuple[str, ...] = attrs.field(
        default=attrs.Factory(
            lambda out: prompt_parts.shared_part_ids(out.call), takes_self=True
        )
    )

    @functools.cached_property
    def digest(self) -> str:
        """Identifier of the request when it comes again under another id."""
        return request_digests.request_digest(
            self.call, self.organisation, self.body
        )

    @property
    def suspects(self) -> tuple[str, ...]:
        """What of the request may be the cause if endpoints crash on it."""
        return (self.digest, *self.part_ids)

    def remaining_ms(self) -> float:
        """Return the remaining time until the call's deadline.

        In a stop, requests must end before the grace period does.
        """
        end_ms = min(self.deadline_ms, self.gateway.stop.requests_end_ms)
        return end_ms - clocks.monotonic_ms()

    def can_end_before_stop(self) -> bool:
        """Return whether a stop leaves enough time to send the call.

        Few calls take much longer than their latency objective. A call that
        was read after the port has closed is refused unless all of its time is
        left: it would be cut without any need, as another daemon can serve it.
        """
        stop = self.gateway.stop
        if stop.is_port_closed:
            own_ms = self.deadline_ms - clocks.monotonic_ms()
            return stop.leaves_time_for(own_ms)
        return self.can_retry_before_stop()

    def can_retry_before_stop(self) -> bool:
        """Return whether a stop leaves enough time for another attempt."""
        own_ms = self.deadline_ms - clocks.monotonic_ms()
        return self.gateway.stop.leaves_time_for(
            min(own_ms, self.route.objective_ms)
        )

    def check_before_send(self) -> None:
        """Raise ``SupersededError`` for a call that must not be sent now.

        Once an attempt may have run, the call goes on as it was decided.
        """
        if self.runs <= 1 and not self.has_run and not self.is_current():
            raise SupersededError('the configuration has changed')

    def elapsed_ms(self) -> float:
        """Return the time since the call arrived."""
        return clocks.monotonic_ms() - self.arrived_ms

    def next_endpoint(
        self, model_name: str, avoided: frozenset[str] | None = None
    ) -> choice.Choice | None:
        """Return the next endpoint, ``None`` if the call may not be sent.

        ``avoided`` names endpoints that are not chosen this time.
        """
        if self.runs >= self.route.max_attempts:
            return None
        chosen = self.admitted.pop(model_name, None) or self.gateway.choose(
            self.call,
            self.route,
            self.service,
            self.tried | (avoided or frozenset()),
            model_name,
        )
        if chosen is None or not self._is_safe_to_send():
            return None
        if self.sends and not gate.leaves_time(self, chosen, model_name):
            return None
        return chosen if self._may_deliver() else None

    def may_run_again(self, *, after: int) -> bool:
        """Return whether the call may run again after ``after`` more runs."""
        return (
            self.route.is_idempotent
            and self.runs + after < self.route.max_attempts
            and self.can_retry_before_stop()
        )

    def has_alternative(self, chosen: choice.Choice, model_name: str) -> bool:
        """Return whether another endpoint is left if ``chosen`` times out."""
        if not self.may_run_again(after=1):
            return False
        tried = self.tried | {chosen.endpoint.name}
        other = self.gateway.choose(
            self.call, self.route, self.service, tried, model_name
        )
        return other is not None

    def hold(self) -> crash_evidence.Hold | None:
        """Return how the request is held, ``None`` if it is not."""
        return self.gateway.crash_evidence.hold(
            self.service, self.suspects, clocks.monotonic_ms()
        )

    def take_retry(self, *, is_optional: bool = False) -> bool:
        """Return whether the retry budget grants one more delivery.

        Optional retries leave a reserve for retries after failures.
        """
        is_granted = self.gateway.retry_budget.take(
            self.service,
            clocks.monotonic_ms(),
            self.gateway.daemon_count,
            _FAILURE_RESERVE_SHARE if is_optional else 0,
        )
        self.allowed_deliveries += is_granted
        return is_granted

    def _is_safe_to_send(self) -> bool:
        """Return whether the request is not suspected of crashing endpoints."""
        if self.crashes >= _MAX_CRASHES:
            return False
        return self.gateway.crash_evidence.may_send(
            self.service, self.suspects, clocks.monotonic_ms()
        )

    def _may_deliver(self) -> bool:
        """Return whether one more delivery is allowed or can be granted."""
        return self.deliveries < self.allowed_deliveries or self.take_retry()


@attrs.define
class OpenAnswer:
    """An answer whose head has arrived and whose body can be read."""

    response: aiohttp.ClientResponse
    head: model.AnswerHead
    view: endpoints.EndpointView
    progress: answer_progress.Progress
    held: answer_memory.AnswerMemory

    @property
    def sent_ms(self) -> float:
        """When the request was sent."""
        return self.progress.sent_ms

    @property
    def framing(self) -> str:
        """What states the end of the answer: chunks, a length or nothing."""
        headers = self.response.headers
        if hdrs.TRANSFER_ENCODING in headers:
            return 'chunks'
        return 'length' if hdrs.CONTENT_LENGTH in headers else 'none'

    def resize(self, held_bytes: int) -> None:
        """Set how much of the answer its reader holds.

        Until the end of an answer without a length is known, its connection
        holds it as well.
        """
        copies = _ANSWER_COPIES
        if self.framing == 'none':
            copies *= 2
        self.held.resize_body(copies * held_bytes)


@contextlib.asynccontextmanager
async def open_attempt(
    out: OutgoingCall,
    chosen: choice.Choice,
    model_name: str,
    last_event_id: str,
    head_timeout_ms: float,
) -> AsyncIterator[OpenAnswer]:
    """Send a call to an endpoint and yield its answer.

    Raises ``AttemptError`` unless an answer to this call arrives. The
    connection is closed at the end, so that the endpoint cancels work whose
    result is no longer needed.
    """
    view = chosen.endpoint
    sent_ms = clocks.monotonic_ms()
    speeds = out.gateway.prefill_speeds
    uncached_tokens = prefill_tokens(out.call, chosen)
    backlog_ms = view.backlog_ms(sent_ms)
    prefill_ms = observations.usual_read_ms(
        out.gateway, chosen, model_name, uncached_tokens, sent_ms
    )
    progress = answer_progress.Progress(
        view,
        out.route.name,
        model_name,
        uncached_tokens,
        sent_ms,
        time_factor=chosen.time_factor,
        waiting_before=gate.waiting_at(out, view, sent_ms),
    )
    with (
        out.gateway.control.latencies.follow(progress),
        answer_memory.hold(out.gateway.memory, view.name) as held,
    ):
        _record_send(out, view, sent_ms)
        view.in_flight += 1
        view.pending_prefill_ms += prefill_ms
        try:
            response = await _await_response(
                out, progress, held, last_event_id, head_timeout_ms
            )
        except BaseException as fault:
            _end_attempt(out, progress, getattr(fault, 'code', ''))
            raise
        finally:
            view.pending_prefill_ms -= prefill_ms
        elapsed_ms = clocks.monotonic_ms() - sent_ms
        try:
            opened = _checked_answer(out, response, progress, held)
            if uncached_tokens and opened.head.status == _OK:
                speeds.record(
                    model_name, elapsed_ms - backlog_ms, uncached_tokens
                )
            observations.record_read(
                out.gateway, opened, elapsed_ms, backlog_ms
            )
            yield opened
        finally:
            response.close()
            _end_attempt(out, progress)


def _end_attempt(
    out: OutgoingCall, progress: answer_progress.Progress, code: str = ''
) -> None:
    """Count an attempt as ended; ``code`` is that of its error, if any."""
    if code == SupersededError.code:
        out.runs -= 1
        out.deliveries -= 1
    progress.view.in_flight -= 1
    if out.call.session:
        out.gateway.session_exchange.record_end(
            out.service, out.call.session, progress.view.announced.version
        )
    if code not in _NOT_DROPPED:
        lost_answers.record_dropped(out, progress)


async def _await_response(
    out: OutgoingCall,
    progress: answer_progress.Progress,
    held: answer_memory.AnswerMemory,
    last_event_id: str,
    head_timeout_ms: float,
) -> aiohttp.ClientResponse:
    view = progress.view
    try:
        async with asyncio.timeout(
            max(0, head_timeout_ms) / _MS_PER_S
        ) as timeout:
            with _follow_waiting(out, progress, timeout):
                return await _send(out, progress, held, last_event_id)
    except (
        aiohttp.ConnectionTimeoutError,
        aiohttp.ClientConnectorError,
    ) as fault:
        out.runs -= 1
        out.deliveries -= 1
        _record_unreachable(out, view)
        _record_outcome(out, view, 'unreachable')
        if isinstance(fault.__cause__, ConnectionRefusedError):
            lost_answers.record_refused_connection(out, view)
        raise AttemptError(
            'endpoint is unreachable', 'unreachable', may_have_run=False
        ) from fault
    except TimeoutError as fault:
        if progress.was_withdrawn:
            _record_outcome(out, view, 'withdrawn')
            raise AttemptError(
                'endpoints crash on this request, or on a part of its prompt',
                'withdrawn',
                may_have_run=True,
            ) from fault
        _record_no_answer(out, view)
        raise AttemptError(
            'endpoint did not answer within the timeout',
            'no_answer',
            may_have_run=True,
        ) from fault
    except _HEAD_ERRORS as fault:
        # The connection keeps the error, whose traceback keeps the connection.
        raise _lost_head(out, progress, fault) from fault.with_traceback(None)


def _lost_head(
    out: OutgoingCall, progress: answer_progress.Progress, fault: Exception
) -> AttemptError:
    """Record an answer without a head, and return the attempt's error."""
    if isinstance(fault, answer_memory.MemoryExceededError):
        _record_endless_head(out, progress.view, fault.code)
        return AttemptError(fault.message, fault.code, may_have_run=True)
    reason = f'{type(fault).__name__}: {fault}'
    _record_lost_answer(out, progress.view, 'answer_lost', reason)
    return AttemptError(
        'connection failed before the answer arrived',
        'answer_lost',
        may_have_run=True,
        lost=progress,
    )


def _follow_waiting(
    out: OutgoingCall,
    progress: answer_progress.Progress,
    timeout: asyncio.Timeout,
) -> contextlib.AbstractContextManager[None]:
    """Let ``timeout`` expire if the request is held within the context."""

    def withdraw() -> None:
        # A timeout that has just expired can't be changed any more.
        if not timeout.expired():
            progress.was_withdrawn = True
            timeout.reschedule(asyncio.get_running_loop().time())

    return out.gateway.crash_evidence.follow(
        crash_evidence.WaitingRequest(out.service, out.suspects, withdraw)
    )


async def _send(
    out: OutgoingCall,
    progress: answer_progress.Progress,
    held: answer_memory.AnswerMemory,
    last_event_id: str,
) -> aiohttp.ClientResponse:
    call = out.call
    view = progress.view
    headers = out.gateway.platform.encode_attempt(
        call,
        ports.Attempt(
            endpoint=view.name,
            deadline_ms=out.remaining_ms(),
            organisation=out.organisation,
            priority=out.priority,
            model=progress.model,
            last_event_id=last_event_id,
        ),
    )
    connections.request_id.set(call.request_id)
    checking = connections.check_before_send.set(out.check_before_send)
    counting = connections.record_held.set(held.resize_fields)
    try:
        return await out.gateway.session.request(
            call.method,
            yarl.URL(
                f'http://{view.announced.address}{call.target}', encoded=True
            ),
            headers=multidict.CIMultiDict(headers),
            data=out.body or None,
            allow_redirects=False,
        )
    finally:
        connections.record_held.reset(counting)
        connections.check_before_send.reset(checking)


def _checked_answer(
    out: OutgoingCall,
    response: aiohttp.ClientResponse,
    progress: answer_progress.Progress,
    held: answer_memory.AnswerMemory,
) -> OpenAnswer:
    """Return the answer; raises ``AttemptError`` if its head is rejected."""
    view = progress.view
    head = out.gateway.platform.decode_answer(response)
    now_ms = clocks.monotonic_ms()
    observations.record_load(out.gateway, view, head, now_ms)
    if head.load is not None:
        view.record_load(head.load, now_ms)
        gate.record_report(out, view.name, head.load, now_ms)
    is_for_other_request = head.request_id not in {'', out.call.request_id}
    if not (is_for_other_request or head.is_misdirected):
        _record_notices(out, head, progress, now_ms)
    # An endpoint may send the refusal of another request, and run this one.
    if head.not_run and not is_for_other_request:
        if head.is_misdirected:
            _record_unreachable(out, view)
        _record_outcome(out, view, 'refused', status=head.status)
        progress.has_ended = True
        out.runs -= 1
        raise AttemptError(
            'endpoint refused the request', 'refused', may_have_run=False
        )
    has_status = _MIN_FINAL_STATUS <= head.status <= _MAX_STATUS
    is_answer = head.is_signed and has_status
    if is_for_other_request or head.is_encoded or not is_answer:
        view.record_failure()
        _record_outcome(out, view, 'foreign_answer', status=head.status)
        raise AttemptError(
            'answer does not belong to this request',
            'foreign_answer',
            may_have_run=True,
        )
    out.gateway.failure_reports.record_answer(view.name, now_ms)
    opened = OpenAnswer(response, head, view, progress, held)
    _reject_unstated_refusal(out, opened)
    generation = out.call.generation
    if generation is not None:
        parts = [part.name for part in generation.parts]
        view.record_cached(progress.model, parts, now_ms)
    return opened


def _reject_unstated_refusal(out: OutgoingCall, opened: OpenAnswer) -> None:
    """Raise ``AttemptError`` for a status that promises too much.

    The endpoint doesn't state that it hasn't run the request, and callers would
    take the status for the gateway's promise.
    """
    if promises.states_not_run(opened.head.status):
        opened.progress.has_ended = True
        record_failure(out, opened, 'failed')
        raise AttemptError(
            'endpoint failed to answer the request', 'failed', may_have_run=True
        )


def _record_notices(
    out: OutgoingCall,
    head: model.AnswerHead,
    progress: answer_progress.Progress,
    now_ms: float,
) -> None:
    """Record what an endpoint asks for in its answer to this request."""
    view = progress.view
    if head.is_signed or head.rate_limit_per_s is not None:
        out.gateway.rate_limits.record_answer(
            view.name,
            per_s=head.rate_limit_per_s,
            sent_ms=progress.sent_ms,
            now_ms=now_ms,
        )
    if head.is_leaving and not view.announced.is_draining:
        _log_leaving(out, progress, now_ms)
    if head.is_leaving or head.pause_ms is not None:
        out.gateway.directory.record_notice(
            view,
            is_leaving=head.is_leaving,
            paused_until_ms=now_ms + (head.pause_ms or 0),
        )


def _log_leaving(
    out: OutgoingCall, progress: answer_progress.Progress, now_ms: float
) -> None:
    """Log why an endpoint that leaves counted as in use."""
    topic = out.gateway.endpoints_topic
    if topic is None:
        return
    believed = topic.newest_confirmation()
    eliot.log_message(
        'endpoint_leaving',
        request=out.call.request_id,
        endpoint=progress.view.name,
        sent_ms_ago=round(now_ms - progress.sent_ms),
        replica_age_ms=believed.rounded_age_ms(),
        confirmed_by=believed.source,
    )


async def read_body(
    out: OutgoingCall, opened: OpenAnswer, until_ms: float
) -> bytes:
    """Return an answer's body; raises ``AttemptError`` if it is cut short.

    A body longer than ``MAX_ANSWER_BYTES`` counts as cut short.
    """
    remaining_ms = until_ms - clocks.monotonic_ms()
    try:
        async with asyncio.timeout(max(0, remaining_ms) / _MS_PER_S):
            body = await _read_bounded(opened)
    except TimeoutError as fault:
        record_timeout(out, opened)
        raise AttemptError(
            'answer did not end within the timeout',
            'no_answer',
            may_have_run=True,
        ) from fault
    except ENDLESS_ERRORS as fault:
        record_endless(out, opened, fault.code, fault.message)
        # The answer keeps the error, whose traceback keeps the answer.
        raise AttemptError(
            fault.message, fault.code, may_have_run=True
        ) from fault.with_traceback(None)
    except (aiohttp.ClientError, OSError) as fault:
        record_failure(out, opened, 'broken_answer', str(fault))
        raise AttemptError(
            'connection failed within the answer',
            'broken_answer',
            may_have_run=True,
            lost=opened.progress,
        ) from fault
    if body is None:
        record_endless(out, opened, 'endless_answer')
        raise AttemptError(
            'answer exceeds the size limit', 'endless_answer', may_have_run=True
        )
    opened.progress.has_ended = True
    return body


async def _read_bounded(opened: OpenAnswer) -> bytes | None:
    """Return a body, ``None`` if it exceeds ``MAX_ANSWER_BYTES``."""
    chunks: list[bytes] = []
    response = opened.response
    length = response.content_length or 0
    if length > MAX_ANSWER_BYTES:
        return None
    length = 0
    try:
        async for chunk in response.content.iter_any():
            length += len(chunk)
            if length > MAX_ANSWER_BYTES:
                return None
            opened.resize(length)
            chunks.append(chunk)
        return b''.join(chunks)
    finally:
        # An error that is kept refers to this frame.
        chunks.clear()


def response_with(
    out: OutgoingCall, opened: OpenAnswer, body: bytes
) -> web.Response:
    """Return the response that passes an endpoint's answer to the caller."""
    return caller_answers.CallerAnswer(
        out.gateway.memory,
        out.organisation,
        status=opened.head.status,
        body=body,
        headers=multidict.CIMultiDict(opened.head.headers),
    )


def record_proceeding(out: OutgoingCall, opened: OpenAnswer) -> None:
    """Record an answer that goes on: its request crashed no endpoint so far."""
    progress = opened.progress
    if progress.record_proceeding(clocks.monotonic_ms()):
        _record_sound_request(out, progress)


def record_success(out: OutgoingCall, opened: OpenAnswer) -> None:
    """Record a complete answer."""
    opened.view.record_success()
    # The caller's next request may arrive before the attempt has ended: the
    # end of a stream is still being written to the caller.
    if out.call.session:
        out.gateway.session_exchange.record_answer(
            out.service, out.call.session, opened.view.announced.version
        )
    if opened.head.status == _OK:
        opened.progress.proceeded_ms = math.inf
        _record_sound_request(out, opened.progress)
    elapsed_ms = clocks.monotonic_ms() - opened.sent_ms
    observations.record_service(out, opened, elapsed_ms)
    gate.record_answer(
        out, opened.view.name, elapsed_ms, opened.progress.waiting_before
    )
    is_slow = out.gateway.control.latencies.record_success(
        opened.progress, elapsed_ms
    )
    _record_outcome(
        out,
        opened.view,
        'slow' if is_slow else 'served',
        elapsed_ms=elapsed_ms,
        framing=opened.framing,
    )


def record_timeout(out: OutgoingCall, opened: OpenAnswer) -> None:
    """Record an answer that stalled after its head."""
    _record_no_answer(out, opened.view)


def record_failure(
    out: OutgoingCall, opened: OpenAnswer, outcome: str, reason: str = ''
) -> None:
    """Record an answer that is an error or was cut short."""
    opened.view.record_failure()
    out.gateway.control.record_answers(
        opened.view, out.route.name, rollouts.Tally(bad=1)
    )
    _record_outcome(
        out,
        opened.view,
        outcome,
        status=opened.head.status,
        reason=reason,
        framing=opened.framing,
    )


def record_endless(
    out: OutgoingCall, opened: OpenAnswer, outcome: str, reason: str = ''
) -> None:
    """Record an answer beyond a limit, here and for the other daemons.

    Its endpoint is avoided for a while: each further request to it would hold
    as much memory.
    """
    record_failure(out, opened, outcome, reason)
    now_ms = clocks.monotonic_ms()
    opened.view.record_no_answer(now_ms)
    out.gateway.failure_reports.report_failure(opened.view.name, now_ms)


def _record_sound_request(
    out: OutgoingCall, progress: answer_progress.Progress
) -> None:
    out.gateway.crash_evidence.record_answer(
        out.service,
        out.suspects,
        clocks.monotonic_ms(),
        progress.proceeded_ms,
    )


def _record_send(
    out: OutgoingCall, view: endpoints.EndpointView, now_ms: float
) -> None:
    view.sent_since_load += 1
    view.last_sent_ms = now_ms
    _record_session_start(out, view)
    if view.is_cold(now_ms):
        view.cold_send_times_ms.append(now_ms)
    out.gateway.rate_limits.record_send(view.name, now_ms)
    out.sends += 1
    out.deliveries += 1
    out.runs += 1
    out.tried |= {view.name}
    out.last_endpoint = view.name
    out.sent_configuration = state.configuration_version(out.gateway)


def _record_session_start(
    out: OutgoingCall, view: endpoints.EndpointView
) -> None:
    """Record the version on which a session's newest request runs."""
    if out.call.session:
        out.gateway.session_exchange.record_start(
            out.service, out.call.session, view.announced.version
        )


def prefill_tokens(call: model.Call, chosen: choice.Choice) -> float:
    """Return the prompt tokens that the endpoint has not cached.

    A caller may state more tokens of its parts than of the whole prompt.
    """
    generation = call.generation
    if generation is None:
        return 0
    shared_tokens = sum(part.tokens for part in generation.parts[:-1])
    return max(
        0, generation.prompt_tokens - shared_tokens + chosen.uncached_tokens
    )


def _record_no_answer(out: OutgoingCall, view: endpoints.EndpointView) -> None:
    """Record an attempt that timed out.

    It counts against the endpoint only before the call's own deadline: some
    calls take longer than their route allows.
    """
    if out.remaining_ms() > 0:
        view.record_no_answer(clocks.monotonic_ms())
        out.gateway.control.record_answers(
            view, out.route.name, rollouts.Tally(slow=1)
        )
    _record_outcome(out, view, 'no_answer')


def _record_unreachable(
    out: OutgoingCall, view: endpoints.EndpointView
) -> None:
    """Record an unreachable endpoint, here and for the other daemons."""
    now_ms = clocks.monotonic_ms()
    view.record_no_answer(now_ms)
    out.gateway.failure_reports.report_failure(view.name, now_ms)


def _record_endless_head(
    out: OutgoingCall, view: endpoints.EndpointView, outcome: str
) -> None:
    """Record a head beyond a limit, here and for the other daemons."""
    _record_lost_answer(out, view, outcome)
    out.gateway.failure_reports.report_failure(view.name, clocks.monotonic_ms())


def _record_lost_answer(
    out: OutgoingCall,
    view: endpoints.EndpointView,
    outcome: str,
    reason: str = '',
) -> None:
    view.record_no_answer(clocks.monotonic_ms())
    out.gateway.control.record_answers(
        view, out.route.name, rollouts.Tally(bad=1)
    )
    _record_outcome(out, view, outcome, reason=reason)


def _record_outcome(
    out: OutgoingCall,
    view: endpoints.EndpointView,
    outcome: str,
    *,
    status: int = 0,
    reason: str = '',
    elapsed_ms: float = 0,
    framing: str = '',
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
        framing=framing,
        elapsed_ms=round(elapsed_ms),
        left_ms=round(out.remaining_ms()),
    )
