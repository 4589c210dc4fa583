"""Handling of callers' requests."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Final

import attrs
import eliot
from aiohttp import web

from yuccarouter.gateway import (
    attempts,
    buffered,
    caller_connections,
    configuration_age,
    metrics,
    model,
    refusal_responses,
    request_bodies,
    routes,
    state,
    stopping,
    streaming,
    topics,
)
from yuccarouter.gateway.shares import demand
from yuccarouter.gateway.overload import gate
from yuccarouter_common import clocks, refusals

if TYPE_CHECKING:
    import aiohttp
    from aiohttp.http_parser import RawRequestMessage

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Limit while no configuration is known.
_DEFAULT_BODY_BYTES: Final = 4_194_304
_MS_PER_S: Final = 1000
_MAX_PRIORITY: Final = 9


def make_handler(gateway: state.Gateway) -> Handler:
    """Return the handler that serves callers' requests."""

    age_log = configuration_age.AgeLog()

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        call = gateway.platform.decode_call(request)
        exchange = _Exchange(
            gateway, request, call, clocks.monotonic_ms(), age_log
        )
        return await _serve_call(exchange)

    return serve


def make_request_factory(
    gateway: state.Gateway,
) -> Callable[..., web.BaseRequest]:
    """Return a factory of requests with the configured limit on bodies."""

    def make(
        message: RawRequestMessage,
        payload: aiohttp.StreamReader,
        protocol: Any,
        writer: Any,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        table = gateway.table
        limit = (
            table.configuration.limits.body_bytes
            if table
            else _DEFAULT_BODY_BYTES
        )
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=limit,
        )

    return make


@attrs.frozen
class _AppliedConfiguration:
    """The configuration that decided about a request, at that moment.

    ``age_ms`` is the time since the replica of the operators' orders was last
    confirmed as complete, ``None`` if it never was, and ``confirmed_by`` names
    the peer that confirmed it, or the store. ``behind_ms`` is for how long
    peers had newer orders.
    """

    version: int = -1
    age_ms: int | None = None
    confirmed_by: str = ''
    behind_ms: int = 0


@attrs.define
class _Exchange:
    """A caller's request; ``out`` is set once it was read completely.

    ``counted_work_ms`` is the endpoint time by which it counts as demand since
    ``counted_ms``.
    """

    gateway: state.Gateway
    request: web.BaseRequest
    call: model.Call
    arrived_ms: float
    age_log: configuration_age.AgeLog
    route: model.Route | None = None
    out: attempts.OutgoingCall | None = None
    applied: _AppliedConfiguration = _AppliedConfiguration()
    counted_work_ms: float = 0
    counted_ms: float = 0

    def count_demand(
        self, service: str, organisation: str, kind: model.Kind
    ) -> None:
        """Count the request as demand of its organisation and key."""
        self.counted_ms = clocks.monotonic_ms()
        self.counted_work_ms = demand.estimated_work_ms(
            kind, model.prompt_tokens(self.call)
        )
        self.gateway.demand.record_arrival(
            service,
            organisation,
            self.call.key,
            self.counted_work_ms,
            self.counted_ms,
        )

    def take_back_demand(self) -> None:
        """Stop counting the request after its caller has left."""
        if self.out is None or not self.counted_work_ms:
            return
        self.gateway.demand.record_departure(
            self.out.service,
            self.out.organisation,
            self.call.key,
            self.counted_work_ms,
            arrived_ms=self.counted_ms,
            now_ms=clocks.monotonic_ms(),
        )


async def _serve_call(exchange: _Exchange) -> web.StreamResponse:
    request = exchange.request
    code = ''
    try:
        answer = await _answer_before_stop(exchange)
    except refusals.RefusalError as refusal:
        code = refusal.code
        answer = refusal_responses.response(refusal)
    except (
        streaming.StreamBrokenError,
        streaming.CallerStalledError,
    ) as fault:
        _log_request(exchange, 0, fault.code)
        _abort(request)
        raise asyncio.CancelledError from None
    except (asyncio.CancelledError, ConnectionError):
        exchange.take_back_demand()
        _log_request(exchange, 0, 'caller_left')
        raise
    if exchange.gateway.stop.has_begun:
        caller_connections.close_after_last(request, answer)
    _log_request(exchange, answer.status, code)
    return answer


async def _answer_before_stop(exchange: _Exchange) -> web.StreamResponse:
    """Return the answer.

    If the daemon stops earlier, raises ``RefusalError``, or
    ``StreamBrokenError`` after a part of the answer.
    """
    try:
        async with exchange.gateway.stop.limit_request():
            return await _answer(exchange)
    except stopping.GraceEndedError as fault:
        out = exchange.out
        if out is not None and out.is_answer_begun:
            raise streaming.StreamBrokenError('the daemon stops') from fault
        raise refusal_responses.unfinished_at_stop(out) from fault


async def _answer(exchange: _Exchange) -> web.StreamResponse:
    gateway = exchange.gateway
    await gate.hold_until_configured(gateway, exchange.call)
    table = gateway.table
    route, organisation = _look_up(exchange, table)
    with request_bodies.hold(
        gateway.memory,
        exchange.request,
        organisation.name if organisation else '',
    ) as held:
        body = await held.read()
        while True:
            if gateway.table is not table:
                # The body may have taken seconds to arrive.
                table = gateway.table
                route, organisation = _look_up(exchange, table)
            with contextlib.suppress(attempts.SupersededError):
                return await _send(
                    exchange,
                    _prepare(exchange, table, route, organisation, body),
                )
            exchange.take_back_demand()


