"""Tests of when changes apply at daemons whose readers are lost."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING, Any, cast

import aiohttp
import attrs
import gateway_makers as make
import gateway_store
import orjson
import pytest
import test_silent_store

from yuccarouter.gateway import daemon, model, peers, ports, topics
from yuccarouter_common.platform import errors
from yuccarouter_testkit import virtual_time

if TYPE_CHECKING:
    from yuccarouter.gateway import state

# The limits that the users state, less the time in which a connection to an
# endpoint that was chosen before is opened.
LIMITS_S = {'endpoints': 2.0 - 0.4, 'state': 5.0}
# Calls that the users' store takes, of all daemons together.
STORE_CALLS_PER_S = 2000
# Of the largest deployment, and of the one that is played here.
MAX_DAEMONS = 400
DAEMONS = 68
# Until other daemons have become readers.
LOSS_S = 4.0
# The timers of the daemons have different phases.
START_INTERVAL_S = 0.05
# Several phases of the timers, which are 0.4 and 0.9 s long.
CALM_S = tuple(6 + 0.25 * step for step in range(4))


@attrs.define
class Link:
    """A daemon's access to the store, which may be cut off."""

    store: gateway_store.SilentStore
    is_cut: bool = False
    call_times_s: list[float] = attrs.field(factory=list)

    async def newest(self, topic: str) -> ports.Page:
        await self._begin_call()
        return await self.store.newest(topic)

    async def read(self, topic: str, offset: int, wait_ms: int) -> ports.Page:
        await self._begin_call()
        return await self.store.read(topic, offset, wait_ms)

    async def _begin_call(self) -> None:
        self.call_times_s.append(asyncio.get_running_loop().time())
        if self.is_cut:
            await asyncio.sleep(1.5)
            raise errors.UnavailableError('cut off')


@attrs.define(eq=False)
class Daemon:
    """The replicas of a daemon and their exchange with its peers."""

    name: str
    fleet: list[Daemon]
    link: Link
    data_centre: str = 'a'
    applied_s: dict[tuple[str, bytes], float] = attrs.field(factory=dict)
    replicas: list[topics.Topic] = attrs.field(factory=list)
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    gossip: peers.Gossip = attrs.field(init=False)
    is_reachable: bool = False
    is_hung: bool = False

    def start(self) -> None:
        """Start a process that knows the others."""
        applied = test_silent_store.Applied(self.applied_s)
        gateway = cast(
            'Any', test_silent_store.make_gateway(applied, self.name)
        )
        gateway.conf = attrs.evolve(
            make.conf(self.name), data_centre=self.data_centre
        )
        self.replicas = daemon.make_replicas(
            cast('state.Gateway', gateway), cast('ports.Store', self.link)
        )
        self.gossip = peers.Gossip(self._make_digest, lambda name, digest: None)
        self.gossip.transport = cast('Any', self)
        for index, other in enumerate(self.fleet):
            if other is not self:
                address = model.Address('127.0.0.1', index)
                self.gossip.add_member(other.name, address)
        daemon.share_reads(
            gateway,
            self.gossip,
            self.replicas,
            cast('aiohttp.ClientSession', self),
        )
        self.is_reachable = True
        self.is_hung = False
        self.tasks = [
            *(asyncio.create_task(each.follow()) for each in self.replicas),
            asyncio.create_task(self.gossip.run()),
        ]

    async def kill(self) -> None:
        """End the process; calls to it are reset."""
        self.is_reachable = False
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def freeze(self) -> None:
        """Suspend the process; calls to it are not answered."""
        await self.kill()
        self.is_reachable = True
        self.is_hung = True

    async def cut_from_store(self) -> None:
        self.link.is_cut = True

    async def cut_from_peers(self) -> None:
        """Let the process run on, so that its replicas stay current."""
        self.is_reachable = False
        self.is_hung = True

    @contextlib.asynccontextmanager
    async def get(
        self, url: str, params: dict[str, str], timeout: object
    ) -> AsyncIterator[Answer]:
        """Stand in for a client session in calls to peers."""
        port = int(url.partition('//')[2].partition('/')[0].partition(':')[2])
        peer = self.fleet[port]
        if peer.is_hung:
            await asyncio.sleep(0.8)
            raise TimeoutError
        if not peer.is_reachable:
            raise aiohttp.ClientConnectionError
        await asyncio.sleep(0.002)
        by_name = {each.name: each for each in peer.replicas}
        yield Answer(
            peers.records_document(
                by_name[params['topic']],
                int(params['from']),
                int(params['generation']),
            )
        )

    def sendto(self, payload: bytes, address: tuple[str, int]) -> None:
        """Stand in for the transport of digests."""
        peer = self.fleet[address[1]]
        if self.is_reachable and peer.is_reachable:
            index = self.fleet.index(self)
            peer.gossip.datagram_received(payload, ('127.0.0.1', index))

    def _make_digest(self) -> dict[str, Any]:
        return {
            'name': self.name,
            'data_centre': self.data_centre,
            'reads': [
                each.name for each in self.replicas if each.is_read_from_store
            ],
            **peers.encode_newest(self.replicas),
            'ages_ms': peers.encode_ages(self.replicas),
        }


