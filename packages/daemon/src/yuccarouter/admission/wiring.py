"""Building admission to one endpoint from its parts."""

from __future__ import annotations

import aiohttp
import attrs

from yuccarouter.admission import (
    attempt,
    checks,
    endpoint,
    orders,
    ports,
    runner,
    servicer,
    slots,
)
from yuccarouter.admission import limiter as limiters
from yuccarouter_common import model
from yuccarouter_common.proto import router_pb2


@attrs.frozen
class Components:
    """The parts of admission to one endpoint, wired together."""

    endpoint: endpoint.Endpoint
    runner: runner.Runner
    servicer: servicer.AgentServicer
    orders: orders.Orders


def wire(
    place: ports.EndpointLocation,
    collaborators: ports.Dependencies,
    session: aiohttp.ClientSession,
    clock: ports.Clock,
) -> Components:
    """Build admission to one endpoint over one HTTP session."""

    unknown_pool = model.Pool(place.pool)

    def pool() -> model.Pool:
        known = collaborators.configuration().pools.get(place.pool)
        return unknown_pool if known is None else known

    def check(request: router_pb2.RunRequest) -> None:
        checks.check(collaborators.configuration(), place, request)

    admission = slots.SlotQueue(
        collaborators.configuration,
        limiters.ConcurrencyLimiter(pool, clock),
        check,
    )
    view = endpoint.Endpoint(
        place, collaborators.configuration, admission, session
    )
    attempts = runner.Runner(
        attempt.Caller(place, collaborators, session, clock), admission
    )
    given = orders.Orders(place, pool, session)
    return Components(
        view,
        attempts,
        servicer.AgentServicer(
            attempts,
            collaborators,
            given,
            view.report,
            lambda: view.state,
        ),
        given,
    )
