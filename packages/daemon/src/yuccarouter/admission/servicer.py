"""The agent's gRPC service."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

from grpc import aio

from yuccarouter.admission import orders, ports, runner, tracing
from yuccarouter_common import errors
from yuccarouter_common.proto import router_pb2, router_pb2_grpc

_RETRY_MS: Final = 1000
_DEFAULT_INTERVAL_MS: Final = 250
_MIN_INTERVAL_MS: Final = 50
# Bounds reports to about 67 a second for all entries together, which keeps
# them within the 25 KB/s that a daemon may use for control.
_INTERVAL_PER_ENTRY_MS: Final = 15

_Context = aio.ServicerContext[Any, Any]


class AgentServicer(router_pb2_grpc.AgentServicer):
    """Serves entries on behalf of one endpoint."""

    def __init__(
        self,
        attempts: runner.Runner,
        parts: ports.Collaborators,
        orders: orders.Orders,
        report: Callable[[], router_pb2.EndpointReport],
    ) -> None:
        """Serve with the given parts; ``report`` builds a current report."""
        self._orders = orders
        self._subscribers = 0
        self._runner = attempts
        self._parts = parts
        self._report = report

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
        """Stream a report of the endpoint each interval."""
        wanted_ms = request.interval_ms or _DEFAULT_INTERVAL_MS
        self._subscribers += 1
        try:
            while True:
                yield self._report()
                interval_ms = max(
                    wanted_ms,
                    _MIN_INTERVAL_MS,
                    _INTERVAL_PER_ENTRY_MS * self._subscribers,
                )
                await asyncio.sleep(interval_ms / 1000)
        finally:
            self._subscribers -= 1

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
