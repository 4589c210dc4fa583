"""Tests of the decision whether a request is sent, waits or is refused."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from typing import Any

import attrs
import pytest

from yuccarouter.gateway import model
from yuccarouter.gateway.overload import admission, endpoint_loads

OBJECTIVE_MS = 418.0
SLOTS = 6
QUEUE_LENGTH = 24
DIGEST_INTERVAL_MS = 400.0


def demanded(**fields: Any) -> admission.Demanded:
    values = {
        'objective_ms': 400,
        'objective_left_ms': 400,
        'time_left_ms': 2000,
        'draw': 0.5,
        **fields,
    }
    return admission.Demanded(**values)


def estimate(**fields: Any) -> admission.Estimate:
    values = {'wait_ms': 0, 'work_ms': 100, 'news_ms': math.inf, **fields}
    return admission.Estimate(**values)


@pytest.mark.parametrize(
    ('case', 'request_fields', 'known', 'expected'),
    [
        ('idle', {'draw': 0}, {}, 'admit'),
        ('over its share, but in time', {}, {'admitted_share': 0}, 'admit'),
        ('late, but not overloaded', {'time_left_ms': 90}, {}, 'admit'),
        ('no time', {'time_left_ms': 300}, {'wait_ms': 260}, 'time_budget'),
        ('late', {}, {'wait_ms': 310}, 'overload'),
        (
            'over its share',
            {},
            {'wait_ms': 200, 'admitted_share': 0.4},
            'over_share',
        ),
        ('lucky', {'draw': 0.9}, {'wait_ms': 200}, 'admit'),
        ('news soon', {}, {'wait_ms': 310, 'news_ms': 50}, 'wait'),
        (
            'news too late',
            {'objective_left_ms': 140},
            {'wait_ms': 310, 'news_ms': 50},
            'overload',
        ),
        ('shed by reports', {}, {'shed_share': 0.6}, 'overload'),
        (
            'of high priority',
            {},
            {'shed_share': 0.6, 'usual_priority': 1},
            'admit',
        ),
        ('late prompt', {}, {'wait_ms': 310, 'is_prompt': True}, 'admit'),
        ('later prompt', {}, {'wait_ms': 590, 'is_prompt': True}, 'overload'),
        ('probe', {'draw': 0.99}, {'wait_ms': 1500}, 'admit'),
    ],
)
def test_decisions(
    case: str,
    request_fields: dict[str, float],
    known: dict[str, Any],
    expected: str,
) -> None:
    """Guards against refusals without need, and against work without use.

    Requests of organisations within their share must not pay for a flood.
    """
    decision = admission.decide(demanded(**request_fields), estimate(**known))
    assert (decision.reason or decision.verdict.value) == expected or (
        decision.verdict.value == expected
    ), case


@attrs.define
class Daemon:
    load: endpoint_loads.EndpointLoad
    loads: endpoint_loads.Loads
    sent: int = 0


@attrs.define
class Deployment:
    """Daemons before one endpoint, whose queue is plain arithmetic."""

    daemons: int
    slowness: float
    controls_overload: bool = True
    counts: dict[str, int] = attrs.field(
        factory=lambda: dict.fromkeys(('in_time', 'late', 'full', 'shed'), 0)
    )
    events: list[Any] = attrs.field(factory=list)
    free_at_ms: list[float] = attrs.field(factory=lambda: [0.0] * SLOTS)
    ends_ms: list[float] = attrs.field(factory=list)
    order: Any = attrs.field(factory=itertools.count)
    draws: random.Random = attrs.field(factory=lambda: random.Random(1))

    def schedule(self, at_ms: float, kind: str, *rest: Any) -> None:
        heapq.heappush(self.events, (at_ms, next(self.order), kind, rest))

    def run(self, per_s: float, seconds: int) -> dict[str, float]:
        """Return requests a second by outcome."""
        members = []
        for index in range(self.daemons):
            loads = endpoint_loads.Loads()
            loads.record_report('e', model.Load(1, 0, SLOTS), 0)
            load = loads.get('e')
            assert load is not None
            load.record_answer(75, 0, OBJECTIVE_MS)
            members.append(Daemon(load, loads))
            first_ms = self.draws.uniform(0, DIGEST_INTERVAL_MS)
            self.schedule(first_ms, 'digest', index, index)
        at_ms = 0.0
        while at_ms < seconds * 1000:
            at_ms += self.draws.expovariate(per_s / 1000)
            self.schedule(at_ms, 'arrival')
        while self.events:
            now_ms, _, kind, rest = heapq.heappop(self.events)
            if kind == 'arrival':
                self.arrive(self.draws.choice(members), now_ms)
            elif kind == 'answer':
                self.answer(now_ms, *rest)
            elif now_ms < seconds * 1000:
                self.send_digest(members, now_ms, *rest)
        return {key: count / seconds for key, count in self.counts.items()}

    def arrive(self, daemon: Daemon, now_ms: float) -> None:
        load = daemon.load
        if self.controls_overload:
            assert load.work_ms is not None
            decision = admission.decide(
                demanded(
                    objective_ms=OBJECTIVE_MS,
                    objective_left_ms=OBJECTIVE_MS,
                    draw=self.draws.random(),
                ),
                admission.Estimate(
                    wait_ms=load.wait_ms(daemon.sent, now_ms),
                    work_ms=load.work_ms,
                    news_ms=math.inf,
                    shed_share=load.shed_share_at(now_ms),
                ),
            )
            if decision.verdict is not admission.Verdict.ADMIT:
                self.counts['shed'] += 1
                return
        daemon.sent += 1
        self.ends_ms = [end_ms for end_ms in self.ends_ms if end_ms > now_ms]
        if len(self.ends_ms) >= SLOTS + QUEUE_LENGTH:
            self.counts['full'] += 1
            self.report(daemon, now_ms)
            return
        before = load.waiting_at(daemon.sent, now_ms)
        begin_ms = max(now_ms, heapq.heappop(self.free_at_ms))
        end_ms = begin_ms + self.slowness * self.draws.uniform(60, 90)
        heapq.heappush(self.free_at_ms, end_ms)
        self.ends_ms.append(end_ms)
        self.schedule(end_ms, 'answer', daemon, now_ms, before)

    def report(self, daemon: Daemon, now_ms: float) -> None:
        present = sum(end_ms > now_ms for end_ms in self.ends_ms)
        running = min(SLOTS, present)
        daemon.loads.record_report(
            'e', model.Load(running, present - running, SLOTS), now_ms
        )
        daemon.sent = 0

    def answer(
        self, now_ms: float, daemon: Daemon, sent_ms: float, before: float
    ) -> None:
        elapsed_ms = now_ms - sent_ms
        self.report(daemon, now_ms)
        daemon.load.record_answer(elapsed_ms, before, OBJECTIVE_MS)
        self.counts['in_time' if elapsed_ms <= OBJECTIVE_MS else 'late'] += 1

    def send_digest(
        self, members: list[Daemon], now_ms: float, index: int, following: int
    ) -> None:
        message = members[index].loads.message(now_ms)
        for step in range(1, 9):
            peer = members[(following + step) % self.daemons]
            if peer is not members[index]:
                peer.loads.merge(message, now_ms)
        self.schedule(
            now_ms + DIGEST_INTERVAL_MS, 'digest', index, following + 8
        )


@pytest.mark.parametrize(
    ('daemons', 'per_s', 'slowness', 'least_in_time'),
    [
        # Enough capacity: 6 slots of 75 ms serve 80 requests a second.
        (46, 60, 1, 0.99),
        (46, 70, 1, 0.97),
        # Too little, as demand is high or the endpoint slow.
        (46, 100, 1, 0.95),
        (46, 85, 1.8, 0.85),
        (46, 70, 2.5, 0.7),
        (46, 100, 2.5, 0.7),
        (3, 100, 2.5, 0.8),
        (400, 100, 1.8, 0.6),
    ],
)
def test_one_endpoint_left(
    daemons: int, per_s: float, slowness: float, least_in_time: float
) -> None:
    """Guards against an endpoint whose queue makes all answers late.

    Each daemon has a small part of the load and decides on old reports.
    """
    counts = Deployment(daemons, slowness).run(per_s, seconds=30)
    arrived_per_s = sum(counts.values())
    served_per_s = min(arrived_per_s, SLOTS * 1000 / (75 * slowness))
    assert counts['in_time'] >= least_in_time * served_per_s, counts
    without = Deployment(daemons, slowness, controls_overload=False)
    in_time_without = without.run(per_s, seconds=30)['in_time']
    assert counts['in_time'] >= 0.97 * in_time_without, in_time_without
    if slowness > 1:
        assert counts['in_time'] > 4 * in_time_without, in_time_without
