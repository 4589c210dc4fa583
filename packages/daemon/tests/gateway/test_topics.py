"""Tests of following a topic of the store."""

from __future__ import annotations

import asyncio
import contextlib

import gateway_makers as make
import gateway_store
import pytest

from yuccarouter.gateway import ports, topics

TOPIC = 't'


def follow(
    store: gateway_store.MemoryStore,
) -> tuple[topics.Topic, list[tuple[str, bytes]]]:
    seen: list[tuple[str, bytes]] = []
    topic = topics.Topic(
        TOPIC,
        store,
        lambda entry: seen.append((entry.key, entry.value)),
        lambda away_ms: seen.append(('regained', b'')),
    )
    return topic, seen


async def read(topic: topics.Topic, times: int = 1) -> None:
    """Read as often as told, with the failures that ``follow`` bears."""
    for _ in range(times):
        task = asyncio.create_task(topic.follow())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def test_reads_newest_then_what_follows() -> None:
    """Guards against records that are missed between both readings."""
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    topic, seen = follow(store)
    await read(topic)
    store.write(TOPIC, 'a', b'2')
    store.write(TOPIC, 'b', b'1')
    await read(topic)
    assert seen == [('a', b'1'), ('a', b'2'), ('b', b'1')]


async def test_forgotten_history() -> None:
    """Guards against keeping what was removed while records were missed."""
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    store.write(TOPIC, 'b', b'1')
    topic, seen = follow(store)
    await read(topic)
    store.write(TOPIC, 'a', b'')
    store.write(TOPIC, 'b', b'2')
    store.first_offset = 4
    await read(topic, 2)
    assert seen[2:] == [('a', b''), ('b', b'2')]


async def test_stale_newest_records() -> None:
    """Guards against a stale reading that hides a record for good."""
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    store.write(TOPIC, 'b', b'1')
    topic, seen = follow(store)
    await read(topic)
    store.hidden = 1
    topic.is_loaded = False
    await read(topic)
    store.hidden = 0
    await read(topic)
    assert seen[2:] == [('b', b''), ('b', b'1')]


async def test_older_records_of_peers_change_nothing() -> None:
    """Guards against going back to an older configuration."""
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    store.write(TOPIC, 'a', b'2')
    topic, seen = follow(store)
    await read(topic)
    topic.merge([ports.Entry('a', b'1', 0), ports.Entry('a', b'2', 1)])
    assert seen == [('a', b'2')]
    topic.merge([ports.Entry('a', b'3', 2)])
    assert seen[-1] == ('a', b'3')


@pytest.mark.parametrize('started_before', [True, False])
async def test_contact_lost_and_regained(
    clock: make.Clock, started_before: bool
) -> None:
    """Guards against a start while the store is away, which ended the process.

    The time of the loss is not known then.
    """
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    topic, seen = follow(store)
    if started_before:
        await read(topic)
    store.faults = ['away']
    await read(topic)
    assert topic.is_failing
    clock.now_ms += 4000
    await read(topic, 2)
    assert not topic.is_failing
    assert ('regained', b'') in seen
    assert ('a', b'1') in seen


async def test_removals_that_a_peer_knows() -> None:
    """Guards against using an endpoint that a peer saw leave in a full reading.

    Seen as DRAIN on hunt-0068-7 of a grown deployment: records that a full
    reading lacks have no offset that a peer would ask for.
    """
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    store.write(TOPIC, 'b', b'1')
    topic, seen = follow(store)
    await read(topic)
    topic.merge([ports.Entry('c', b'1', 2)], frozenset(('b', 'c')), 2)
    assert seen[2:] == [('a', b''), ('c', b'1')]
    # What is newer than all that the peer has read stays.
    topic.merge([ports.Entry('d', b'1', 7)], frozenset('d'), 1)
    assert 'c' in {
        key for key, entry in topic.table.entries.items() if entry.value
    }


async def test_refused_calls_become_fewer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a daemon that asks a store which turns it away.

    On a day of 68 daemons two thirds of all calls were of this kind.
    """
    store = gateway_store.MemoryStore()
    store.faults = ['away'] * 100
    topic, _ = follow(store)
    pauses_s: list[float] = []
    sleep = asyncio.sleep

    async def note(pause_s: float) -> None:
        pauses_s.append(pause_s)
        await sleep(0)

    monkeypatch.setattr(topics.asyncio, 'sleep', note)
    task = asyncio.create_task(topic.follow())
    while len(pauses_s) < 30:
        await sleep(0)
    task.cancel()
    assert max(pauses_s) <= 1.8
    assert sum(pauses_s) > 15


@pytest.mark.parametrize(
    ('first_fails', 'failed_before_ms', 'is_read'),
    [
        (True, 400, False),
        (False, 400, True),
        # The first topic alone may be out of order.
        (True, 5000, True),
    ],
)
async def test_one_topic_shows_that_the_store_is_back(
    clock: make.Clock,
    first_fails: bool,
    failed_before_ms: float,
    is_read: bool,
) -> None:
    """Guards against a refused call for each topic instead of one."""
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    first, _ = follow(store)
    first.is_failing = first_fails
    topic, seen = follow(store)
    topic.first = first
    topic.is_failing = True
    topic.failed_ms = clock.now_ms - failed_before_ms
    await read(topic)
    assert (('a', b'1') in seen) is is_read