async def _send(
    exchange: _Exchange, out: attempts.OutgoingCall
) -> web.StreamResponse:
    """Return the answer to a call; raises ``attempts.SupersededError``."""
    exchange.out = out
    if not out.can_end_before_stop():
        raise refusal_responses.shutting_down()
    await exchange.gateway.session_exchange.look_up(
        out.service, exchange.call.session, out.remaining_ms()
    )
    return await _forward(out, exchange.request)


def _look_up(
    exchange: _Exchange, table: routes.RouteTable | None
) -> tuple[model.Route, model.Organisation | None]:
    """Return a request's route and organisation by a configuration.

    Raises ``RefusalError`` if there is none.
    """
    gateway = exchange.gateway
    exchange.applied = _applied_configuration(gateway, table, exchange.age_log)
    route = _find_route(exchange, table)
    exchange.route = route
    return route, _authenticate(gateway, table, exchange.call, route)


def _applied_configuration(
    gateway: state.Gateway,
    table: routes.RouteTable | None,
    age_log: configuration_age.AgeLog,
) -> _AppliedConfiguration:
    if table is None or gateway.orders_topic is None:
        return _AppliedConfiguration()
    confirmation = gateway.orders_topic.newest_confirmation()
    age_ms = confirmation.rounded_age_ms()
    if age_ms is not None:
        metrics.observe_configuration_age(age_ms)
    version = table.configuration.version
    age_log.record(gateway.orders_topic, version)
    return _AppliedConfiguration(
        version,
        age_ms,
        confirmation.source,
        round(topics.behind_ms(gateway.orders_topic)),
    )


def _find_route(
    exchange: _Exchange, table: routes.RouteTable | None
) -> model.Route:
    gateway, call = exchange.gateway, exchange.call
    if table is None:
        elapsed_ms = clocks.monotonic_ms() - exchange.arrived_ms
        raise gate.not_configured(gateway, call, elapsed_ms)
    route = table.find(call.host, call.path)
    if route is not None:
        return route
    if gateway.is_configuration_stale:
        raise refusal_responses.configuration_too_old()
    raise refusals.RefusalError(
        'not_found', 'no route matches this host and path'
    )


def _authenticate(
    gateway: state.Gateway,
    table: routes.RouteTable | None,
    call: model.Call,
    route: model.Route,
) -> model.Organisation | None:
    if table is None or not table.has_organisations:
        return None
    organisation = table.organisation(call.key)
    if organisation is not None or route.is_anonymous:
        return organisation
    if call.key and gateway.is_configuration_stale:
        raise refusal_responses.configuration_too_old()
    raise refusals.RefusalError('unauthenticated', 'the API key is unknown')


def _prepare(
    exchange: _Exchange,
    table: routes.RouteTable | None,
    route: model.Route,
    organisation: model.Organisation | None,
    body: bytes,
) -> attempts.OutgoingCall:
    gateway = exchange.gateway
    call = exchange.call
    arrived_ms = exchange.arrived_ms
    timeout_ms = route.timeout_ms
    if call.caller_deadline_ms is not None:
        timeout_ms = min(timeout_ms, call.caller_deadline_ms)
    priority = route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    service = routes.service_for(route, random.random())
    if exchange.out is None:
        gateway.retry_budget.record_request(service, arrived_ms)
    organisation_name = organisation.name if organisation else ''
    if state.controls_load(gateway, service):
        exchange.count_demand(service, organisation_name, route.kind)
    return attempts.OutgoingCall(
        gateway=gateway,
        call=call,
        route=route,
        service=service,
        organisation=organisation_name,
        priority=min(_MAX_PRIORITY, max(0, priority)),
        body=body,
        deadline_ms=arrived_ms + timeout_ms,
        arrived_ms=arrived_ms,
        is_current=functools.partial(
            _is_decided_alike, gateway, table, call, (route, organisation)
        ),
    )


def _is_decided_alike(
    gateway: state.Gateway,
    table: routes.RouteTable | None,
    call: model.Call,
    decided: tuple[model.Route, model.Organisation | None],
) -> bool:
    """Return whether the table in force has the route and organisation."""
    current = gateway.table
    return current is table or (
        current is not None
        and decided
        == (
            current.find(call.host, call.path),
            current.organisation(call.key),
        )
    )


async def _forward(
    out: attempts.OutgoingCall, request: web.BaseRequest
) -> web.StreamResponse:
    await gate.admit(out)
    try:
        return await _forward_admitted(out, request)
    except refusals.RefusalError as refusal:
        gate.limit_retry_after(out, refusal)
        raise


async def _forward_admitted(
    out: attempts.OutgoingCall, request: web.BaseRequest
) -> web.StreamResponse:
    if out.route.kind is not model.Kind.STREAM:
        answer = await buffered.forward(out)
        metrics.observe_first_byte(out.route.kind, out.elapsed_ms())
        return answer
    return await streaming.forward(out, request)


def _abort(request: web.BaseRequest) -> None:
    """Abort a caller's connection, so that a partial answer is noticed.

    An orderly end of the connection could pass for the end of the answer.
    """
    if request.transport is not None:
        request.transport.abort()


def _log_request(
    exchange: _Exchange,
    status: int,
    code: str,
) -> None:
    route = exchange.route
    kind = route.kind.value if route else ''
    metrics.ANSWERS.labels(kind, str(status), code).inc()
    applied, out = exchange.applied, exchange.out
    eliot.log_message(
        'request_ended',
        request=exchange.call.request_id,
        route=route.name if route else '',
        status=status,
        code=code,
        elapsed_ms=round(clocks.monotonic_ms() - exchange.arrived_ms),
        configuration=applied.version,
        configuration_age_ms=applied.age_ms,
        confirmed_by=applied.confirmed_by,
        configuration_behind_ms=applied.behind_ms,
        sent_configuration=out.sent_configuration if out else -1,
    )
