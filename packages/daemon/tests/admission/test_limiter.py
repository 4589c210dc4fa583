"""Tests of slow start against a simulated endpoint."""

from __future__ import annotations

import random
from typing import Any

import attrs
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from yuccarouter.admission import limiter as limiters
from yuccarouter.admission import request_tracker
from yuccarouter_common import model

_POOL = model.Pool('p', max_in_flight=8, cold_limit=2)
_LAG_S = 0.4


@attrs.define
class _Clock:
    now: float = 100

    def __call__(self) -> float:
        return self.now


def _load(
    clock: _Clock, in_flight: int = 0, **fields: Any
) -> request_tracker.Load:
    values = {'capacity': 0, 'cold': False, 'in_flight': in_flight}
    times = {'earliest': clock.now, 'latest': clock.now}
    return request_tracker.Load(**{**values, **times, **fields})


def _open_gate(clock: _Clock, completed: int) -> limiters.ConcurrencyLimiter:
    limiter = limiters.ConcurrencyLimiter(lambda: _POOL, clock)
    limiter.apply_load(_load(clock))
    running: list[request_tracker.TrackedRequest] = []
    for _ in range(completed):
        running += [
            _started(limiter) for _ in range(limiter.limit - limiter.own)
        ]
        clock.now += 0.1
        work = running.pop()
        limiter.first_token(work)
        limiter.finish(work, served=True)
    for work in running:
        limiter.finish(work, served=False)
    return limiter


def _started(
    limiter: limiters.ConcurrencyLimiter, kind: str = ''
) -> request_tracker.TrackedRequest:
    work = limiter.start(kind)
    work.sent = limiter.clock()
    return work


def test_opens_on_evidence() -> None:
    """Guards against a gate that opens without work or never opens."""
    clock = _Clock()
    limiter = limiters.ConcurrencyLimiter(lambda: _POOL, clock)
    assert limiter.limit == 0
    limits = [_open_gate(clock, done).limit for done in (0, 1, 2, 6, 9)]
    assert limits == [2, 3, 4, 8, 8]
    idle = _open_gate(clock, 0)
    clock.now += 60
    idle.apply_load(_load(clock))
    assert idle.limit == 2


@pytest.mark.parametrize('reason', ['reported', 'failed', 'rose', 'overdue'])
def test_falls_at_once(reason: str) -> None:
    """Guards against full load on an endpoint that shows it is cold."""
    clock = _Clock()
    limiter = _open_gate(clock, 6)
    assert limiter.limit == 8
    if reason == 'reported':
        limiter.apply_load(_load(clock, cold=True))
    elif reason == 'failed':
        limiter.drop('request_failed')
    elif reason == 'overdue':
        whole = limiter.start('', has_first_token=False)
        whole.sent = clock.now
        clock.now += 2
        limiter.check_first_tokens()
        assert limiter.limit == 8
        _started(limiter)
        clock.now += 2
        limiter.check_first_tokens()
    else:
        for _ in range(4):
            work = _started(limiter)
            clock.now += 2
            limiter.first_token(work)
            limiter.finish(work, served=True)
    assert limiter.limit == 2


def test_mixed_times_keep_the_gate_open() -> None:
    """Guards against falls because some prompts are cached and some not."""
    clock = _Clock()
    limiter = _open_gate(clock, 6)
    chance = random.Random(1)
    running = [_started(limiter) for _ in range(7)]
    for work in running:
        limiter.first_token(work)
    for _ in range(2000):
        running.append(_started(limiter))
        clock.now += chance.choice([0.03, 0.4])
        limiter.check_first_tokens()
        work = running.pop()
        limiter.first_token(work)
        limiter.finish(work, served=True)
    assert limiter.limit == 8


def test_old_evidence_does_not_open() -> None:
    """Guards against work or reports from before a fall opening the gate."""
    clock = _Clock()
    limiter = _open_gate(clock, 6)
    running = [_started(limiter) for _ in range(8)]
    clock.now += 0.1
    limiter.drop('request_failed')
    for work in running:
        limiter.finish(work, served=True)
    fresh = _started(limiter)
    limiter.finish(fresh, served=True)
    assert limiter.limit == 2
    clock.now += 0.1
    limiter.apply_load(_load(clock))
    limiter.finish(_started(limiter), served=True)
    assert limiter.limit == 3


def test_slow_answers_do_not_open() -> None:
    """Guards against raising the limit while first tokens get slower."""
    clock = _Clock()
    limiter = _open_gate(clock, 2)
    before = limiter.limit
    for _ in range(4):
        work = _started(limiter)
        clock.now += 0.35
        limiter.first_token(work)
    limits = {limiter.limit}
    clock.now += 0.35
    batch = [_started(limiter) for _ in range(before - limiter.own)]
    for work in batch:
        limiter.finish(work, served=True)
    assert limits == {before}
    assert limiter.limit == before


@pytest.mark.parametrize(
    ('pool', 'capacity', 'expected'),
    [
        (model.Pool('p', max_in_flight=3, cold_limit=2), 0, 3),
        (model.Pool('p', max_in_flight=16, cold_limit=2), 5, 5),
        (model.Pool('p', max_in_flight=4, cold_limit=0), 0, 4),
    ],
)
def test_ceiling(pool: model.Pool, capacity: int, expected: int) -> None:
    """Guards against a limit above what the pool or the engine allows."""
    clock = _Clock()
    limiter = limiters.ConcurrencyLimiter(lambda: pool, clock)
    limiter.apply_load(_load(clock, capacity=capacity))
    for _ in range(40):
        batch = [_started(limiter) for _ in range(limiter.limit)]
        for work in batch:
            limiter.finish(work, served=True)
    assert limiter.limit == expected


