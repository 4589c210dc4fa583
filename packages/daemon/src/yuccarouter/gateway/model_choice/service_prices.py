"""Price of a service's engine time, by the present load of its engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarouter.gateway import choice, model
from yuccarouter.gateway.capacity import service_index
from yuccarouter.gateway.model_choice import engines, value

if TYPE_CHECKING:
    from yuccarouter.gateway import attempts, endpoints, state
    from yuccarouter.gateway.model_choice import bid_price


def objective_ms(
    gateway: state.Gateway, service: str, route: model.Route
) -> float:
    """Return the objective by which the load of a service is measured.

    It is the shortest one of the service's routes with prompts. The price
    would swing between the routes if each measured the load by its own.
    """
    known = gateway.table.configuration.routes if gateway.table else ()
    return min(
        (
            other.objective_ms
            for other in known
            if other.kind is model.Kind.STREAM and _sends_to(other, service)
        ),
        default=route.objective_ms,
    )


def request_value(out: attempts.OutgoingCall) -> float:
    """Return the value of a right answer to a request in time."""
    return value.request_value(out.priority, model.prompt_tokens(out.call))


def record_first_answer(out: attempts.OutgoingCall, read_ms: float) -> None:
    """Record the first answer to a request, and the time of its read.

    Answers of larger models to the same request are left out: they would lower
    the price that limits them.
    """
    out.gateway.bid_prices.record_answer(
        out.service, request_value(out), read_ms
    )


def observed(
    gateway: state.Gateway,
    service: str,
    service_objective_ms: float,
    now_ms: float,
) -> bid_price.Price:
    """Return the price, after a look at the engines if one is due."""
    prices = gateway.bid_prices
    if prices.is_observation_due(service, now_ms):
        load = engines.service_load(
            usable_engines(gateway, service, now_ms),
            service_objective_ms,
            prices.answer_ms(service),
            now_ms,
        )
        prices.observe(service, load, now_ms)
    return prices.price(service)


def usable_engines(
    gateway: state.Gateway, service: str, now_ms: float
) -> list[endpoints.EndpointView]:
    """Return a sample of the engines that may get a request now.

    Those that can't be used are idle, and would hide the load of the others.
    Engines that recently did not answer are returned only if there is no other.
    """
    unreachable = gateway.failure_reports.unreachable(now_ms)
    requirements = choice.Requirements(
        service=service,
        objective_ms=0,
        versions=None,
        tried=frozenset(),
        out_of_service=gateway.evacuated_data_centres,
        local_data_centre=gateway.conf.data_centre,
        cold_share=None,
        max_in_flight=0,
        rate_limited=gateway.rate_limits.exhausted(now_ms),
    )
    known = gateway.service_index.of(service).every
    answering: list[endpoints.EndpointView] = []
    silent: list[endpoints.EndpointView] = []
    for view in service_index.in_random_order(known):
        if len(answering) == engines.SAMPLE:
            break
        if not choice.is_usable(view, requirements, now_ms):
            continue
        is_silent = view.avoid_until_ms > now_ms or view.name in unreachable
        (silent if is_silent else answering).append(view)
    return answering or silent[: engines.SAMPLE]


def _sends_to(route: model.Route, service: str) -> bool:
    return any(
        share.service == service and share.weight > 0 for share in route.shares
    )
