"""Applies the decisions on overload to the requests of a daemon."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import sys
from typing import TYPE_CHECKING, Final

import attrs
import eliot

from yuccarouter.gateway import metrics, model, refusal_responses, state
from yuccarouter.gateway.overload import (
    admission,
    retry_after,
    startup,
    waiting,
)
from yuccarouter_common import clocks

if TYPE_CHECKING:
    from yuccarouter.gateway import attempts, choice, endpoints
    from yuccarouter_common import refusals

_MS_PER_S: Final = 1000
# Refusals of requests that may be served a moment later.
_OVERLOAD_CODES: Final = frozenset(('overloaded', 'no_endpoint'))
# Tokens that double a request's weight among those that wait.
_TOKENS_PER_WEIGHT: Final = 4000


_WAITING: Final = admission.Decision(
    admission.Verdict.WAIT, admission.Reason.OVERLOAD
)

_WAITED_TOO_LONG: Final = admission.Decision(
    admission.Verdict.REFUSE, admission.Reason.OVERLOAD
)


@attrs.define
class _Request:
    """A request at the gate; ``entry`` is its place while it waits."""

    out: attempts.OutgoingCall
    usual_priority: float
    draw: float
    wakened: asyncio.Event = attrs.field(factory=asyncio.Event)
    entry: waiting.Entry | None = None
    estimate: admission.Estimate | None = None


async def admit(out: attempts.OutgoingCall) -> None:
    """Return once a request may be sent; raises ``RefusalError``.

    Services whose load is not controlled admit all requests.
    """
    gateway = out.gateway
    if not state.controls_load(gateway, out.service):
        return
    overload = gateway.overload
    usual_priority = overload.record_priority(out.service, out.priority)
    request = _Request(out, usual_priority, random.random())
    decision = _decide_safely(request)
    if decision.verdict is admission.Verdict.WAIT:
        decision = await _wait_for_decision(request)
    if decision.verdict is admission.Verdict.REFUSE:
        raise _refusal(request, decision)


async def _wait_for_decision(request: _Request) -> admission.Decision:
    """Return the decision on a request that waits for reports."""
    queue = request.out.gateway.overload.queue(request.out.service)
    entry = _entry(request)
    if not queue.add(entry):
        return admission.Decision(
            admission.Verdict.REFUSE, admission.Reason.QUEUE_FULL
        )
    request.entry = entry
    decision = _WAITING
    try:
        while decision.verdict is admission.Verdict.WAIT:
            is_due = not await _wait(request, entry)
            decision = _decide_safely(request)
            if is_due and decision.verdict is admission.Verdict.WAIT:
                decision = _WAITED_TOO_LONG
    finally:
        is_sent = decision.verdict is admission.Verdict.ADMIT
        queue.remove(entry, is_sent=is_sent)
    if is_sent:
        _record_wait(request.out)
    return decision


def _record_wait(out: attempts.OutgoingCall) -> None:
    waited_ms = out.elapsed_ms()
    metrics.observe_wait(out.service, waited_ms)
    eliot.log_message(
        'request_waited',
        request=out.call.request_id,
        service=out.service,
        waited_ms=round(waited_ms),
    )


def _decide_safely(request: _Request) -> admission.Decision:
    """Return the decision; a request is admitted if deciding fails."""
    try:
        return _decide(request)
    except Exception:  # The request must be served as without admission.
        eliot.write_traceback(exc_info=sys.exc_info())
        return admission.ADMITTED


def _decide(request: _Request) -> admission.Decision:
    out = request.out
    now_ms = clocks.monotonic_ms()
    model_name = _first_model(out)
    chosen = out.gateway.choose(
        out.call, out.route, out.service, out.tried, model_name
    )
    if chosen is None:
        # The attempt is refused with the cause.
        return admission.ADMITTED
    # If admitted, the attempt begins before anything else can run.
    out.admitted = {model_name: chosen}
    estimate = _estimate(out, chosen, model_name, now_ms)
    if estimate is None:
        return admission.ADMITTED
    request.estimate = attrs.evolve(
        estimate,
        admitted_share=out.gateway.overload.admitted_share(out, now_ms),
        usual_priority=request.usual_priority,
    )
    demanded = admission.Demanded(
        objective_ms=out.route.objective_ms,
        objective_left_ms=out.route.objective_ms - out.elapsed_ms(),
        time_left_ms=out.remaining_ms(),
        draw=request.draw,
        priority=out.priority,
    )
    return admission.decide(demanded, request.estimate)


def _estimate(
    out: attempts.OutgoingCall,
    chosen: choice.Choice,
    model_name: str,
    now_ms: float,
) -> admission.Estimate | None:
    """Return what is known of a choice, ``None`` without figures."""
    view = chosen.endpoint
    if out.call.generation is not None:
        shared_tokens = sum(
            part.tokens for part in out.call.generation.parts[:-1]
        )
        tokens = max(
            0,
            model.prompt_tokens(out.call)
            - shared_tokens
            + chosen.uncached_tokens,
        )
        return admission.Estimate(
            wait_ms=view.backlog_ms(now_ms),
            work_ms=out.gateway.prefill_speeds.expected_ms(model_name, tokens),
            news_ms=math.inf,
            is_prompt=True,
        )
    load = out.gateway.overload.loads.get(view.name)
    if load is None or load.work_ms is None or not load.is_known(now_ms):
        return None
    load.objective_ms = out.route.objective_ms
    return admission.Estimate(
        wait_ms=load.wait_ms(view.sent_since_load, now_ms),
        work_ms=load.work_ms,
        # The next answer of the endpoint to this daemon brings a report.
        news_ms=load.work_ms if view.in_flight else math.inf,
        shed_share=load.shed_share_at(now_ms),
    )


def _first_model(out: attempts.OutgoingCall) -> str:
    """Return the model that is asked first, empty for plain requests."""
    generation = out.call.generation
    if out.route.kind is not model.Kind.STREAM or generation is None:
        return ''
    return out.route.models[0] if out.route.models else generation.model


def _entry(request: _Request) -> waiting.Entry:
    out = request.out
    work_ms = request.estimate.work_ms if request.estimate else 0
    return waiting.Entry(
        latest_ms=out.arrived_ms + out.route.objective_ms - work_ms,
        weight=(1 + model.prompt_tokens(out.call) / _TOKENS_PER_WEIGHT)
        * math.ldexp(1, -out.priority),
        body_bytes=len(out.body),
        wake=request.wakened.set,
    )


async def _wait(request: _Request, entry: waiting.Entry) -> bool:
    """Wait for a report, at most until the objective can't be met.

    Returns whether there was a report.
    """
    limit_ms = max(0, entry.latest_ms - clocks.monotonic_ms())
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_ms / _MS_PER_S):
            await request.wakened.wait()
    is_wakened = request.wakened.is_set()
    request.wakened.clear()
    return is_wakened


def _refusal(
    request: _Request, decision: admission.Decision
) -> refusals.RefusalError:
    """Return the refusal of a request, and log its cause."""
    out = request.out
    estimate = request.estimate or admission.Estimate(0, 0, math.inf)
    retry_after_ms = _retry_after_ms(out, estimate)
    metrics.SHED_REQUESTS.labels(out.service, decision.reason).inc()
    eliot.log_message(
        'request_shed',
        request=out.call.request_id,
        service=out.service,
        organisation=out.organisation,
        reason=decision.reason,
        priority=out.priority,
        waited_ms=round(out.elapsed_ms()) if request.entry else 0,
        expected_wait_ms=round(estimate.wait_ms),
        work_ms=round(estimate.work_ms),
        left_ms=round(out.remaining_ms()),
        shed_share=round(estimate.shed_share, 2),
        admitted_share=round(estimate.admitted_share, 2),
        retry_after_ms=round(retry_after_ms),
    )
    return refusal_responses.shed(
        out.service,
        retry_after_ms,
        is_over_share=decision.reason is admission.Reason.OVER_SHARE,
    )


def _retry_after_ms(
    out: attempts.OutgoingCall, estimate: admission.Estimate
) -> float:
    """Return when the caller should return."""
    gateway = out.gateway
    slots = max(
        1,
        sum(
            1 if estimate.is_prompt else view.announced.slots
            for view in gateway.directory
            if view.announced.service == out.service
            and not view.announced.is_draining
        ),
    )
    room = retry_after.Room(
        wait_ms=estimate.wait_ms,
        spacing_ms=estimate.work_ms / slots * gateway.daemon_count,
    )
    return gateway.overload.return_times.retry_after_ms(
        out.service,
        room,
        out.remaining_ms(),
        clocks.monotonic_ms(),
        random.random(),
    )


def limit_retry_after(
    out: attempts.OutgoingCall, refusal: refusals.RefusalError
) -> None:
    """Limit the time that a refused caller waits to a part of what is left.

    Requests on which endpoints crash keep the longer time of their refusal.
    """
    is_controlled = state.controls_load(out.gateway, out.service)
    if is_controlled and refusal.code in _OVERLOAD_CODES:
        limit_ms = retry_after.max_ms(out.remaining_ms())
        refusal.retry_after_ms = min(refusal.retry_after_ms, int(limit_ms))


def leaves_time(
    out: attempts.OutgoingCall, chosen: choice.Choice, model_name: str
) -> bool:
    """Return whether a request that was sent before can be answered in time.

    Another attempt that can't end would only take capacity from others. A
    stream whose caller has a part of it goes on as long as it can.
    """
    if out.is_answer_begun or not state.controls_load(out.gateway, out.service):
        return True
    now_ms = clocks.monotonic_ms()
    estimate = _estimate(out, chosen, model_name, now_ms)
    left_ms = out.remaining_ms()
    if estimate is None or estimate.expected_ms <= left_ms:
        return True
    eliot.log_message(
        'retry_too_late',
        request=out.call.request_id,
        endpoint=chosen.endpoint.name,
        left_ms=round(left_ms),
        expected_ms=round(estimate.expected_ms),
    )
    return False


def record_report(
    out: attempts.OutgoingCall, endpoint: str, load: model.Load, now_ms: float
) -> None:
    """Record the load in an endpoint's answer; let waiting requests go on."""
    if state.controls_load(out.gateway, out.service):
        overload = out.gateway.overload
        overload.loads.record_report(endpoint, load, now_ms)
        overload.queue(out.service).on_report(now_ms)


