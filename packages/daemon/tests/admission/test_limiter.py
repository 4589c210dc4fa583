"""Tests of the concurrency limiter against a simulated endpoint."""

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
_REPORT_LAG_S = 0.4


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


def _limiter_after(
    clock: _Clock, completed: int
) -> limiters.ConcurrencyLimiter:
    limiter = limiters.ConcurrencyLimiter(lambda: _POOL, clock)
    limiter.apply_load(_load(clock))
    running: list[request_tracker.TrackedRequest] = []
    for _ in range(completed):
        running += [
            _start(limiter)
            for _ in range(limiter.limit - limiter.own_in_flight)
        ]
        clock.now += 0.1
        tracked = running.pop()
        limiter.record_first_token(tracked)
        limiter.finish(tracked, served=True)
    for tracked in running:
        limiter.finish(tracked, served=False)
    return limiter


def _start(
    limiter: limiters.ConcurrencyLimiter, kind: str = ''
) -> request_tracker.TrackedRequest:
    tracked = limiter.start(kind)
    tracked.sent = limiter.clock()
    return tracked


def test_served_requests_raise_the_limit() -> None:
    """Guards against a limit that rises without served requests, or never."""
    clock = _Clock()
    limiter = limiters.ConcurrencyLimiter(lambda: _POOL, clock)
    assert limiter.limit == 0
    limits = [_limiter_after(clock, count).limit for count in (0, 1, 2, 6, 9)]
    assert limits == [2, 3, 4, 8, 8]
    idle = _limiter_after(clock, 0)
    clock.now += 60
    idle.apply_load(_load(clock))
    assert idle.limit == 2


@pytest.mark.parametrize('reason', ['reported', 'failed', 'rose', 'overdue'])
def test_cold_endpoint_resets_the_limit(reason: str) -> None:
    """Guards against full load on an endpoint that has turned cold.

    Each sign must reset the limit at once: a cold report, a failed request,
    risen first-token latencies or an overdue first token. The latency of an
    answer that is not streamed is no such sign.
    """
    clock = _Clock()
    limiter = _limiter_after(clock, 6)
    assert limiter.limit == 8
    if reason == 'reported':
        limiter.apply_load(_load(clock, cold=True))
    elif reason == 'failed':
        limiter.reset_to_cold_limit('request_failed')
    elif reason == 'overdue':
        buffered = limiter.start('', has_first_token=False)
        buffered.sent = clock.now
        clock.now += 2
        limiter.check_overdue_first_tokens()
        assert limiter.limit == 8
        _start(limiter)
        clock.now += 2
        limiter.check_overdue_first_tokens()
    else:
        for _ in range(4):
            tracked = _start(limiter)
            clock.now += 2
            limiter.record_first_token(tracked)
            limiter.finish(tracked, served=True)
    assert limiter.limit == 2


def test_mixed_latencies_keep_the_limit() -> None:
    """Guards against resets caused by a mix of cached and uncached prompts.

    First-token latencies of the two differ by more than a factor of 10.
    """
    clock = _Clock()
    limiter = _limiter_after(clock, 6)
    rng = random.Random(1)
    running = [_start(limiter) for _ in range(7)]
    for tracked in running:
        limiter.record_first_token(tracked)
    for _ in range(2000):
        running.append(_start(limiter))
        clock.now += rng.choice([0.03, 0.4])
        limiter.check_overdue_first_tokens()
        tracked = running.pop()
        limiter.record_first_token(tracked)
        limiter.finish(tracked, served=True)
    assert limiter.limit == 8


def test_requests_before_a_reset_do_not_raise_the_limit() -> None:
    """Guards against a limit raised by requests or reports before a reset.

    They describe the endpoint before it turned cold.
    """
    clock = _Clock()
    limiter = _limiter_after(clock, 6)
    running = [_start(limiter) for _ in range(8)]
    clock.now += 0.1
    limiter.reset_to_cold_limit('request_failed')
    for tracked in running:
        limiter.finish(tracked, served=True)
    new_request = _start(limiter)
    limiter.finish(new_request, served=True)
    assert limiter.limit == 2
    clock.now += 0.1
    limiter.apply_load(_load(clock))
    limiter.finish(_start(limiter), served=True)
    assert limiter.limit == 3


def test_slow_first_tokens_do_not_raise_the_limit() -> None:
    """Guards against raising the limit while first tokens get slower."""
    clock = _Clock()
    limiter = _limiter_after(clock, 2)
    initial_limit = limiter.limit
    for _ in range(4):
        tracked = _start(limiter)
        clock.now += 0.35
        limiter.record_first_token(tracked)
    limits = {limiter.limit}
    clock.now += 0.35
    batch = [
        _start(limiter) for _ in range(initial_limit - limiter.own_in_flight)
    ]
    for tracked in batch:
        limiter.finish(tracked, served=True)
    assert limits == {initial_limit}
    assert limiter.limit == initial_limit


@pytest.mark.parametrize(
    ('pool', 'capacity', 'expected'),
    [
        (model.Pool('p', max_in_flight=3, cold_limit=2), 0, 3),
        (model.Pool('p', max_in_flight=16, cold_limit=2), 5, 5),
        (model.Pool('p', max_in_flight=4, cold_limit=0), 0, 4),
    ],
)
def test_max_limit(pool: model.Pool, capacity: int, expected: int) -> None:
    """Guards against a limit above that of the pool or the engine."""
    clock = _Clock()
    limiter = limiters.ConcurrencyLimiter(lambda: pool, clock)
    limiter.apply_load(_load(clock, capacity=capacity))
    for _ in range(40):
        batch = [_start(limiter) for _ in range(limiter.limit)]
        for tracked in batch:
            limiter.finish(tracked, served=True)
    assert limiter.limit == expected


