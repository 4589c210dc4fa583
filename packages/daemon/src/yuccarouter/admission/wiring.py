"""Construction of the components of admission to one endpoint."""

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
    """Components of admission to one endpoint."""

    endpoint: endpoint.Endpoint
    runner: runner.Runner
    servicer: servicer.AgentServicer
    orders: orders.Orders


def wire(
    location: ports.EndpointLocation,
    dependencies: ports.Dependencies,
    session: aiohttp.ClientSession,
    clock: ports.Clock,
) -> Components:
    """Create the components, which share one HTTP session."""

    default_pool = model.Pool(location.pool)

    def pool() -> model.Pool:
        configured = dependencies.configuration().pools.get(location.pool)
        return default_pool if configured is None else configured

    def check(request: router_pb2.RunRequest) -> None:
        checks.check(dependencies.configuration(), location, request)

    slot_queue = slots.SlotQueue(
        dependencies.configuration,
        limiters.ConcurrencyLimiter(pool, clock),
        check,
    )
    endpoint_state = endpoint.Endpoint(
        location, dependencies.configuration, slot_queue, session
    )
    attempt_runner = runner.Runner(
        attempt.EndpointClient(location, dependencies, session, clock),
        slot_queue,
    )
    endpoint_orders = orders.Orders(location, pool, session)
    return Components(
        endpoint_state,
        attempt_runner,
        servicer.AgentServicer(
            attempt_runner,
            dependencies,
            endpoint_orders,
            endpoint_state.report,
            lambda: endpoint_state.state,
        ),
        endpoint_orders,
    )
