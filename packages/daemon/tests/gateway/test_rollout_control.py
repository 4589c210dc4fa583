"""Tests of roll-outs that several daemons carry out together."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import gateway_makers as make
import gateway_store
import hypothesis
import orjson
import pytest
from hypothesis import strategies as st

from yuccarouter.gateway import (
    answer_progress,
    model,
    rollout_control,
    rollouts,
    topics,
)
from yuccarouter_common import clocks

STATE = 'state'
STATUS = 'status/engine'


def encode_status(order: model.RolloutOrder, state: str) -> tuple[str, bytes]:
    return STATUS, orjson.dumps({'state': state, 'target': order.target})


class Daemon:
    """The roll-out control of one daemon, driven step by step."""

    def __init__(self, store: gateway_store.MemoryStore, turn: int = 0) -> None:
        self.store = store
        self.control = rollout_control.RolloutControl(
            encode_status, 0.15, lambda: turn
        )
        self.topic = topics.Topic(
            STATE, store, self.control.state_changed, lambda away_ms: None
        )

    async def read(self) -> None:
        """Read the shared state once."""
        task = asyncio.create_task(self.topic.follow())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def step(self) -> None:
        """Take the steps that are due."""
        await self.control.take_due_steps(self.store, self.topic)

    def answers(self, version: str, good: int, bad: int = 0) -> None:
        """Record answers of a version."""
        view = make.view(version, version=version)
        self.control.record_answers(view, 'r', rollouts.Tally(good, bad))

    def share(self, views: list[Any]) -> float:
        """Return the share of sessions that use the new version."""
        allowed = [
            self.control.allowed_versions('engine', f's{number}', views)
            for number in range(400)
        ]
        return sum('v2' in versions for versions in allowed) / len(allowed)


def state_of(store: gateway_store.MemoryStore) -> str:
    return str(orjson.loads(store.latest(STATE)[STATUS])['state'])


def both_versions() -> list[Any]:
    return [make.view('e1', version='v1'), make.view('e2', version='v2')]


async def advance(
    clock: make.Clock, daemons: list[Daemon], by_ms: float
) -> None:
    clock.now_ms += by_ms
    for daemon in daemons:
        await daemon.step()
        for other in daemons:
            await other.read()


async def start(clock: make.Clock, count: int = 2) -> list[Daemon]:
    store = gateway_store.MemoryStore()
    daemons = [Daemon(store, turn) for turn in range(count)]
    for daemon in daemons:
        daemon.control.apply_order(make.order())
        await daemon.read()
    await advance(clock, daemons, 10)
    return daemons


async def test_good_version_completes(clock: make.Clock) -> None:
    """Guards against a roll-out that stops halfway."""
    daemons = await start(clock)
    shares = [daemons[1].share(both_versions())]
    assert state_of(daemons[0].store) == 'running'
    for _ in range(60):
        daemons[0].answers('v2', 3)
        daemons[0].answers('v1', 10)
        await advance(clock, daemons, 400)
        shares.append(daemons[1].share(both_versions()))
    assert state_of(daemons[0].store) == 'completed'
    assert shares == sorted(shares)
    assert shares[0] < 0.15
    assert shares[-1] == 1


async def test_bad_version_is_withdrawn(clock: make.Clock) -> None:
    """Guards against a daemon that keeps using a bad version."""
    daemons = await start(clock)
    daemons[0].answers('v1', 100)
    daemons[0].answers('v2', 3, bad=8)
    await advance(clock, daemons, 300)
    assert state_of(daemons[0].store) == 'rolled_back'
    for daemon in daemons:
        assert daemon.share(both_versions()) == 0
        assert daemon.control.allowed_versions(
            'engine', 's', both_versions()
        ) == {'v1'}


async def test_evidence_of_peers_counts(clock: make.Clock) -> None:
    """Guards against daemons that each see too few answers to decide."""
    daemons = await start(clock)
    for number, daemon in enumerate(daemons):
        daemon.answers('v1', 100)
        daemon.answers('v2', 2, bad=4)
        other = daemons[1 - number]
        other.control.merge_peer_evidence(
            f'd{number}', daemon.control.own_evidence()
        )
    await advance(clock, daemons, 300)
    assert state_of(daemons[0].store) == 'rolled_back'


async def test_store_away_while_harm_is_found(clock: make.Clock) -> None:
    """Guards against using a bad version during an outage of the store."""
    daemons = await start(clock)
    daemons[0].answers('v1', 100)
    daemons[0].answers('v2', 2, bad=9)
    daemons[0].store.faults = ['away'] * 4
    await advance(clock, daemons, 300)
    assert state_of(daemons[0].store) == 'running'
    assert daemons[0].share(both_versions()) == 0
    daemons[0].store.faults = []
    await advance(clock, daemons, 2000)
    await advance(clock, daemons, 2000)
    assert state_of(daemons[0].store) == 'rolled_back'


async def test_restarted_daemon_goes_on(clock: make.Clock) -> None:
    """Guards against rolling out a withdrawn version after a restart."""
    daemons = await start(clock)
    daemons[0].answers('v1', 100)
    daemons[0].answers('v2', 2, bad=9)
    await advance(clock, daemons, 300)
    restarted = Daemon(daemons[0].store)
    restarted.control.apply_order(make.order())
    await restarted.read()
    assert restarted.share(both_versions()) == 0


async def test_second_order(clock: make.Clock) -> None:
    """Guards against applying an earlier order's phase to the next order."""
    daemons = await start(clock)
    daemons[0].answers('v1', 100)
    daemons[0].answers('v2', 2, bad=9)
    await advance(clock, daemons, 300)
    for daemon in daemons:
        daemon.control.apply_order(make.order(number=9, target='v3'))
    await advance(clock, daemons, 1000)
    assert state_of(daemons[0].store) == 'running'
    views = [*both_versions(), make.view('e3', version='v3')]
    allowed = {
        version
        for number in range(300)
        for version in daemons[0].control.allowed_versions(
            'engine', f's{number}', views
        )
    }
    assert 'v3' in allowed


