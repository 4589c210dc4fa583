"""Tests of when daemons that start in an outage notice the store's return."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
from typing import Any

import attrs
import gateway_store
import pytest

from yuccarouter.gateway import daemon, peers, ports
from yuccarouter_common.platform import errors
from yuccarouter_testkit import virtual_time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import test_silent_store  # noqa: E402

# Mean calls of one of 46 daemons in an outage of so many seconds, measured with
# a longest delay of 1,200 ms and no news from peers.
CALLS_BEFORE = {1.4: 5.0, 3.0: 6.2, 6.0: 10.7, 30.0: 38.8}


@attrs.define
class RefusingStore(gateway_store.MemoryStore):
    """A store that refuses all calls until a time of the event loop."""

    until_s: float = 0
    refused: int = 0

    async def newest(self, topic: str) -> ports.Page:
        if asyncio.get_running_loop().time() < self.until_s:
            self.refused += 1
            raise errors.UnavailableError('away')
        return await super().newest(topic)

    async def read(self, topic: str, offset: int, wait_ms: int) -> ports.Page:
        await asyncio.sleep(wait_ms / 1000)
        return await super().read(topic, offset, wait_ms)


async def start_in_outage(
    store: RefusingStore, count: int
) -> list[test_silent_store.Applied]:
    """Start daemons that hear of peers once these know them; run for long."""
    loop = asyncio.get_running_loop()
    fleet: list[tuple[Any, list[Any]]] = []
    applied = [test_silent_store.Applied() for _ in range(count)]
    tasks = []

    async def tell(index: int) -> None:
        gateway, _ = fleet[index]
        following = index
        while True:
            await gateway.gossip.has_news.wait()
            await asyncio.sleep(0.03)
            gateway.gossip.has_news.clear()
            for step in range(1, 9):
                _, replicas = fleet[(following + step) % count]
                replicas[0].pause.end_on_news(loop.time() * 1000)
            following += 8

    for notes in applied:
        gateway: Any = test_silent_store.make_gateway(notes)
        gateway.gossip = peers.Gossip(dict, lambda name, digest: None)
        fleet.append((gateway, daemon.make_replicas(gateway, store)))
    for index in range(count):
        await asyncio.sleep(random.uniform(0, 0.2 / count))
        tasks += [
            asyncio.create_task(topic.follow()) for topic in fleet[index][1]
        ]
        tasks.append(asyncio.create_task(tell(index)))
    await asyncio.sleep(store.until_s + 3 - loop.time())
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return applied


@pytest.mark.parametrize('outage_s', sorted(CALLS_BEFORE))
@pytest.mark.parametrize(('daemons', 'limit_s'), [(46, 0.25), (3, 0.8)])
def test_return_is_noticed(
    monkeypatch: pytest.MonkeyPatch,
    outage_s: float,
    daemons: int,
    limit_s: float,
) -> None:
    """Guards against callers refused long after the store has returned.

    Each daemon noticed it 0.4 to 1.1 s late. More calls would cost as much as
    those that are served, so that they are bounded by twice those before.
    """
    random.seed(outage_s)
    loop = virtual_time.VirtualTimeLoop()
    test_silent_store.use_clock_of(loop, monkeypatch)
    store = RefusingStore(until_s=loop.time() + outage_s)
    for topic in ('orders', 'endpoints', 'state'):
        store.write(topic, 'config', b'1')
    applied = loop.run_until_complete(start_in_outage(store, daemons))
    loop.close()
    late_s = sorted(
        max(notes.times_s.values()) - store.until_s for notes in applied
    )
    assert all(len(notes.times_s) == 3 for notes in applied)
    assert late_s[-1] <= limit_s, late_s[-5:]
    assert store.refused <= 2 * CALLS_BEFORE[outage_s] * daemons
