"""A small fleet for tests that inject faults into its processes."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any, Final

import aiohttp
import attrs

from yuccarouter_common import billing_rows
from yuccarouter_testkit.demo import calls, deployments, fleet, processes

_POLL_INTERVAL_S: Final = 0.1
_BILL_TIMEOUT_S: Final = 20.0
# Slow enough that a test can kill a process in the middle of a stream.
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
    """A running fleet, with access to its processes and its faults."""

    running: fleet.Fleet

    def caller(self, entry: int = 0) -> calls.Caller:
        """Return a caller that sends requests to the entry of that index."""
        return calls.Caller(self.running, 'malabar-cold', entry)

    async def fault(self, url: str, **fields: Any) -> None:
        """Inject faults into the test double at a URL."""
        async with self.running.session.post(
            f'{url}/faults', json=fields
        ) as response:
            response.raise_for_status()

    async def mend(self, url: str) -> None:
        """Remove all faults from the test double at a URL."""
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
        """Return the process of an endpoint's agent."""
        return self.running.started.running[f'agent-{endpoint.name}']

    def entry_process(self, entry: int) -> processes.Process:
        """Return the process of the entry of that index."""
        name = f'{self.running.deployment.name}-entry-{entry + 1}'
        return self.running.started.running[name]

    async def restart_entry_without_log(self, entry: int) -> None:
        """Restart an entry with a log URL at which nothing listens."""
        process = self.entry_process(entry)
        process.terminate()
        await process.wait()
        await self.running.start_entry_again(
            entry, f'http://127.0.0.1:{processes.free_port()}'
        )

    async def runs_of(self, key: str) -> int:
        """Return how often the ledgers ran calls with an idempotency key."""
        total = 0
        for endpoint in self.endpoints('ledger-app'):
            async with self.running.session.get(
                f'{endpoint.url}/calls'
            ) as response:
                ledger_calls = (await response.json())['calls']
            total += sum(
                call['count'] for call in ledger_calls if call['key'] == key
            )
        return total

    async def count_bills(self, wanted: list[str]) -> dict[str, int]:
        """Wait for bill rows and return the number billed for each request.

        Readers keep only the first row of a request, so the number is at most
        1. It is 0 for a request without a row when the wait times out.
        Requests that are not in ``wanted`` are included, so that a test
        notices a request billed under a second id.
        """
        deadline_s = asyncio.get_running_loop().time() + _BILL_TIMEOUT_S
        while True:
            rows = await calls.billed_rows(self.running)
            first_rows = billing_rows.first_rows(
                [billing_rows.batch_payload(rows)]
            )
            counts = dict.fromkeys(wanted, 0) | dict.fromkeys(first_rows, 1)
            is_timed_out = asyncio.get_running_loop().time() > deadline_s
            if all(counts.values()) or is_timed_out:
                return counts
            await asyncio.sleep(_POLL_INTERVAL_S)


async def start(folder: pathlib.Path) -> World:
    """Start a small fleet that writes its files to ``folder``."""
    running = fleet.Fleet(
        small_thanupp(),
        processes.Processes(folder),
        aiohttp.ClientSession(),
    )
    await running.start()
    return World(running)


async def stop(world: World) -> None:
    """Stop all processes and close the HTTP session."""
    await world.running.started.stop_all()
    await world.running.session.close()