def test_new_version_without_an_order_gets_no_requests(
    clock: make.Clock,
) -> None:
    """Guards against full traffic to a version before its order is read."""
    control = rollout_control.RolloutControl(encode_status, 0.15, lambda: 0)
    assert control.allowed_versions('engine', 's', both_versions()[:1]) == {
        'v1'
    }
    clock.now_ms += 5000
    assert control.allowed_versions('engine', 's', both_versions()) == {'v1'}
    clock.now_ms += 2000
    assert control.allowed_versions('engine', 's', both_versions()) == {
        'v1',
        'v2',
    }


FINAL = (rollouts.Phase.COMPLETED, rollouts.Phase.ROLLED_BACK)


@hypothesis.given(
    events=st.lists(
        st.sampled_from(
            ['step0', 'step1', 'read0', 'read1', 'lost', 'away', 'restart']
        ),
        max_size=40,
    ),
    bad=st.booleans(),
)
@hypothesis.settings(max_examples=150)
def test_one_final_phase(events: list[str], bad: bool) -> None:
    """Guards against two different final phases of one roll-out.

    In any order, answers of the store are lost, the store is unavailable and a
    daemon restarts.
    """
    asyncio.run(_run_events(events, bad))


async def _run_events(events: list[str], bad: bool) -> None:
    clock = make.Clock()
    real_clock = clocks.monotonic_ms
    clocks.monotonic_ms = clock
    try:
        store = gateway_store.MemoryStore()
        daemons = [Daemon(store), Daemon(store, 1)]
        for daemon in daemons:
            daemon.control.apply_order(make.order())
        for event in events:
            clock.now_ms += 2500
            if event in {'lost', 'away'}:
                store.faults.append(event)
            elif event == 'restart':
                daemons[1] = Daemon(store, 1)
                daemons[1].control.apply_order(make.order())
            elif event.startswith('read'):
                await daemons[int(event[-1])].read()
            else:
                daemon = daemons[int(event[-1])]
                daemon.answers('v1', 20)
                daemon.answers('v2', 4, bad=6 if bad else 0)
                await daemon.step()
    finally:
        clocks.monotonic_ms = real_clock
    ends = [
        orjson.loads(row.value)['phase']
        for row in store.records[STATE]
        if row.key.startswith('phase/')
    ]
    final = [phase for phase in ends if phase in FINAL]
    assert len(set(final)) <= 1
    if final:
        assert ends[-1] == final[0]
    if bad:
        assert rollouts.Phase.COMPLETED not in final


def progress(
    clock: make.Clock, version: str, route: str = 'r', **fields: Any
) -> answer_progress.Progress:
    return answer_progress.Progress(
        make.view(version=version),
        route,
        fields.pop('model', 'm'),
        fields.pop('prefill_tokens', 1000),
        clock.now_ms,
        **fields,
    )


