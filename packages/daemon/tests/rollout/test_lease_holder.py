"""Tests of leases, compared with a reference model of the stream."""

from __future__ import annotations

import asyncio
from typing import Any

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from yuccarouter.rollout import lease_holder, lease_state
from yuccarouter_common.platform import errors
from yuccarouter_common.platform import log as platform_log
from yuccarouter_testkit import memory_log, virtual_time

_HOLDERS = 3
_TIMING = lease_holder.LeaseTiming(max_jitter_ms=1000, read_wait_ms=0)


class _Clock:
    """The log's clock; the clocks of the holders run at other rates."""

    now_ms = 1_000_000.0

    def log_ms(self) -> int:
        return int(self.now_ms)


def reference_holder(records: list[Any], now_ms: int) -> tuple[str, int] | None:
    """Return the holder and its fencing number, from all records."""
    held: tuple[str, int, int] | None = None
    last_offset = -1
    for entry in records:
        body = entry.payload
        if held is not None and entry.time_ms >= held[2]:
            held = None
        until = entry.time_ms + body['ttl_ms']
        is_from_holder = held is not None and held[:2] == (
            body['holder'],
            body['fencing_number'],
        )
        if body['action'] == 'acquire':
            if held is None and body['after_offset'] == last_offset:
                held = body['holder'], entry.offset, until
        elif is_from_holder and held is not None:
            renewed = held[0], held[1], until
            held = renewed if body['action'] == 'renew' else None
        last_offset = entry.offset
    if held is None or now_ms >= held[2]:
        return None
    return held[0], held[1]


class Contenders(stateful.RuleBasedStateMachine):
    """Competing holders that pause and restart while the log has faults."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = _Clock()
        self.log = memory_log.MemoryLog(self.clock.log_ms)
        self.records: list[Any] = []
        self.seeds = 0
        self.holders = [self._start(number) for number in range(_HOLDERS)]
        self.paused = [False] * _HOLDERS
        self.highest = -1
        self.highest_holder = ''

    def teardown(self) -> None:
        self.loop.close()

    @stateful.rule(number=st.integers(0, _HOLDERS - 1), count=st.integers(1, 3))
    def step(self, number: int, count: int) -> None:
        """Run steps of a process, unless it is paused."""
        for _ in range(0 if self.paused[number] else count):
            self._step(number)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 1, 1.9, 3, 9, 13, 31]))
    def advance(self, seconds: float) -> None:
        """Advance the log's time."""
        self.clock.now_ms += seconds * 1000

    @stateful.rule(rounds=st.integers(1, 80))
    def run(self, rounds: int) -> None:
        """Run all processes that are not paused, at intervals of 250 ms."""
        for _ in range(rounds):
            self.clock.now_ms += 250
            for number in range(_HOLDERS):
                self.step(number, 1)
            self.at_most_one()

    @stateful.rule(number=st.integers(0, _HOLDERS - 1), is_paused=st.booleans())
    def pause(self, number: int, is_paused: bool) -> None:
        """Pause or resume a process."""
        self.paused[number] = is_paused

    @stateful.rule(number=st.integers(0, _HOLDERS - 1))
    def restart(self, number: int) -> None:
        """Replace a process by a new one, without a release."""
        self.holders[number] = self._start(number)

    @stateful.rule(number=st.integers(0, _HOLDERS - 1))
    def stop(self, number: int) -> None:
        """Stop a process, so that it releases its lease, and replace it."""
        if not self.paused[number]:
            self.loop.run_until_complete(self.holders[number].on_stop())
            self.holders[number] = self._start(number)

    @stateful.rule(lose=st.integers(0, 2), delay=st.integers(0, 2))
    def lose_answers(self, lose: int, delay: int) -> None:
        """Lose answers of the next appends, before or after their effect."""
        self.log.lose_answers = lose
        self.log.delay_appends = delay

    @stateful.rule()
    def deliver_late(self) -> None:
        """Apply the delayed appends."""
        self.log.deliver_late()

    @stateful.rule(down=st.booleans())
    def switch_log(self, down: bool) -> None:
        """Start or end an outage of the log."""
        self.log.down = down

    @stateful.rule(kept=st.integers(0, 3))
    def truncate(self, kept: int) -> None:
        """Remove old records from the log."""
        self._save_records()
        stream = self.log.stream(lease_state.STREAM)
        first = max(stream.first_offset, stream.end_offset - kept)
        self.log.truncate(lease_state.STREAM, first)

    @stateful.invariant()
    def at_most_one(self) -> None:
        """Only the true holder has a fencing number, which is the highest."""
        self._save_records()
        expected = reference_holder(self.records, self.clock.log_ms())
        for number, holder in enumerate(self.holders):
            fencing_number = (
                None if self.paused[number] else holder.fencing_number()
            )
            if fencing_number is None:
                continue
            assert expected == (holder.holder, fencing_number)
            if self.highest_holder == holder.holder:
                assert fencing_number >= self.highest
            else:
                assert fencing_number > self.highest
            self.highest = fencing_number
            self.highest_holder = holder.holder

    def _save_records(self) -> None:
        stream = self.log.stream(lease_state.STREAM)
        seen = len(self.records) - stream.first_offset
        self.records.extend(stream.entries[seen:])

    def _start(self, number: int) -> lease_holder.LeaseHolder:
        self.seeds += 1
        rate = (0.97, 1.0, 1.03)[number]
        return lease_holder.LeaseHolder(
            self.log,
            'controller',
            _TIMING,
            clock_ms=lambda: 5_000_000 * number + rate * self.clock.now_ms,
            seed=self.seeds,
        )

    def _step(self, number: int) -> None:
        try:
            self.loop.run_until_complete(self.holders[number].step())
        except errors.PlatformError:
            return