@attrs.define(eq=False)
class _Job:
    arrives_at: float
    agent: int
    tracked: request_tracker.TrackedRequest
    is_call_broken: bool = False


@pytest.mark.parametrize(
    ('first', 'sent_ago_s', 'reported', 'expected'),
    [
        # The agent's request has not arrived yet when the endpoint measures.
        (2, 0.02, 2, 2),
        (2, 0.2, 2, 1),
        (2, 0.2, 1, 0),
        # A previous agent's request has arrived after the first report.
        (0, 0.2, 2, 1),
    ],
)
def test_foreign_work(
    first: int, sent_ago_s: float, reported: int, expected: int
) -> None:
    """Guards against losing the count of foreign requests while they run.

    The foreign requests are those of the agent process before a restart.
    """
    clock = _Clock()
    limiter = limiters.ConcurrencyLimiter(lambda: _POOL, clock)
    limiter.apply_load(_load(clock, first))
    _start(limiter)
    clock.now += sent_ago_s
    limiter.apply_load(_load(clock, reported))
    assert limiter.in_flight - limiter.own_in_flight == expected


# A small limit, so that the state machine often reaches it.
_SMALL_POOL = model.Pool('p', max_in_flight=4, cold_limit=2)


class _EndpointMachine(stateful.RuleBasedStateMachine):
    """An endpoint with late reports, lost answers and agent restarts.

    Requests arrive at the endpoint after a delay within the margin that the
    request tracker allows for.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = _Clock()
        self.jobs: list[_Job] = []
        self.reports: list[request_tracker.Load] = []
        self.cold = False
        self.agent = 0
        self.known_cold = False
        self.limiter = limiters.ConcurrencyLimiter(
            lambda: _SMALL_POOL, self.clock
        )
        self.violations: list[str] = []

    def _arrived(self) -> list[_Job]:
        return [job for job in self.jobs if job.arrives_at <= self.clock.now]

    @stateful.rule(delay=st.floats(0, 0.04), entries=st.integers(1, 12))
    def start(self, delay: float, entries: int) -> None:
        """Many entries send requests; only the limiter bounds them."""
        for _ in range(entries):
            if not self.limiter.has_capacity():
                return
            tracked = _start(self.limiter)
            self.jobs.append(_Job(self.clock.now + delay, self.agent, tracked))
            max_in_flight = _SMALL_POOL.max_in_flight
            if self.known_cold:
                max_in_flight = _SMALL_POOL.cold_limit
            assert len(self.jobs) <= max_in_flight

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
        if job.agent == self.agent and not job.is_call_broken:
            self.limiter.record_first_token(job.tracked)
            if not served:
                self.limiter.reset_to_cold_limit('request_failed')
            self.limiter.finish(job.tracked, served=served)

    @stateful.rule(count=st.integers(1, 4))
    def serve(self, count: int) -> None:
        """A period of full load, which raises the limit of a warm endpoint."""
        self.clock.now += 0.1
        self.measure(0, is_late=False)
        for _ in range(count):
            self.start(0, 12)
            self.clock.now += 0.1
            self.answer(0, served=True)
        self.start(0, 12)

    @stateful.rule(index=st.integers(0, 20))
    def lose_answer(self, index: int) -> None:
        """A call breaks while the endpoint continues to run the request."""
        held = [
            job
            for job in self._arrived()
            if job.agent == self.agent and not job.is_call_broken
        ]
        if held:
            job = held[index % len(held)]
            job.is_call_broken = True
            self.limiter.reset_to_cold_limit('request_failed')
            self.limiter.finish(job.tracked, served=False, may_be_running=True)

    @stateful.rule(slack=st.floats(0, 0.02), is_late=st.booleans())
    def measure(self, slack: float, is_late: bool) -> None:
        """The endpoint measures its load; the agent may read it later."""
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
        """A late report arrives, possibly out of order."""
        load = self.reports.pop(index % len(self.reports))
        self.clock.now += _REPORT_LAG_S / 10
        self.limiter.apply_load(load)
        self.known_cold = self.limiter.cold

    @stateful.rule()
    def change_cold_state(self) -> None:
        self.cold = not self.cold

    # A restart only matters while requests are running.
    @stateful.precondition(lambda self: bool(self.jobs))
    @stateful.rule()
    def restart_agent(self) -> None:
        """Requests of the previous agent go on; all have arrived."""
        self.clock.now += 0.05
        self.agent += 1
        self.limiter = limiters.ConcurrencyLimiter(
            lambda: _SMALL_POOL, self.clock
        )
        self.known_cold = False

    @stateful.invariant()
    def never_above_the_pool(self) -> None:
        assert len(self.jobs) <= _SMALL_POOL.max_in_flight
        assert self.limiter.limit <= _SMALL_POOL.max_in_flight


_EndpointMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)


# Guards against exceeding the pool's limits after any sequence of faults.
TestInFlight = _EndpointMachine.TestCase