def control_with_baseline(
    clock: make.Clock, answers: int = 20
) -> rollout_control.RolloutControl:
    """Return a control in a roll-out with answers of 200 ms."""
    control = rollout_control.RolloutControl(encode_status, 0.15, lambda: 0)
    control.apply_order(make.order())
    for _ in range(answers):
        control.latencies.record_success(progress(clock, 'v1'), 200)
    return control


def new_answers(control: rollout_control.RolloutControl) -> list[int]:
    """Return the good, bad and slow answers of the new version."""
    ((_, _, new, _),) = control.own_evidence()
    return [sum(counts) for counts in zip(*new.values(), strict=True)]


@pytest.mark.parametrize(
    ('factor', 'expected'),
    [(1, [1, 0, 0]), (3, [1, 0, 0]), (3.5, [0, 0, 1]), (8, [0, 0, 1])],
)
def test_slow_answers(
    clock: make.Clock, factor: float, expected: list[int]
) -> None:
    """Guards against a slow version whose answers are all correct."""
    control = control_with_baseline(clock)
    control.latencies.record_success(progress(clock, 'v2'), 200 * factor)
    assert new_answers(control) == expected


@pytest.mark.parametrize('old_answers', [0, 4])
def test_latency_without_a_baseline(
    clock: make.Clock, old_answers: int
) -> None:
    """Guards against slow answers that count as good for want of others."""
    control = control_with_baseline(clock, old_answers)
    control.latencies.record_success(progress(clock, 'v2'), 2000)
    assert new_answers(control) == []


def test_latency_of_a_rare_kind(clock: make.Clock) -> None:
    """Guards against slow answers of a kind without a baseline of its own."""
    control = control_with_baseline(clock)
    control.latencies.record_success(progress(clock, 'v2', 'x'), 2000)
    assert new_answers(control) == [0, 0, 1]


@pytest.mark.parametrize(
    ('events', 'prefill_tokens', 'elapsed_ms', 'expected'),
    [
        (0, 1000, 400, []),
        (0, 1000, 900, [0, 0, 1]),
        (0, 20_000, 900, []),
        (3, 1000, 1200, [0, 0, 1]),
        (60, 1000, 1200, []),
    ],
)
def test_pending_answers(
    clock: make.Clock,
    events: int,
    prefill_tokens: float,
    elapsed_ms: float,
    expected: list[int],
) -> None:
    """Guards against slow answers that count only once they have ended.

    A slow version then looks good at first. Long prompts and long answers must
    not be taken for slow ones.
    """
    control = control_with_baseline(clock)
    awaited = progress(
        clock, 'v2', events=events, prefill_tokens=prefill_tokens
    )
    with control.latencies.follow(awaited):
        clock.now_ms += elapsed_ms
        control.latencies.judge_pending()
        control.latencies.judge_pending()
    assert new_answers(control) == expected
    if expected:
        control.latencies.record_success(awaited, elapsed_ms)
        assert new_answers(control) == expected


@pytest.mark.parametrize(
    ('case', 'session_version', 'idle_ms', 'expected'),
    [
        ('a new session', None, 0, {'v2'}),
        ('in progress on the old version', 'v1', 4000, {'v1'}),
        ('in progress on the new version', 'v2', 4000, {'v2'}),
        ('session has ended', 'v1', 6000, {'v2'}),
    ],
)
def test_canary_leaves_sessions_in_progress(
    clock: make.Clock,
    case: str,
    session_version: str | None,
    idle_ms: float,
    expected: set[str],
) -> None:
    """Guards against a canary that moves sessions in progress.

    Scenario quiet-1 of mgs-brno-grown, seed 1058025222840: in the first seconds
    after the order, six requests ran on another version than the request before
    them in their session.
    """
    control = rollout_control.RolloutControl(
        lambda order, state: ('k', b''), 1.0, lambda: 0, session_ms=5000
    )
    control.apply_order(make.order())
    views = [make.view('e1', version='v1'), make.view('e2', version='v2')]
    names = [f's{number}' for number in range(100)]
    clock.now_ms += 999
    for name in names:
        # Not all daemons may have read the order yet.
        assert control.allowed_versions('engine', name, views) == {'v1'}
    clock.now_ms += 1
    session = next(
        name
        for name in names
        if control.allowed_versions('engine', name, views) == {'v2'}
    )
    if session_version:
        control.sessions.record(
            'engine', session, session_version, clock.now_ms
        )
    clock.now_ms += idle_ms
    assert control.allowed_versions('engine', session, views) == expected, case
    if expected == {'v1'}:
        # A canary without answers would never end.
        clock.now_ms += 14_400 - 1000 - idle_ms
        control.sessions.record('engine', session, 'v1', clock.now_ms - 1)
        clock.now_ms -= 1
        assert control.allowed_versions('engine', session, views) == {'v1'}
        clock.now_ms += 1
        assert control.allowed_versions('engine', session, views) == {'v2'}


