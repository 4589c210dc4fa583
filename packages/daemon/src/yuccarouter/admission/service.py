"""The agent's admission as a supervised service."""

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

# How long a cold start can stay unnoticed, besides the report's own lag.
_LOAD_INTERVAL_S: Final = 0.1
_CACHE_INTERVAL_S: Final = 1.0
# A poller only crashes by a fault of the program; repeated crashes end it.
_MAX_RESTARTS: Final = 10
_RESTARTS_OVER_S: Final = 60.0


class Poller(mode.Service):
    """Polls one path of the endpoint for as long as it runs."""

    def __init__(
        self,
        poll: Callable[[], Awaitable[None]],
        interval_s: float,
        **options: Any,
    ) -> None:
        """Call ``poll`` each interval."""
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

    ``servicer`` exists once the service has started; the daemon registers it
    with its gRPC server. Stopping the service drains it first.
    """

    components: wiring.Components

    def __init__(
        self,
        place: ports.EndpointLocation,
        collaborators: ports.Dependencies,
        **options: Any,
    ) -> None:
        """Serve the endpoint at ``place``."""
        self._place = place
        self._collaborators = collaborators
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
            self._place,
            self._collaborators,
            self._session,
            asyncio.get_running_loop().time,
        )
        await self.add_runtime_dependency(self._supervisor())

    async def drain(self) -> None:
        """Announce leaving, refuse new work and wait for running work."""
        await self.components.endpoint.drain()
        await self.components.runner.drained()

    async def on_stop(self) -> None:
        """Drain; calls that outlive their request are waited for as well."""
        if self._session is not None:
            await self.drain()

    async def on_shutdown(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    def _supervisor(self) -> mode.OneForOneSupervisor:
        view = self.components.endpoint
        pollers = [Poller(view.poll_load, _LOAD_INTERVAL_S)]
        if self._is_engine():
            pollers.append(Poller(view.poll_cache, _CACHE_INTERVAL_S))
        supervisor = mode.OneForOneSupervisor(
            max_restarts=_MAX_RESTARTS, over=_RESTARTS_OVER_S
        )
        supervisor.add(*pollers)
        return supervisor

    def _is_engine(self) -> bool:
        pool = self._collaborators.configuration().pools.get(self._place.pool)
        return pool is None or pool.kind == 'engine'
