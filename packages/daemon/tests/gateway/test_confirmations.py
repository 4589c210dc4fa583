"""Tests of what counts as a confirmation that a replica is complete."""

from __future__ import annotations

import asyncio
import random

import attrs
import gateway_store
import pytest
import test_lost_readers
import test_silent_store

from yuccarouter.gateway import ports, topics
from yuccarouter_testkit import virtual_time

TOPICS = ('orders', 'endpoints', 'state')
# Reads last up to 9.5 s, so that some of them end while a later call is open.
MAX_OUTAGE_S = 5.0
MAX_CALM_S = 9.0
OUTAGES = 4
SAMPLE_INTERVAL_S = 0.05
SEEDS = range(24)
# The longest pause between calls that fail, and the call.
MAX_RETURN_S = 1.1


def false_confirmations(
    fleet: list[test_lost_readers.Daemon], store: gateway_store.BrokenOffStore
) -> set[tuple[str, str]]:
    """Return who claims to hold a topic's records though one is missing."""
    found = set()
    for daemon in fleet:
        for topic in daemon.replicas:
            at_s = topic.newest_confirmation().at_ms / 1000
            lacking = store.written_s[topic.name][
                topic.table.newest_offset + 1 :
            ]
            if any(written_s < at_s for written_s in lacking):
                found.add((daemon.name, topic.name))
    return found


async def write_records(
    store: gateway_store.BrokenOffStore, rng: random.Random
) -> None:
    """Write to a topic now and then while the store is there."""
    while True:
        await asyncio.sleep(rng.choice((0.05, 0.5, 3)))
        if not store.is_away:
            store.write(rng.choice(TOPICS), 'config', b'new')


async def play_outages(
    endings: tuple[str, ...], seed: int
) -> set[tuple[str, str]]:
    """Return the false confirmations of a fleet around several outages."""
    rng = random.Random(seed)
    random.seed(seed)
    store = gateway_store.BrokenOffStore(endings=endings, rng=rng)
    for name in TOPICS:
        store.write(name, 'config', b'1')
    fleet: list[test_lost_readers.Daemon] = []
    for name in ('a1', 'a2', 'b1'):
        link = test_lost_readers.Link(store)
        fleet.append(test_lost_readers.Daemon(name, fleet, link, name[0]))
    for daemon in fleet:
        daemon.start()
        await asyncio.sleep(rng.uniform(0, 0.5))
    writing = asyncio.create_task(write_records(store, rng))
    found: set[tuple[str, str]] = set()
    now_s = asyncio.get_running_loop().time
    for _ in range(OUTAGES):
        store.silent_from_s = now_s() + rng.uniform(0, MAX_CALM_S)
        outage_s = rng.uniform(0, MAX_OUTAGE_S)
        store.silent_until_s = store.silent_from_s + outage_s
        while now_s() < store.silent_until_s + 1:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            found |= false_confirmations(fleet, store)
    writing.cancel()
    for daemon in fleet:
        await daemon.kill()
    return found


@pytest.mark.parametrize(
    'endings',
    [
        ('unanswered',),
        ('broken off',),
        ('unanswered', 'broken off'),
    ],
    ids=' or '.join,
)
def test_no_replica_is_confirmed_without_an_answer(
    monkeypatch: pytest.MonkeyPatch, endings: tuple[str, ...]
) -> None:
    """Guards against a daemon that calls an old configuration current.

    Its claim, which peers believe, must stand for an answer of the store.
    """
    false: dict[int, set[tuple[str, str]]] = {}
    for seed in SEEDS:
        loop = virtual_time.VirtualTimeLoop()
        test_silent_store.use_clock_of(loop, monkeypatch)
        found = loop.run_until_complete(play_outages(endings, seed))
        loop.close()
        if found:
            false[seed] = found
    assert not false


@attrs.define
class EarlyStore(gateway_store.MemoryStore):
    """A store that ends waiting reads early, and whose answers come late."""

    answered_after_s: float = 0
    delivered_after_s: float = 0

    async def read(self, topic: str, offset: int, wait_ms: int) -> ports.Page:
        """Return an answer of ``answered_after_s`` at a later time."""
        wait_s = wait_ms / 1000
        await asyncio.sleep(min(wait_s, self.answered_after_s))
        page = await super().read(topic, offset, wait_ms)
        await asyncio.sleep(min(wait_s, self.delivered_after_s))
        return page


@pytest.mark.parametrize(
    ('answered_after_s', 'delivered_after_s', 'confirmed_s'),
    [
        # The whole wait: the store had no record at its end.
        (8, 0, 8),
        (8, 3, 8),
        # Part of it: at some time since the read began, perhaps at once.
        (2, 0, 0),
        (0, 2, 0),
    ],
)
def test_empty_answer_of_a_waiting_read(
    monkeypatch: pytest.MonkeyPatch,
    answered_after_s: float,
    delivered_after_s: float,
    confirmed_s: float,
) -> None:
    """Guards against an answer that confirms a time after it was given.

    It may have been held back on its way while records were written.
    """
    loop = virtual_time.VirtualTimeLoop()
    test_silent_store.use_clock_of(loop, monkeypatch)
    store = EarlyStore(
        answered_after_s=answered_after_s, delivered_after_s=delivered_after_s
    )
    store.write('orders', 'config', b'1')
    topic = topics.Topic('orders', store, lambda _: None, lambda _: None)

    async def confirmed_after_s() -> float:
        following = asyncio.create_task(topic.follow())
        await asyncio.sleep(0.005)
        loaded_ms = topic.confirmation.at_ms
        began_s = loop.time()
        while topic.confirmation.at_ms == loaded_ms:
            await asyncio.sleep(0.01)
            if loop.time() > began_s + 12:
                break
        following.cancel()
        return topic.confirmation.at_ms / 1000 - began_s

    found_s = loop.run_until_complete(confirmed_after_s())
    loop.close()
    assert found_s == pytest.approx(confirmed_s, abs=0.05)


@pytest.mark.parametrize('topic_name', TOPICS)
@pytest.mark.parametrize('outage_s', [0.3, 0.6, 0.9])
def test_return_of_a_store_that_refused_calls(
    monkeypatch: pytest.MonkeyPatch, topic_name: str, outage_s: float
) -> None:
    """Guards against a daemon that counts the store as lost after its return.

    Its first call after an outage was one that waits for the next record.
    """
    loop = virtual_time.VirtualTimeLoop()
    test_silent_store.use_clock_of(loop, monkeypatch)
    random.seed(1)

    async def regained_after_s() -> float:
        rng = random.Random(1)
        store = gateway_store.BrokenOffStore(endings=('refused',), rng=rng)
        for name in TOPICS:
            store.write(name, 'config', b'1')
        fleet: list[test_lost_readers.Daemon] = []
        link = test_lost_readers.Link(store)
        fleet.append(test_lost_readers.Daemon('a1', fleet, link))
        fleet[0].start()
        await asyncio.sleep(3.1)
        store.silent_from_s = loop.time()
        store.silent_until_s = loop.time() + outage_s
        await asyncio.sleep(outage_s)
        by_name = {topic.name: topic for topic in fleet[0].replicas}
        while by_name[topic_name].is_failing:
            await asyncio.sleep(0.01)
        await fleet[0].kill()
        return loop.time() - store.silent_until_s

    assert loop.run_until_complete(regained_after_s()) <= MAX_RETURN_S
    loop.close()