@attrs.define
class Answer:
    """A peer's answer to a call for records."""

    document: dict[str, Any]

    async def read(self) -> bytes:
        return orjson.dumps(self.document)


Lose = Callable[[Daemon], Any]
LOSSES: dict[str, Lose] = {
    'die': Daemon.kill,
    'freeze': Daemon.freeze,
    'lose the store': Daemon.cut_from_store,
    'lose their peers': Daemon.cut_from_peers,
}
CHANGES = {
    'drains': ('endpoints', 'e1', b'draining'),
    'is gone': ('endpoints', 'e1', b''),
    'comes': ('endpoints', 'e9', b'new'),
    'state': ('state', 'phase', b'new'),
}


def make_fleet(names: tuple[str, ...]) -> list[Daemon]:
    """Return daemons of one store; names begin with their data centre."""
    store = gateway_store.SilentStore()
    for topic in ('orders', 'endpoints', 'state'):
        for key in ('e1', 'e2'):
            store.write(topic, key, b'1')
    fleet: list[Daemon] = []
    for name in names:
        fleet.append(Daemon(name, fleet, Link(store), name[0]))
    return fleet


async def change_around_a_loss(
    names: tuple[str, ...],
    lose: Lose,
    change: tuple[str, str, bytes],
    calm_s: float,
    loss_after_s: float,
) -> float:
    """Return how long after it the change applies at the last daemon.

    The first two daemons are lost ``loss_after_s`` after the change, or before
    it if that is negative.
    """
    loop = asyncio.get_running_loop()
    fleet = make_fleet(names)
    for each in fleet:
        each.start()
        await asyncio.sleep(START_INTERVAL_S)
    await asyncio.sleep(calm_s)
    topic, key, content = change
    store = fleet[0].link.store
    if loss_after_s < 0:
        for reader in fleet[:2]:
            await lose(reader)
        await asyncio.sleep(-loss_after_s)
    store.write(topic, key, content)
    changed_s = loop.time()
    if loss_after_s >= 0:
        await asyncio.sleep(loss_after_s)
        for reader in fleet[:2]:
            await lose(reader)
    await asyncio.sleep(8)
    for each in fleet:
        await each.kill()
    applied_s = [each.applied_s[topic, content] for each in fleet[2:]]
    return max(applied_s) - changed_s


@pytest.mark.parametrize('change', CHANGES.values(), ids=CHANGES)
@pytest.mark.parametrize('lose', LOSSES.values(), ids=LOSSES)
@pytest.mark.parametrize(
    'names',
    [('a1', 'a2', 'a3'), ('a1', 'a2', 'a3', 'a4'), ('a1', 'a2', 'a3', 'b1')],
    ids=','.join,
)
def test_change_while_readers_are_lost(
    monkeypatch: pytest.MonkeyPatch,
    names: tuple[str, ...],
    lose: Lose,
    change: tuple[str, str, bytes],
) -> None:
    """Guards against daemons that take the silence of a reader for no change.

    Requests reached endpoints for up to 2.8 s after these began to drain.
    """
    random.seed(1)
    late = []
    for calm_s in CALM_S:
        for loss_after_s in (-0.6, 0.05, 0.25):
            loop = virtual_time.VirtualTimeLoop()
            test_silent_store.use_clock_of(loop, monkeypatch)
            applied_s = loop.run_until_complete(
                change_around_a_loss(names, lose, change, calm_s, loss_after_s)
            )
            loop.close()
            if applied_s > LIMITS_S[change[0]]:
                late.append((calm_s, loss_after_s, round(applied_s, 2)))
    assert late == []


async def calls_after_a_loss(count: int) -> list[float]:
    """Return the times of a data centre's calls after it lost its readers."""
    fleet = make_fleet(tuple(f'a{number:03}' for number in range(count)))
    for each in fleet:
        each.start()
        await asyncio.sleep(START_INTERVAL_S)
    await asyncio.sleep(10)
    lost_s = asyncio.get_running_loop().time()
    for reader in fleet[:2]:
        await reader.kill()
    await asyncio.sleep(LOSS_S)
    for each in fleet:
        await each.kill()
    return [
        time_s
        for each in fleet
        for time_s in each.link.call_times_s
        if time_s >= lost_s
    ]


def test_calls_when_readers_are_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against more calls than the store takes when readers are lost.

    All daemons of a data centre take over at once.
    """
    random.seed(1)
    loop = virtual_time.VirtualTimeLoop()
    test_silent_store.use_clock_of(loop, monkeypatch)
    times_s = loop.run_until_complete(calls_after_a_loss(DAEMONS))
    loop.close()
    most = max(
        sum(from_s <= time_s < from_s + 1 for time_s in times_s)
        for from_s in times_s
    )
    assert most <= STORE_CALLS_PER_S / MAX_DAEMONS * DAEMONS
