"""Tests of what counts as a confirmation that a replica is complete."""

from __future__ import annotations

import asyncio
import random

import gateway_store
import pytest
import test_lost_readers
import test_silent_store

from yuccarouter_testkit import virtual_time

TOPICS = ('orders', 'endpoints', 'state')
# Reads last up to 9.5 s, so that some of them end while a later call is open.
MAX_OUTAGE_S = 5.0
MAX_CALM_S = 9.0
OUTAGES = 4
SAMPLE_INTERVAL_S = 0.05
SEEDS = range(24)


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
