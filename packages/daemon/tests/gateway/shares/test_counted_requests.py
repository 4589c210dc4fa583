"""Tests of which requests the handler counts as demand."""

from __future__ import annotations

import asyncio
import math
import types
from typing import Any

import attrs
import gateway_makers as make
import pytest

from yuccarouter.gateway import (
    model,
    process_memory,
    request_handler,
    retry_budget,
    routes,
    stopping,
)
from yuccarouter.gateway.capacity import speeds
from yuccarouter.gateway.overload import current as overload
from yuccarouter.gateway.shares import demand

ROUTE = model.Route(
    name='r',
    host='h',
    path_prefix='/',
    kind=model.Kind.SAFE,
    timeout_ms=1000,
    objective_ms=100,
    gap_objective_ms=0,
    priority=0,
    max_attempts=2,
    shares=(model.ServiceShare('engine', 1),),
)


@pytest.mark.parametrize('controls_overload', [True, False])
async def test_caller_that_leaves(
    controls_overload: bool, clock: make.Clock
) -> None:
    """Guards against demand of callers who have left, and against counting
    where load is not controlled.
    """
    counted = demand.Demand()
    seen: list[Any] = []

    def leave(*_: Any) -> None:
        seen.append(counted.message(clock.now_ms))
        clock.now_ms += 500
        raise asyncio.CancelledError

    async def look_up(*_: Any) -> None:
        """Find no roll-out."""

    organisation = model.Organisation('o', ('k',), None)
    table = routes.RouteTable(
        model.Configuration(1, (ROUTE,), {}, (organisation,), model.Limits(9))
    )
    gateway = types.SimpleNamespace(
        conf=attrs.evolve(make.conf(), controls_overload=controls_overload),
        table=table,
        platform=types.SimpleNamespace(
            decode_call=lambda request: make.call(key='k')
        ),
        stop=stopping.Stop(),
        retry_budget=retry_budget.RetryBudget(0, 9, 10_000),
        demand=counted,
        choose=leave,
        overload=overload.Overload(128_000_000),
        memory=process_memory.ProcessMemory(math.inf),
        speeds=speeds.EndpointSpeeds(lambda endpoint: None),
        session_exchange=types.SimpleNamespace(look_up=look_up),
        orders_topic=None,
        endpoints_topic=None,
        is_ready=lambda: True,
    )
    serve = request_handler.make_handler(gateway)  # type: ignore[arg-type]
    request = types.SimpleNamespace(can_read_body=False, headers={})
    with pytest.raises(asyncio.CancelledError):
        await serve(request)  # type: ignore[arg-type]
    organisation_hash = demand.organisation_hash('o')
    assert [organisation_hash in str(message) for message in seen] == [
        controls_overload
    ]
    assert counted.message(clock.now_ms) == {}