def waiting_at(
    out: attempts.OutgoingCall, view: endpoints.EndpointView, now_ms: float
) -> float:
    """Return how many requests are expected to wait at an endpoint."""
    if not state.controls_load(out.gateway, out.service):
        return 0
    load = out.gateway.overload.loads.get(view.name)
    return load.waiting_at(view.sent_since_load, now_ms) if load else 0


def record_answer(
    out: attempts.OutgoingCall,
    endpoint: str,
    elapsed_ms: float,
    waiting_before: float,
) -> None:
    """Record the time of a plain answer, after its load was recorded."""
    if not state.controls_load(out.gateway, out.service):
        return
    load = out.gateway.overload.loads.get(endpoint)
    if load is not None and out.call.generation is None:
        load.record_answer(elapsed_ms, waiting_before, out.route.objective_ms)


async def hold_until_configured(
    gateway: state.Gateway, call: model.Call
) -> None:
    """Hold a request that came before the configuration, within bounds.

    Other daemons refuse such requests at once.
    """
    holds = gateway.overload.holds
    if not (gateway.conf.controls_overload and holds.is_starting):
        return
    topic = gateway.endpoints_topic
    # Endpoints that a thread has just read are known after this turn.
    await asyncio.sleep(0)
    if gateway.table is not None and (topic is None or topic.is_loaded):
        return
    began_ms = clocks.monotonic_ms()
    is_held = await holds.hold(startup.hold_ms(call.caller_deadline_ms))
    outcome = 'served' if gateway.is_ready() else 'refused'
    metrics.HELD_AT_START.labels(outcome if is_held else 'no_room').inc()
    eliot.log_message(
        'request_held_at_start',
        request=call.request_id,
        is_held=is_held,
        is_configured=gateway.table is not None,
        held_ms=round(clocks.monotonic_ms() - began_ms),
    )


def not_configured(
    gateway: state.Gateway, call: model.Call, elapsed_ms: float
) -> refusals.RefusalError:
    """Return the refusal while no configuration has been read."""
    topic = gateway.orders_topic
    if not gateway.conf.controls_overload or topic is None:
        return refusal_responses.not_configured()
    left_ms = call.caller_deadline_ms
    if left_ms is not None:
        left_ms -= elapsed_ms
    outage_ms = clocks.monotonic_ms() - topic.started_ms
    return refusal_responses.not_configured(
        startup.retry_after_ms(outage_ms, left_ms, random.random())
    )
