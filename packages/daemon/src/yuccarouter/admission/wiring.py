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
from yuccarouter.admission import gate as gates
from yuccarouter_common import model
from yuccarouter_common.proto import router_pb2


@attrs.frozen
class Parts:
    """The parts of admission to one endpoint, wired together."""

    endpoint: endpoint.Endpoint
    runner: runner.Runner
    servicer: servicer.AgentServicer
    orders: orders.Orders


def wire(
    place: ports.Place,
    collaborators: ports.Collaborators,
    session: aiohttp.ClientSession,
    clock: ports.Clock,
) -> Parts:
    """Build admission to one endpoint over one HTTP session."""

    unknown_pool = model.Pool(place.pool)

    def pool() -> model.Pool:
        known = collaborators.configuration().pools.get(place.pool)
        return unknown_pool if known is None else known

    def check(request: router_pb2.RunRequest) -> None:
        checks.check(collaborators.configuration(), place, request)

    admission = slots.Slots(
        collaborators.configuration, gates.Gate(pool, clock), check
    )
    view = endpoint.Endpoint(
        place, collaborators.configuration, admission, session
    )
    attempts = runner.Runner(
        attempt.Caller(place, collaborators, session, clock), admission
    )
    given = orders.Orders(place, pool, session)
    return Parts(
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
