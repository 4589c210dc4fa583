"""Price of a service's engine time, by the present load of its engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarouter.gateway import model
from yuccarouter.gateway.model_choice import engines

if TYPE_CHECKING:
    from yuccarouter.gateway import state
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


def observed(
    gateway: state.Gateway,
    service: str,
    service_objective_ms: float,
    now_ms: float,
) -> bid_price.Price:
    """Return the price, after a look at the engines if one is due."""
    prices = gateway.bid_prices
    if prices.is_observation_due(service, now_ms):
        views = [
            view
            for view in gateway.directory
            if view.announced.service == service
            and not view.announced.is_draining
        ]
        load = engines.service_load(
            views, service_objective_ms, prices.answer_ms(service), now_ms
        )
        prices.observe(service, load, now_ms)
    return prices.price(service)


def _sends_to(route: model.Route, service: str) -> bool:
    return any(
        share.service == service and share.weight > 0 for share in route.shares
    )
