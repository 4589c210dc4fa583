"""Tests of when changes are in force around a silence of the store."""

from __future__ import annotations

import asyncio
import contextlib
import random
import types
from typing import TYPE_CHECKING, cast

import attrs
import gateway_makers as make
import gateway_store
import orjson
import pytest

from yuccarouter.gateway import daemon, model, peers, ports, state, topics
from yuccarouter_common import clocks, loop_threads
from yuccarouter_testkit import virtual_time

if TYPE_CHECKING:
    import aiohttp

# The limits that the users state for their deployments: the time from the
# confirmation of a change to its use, for operators' orders, for endpoints that
# drain, and for the end of a bad roll-out, which is in the shared state.
LIMITS_S = {'orders': 2.0, 'endpoints': 2.0, 'state': 5.0}
# They hold from this time after trouble of the store on.
CONTACT_S = 3.0
TOPICS = ports.Topics('orders', 'endpoints', 'state')


@attrs.define
class Applied:
    """When each value was first applied, by topic."""

    times_s: dict[tuple[str, bytes], float] = attrs.field(factory=dict)

    def note(self, topic: str, entry: ports.Entry) -> None:
        now_s = asyncio.get_running_loop().time()
        self.times_s.setdefault((topic, entry.value), now_s)


def make_gateway(applied: Applied, name: str = 'd1') -> state.Gateway:
    """Return what the replicas need of a daemon's state."""
    gateway = types.SimpleNamespace(
        conf=make.conf(name),
        platform=types.SimpleNamespace(topics=TOPICS),
        gossip=None,
        schedule=loop_threads.call_now,
        apply_operator_record=lambda entry: applied.note('orders', entry),
        apply_endpoint_record=lambda entry: applied.note('endpoints', entry),
        apply_state_record=lambda entry: applied.note('state', entry),
        directory=types.SimpleNamespace(on_store_reconnected=lambda _: None),
    )
    return cast('state.Gateway', gateway)


async def follow(store: ports.Store, applied: Applied) -> None:
    """Follow all topics of a daemon."""
    async with asyncio.TaskGroup() as tasks:
        for topic in daemon.make_replicas(make_gateway(applied), store):
            tasks.create_task(topic.follow())


Fleet = list[tuple[list[topics.Topic], peers.Gossip]]


def make_fleet(store: ports.Store, names: tuple[str, ...]) -> Fleet:
    """Return daemons of one data centre that know each other."""
    address = model.Address('127.0.0.1', 1)
    session = cast('aiohttp.ClientSession', None)
    fleet = []
    for name in names:
        gateway = make_gateway(Applied(), name)
        replicas = daemon.make_replicas(gateway, store)
        gossip = peers.Gossip(dict, lambda name, digest: None)
        for other in set(names) - {name}:
            gossip.add_member(other, address)
        daemon.share_reads(gateway, gossip, replicas, session)
        fleet.append((replicas, gossip))
    return fleet


async def exchange_digests(fleet: Fleet) -> None:
    """Give each daemon the digests of the others in each interval."""
    while True:
        digests = [
            orjson.dumps(
                {
                    'name': f'd{number}',
                    'data_centre': 'a',
                    'reads': [
                        topic.name
                        for topic in replicas
                        if topic.is_read_from_store
                    ],
                    **peers.encode_newest(replicas),
                    'ages_ms': peers.encode_ages(replicas),
                }
            )
            for number, (replicas, _) in enumerate(fleet, start=1)
        ]
        for number, (_, gossip) in enumerate(fleet):
            for digest in digests[:number] + digests[number + 1 :]:
                gossip.datagram_received(digest, ('127.0.0.1', 1))
        await asyncio.sleep(0.4)


def use_clock_of(
    loop: virtual_time.VirtualTimeLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Let the monotonic clocks show the time of a loop."""
    for name in ('monotonic_ms', 'boot_ms'):
        monkeypatch.setattr(clocks, name, lambda: loop.time() * 1000)


async def change_around_a_silence(
    topic: str, before_s: float, silence_s: float, after_s: float
) -> float:
    """Return how long after the end of the silence the second change applies.

    The first change comes ``before_s`` before the silence, the second one
    ``after_s`` after its end.
    """
    loop = asyncio.get_running_loop()
    applied = Applied()
    store = gateway_store.SilentStore()
    for name in ('orders', 'endpoints', 'state'):
        store.write(name, 'config', b'1')
    following = asyncio.create_task(follow(store, applied))
    await asyncio.sleep(3.3)
    store.silent_from_s = loop.time() + before_s
    store.silent_until_s = store.silent_from_s + silence_s
    store.write(topic, 'config', b'2')
    await asyncio.sleep(before_s + silence_s + after_s)
    store.write(topic, 'config', b'3')
    await asyncio.sleep(20)
    following.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await following
    return applied.times_s[topic, b'3'] - store.silent_until_s


@pytest.mark.parametrize('topic', ['orders', 'endpoints', 'state'])
@pytest.mark.parametrize('silence_s', [0.5, 1.5, 4, 12])
def test_change_after_a_silence_of_the_store(
    monkeypatch: pytest.MonkeyPatch, topic: str, silence_s: float
) -> None:
    """Guards against changes that wait for a read which is never answered.

    It began while the store was silent. The users saw requests handled by an
    older configuration for eight seconds after a change.
    """
    random.seed(f'{topic}/{silence_s}')
    late = []
    for step in range(20):
        before_s = 0.02 * step
        for after_s in (0.3, 1.5):
            loop = virtual_time.VirtualTimeLoop()
            use_clock_of(loop, monkeypatch)
            applied_s = loop.run_until_complete(
                change_around_a_silence(topic, before_s, silence_s, after_s)
            )
            loop.close()
            if applied_s > max(after_s + LIMITS_S[topic], CONTACT_S):
                late.append((before_s, after_s, round(applied_s, 2)))
    assert not late


@pytest.mark.parametrize(
    ('names', 'expected_calls'),
    [
        # Each daemon checks its orders after 1 s and its state after 2.5 s,
        # beside reads of 8 s and those of the endpoints' topic.
        (('d1',), 66 + 60 + 24 + 2 * 7),
        # One of them checks for all: the others hear of it in each interval.
        # Two read the endpoints' topic and the shared state for the others.
        (('d1', 'd2', 'd3', 'd4'), 2 * (66 + 7) + 4 * 7 + 60 + 24),
    ],
)
def test_calls_while_nothing_changes(
    monkeypatch: pytest.MonkeyPatch,
    names: tuple[str, ...],
    expected_calls: int,
) -> None:
    """Guards against calls of each daemon for what one of them can tell.

    Calls to the store are limited and charged, and there may be hundreds of
    daemons.
    """
    loop = virtual_time.VirtualTimeLoop()
    use_clock_of(loop, monkeypatch)
    store = gateway_store.SilentStore()
    for topic in ('orders', 'endpoints', 'state'):
        store.write(topic, 'config', b'1')

    async def scenario() -> None:
        fleet = make_fleet(store, names)
        async with asyncio.TaskGroup() as tasks:
            running = [
                *(
                    tasks.create_task(topic.follow())
                    for replicas, _ in fleet
                    for topic in replicas
                ),
                tasks.create_task(exchange_digests(fleet)),
            ]
            await asyncio.sleep(60)
            for task in running:
                task.cancel()

    loop.run_until_complete(scenario())
    loop.close()
    assert store.calls == pytest.approx(expected_calls, rel=0.06)
