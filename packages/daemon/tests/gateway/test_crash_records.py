"""Tests of the stored copy of the evidence about crashing prompts."""

from __future__ import annotations

import attrs
import gateway_makers as make
import gateway_store
import pytest

from yuccarouter.gateway import (
    crash_evidence,
    crash_records,
    crash_suspicions,
    topics,
)
from yuccarouter_common import clocks

SERVICE = 'engine'


@attrs.define
class Daemon:
    """A daemon's evidence with its replica of the shared state."""

    store: gateway_store.MemoryStore
    rank: int = 0
    evidence: crash_evidence.CrashEvidence = attrs.field(init=False)
    topic: topics.Topic = attrs.field(init=False)
    records: crash_records.CrashRecords = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the parts."""
        self.evidence = crash_evidence.CrashEvidence(
            f'd{self.rank}', tuple, lambda service: 9
        )
        self.topic = topics.Topic(
            'state', self.store, lambda entry: None, lambda outage_ms: None
        )
        self.topic.is_loaded = True
        self.records = crash_records.CrashRecords(
            self.evidence, self.store, self.topic, lambda: self.rank
        )

    async def step(self) -> None:
        """Read the topic, then read and write the record."""
        page = await self.store.read('state', 0, 0)
        self.topic.merge(list(page.entries))
        self.records.read()
        await self.records.write()

    def meet_crash(self, number: int, now_ms: float, *suspects: str) -> None:
        """Record a crash of a request and an engine of their own."""
        self.evidence.record_crash(
            crash_suspicions.CrashedAttempt(
                request=number,
                number=1,
                engine=f'e{number}',
                service=SERVICE,
                sent_ms=now_ms - 10,
                crashed_ms=now_ms,
                suspects=frozenset(suspects),
                answered=frozenset(),
                changed_ms=now_ms,
            ),
            now_ms,
        )


async def advance(
    clock: make.Clock, daemons: list[Daemon], elapsed_ms: float
) -> None:
    end_ms = clock.now_ms + elapsed_ms
    while clock.now_ms < end_ms:
        clock.now_ms += 100
        for daemon in daemons:
            await daemon.step()


@pytest.mark.parametrize('wall_shift_ms', [0, 2000, -2000])
async def test_evidence_outlasts_all_daemons(
    clock: make.Clock, monkeypatch: pytest.MonkeyPatch, wall_shift_ms: int
) -> None:
    """Guards against prompts that crash engines again after a restart.

    Only two of the crashes came before it, and the time of day has stepped.
    """
    store = gateway_store.MemoryStore()
    daemons = [Daemon(store, rank) for rank in range(3)]
    monkeypatch.setattr(clocks, 'wall_ms', lambda: int(clock.now_ms))
    for number in (1, 2):
        daemons[0].meet_crash(number, clock.now_ms, 'sys', 'x')
        await advance(clock, daemons, 500)
    daemons[0].evidence.record_answer(SERVICE, ('sys',), clock.now_ms)
    await advance(clock, daemons, 3000)
    monkeypatch.setattr(
        clocks, 'wall_ms', lambda: int(clock.now_ms) + wall_shift_ms
    )
    restarted = Daemon(store)
    await restarted.step()
    restarted.meet_crash(3, clock.now_ms + 100, 'sys', 'x')
    now_ms = clock.now_ms + 200
    assert restarted.evidence.hold(SERVICE, ('x',), now_ms) is not None
    assert restarted.evidence.hold(SERVICE, ('sys',), now_ms) is None


async def test_record_is_written_once_and_removed(clock: make.Clock) -> None:
    """Guards against a write by each daemon, and against records that stay."""
    store = gateway_store.MemoryStore()
    daemons = [Daemon(store, rank) for rank in range(3)]
    for daemon in daemons:
        daemon.meet_crash(1, clock.now_ms, 'x')
    await advance(clock, daemons, 5000)
    assert store.appends == 1
    for daemon in daemons:
        daemon.evidence.record_answer(SERVICE, ('x',), clock.now_ms)
    await advance(clock, daemons, 5000)
    assert store.appends == 2
    assert store.latest('state') == {crash_records.KEY: b''}


async def test_crash_of_a_sound_prompt_is_not_stored(clock: make.Clock) -> None:
    """Guards against a call to the store for each crash with another cause."""
    store = gateway_store.MemoryStore()
    daemon = Daemon(store)
    daemon.meet_crash(1, clock.now_ms, 'x', 'y')
    await advance(clock, [daemon], 500)
    daemon.evidence.record_answer(SERVICE, ('x', 'y'), clock.now_ms)
    await advance(clock, [daemon], 5000)
    assert store.appends == 0


@pytest.mark.parametrize(('crashes', 'appends'), [(1, 0), (2, 1)])
async def test_only_held_requests_are_stored(
    clock: make.Clock, crashes: int, appends: int
) -> None:
    """Guards against a call to the store for each request lost in a crash.

    Most of them never come again, so that no answer would clear them.
    """
    store = gateway_store.MemoryStore()
    daemon = Daemon(store)
    for number in range(crashes):
        daemon.meet_crash(number, clock.now_ms, '/d')
    await advance(clock, [daemon], 5000)
    assert store.appends == appends


@pytest.mark.parametrize(
    'value', [b'5', b'{', b'[[1]]', b'[[[1,1],["e","s"],["a",1],[[],[]]]]']
)
async def test_malformed_record(clock: make.Clock, value: bytes) -> None:
    """Guards against a malformed record that ends every daemon."""
    store = gateway_store.MemoryStore()
    store.write('state', crash_records.KEY, value)
    daemon = Daemon(store)
    await advance(clock, [daemon], 1000)
    daemon.meet_crash(1, clock.now_ms, 'x')
    await advance(clock, [daemon], 3000)
    assert store.appends == 1