class TestContenders(Contenders.TestCase):
    """Guards against two holders at a time and falling fencing numbers."""

    settings = hypothesis.settings(
        max_examples=150,
        stateful_step_count=40,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


_ENTRIES = st.lists(
    st.tuples(
        st.sampled_from(list(lease_state.Action)),
        st.sampled_from(['a', 'b', 'c']),
        st.sampled_from([0, 1000, 12_000, 30_000]),
        st.sampled_from([0, 0, 0, 1, 2]),
        st.integers(0, 4),
        st.sampled_from([0, 500, 999, 1000, 11_999, 12_000, 29_999, 30_000]),
    ),
    max_size=25,
)


@hypothesis.given(entries=_ENTRIES, start=st.integers(0, 8))
@hypothesis.settings(deadline=None, derandomize=True, max_examples=1500)
def test_state_matches_reference(entries: list[Any], start: int) -> None:
    """Guards against readers that disagree about the holder of the lease.

    ``start`` is the offset where the second reader starts.
    """
    full_state = lease_state.LeaseState('c', certain=True)
    partial_state = lease_state.LeaseState('c', certain=False)
    records: list[Any] = []
    now_ms = 0
    for offset, fields in enumerate(entries):
        action, holder, ttl_ms, offset_lag, number_choice, gap_ms = fields
        now_ms += gap_ms
        held_number = full_state.grant.fencing_number if full_state.grant else 0
        record = lease_state.LeaseRecord(
            action,
            'c',
            holder,
            ttl_ms,
            offset - 1 - offset_lag,
            held_number if number_choice < 3 else number_choice,
        )
        entry = platform_log.Entry(
            offset, now_ms, '', lease_state.encode(record)
        )
        records.append(entry)
        full_state.apply(entry)
        expected = reference_holder(records, now_ms)
        states = [full_state]
        if offset >= start:
            partial_state.apply(entry)
            states += [partial_state] if partial_state.certain else []
        for state in states:
            held = state.grant
            if held is not None and now_ms >= held.valid_until_ms:
                held = None
            assert expected == (held and (held.holder, held.fencing_number))


@pytest.fixture
def contenders() -> Contenders:
    return Contenders()


def test_lease_changes_holder(contenders: Contenders) -> None:
    """Guards against a lease that stays with a paused holder."""
    contenders.run(30)
    first_holder = contenders.highest_holder
    assert first_holder
    number = [one.holder for one in contenders.holders].index(first_holder)
    contenders.pause(number, True)
    contenders.run(80)
    assert contenders.highest_holder != first_holder
    second_holder = contenders.highest_holder
    contenders.pause(number, False)
    assert contenders.holders[number].fencing_number() is None
    contenders.run(160)
    assert contenders.highest_holder == second_holder
    contenders.teardown()


@pytest.mark.parametrize('kept', [0, 1, 5])
def test_start_after_truncation(contenders: Contenders, kept: int) -> None:
    """Guards against a lease that nobody can acquire after a truncation.

    Restarted holders read a stream without the lease's old records, so that
    they can't tell at first whether it is held.
    """
    contenders.run(90)
    contenders.truncate(kept)
    for number in range(_HOLDERS):
        contenders.restart(number)
    before = contenders.highest
    contenders.run(340)
    assert contenders.highest > before
    contenders.teardown()


def test_short_pause(contenders: Contenders) -> None:
    """Guards against acting after a pause before the stream is read again."""
    contenders.run(30)
    holders = [one.holder for one in contenders.holders]
    number = holders.index(contenders.highest_holder)
    assert contenders.holders[number].fencing_number() is not None
    contenders.clock.now_ms += 2500
    assert contenders.holders[number].fencing_number() is None
    contenders.step(number, 1)
    assert contenders.holders[number].fencing_number() is not None
    contenders.teardown()


def test_validity_starts_when_sent(contenders: Contenders) -> None:
    """Guards against a validity that starts when a record is read back.

    The record is read back 9 s after it was sent. The lease must expire no
    later than 12 s after it was sent.
    """
    holder = contenders.holders[0]
    contenders.clock.now_ms += 5000
    contenders.step(0, 1)
    contenders.clock.now_ms += 9000
    contenders.step(0, 1)
    assert holder.fencing_number() is not None
    contenders.log.down = True
    for _ in range(4):
        contenders.clock.now_ms += 1000
        contenders.at_most_one()
    assert holder.fencing_number() is None
    contenders.teardown()


def test_rewound_stream(contenders: Contenders) -> None:
    """Guards against a holder that continues after its acquire was lost."""
    contenders.run(30)
    contenders.log.rewind(lease_state.STREAM, 0)
    for number, holder in enumerate(contenders.holders):
        contenders.step(number, 1)
        assert holder.fencing_number() is None
    contenders.teardown()


def test_service() -> None:
    """Guards against a service that does not acquire, renew or release."""
    loop = virtual_time.VirtualTimeLoop()
    log = memory_log.MemoryLog(lambda: int(loop.time() * 1000))

    async def scenario() -> list[str]:
        timing = lease_holder.LeaseTiming(max_jitter_ms=100)
        holder = lease_holder.LeaseHolder(
            log, 'c', timing, clock_ms=lambda: loop.time() * 1000
        )
        async with holder:
            await asyncio.sleep(10)
            assert holder.fencing_number() == 0
        return [
            str(entry.payload['action'])
            for entry in log.stream(lease_state.STREAM).entries
        ]

    actions = loop.run_until_complete(scenario())
    loop.close()
    assert actions[0] == 'acquire'
    assert set(actions[1:-1]) == {'renew'}
    assert 2 <= len(actions[1:-1]) <= 4
    assert actions[-1] == 'release'
