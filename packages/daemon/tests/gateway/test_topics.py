"""Tests of the replica of a store's topic."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
import operator
from collections.abc import Callable

import gateway_makers as make
import gateway_store
import pytest

from yuccarouter.gateway import confirmations, ports, topics

TOPIC = 't'


def follow(
    store: gateway_store.MemoryStore,
) -> tuple[topics.Topic, list[tuple[str, bytes]]]:
    changes: list[tuple[str, bytes]] = []
    topic = topics.Topic(
        TOPIC,
        store,
        lambda entry: changes.append((entry.key, entry.value)),
        lambda outage_ms: changes.append(('reconnected', b'')),
    )
    return topic, changes


async def read(topic: topics.Topic, times: int = 1) -> None:
    """Run ``follow`` for the given number of reads, failed ones included."""
    for _ in range(times):
        task = asyncio.create_task(topic.follow())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def test_load_then_new_records() -> None:
    """Guards against records that are missed after the first load."""
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    topic, changes = follow(store)
    await read(topic)
    store.write(TOPIC, 'a', b'2')
    store.write(TOPIC, 'b', b'1')
    await read(topic)
    assert changes == [('a', b'1'), ('a', b'2'), ('b', b'1')]


async def test_compacted_tombstones() -> None:
    """Guards against removed keys that stay after compaction.

    Their tombstones were compacted before this daemon read them.
    """
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    store.write(TOPIC, 'b', b'1')
    topic, changes = follow(store)
    await read(topic)
    store.write(TOPIC, 'a', b'')
    store.write(TOPIC, 'b', b'2')
    store.first_offset = 4
    await read(topic, 2)
    assert changes[2:] == [('a', b''), ('b', b'2')]


async def test_stale_load() -> None:
    """Guards against a stale answer that removes a newer record."""
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    store.write(TOPIC, 'b', b'1')
    topic, changes = follow(store)
    await read(topic)
    store.hidden = 1
    topic.is_loaded = False
    await read(topic)
    store.hidden = 0
    await read(topic)
    assert changes[2:] == []


@pytest.mark.parametrize(
    ('key', 'known', 'expected'),
    [
        # A peer had a record that was written after the load's answer.
        ('b', b'new', []),
        # The record was removed before the answer.
        ('a', b'1', [('a', b'')]),
    ],
)
async def test_load_that_is_older_than_what_is_known(
    key: str, known: bytes, expected: list[tuple[str, bytes]]
) -> None:
    """Guards against an evacuation that ends as an older answer lacks it.

    A peer's records come while a load is on its way.
    """
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    topic, changes = follow(store)
    await read(topic)
    store.write(TOPIC, 'a', b'')
    topic.merge([ports.Entry('b', b'new', 2)], frozenset(('a', 'b')), 2)
    changes.clear()
    topic.is_loaded = False
    await read(topic)
    removed = [change for change in changes if change[0] == key]
    assert topic.table.entries[key].value == (b'' if expected else known)
    assert removed == expected


async def test_older_records_of_peers_change_nothing() -> None:
    """Guards against a peer that brings back an older configuration."""
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    store.write(TOPIC, 'a', b'2')
    topic, changes = follow(store)
    await read(topic)
    topic.merge([ports.Entry('a', b'1', 0), ports.Entry('a', b'2', 1)])
    assert changes == [('a', b'2')]
    topic.merge([ports.Entry('a', b'3', 2)])
    assert changes[-1] == ('a', b'3')


@pytest.mark.parametrize('started_before', [True, False])
async def test_reconnection_after_an_outage(
    clock: make.Clock, started_before: bool
) -> None:
    """Guards against a crash at a start during an outage of the store.

    The time of the last contact is unknown then.
    """
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    topic, changes = follow(store)
    if started_before:
        await read(topic)
    store.faults = ['away']
    await read(topic)
    assert topic.is_failing
    clock.now_ms += 4000
    await read(topic, 2)
    assert not topic.is_failing
    assert ('reconnected', b'') in changes
    assert ('a', b'1') in changes


async def test_removals_from_a_peer() -> None:
    """Guards against requests to endpoints that a peer knows to be removed.

    The peer found that a full load lacked their records. Such removals have no
    offset that another daemon would ask for, so that it kept the endpoints.
    It was seen as DRAIN on hunt-0068-7 of a grown deployment.
    """
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    store.write(TOPIC, 'b', b'1')
    topic, changes = follow(store)
    await read(topic)
    topic.merge([ports.Entry('c', b'1', 2)], frozenset(('b', 'c')), 2)
    assert changes[2:] == [('a', b''), ('c', b'1')]
    # A record that is newer than all that the peer has read is kept.
    topic.merge([ports.Entry('d', b'1', 7)], frozenset('d'), 1)
    assert 'c' in {
        key for key, entry in topic.table.entries.items() if entry.value
    }


async def test_retry_delay_grows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against frequent retries while the store refuses calls.

    With 68 daemons, two thirds of a day's calls were refused ones.
    """
    store = gateway_store.MemoryStore()
    store.faults = ['away'] * 100
    topic, _ = follow(store)
    pauses_s: list[float] = []
    sleep = asyncio.sleep

    async def record_pause(pause_s: float) -> None:
        pauses_s.append(pause_s)
        await sleep(0)

    monkeypatch.setattr(topics.asyncio, 'sleep', record_pause)
    task = asyncio.create_task(topic.follow())
    while len(pauses_s) < 30:
        await sleep(0)
    task.cancel()
    assert max(pauses_s) <= 1.8
    assert sum(pauses_s) > 15


