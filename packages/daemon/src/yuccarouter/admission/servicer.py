"""The agent's gRPC service."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

import xxhash
from grpc import aio

from yuccarouter.admission import orders, ports, runner, tracing
from yuccarouter_common import errors
from yuccarouter_common.proto import router_pb2, router_pb2_grpc

_RETRY_MS: Final = 1000
_DEFAULT_INTERVAL_MS: Final = 250
_MIN_INTERVAL_MS: Final = 50
# Reports at longer intervals than this are sent at multiples of it, so that an
# entry takes several at once: on a busy machine 58 reports/s cost it 2.4% of a
# core in bursts and 5.0% spread out. A change of state waits no longer for one.
_TICK_MS: Final = 1000
_MS_PER_S: Final = 1000

_Context = aio.ServicerContext[Any, Any]


class AgentServicer(router_pb2_grpc.AgentServicer):
    """Serves entries on behalf of one endpoint."""

    def __init__(
        self,
        attempts: runner.Runner,
        parts: ports.Dependencies,
        orders: orders.Orders,
        report: Callable[[], router_pb2.EndpointReport],
        state: Callable[[], str],
    ) -> None:
        """Serve with the given parts; ``report`` builds a current report.

        ``state`` is the state that a report would show.
        """
        self._orders = orders
        self._runner = attempts
        self._parts = parts
        self._report = report
        self._state = state

    async def Run(  # noqa: N802
        self, request: router_pb2.RunRequest, context: _Context
    ) -> None:
        """Run one attempt and stream its events."""
        # Events are written from the handler's own task, so a cancelled or
        # broken call interrupts the attempt at once. An asynchronous
        # generator would only notice when it is collected.
        with tracing.hop('agent.run', request):
            await self._runner.run(request, context.write)

    async def Reports(  # noqa: N802
        self, request: router_pb2.ReportsRequest, context: _Context
    ) -> AsyncIterator[router_pb2.EndpointReport]:
        """Stream a report each interval and at each change of state."""
        wanted_ms = request.interval_ms or _DEFAULT_INTERVAL_MS
        interval_ms = max(wanted_ms, _MIN_INTERVAL_MS)
        while True:
            report = self._report()
            if request.max_prefixes:
                del report.prefixes[: -request.max_prefixes]
            yield report
            await self._until_due(interval_ms, report)

    async def _until_due(
        self, interval_ms: int, report: router_pb2.EndpointReport
    ) -> None:
        """Sleep until the report after ``report`` is to be sent."""
        if interval_ms <= _TICK_MS:
            await asyncio.sleep(interval_ms / _MS_PER_S)
            return
        ticks = interval_ms // _TICK_MS
        slot = xxhash.xxh3_64_intdigest(report.endpoint.encode()) % ticks
        is_due = False
        while not is_due and self._state() == report.state:
            tick, passed_ms = divmod(time.time() * _MS_PER_S, _TICK_MS)
            await asyncio.sleep((_TICK_MS - passed_ms) / _MS_PER_S)
            is_due = int(tick + 1) % ticks == slot

    async def Settle(  # noqa: N802
        self, request: router_pb2.SettleRequest, context: _Context
    ) -> router_pb2.SettleReply:
        """Drop usage that the entry has billed or discarded."""
        self._parts.usage.settle(request)
        return router_pb2.SettleReply()

    async def Claim(  # noqa: N802
        self, request: router_pb2.ClaimRequest, context: _Context
    ) -> router_pb2.ClaimReply:
        """Claim a key in a registry partition."""
        try:
            return await self._parts.registry.claim(request)
        except errors.RouterError:
            # Whether the claim was appended or not, the entry runs nothing.
            return router_pb2.ClaimReply(
                state='unavailable', retry_after_ms=_RETRY_MS
            )

    async def Record(  # noqa: N802
        self, request: router_pb2.RecordRequest, context: _Context
    ) -> router_pb2.RecordReply:
        """Record an outcome or a release in a registry partition."""
        try:
            return await self._parts.registry.record(request)
        except errors.RouterError:
            return router_pb2.RecordReply(recorded=False)

    async def Order(  # noqa: N802
        self, request: router_pb2.OrderRequest, context: _Context
    ) -> router_pb2.OrderReply:
        """Pass a controller's order on to the endpoint."""
        return await self._orders.give(request)
