"""Tests of the stored copies of endpoints' rate limits."""

from __future__ import annotations

import attrs
import gateway_makers as make
import gateway_store
import pytest

from yuccarouter.gateway import rate_limit_records, rate_limits, topics

ENDPOINT = 'e1'
KEY = f'rate_limit/{ENDPOINT}'


@attrs.define
class Daemon:
    """A daemon's limits with their records; ``starts`` are the endpoints'."""

    store: gateway_store.MemoryStore
    rank: int = 0
    starts: dict[str, int] = attrs.field(factory=lambda: {ENDPOINT: 1})
    limits: rate_limits.RateLimits = attrs.field(init=False)
    topic: topics.Topic = attrs.field(init=False)
    records: rate_limit_records.RateLimitRecords = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the parts."""
        self.limits = rate_limits.RateLimits(
            f'd{self.rank}', self.starts.get, tuple
        )
        self.topic = topics.Topic(
            'state', self.store, lambda entry: None, lambda outage_ms: None
        )
        self.topic.is_loaded = True
        self.records = rate_limit_records.RateLimitRecords(
            self.limits, self.store, self.topic, lambda: self.rank
        )

    async def step(self) -> None:
        """Read the topic, then read and write the records."""
        page = await self.store.read('state', 0, 0)
        self.topic.merge(list(page.entries))
        self.records.read()
        await self.records.write()

    def answer(self, clock: make.Clock, per_s: float | None) -> None:
        """Record an answer to a request that was just sent."""
        clock.now_ms += 2
        self.limits.record_answer(
            ENDPOINT,
            per_s=per_s,
            sent_ms=clock.now_ms - 1,
            now_ms=clock.now_ms,
        )


async def advance(
    clock: make.Clock, daemons: list[Daemon], elapsed_ms: float
) -> None:
    end_ms = clock.now_ms + elapsed_ms
    while clock.now_ms < end_ms:
        clock.now_ms += 100
        for daemon in daemons:
            await daemon.step()


def daemons_of(store: gateway_store.MemoryStore) -> list[Daemon]:
    return [Daemon(store, rank) for rank in range(3)]


async def test_restarted_daemon_knows_the_limit(clock: make.Clock) -> None:
    """Guards against a limit that is forgotten when all daemons restart."""
    store = gateway_store.MemoryStore()
    daemons = daemons_of(store)
    for daemon in daemons:
        daemon.answer(clock, 1.5)
    await advance(clock, daemons, 2000)
    assert store.appends == 1
    restarted = Daemon(store, 2)
    await restarted.step()
    assert restarted.limits.message() == {ENDPOINT: (1, 1, 1.5)}
    assert restarted.limits.exhausted(clock.now_ms)


async def test_end_of_a_limit_is_stored(clock: make.Clock) -> None:
    """Guards against a restart that brings back a limit that has ended."""
    store = gateway_store.MemoryStore()
    daemons = daemons_of(store)
    daemons[1].answer(clock, 1)
    await advance(clock, daemons, 2000)
    daemons[1].answer(clock, None)
    await advance(clock, daemons, 2000)
    restarted = Daemon(store, 2)
    await restarted.step()
    assert not restarted.limits.exhausted(clock.now_ms)


async def test_changing_limit_is_stored_rarely(clock: make.Clock) -> None:
    """Guards against a call to the store for each answer of an endpoint."""
    store = gateway_store.MemoryStore()
    daemons = daemons_of(store)
    for tenths in range(100):
        daemons[0].answer(clock, 1 + tenths / 10)
        await advance(clock, daemons, 100)
    assert store.appends <= 4


@pytest.mark.parametrize('faults', [['away'] * 3, ['lost']])
async def test_failed_writes(clock: make.Clock, faults: list[str]) -> None:
    """Guards against a limit that is not stored after a failed write."""
    store = gateway_store.MemoryStore()
    daemon = Daemon(store)
    daemon.answer(clock, 1)
    await daemon.step()
    store.records.clear()
    store.faults.extend(faults)
    for _ in range(5):
        await daemon.records.write()
    assert KEY in store.latest('state')


async def test_record_of_a_removed_endpoint(clock: make.Clock) -> None:
    """Guards against records of endpoints that pile up in the store."""
    store = gateway_store.MemoryStore()
    daemons = daemons_of(store)
    daemons[0].answer(clock, 1)
    await advance(clock, daemons, 1000)
    for daemon in daemons:
        daemon.starts.clear()
    await advance(clock, daemons, 5000)
    assert store.latest('state')[KEY]
    await advance(clock, daemons, 20_000)
    assert store.latest('state')[KEY] == b''


@pytest.mark.parametrize('value', [b'{', b'7', b'[1]', b'["a", 2, 3]', b'[]'])
async def test_malformed_record(clock: make.Clock, value: bytes) -> None:
    """Guards against a malformed record that ends the process."""
    store = gateway_store.MemoryStore()
    store.write('state', KEY, value)
    daemon = Daemon(store)
    await daemon.step()
    assert daemon.limits.message() == {}
