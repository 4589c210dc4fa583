"""Admission to the agent's endpoint as a supervised service."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

import aiohttp
import mode

from yuccarouter.admission import (
    calls,
    counters,
    errors,
    ports,
    wiring,
)
from yuccarouter_common.proto import router_pb2_grpc

# A cold start is detected within this time plus the age of the load report.
_LOAD_INTERVAL_S: Final = 0.1
_CACHE_INTERVAL_S: Final = 1.0
# Only a programming error crashes a poller. More restarts than this within the
# period end the process.
_MAX_RESTARTS: Final = 10
_RESTARTS_OVER_S: Final = 60.0


class Poller(mode.Service):
    """Polls the endpoint at a fixed interval while it runs."""

    def __init__(
        self,
        poll: Callable[[], Awaitable[None]],
        interval_s: float,
        **options: Any,
    ) -> None:
        """Poll with ``poll`` every ``interval_s`` seconds."""
        self._poll = poll
        self._interval_s = interval_s
        super().__init__(**options)

    async def on_start(self) -> None:
        """Start polling."""
        self.add_future(self._run())

    async def _run(self) -> None:
        while not self.should_stop:
            await self._poll_once()
            await self.sleep(self._interval_s)

    async def _poll_once(self) -> None:
        try:
            await self._poll()
        except errors.AdmissionError as fault:
            counters.LOAD_POLLS.labels(fault.code).inc()


class AdmissionService(mode.Service):
    """Admission to one endpoint: HTTP session, polls and running attempts.

    ``servicer`` is available once the service has started; the daemon adds it
    to its gRPC server. Stopping the service drains it first.
    """

    components: wiring.Components

    def __init__(
        self,
        location: ports.EndpointLocation,
        dependencies: ports.Dependencies,
        **options: Any,
    ) -> None:
        """Create the service for the endpoint at ``location``."""
        self._location = location
        self._dependencies = dependencies
        self._session: aiohttp.ClientSession | None = None
        super().__init__(**options)

    @property
    def servicer(self) -> router_pb2_grpc.AgentServicer:
        """The gRPC service of the agent."""
        return self.components.servicer

    async def on_start(self) -> None:
        """Open the HTTP session and start the pollers."""
        self._session = calls.new_session()
        self.components = wiring.wire(
            self._location,
            self._dependencies,
            self._session,
            asyncio.get_running_loop().time,
        )
        await self.add_runtime_dependency(self._supervisor())

    async def drain(self) -> None:
        """Report ``leaving``, refuse new requests, wait for running ones."""
        await self.components.endpoint.drain()
        await self.components.runner.wait_until_done()

    async def on_stop(self) -> None:
        """Drain, and wait for calls that outlive their request."""
        if self._session is not None:
            await self.drain()

    async def on_shutdown(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    def _supervisor(self) -> mode.OneForOneSupervisor:
        endpoint = self.components.endpoint
        pollers = [Poller(endpoint.poll_load, _LOAD_INTERVAL_S)]
        if self._is_engine():
            pollers.append(Poller(endpoint.poll_cache, _CACHE_INTERVAL_S))
        supervisor = mode.OneForOneSupervisor(
            max_restarts=_MAX_RESTARTS, over=_RESTARTS_OVER_S
        )
        supervisor.add(*pollers)
        return supervisor

    def _is_engine(self) -> bool:
        pool = self._dependencies.configuration().pools.get(self._location.pool)
        return pool is None or pool.kind == 'engine'