@pytest.mark.parametrize(
    ('case', 'answers', 'expected'),
    [
        ('too few answers', rollouts.Tally(good=3), {'v2'}),
        ('enough answers', rollouts.Tally(good=4), {'v1'}),
        ('a suspicion', rollouts.Tally(good=20, bad=5), {'v1'}),
    ],
)
def test_late_canary(
    clock: make.Clock, case: str, answers: rollouts.Tally, expected: set[str]
) -> None:
    """Guards against sessions that move to a version under suspicion."""
    control = rollout_control.RolloutControl(
        lambda order, state: ('k', b''), 1.5, lambda: 0, session_ms=5000
    )
    control.apply_order(make.order())
    views = [make.view('e1', version='v1'), make.view('e2', version='v2')]
    control.record_answers(views[1], 'r', answers)
    control.record_answers(views[0], 'r', rollouts.Tally(good=100))
    clock.now_ms += 14_400
    control.sessions.record('engine', 's', 'v1', clock.now_ms)
    assert control.allowed_versions('engine', 's', views) == expected, case


def new_sessions(daemon: Daemon) -> set[int]:
    """Return the sessions that use the new version."""
    return {
        number
        for number in range(400)
        if 'v2'
        in daemon.control.allowed_versions(
            'engine', f's{number}', both_versions()
        )
    }


@pytest.mark.parametrize('phase', ['ramp', 'full', 'completed', 'rolled_back'])
@pytest.mark.parametrize('kept', [0, 2], ids=['lost', 'an earlier phase'])
async def test_phase_outlasts_a_restore(
    clock: make.Clock, phase: str, kept: int
) -> None:
    """Guards against a roll-out that goes back to an earlier phase.

    The order is written again with another number, and the store has lost the
    phase, or holds the first one. Sessions stay on their version.
    """
    daemons = await start(clock)
    store = daemons[0].store
    while orjson.loads(store.latest(STATE)['phase/engine'])['phase'] != phase:
        daemons[0].answers('v2', 3, bad=9 * (phase == 'rolled_back'))
        daemons[0].answers('v1', 10)
        await advance(clock, daemons, 400)
    sessions = new_sessions(daemons[1])
    store.restore(STATE, kept)
    for daemon in daemons:
        daemon.control.apply_order(make.order(9, generation=1))
        daemon.topic.is_loaded = False
        await daemon.read()
    assert new_sessions(daemons[1]) == sessions
    await advance(clock, daemons, 100)
    await advance(clock, daemons, 1000)
    assert new_sessions(daemons[1]) == sessions
    written = orjson.loads(store.latest(STATE)['phase/engine'])
    assert (written['phase'], written['order']) == (phase, 9)
    assert state_of(store) == rollouts.Phase(phase).status


async def test_another_order_after_a_restore(clock: make.Clock) -> None:
    """Guards against an order that takes over the phase of a lost one.

    It got the number of the lost order.
    """
    daemons = await start(clock, count=1)
    while state_of(daemons[0].store) != 'rolled_back':
        daemons[0].answers('v2', 1, bad=9)
        daemons[0].answers('v1', 10)
        await advance(clock, daemons, 400)
    daemons[0].store.restore(STATE, 0)
    daemons[0].control.apply_order(make.order(1, target='v3', generation=1))
    clock.now_ms += 1000
    views = [make.view('e1', version='v1'), make.view('e3', version='v3')]
    allowed = [
        daemons[0].control.allowed_versions('engine', f's{number}', views)
        for number in range(400)
    ]
    assert 0 < sum('v3' in versions for versions in allowed) < 100


async def test_conflict_shows_that_records_are_missed(
    clock: make.Clock,
) -> None:
    """Guards against steps that fail until a lost read is noticed.

    The read of the shared state began while the store was silent, so that the
    daemon does not know where the topic ends.
    """
    store = gateway_store.MemoryStore()
    daemon = Daemon(store)
    await daemon.read()
    store.write(STATE, 'member/d2', b'x')
    daemon.control.apply_order(make.order())
    clock.now_ms += 10
    await daemon.step()
    assert STATUS not in store.latest(STATE)
    assert not daemon.topic.is_loaded
    await daemon.read()
    clock.now_ms += 2000
    await daemon.step()
    assert state_of(store) == 'running'