@pytest.mark.parametrize(
    ('probe_fails', 'last_failure_age_ms', 'is_read'),
    [
        (True, 400, False),
        (False, 400, True),
        # Perhaps only the probe topic can't be read.
        (True, 5000, True),
    ],
)
async def test_only_the_probe_topic_is_retried(
    clock: make.Clock,
    probe_fails: bool,
    last_failure_age_ms: float,
    is_read: bool,
) -> None:
    """Guards against retries of every topic during an outage.

    Retries of the probe topic are enough to notice its end.
    """
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    probe, _ = follow(store)
    probe.is_failing = probe_fails
    topic, changes = follow(store)
    topic.probe = probe
    topic.is_failing = True
    topic.last_failure_ms = clock.now_ms - last_failure_age_ms
    await read(topic)
    assert (('a', b'1') in changes) is is_read


async def test_restored_store() -> None:
    """Guards against newer records that are ignored after a restore.

    The restored store gives out the offsets of the lost records again.
    """
    store = gateway_store.MemoryStore()
    for value in (b'1', b'2', b'3'):
        store.write(TOPIC, 'a', value)
    topic, changes = follow(store)
    await read(topic)
    store.restore(TOPIC, 1)
    store.write(TOPIC, 'a', b'4')
    await read(topic, 2)
    store.write(TOPIC, 'a', b'5')
    await read(topic)
    assert [value for _, value in changes][-2:] == [b'4', b'5']


async def test_lost_records_are_kept_for_a_while(clock: make.Clock) -> None:
    """Guards against orders that end with a restore, and that stay for ever.

    Their writers write them again a moment later; one of them does not.
    """
    store = gateway_store.MemoryStore()
    for key in 'abc':
        store.write(TOPIC, key, b'1')
    topic, changes = follow(store)
    topic.rewrite_grace_ms = 2000
    await read(topic)
    store.restore(TOPIC, 1)
    await read(topic, 2)
    store.write(TOPIC, 'b', b'1')
    clock.now_ms += 1900
    await read(topic)
    assert ('c', b'') not in changes
    clock.now_ms += 200
    await read(topic, 2)
    assert [change for change in changes if not change[1]] == [('c', b'')]
    assert topic.grace_end_ms is None


@pytest.mark.parametrize(
    ('confirmed_ms_ago', 'age_ms'),
    [(300, 300), (7000, 5000), (math.inf, 5000)],
)
@pytest.mark.parametrize('source', ['read', 'peer'])
async def test_age_of_records_in_a_confirmed_replica(
    monkeypatch: pytest.MonkeyPatch,
    clock: make.Clock,
    source: str,
    confirmed_ms_ago: float,
    age_ms: float,
) -> None:
    """Guards against logs and metrics that call timely changes old.

    A daemon whose replica peers confirm makes no calls of its own for seconds.
    """
    ages: list[tuple[str, float]] = []
    monkeypatch.setattr(
        topics.metrics,
        'observe_record_age',
        lambda _, source, age_ms: ages.append((source, age_ms)),
    )
    store = gateway_store.MemoryStore()
    store.write(TOPIC, 'a', b'1')
    topic, _ = follow(store)
    await read(topic)
    clock.now_ms += 5000
    confirmation = confirmations.Confirmation(
        clock.now_ms - confirmed_ms_ago, 'd2'
    )
    topic.confirmed_by_peers = lambda _: confirmation
    if source == 'peer':
        topic.merge([ports.Entry('a', b'2', 1)])
    else:
        store.write(TOPIC, 'a', b'2')
        await read(topic)
    assert ages == [(source, age_ms)]


class WaitingStore(gateway_store.MemoryStore):
    """A store whose reads wait until ``arrive`` is called."""

    def __init__(self) -> None:
        super().__init__()
        self._arrival: asyncio.Future[None] | None = None

    async def read(self, topic: str, offset: int, wait_ms: int) -> ports.Page:
        self._arrival = asyncio.get_running_loop().create_future()
        await self._arrival
        return await super().read(topic, offset, 0)

    @property
    def is_asked(self) -> bool:
        return self._arrival is not None and not self._arrival.done()

    def arrive(self, value: bytes) -> None:
        """Write a record, whose answer the event loop receives in this turn."""
        assert self._arrival is not None
        self.write(TOPIC, 'a', value)
        self._arrival.set_result(None)


async def turns_until(is_done: Callable[[], bool]) -> int:
    """Return the number of turns of the loop until something is done."""
    for turn in range(100):
        if is_done():
            return turn
        await asyncio.sleep(0)
    raise AssertionError('not done')


@pytest.mark.parametrize(
    ('since_page_ms', 'is_paused'), [(1000, False), (150, True)]
)
async def test_turns_from_one_change_to_the_next(
    clock: make.Clock, since_page_ms: float, is_paused: bool
) -> None:
    """Guards against reads that take more turns than their steps need.

    In a busy process, each turn of the event loop takes long. The next read
    begins at once, unless the page before came a moment ago.
    """
    store = WaitingStore()
    topic, changes = follow(store)
    topic.max_age_ms = 3000
    following = asyncio.create_task(topic.follow())
    for number in (1, 2):
        await turns_until(lambda: store.is_asked)
        clock.now_ms += since_page_ms
        store.arrive(b'%d' % number)
        is_applied = functools.partial(
            operator.contains, changes, ('a', b'%d' % number)
        )
        assert await turns_until(is_applied) <= 3
    if is_paused:
        await asyncio.sleep(0.01)
        assert not store.is_asked
    else:
        assert await turns_until(lambda: store.is_asked) <= 2
    following.cancel()
    await asyncio.wait((following,))