@attrs.define(eq=False)
class _Job:
    arrives: float
    limiter: int
    work: request_tracker.TrackedRequest
    lost: bool = False


@pytest.mark.parametrize(
    ('first', 'sent_ago_s', 'reported', 'expected'),
    [
        # The own request is still under way when the endpoint measures.
        (2, 0.02, 2, 2),
        (2, 0.2, 2, 1),
        (2, 0.2, 1, 0),
        # A predecessor's request has arrived after the first report.
        (0, 0.2, 2, 1),
    ],
)
def test_foreign_work(
    first: int, sent_ago_s: float, reported: int, expected: int
) -> None:
    """Guards against forgetting a predecessor's work while it runs."""
    clock = _Clock()
    limiter = limiters.ConcurrencyLimiter(lambda: _POOL, clock)
    limiter.apply_load(_load(clock, first))
    _started(limiter)
    clock.now += sent_ago_s
    limiter.apply_load(_load(clock, reported))
    assert limiter.in_flight - limiter.own == expected


# A small limit, so that the machine often reaches it.
_SMALL = model.Pool('p', max_in_flight=4, cold_limit=2)


class _EndpointMachine(stateful.RuleBasedStateMachine):
    """An endpoint with lagging reports, lost answers and agent restarts.

    ``arriving`` are requests under way to the endpoint; they arrive within
    the margin that the ledger allows for.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = _Clock()
        self.jobs: list[_Job] = []
        self.reports: list[request_tracker.Load] = []
        self.cold = False
        self.agent = 0
        self.known_cold = False
        self.limiter = limiters.ConcurrencyLimiter(lambda: _SMALL, self.clock)
        self.violations: list[str] = []

    def _arrived(self) -> list[_Job]:
        return [job for job in self.jobs if job.arrives <= self.clock.now]

    @stateful.rule(delay=st.floats(0, 0.04), entries=st.integers(1, 12))
    def start(self, delay: float, entries: int) -> None:
        """Many entries send work; the gate alone decides what starts."""
        for _ in range(entries):
            if not self.limiter.is_free():
                return
            work = _started(self.limiter)
            self.jobs.append(_Job(self.clock.now + delay, self.agent, work))
            bears = _SMALL.max_in_flight
            if self.known_cold:
                bears = _SMALL.cold_limit
            assert len(self.jobs) <= bears

    @stateful.rule(seconds=st.floats(0.001, 1))
    def wait(self, seconds: float) -> None:
        self.clock.now += seconds

    @stateful.rule(
        index=st.integers(0, 20), served=st.sampled_from([True, True, False])
    )
    def answer(self, index: int, served: bool) -> None:
        arrived = self._arrived()
        if not arrived:
            return
        job = arrived[index % len(arrived)]
        self.jobs.remove(job)
        if job.limiter == self.agent and not job.lost:
            self.limiter.first_token(job.work)
            if not served:
                self.limiter.drop('request_failed')
            self.limiter.finish(job.work, served=served)

    @stateful.rule(count=st.integers(1, 4))
    def serve(self, count: int) -> None:
        """A busy stretch, which opens the gate when the endpoint is warm."""
        self.clock.now += 0.1
        self.measure(0, is_late=False)
        for _ in range(count):
            self.start(0, 12)
            self.clock.now += 0.1
            self.answer(0, served=True)
        self.start(0, 12)

    @stateful.rule(index=st.integers(0, 20))
    def lose_answer(self, index: int) -> None:
        """The call breaks while the endpoint goes on with the work."""
        held = [
            job
            for job in self._arrived()
            if job.limiter == self.agent and not job.lost
        ]
        if held:
            job = held[index % len(held)]
            job.lost = True
            self.limiter.drop('request_failed')
            self.limiter.finish(job.work, served=False, may_be_running=True)

    @stateful.rule(slack=st.floats(0, 0.02), is_late=st.booleans())
    def measure(self, slack: float, is_late: bool) -> None:
        """The endpoint measures its load; the agent reads it later."""
        self.reports.append(
            request_tracker.Load(
                in_flight=len(self._arrived()),
                capacity=0,
                cold=self.cold,
                earliest=self.clock.now - slack,
                latest=self.clock.now + slack,
            )
        )
        if not is_late:
            self.report(len(self.reports) - 1)

    @stateful.precondition(lambda self: bool(self.reports))
    @stateful.rule(index=st.integers(0, 3))
    def report(self, index: int) -> None:
        """Reports arrive late and out of order."""
        load = self.reports.pop(index % len(self.reports))
        self.clock.now += _LAG_S / 10
        self.limiter.apply_load(load)
        self.known_cold = self.limiter.cold

    @stateful.rule()
    def change_temperature(self) -> None:
        self.cold = not self.cold

    # Restarts matter, and are worth a step, while work runs.
    @stateful.precondition(lambda self: bool(self.jobs))
    @stateful.rule()
    def restart_agent(self) -> None:
        """Work of the predecessor runs on; its transit has ended."""
        self.clock.now += 0.05
        self.agent += 1
        self.limiter = limiters.ConcurrencyLimiter(lambda: _SMALL, self.clock)
        self.known_cold = False

    @stateful.invariant()
    def never_above_the_pool(self) -> None:
        assert len(self.jobs) <= _SMALL.max_in_flight
        assert self.limiter.limit <= _SMALL.max_in_flight


_EndpointMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)


# Guards against more work than the endpoint bears, however it breaks.
TestInFlight = _EndpointMachine.TestCase
