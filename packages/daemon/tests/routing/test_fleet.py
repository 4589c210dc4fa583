"""Tests of the fleet index against a naive list of reports."""

from __future__ import annotations

import functools
import random
from typing import Any

import attrs
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from yuccarouter.routing import views

_NAMES = [f'e{number}' for number in range(6)]
_ZONES = ['muenchen', 'nuernberg']
_VERSIONS = ['clue@1', 'clue@2']


class FleetMachine(stateful.RuleBasedStateMachine):
    """Guards against an index that keeps or loses endpoints."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.rng = random.Random(7)
        self.fleet = views.Fleet(lambda: self.now_ms, self.rng.random)
        self.naive: dict[str, views.EndpointView] = {}
        self.suspect: dict[str, float] = {}
        self.own: dict[str, int] = {}
        self.sequence = 0

    @stateful.rule(passed_ms=st.integers(1, 400))
    def wait(self, passed_ms: int) -> None:
        self.now_ms += passed_ms

    @stateful.rule(
        name=st.sampled_from(_NAMES),
        zone=st.sampled_from(_ZONES),
        pool=st.sampled_from(['p', 'q']),
        state=st.sampled_from(['ready', 'cold', 'leaving', 'down']),
        versions=st.sets(st.sampled_from(_VERSIONS)),
        prefixes=st.frozensets(st.integers(1, 3)),
    )
    def report(
        self, name: str, zone: str, versions: set[str], **fields: Any
    ) -> None:
        self.sequence += 1
        held = self.naive.get(name)
        view = views.EndpointView(
            name,
            'vm' if held is None else held.vm,
            zone,
            address='127.0.0.1:1',
            versions=tuple(versions),
            received_ms=self.now_ms,
            sequence=self.sequence,
            **fields,
        )
        assert self.fleet.update(view)
        self.naive[name] = view
        self.own.setdefault(name, 0)

    @stateful.rule(name=st.sampled_from(_NAMES))
    def late_report(self, name: str) -> None:
        held = self.naive.get(name)
        if held is not None and self.now_ms - held.received_ms < 3000:
            assert not self.fleet.update(held)

    @stateful.rule(name=st.sampled_from(_NAMES))
    def remove(self, name: str) -> None:
        self.fleet.remove(name)
        for table in (self.naive, self.suspect, self.own):
            table.pop(name, None)

    @stateful.rule(name=st.sampled_from(_NAMES))
    def fail(self, name: str) -> None:
        if name in self.naive and self.now_ms >= self.suspect.get(name, 0):
            self.fleet.record_failure(name)
            until_ms = self.fleet.evidence(name).backoff_until_ms
            assert until_ms >= self.now_ms + 250
            self.suspect[name] = until_ms

    @stateful.rule(name=st.sampled_from(_NAMES), ok=st.booleans())
    def run(self, name: str, ok: bool) -> None:
        self.fleet.record_start(name)
        if name in self.naive:
            self.own[name] += 1
            assert self.fleet.load(name) >= self.own[name]
        if ok:
            self.fleet.record_end(name, ok)
            if name in self.naive:
                self.own[name] -= 1

    @stateful.invariant()
    def own_requests_add_up(self) -> None:
        for name, count in self.own.items():
            assert self.fleet.evidence(name).in_flight == count

    @stateful.rule(
        name=st.sampled_from(_NAMES),
        prefixes=st.frozensets(st.integers(1, 3)),
    )
    def change_cache(self, name: str, prefixes: frozenset[int]) -> None:
        if name in self.naive:
            self.sequence += 1
            self.naive[name] = attrs.evolve(
                self.naive[name],
                prefixes=prefixes,
                received_ms=self.now_ms,
                sequence=self.sequence,
            )
            assert self.fleet.update(self.naive[name])

    @stateful.rule(name=st.sampled_from(_NAMES), zone=st.sampled_from(_ZONES))
    def replace_vm(self, name: str, zone: str) -> None:
        held = self.naive.get(name)
        if held is None or held.received_ms == self.now_ms:
            return
        self.naive[name] = attrs.evolve(
            held,
            vm=f'{held.vm}+',
            data_centre=zone,
            received_ms=self.now_ms,
            sequence=0,
        )
        assert self.fleet.update(self.naive[name])
        self.suspect.pop(name, None)
        self.own[name] = 0

    @stateful.invariant()
    def same_candidates(self) -> None:
        for pool in ('p', 'q'):
            for version in ('', *_VERSIONS):
                expected = {
                    view.endpoint
                    for view in self.naive.values()
                    if view.pool == pool
                    and version in (view.versions or ('',))
                    and view.state in {'ready', 'cold'}
                    and self.now_ms >= self.suspect.get(view.endpoint, 0)
                }
                drawn = self.fleet.sample(
                    (pool, version), _ZONES, 9, (), self.rng.random
                )
                assert len(drawn) == len(set(drawn))
                assert set(drawn) == expected

    @stateful.invariant()
    def prefix_holders_are_routable(self) -> None:
        for prefix in (1, 2, 3):
            expected = {
                view.endpoint
                for view in self.naive.values()
                if view.pool == 'p'
                and prefix in view.prefixes
                and view.state in {'ready', 'cold'}
                and self.now_ms >= self.suspect.get(view.endpoint, 0)
            }
            drawn = {
                self.fleet.index.holder(
                    'p', prefix, functools.partial(float, place / 7)
                )
                for place in range(7)
            }
            assert drawn - {''} == expected


TestFleet = FleetMachine.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


def _view(name: str, **fields: Any) -> views.EndpointView:
    return views.EndpointView(name, 'vm', 'z', 'p', 'a', **fields)


def test_own_requests_since_measurement() -> None:
    """Guards against forgetting requests that a lagging report lacks."""
    now = [0.0]
    fleet = views.Fleet(lambda: now[0], lambda: 0)
    # Without age, the estimate doesn't move to the pool's mean.
    steady = {'limit': 8, 'service_time_ms': 1e12}
    fleet.update(_view('e', sequence=1, **steady))
    for now[0] in (100.0, 200.0):
        fleet.record_start('e')
    now[0] = 300.0
    # The measurement is of 150 ms: it includes the first request only.
    fleet.update(
        _view(
            'e',
            in_flight=5,
            sequence=2,
            received_ms=300,
            age_ms=150,
            **steady,
        )
    )
    assert fleet.load('e') == pytest.approx(6)


def test_old_report_moves_to_mean() -> None:
    """Guards against an old report of an idle endpoint attracting all."""
    now = [0.0]
    fleet = views.Fleet(lambda: now[0], lambda: 0)
    fleet.update(_view('idle', limit=10))
    fleet.update(_view('busy', limit=10, in_flight=10))
    assert fleet.load('idle') == 0
    now[0] = 20_000
    assert abs(fleet.load('idle') - fleet.load('busy')) < 0.01


def test_backoff_grows_and_ends() -> None:
    """Guards against probing a dead endpoint at a constant rate."""
    now = [0.0]
    fleet = views.Fleet(lambda: now[0], lambda: 0)
    fleet.update(_view('e'))
    spans = []
    for _ in range(8):
        fleet.record_failure('e')
        spans.append(fleet.evidence('e').backoff_until_ms - now[0])
        assert not fleet.is_routable('e', 'p', '')
        now[0] = fleet.evidence('e').backoff_until_ms
        assert fleet.is_routable('e', 'p', '')
    assert spans == [250, 500, 1000, 2000, 4000, 8000, 16_000, 16_000]
    fleet.record_start('e')
    fleet.record_end('e', ok=True)
    fleet.record_failure('e')
    assert fleet.evidence('e').backoff_until_ms - now[0] == 250


def test_restarted_agent_is_heard() -> None:
    """Guards against ignoring an agent whose sequence starts again."""
    fleet = views.Fleet(lambda: 0, lambda: 0)
    fleet.update(_view('e', sequence=90))
    assert not fleet.update(_view('e', sequence=1, received_ms=500))
    assert fleet.update(_view('e', sequence=1, received_ms=4000))
