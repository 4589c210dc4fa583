"""A small fleet for tests, with faults at each of its parts."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any, Final

import aiohttp
import attrs

from yuccarouter_common import billing_rows
from yuccarouter_testkit.demo import calls, deployments, fleet, processes

_POLL_S: Final = 0.1
_BILL_LIMIT_S: Final = 20.0
# Slow enough that a process can be killed in the middle of a stream.
_ENGINE_TIMING: Final = {'step_ms': 10}


def small_thanupp() -> deployments.Deployment:
    """Return a deployment with three engines and two plain services."""
    engines = attrs.evolve(
        deployments.THANUPP.groups[0],
        count=3,
        settings={
            **deployments.THANUPP.groups[0].settings,
            'timing': _ENGINE_TIMING,
        },
    )
    ledgers = attrs.evolve(deployments.THANUPP.groups[1], count=2)
    return attrs.evolve(deployments.THANUPP, groups=(engines, ledgers))


@attrs.define(eq=False)
class World:
    """A running fleet and its processes by what they do."""

    running: fleet.Fleet

    def caller(self, entry: int = 0) -> calls.Caller:
        """Return a caller at one of the entries."""
        return calls.Caller(self.running, 'malabar-cold', entry)

    async def fault(self, url: str, **fields: Any) -> None:
        """Inject faults into a double."""
        async with self.running.session.post(
            f'{url}/faults', json=fields
        ) as response:
            response.raise_for_status()

    async def mend(self, url: str) -> None:
        """Remove all faults of a double."""
        async with self.running.session.delete(f'{url}/faults') as response:
            response.raise_for_status()

    def endpoints(self, pool: str) -> list[fleet.Endpoint]:
        """Return the endpoints of a pool."""
        return [
            endpoint
            for endpoint in self.running.endpoints
            if endpoint.pool == pool
        ]

    def agent_of(self, endpoint: fleet.Endpoint) -> processes.Process:
        """Return the agent's process beside an endpoint."""
        return self.running.started.running[f'agent-{endpoint.name}']

    def entry_process(self, entry: int) -> processes.Process:
        """Return the process of an entry."""
        name = f'{self.running.deployment.name}-entry-{entry + 1}'
        return self.running.started.running[name]

    async def restart_entry_without_log(self, entry: int) -> None:
        """Start an entry again with a log that it can't reach."""
        process = self.entry_process(entry)
        process.terminate()
        await process.wait()
        await self.running.start_entry_again(
            entry, f'http://127.0.0.1:{processes.free_port()}'
        )

    async def runs_of(self, key: str) -> int:
        """Return how often the ledgers have run calls with a key."""
        total = 0
        for endpoint in self.endpoints('ledger-app'):
            async with self.running.session.get(
                f'{endpoint.url}/calls'
            ) as response:
                listed = (await response.json())['calls']
            total += sum(call['count'] for call in listed if call['key'] == key)
        return total

    async def count_bills(self, wanted: list[str]) -> dict[str, int]:
        """Wait for bills; return how many count for each request.

        Readers keep the first row of a request, so one is the most that can
        count; a request without a row counts 0. Requests that were
        not asked for are shown too, so that a second id is noticed.
        """
        deadline_s = asyncio.get_running_loop().time() + _BILL_LIMIT_S
        while True:
            rows = await calls.billed_rows(self.running)
            counted = billing_rows.first_rows(
                [billing_rows.batch_payload(rows)]
            )
            found = dict.fromkeys(wanted, 0) | dict.fromkeys(counted, 1)
            is_late = asyncio.get_running_loop().time() > deadline_s
            if all(found.values()) or is_late:
                return found
            await asyncio.sleep(_POLL_S)


async def start(folder: pathlib.Path) -> World:
    """Start a small fleet with its files in ``folder``."""
    running = fleet.Fleet(
        small_thanupp(),
        processes.Processes(folder),
        aiohttp.ClientSession(),
    )
    await running.start()
    return World(running)


async def stop(world: World) -> None:
    """Stop the fleet."""
    await world.running.started.stop_all()
    await world.running.session.close()
