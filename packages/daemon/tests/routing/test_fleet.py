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
_DATA_CENTRES = ['muenchen', 'nuernberg']
_VERSIONS = ['clue@1', 'clue@2']


class FleetMachine(stateful.RuleBasedStateMachine):
    """Guards against an index that differs from the reports.

    Reports, removals, failures and replaced VMs in any order must not leave an
    unroutable endpoint in it, or a routable one out of it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.rng = random.Random(7)
        self.fleet = views.Fleet(lambda: self.now_ms, self.rng.random)
        self.naive: dict[str, views.EndpointView] = {}
        self.backoff_until_ms: dict[str, float] = {}
        self.own_in_flight: dict[str, int] = {}
        self.sequence = 0

    @stateful.rule(elapsed_ms=st.integers(1, 400))
    def wait(self, elapsed_ms: int) -> None:
        self.now_ms += elapsed_ms

    @stateful.rule(
        name=st.sampled_from(_NAMES),
        data_centre=st.sampled_from(_DATA_CENTRES),
        pool=st.sampled_from(['p', 'q']),
        state=st.sampled_from(['ready', 'cold', 'leaving', 'down']),
        versions=st.sets(st.sampled_from(_VERSIONS)),
        prefixes=st.frozensets(st.integers(1, 3)),
    )
    def report(
        self, name: str, data_centre: str, versions: set[str], **fields: Any
    ) -> None:
        self.sequence += 1
        previous = self.naive.get(name)
        view = views.EndpointView(
            name,
            'vm' if previous is None else previous.vm,
            data_centre,
            address='127.0.0.1:1',
            versions=tuple(versions),
            received_ms=self.now_ms,
            sequence=self.sequence,
            **fields,
        )
        assert self.fleet.update(view)
        self.naive[name] = view
        self.own_in_flight.setdefault(name, 0)

    @stateful.rule(name=st.sampled_from(_NAMES))
    def late_report(self, name: str) -> None:
        previous = self.naive.get(name)
        if previous is not None and self.now_ms - previous.received_ms < 3000:
            assert not self.fleet.update(previous)

    @stateful.rule(name=st.sampled_from(_NAMES))
    def remove(self, name: str) -> None:
        self.fleet.remove(name)
        for table in (self.naive, self.backoff_until_ms, self.own_in_flight):
            table.pop(name, None)

    @stateful.rule(name=st.sampled_from(_NAMES))
    def fail(self, name: str) -> None:
        if name in self.naive and self.now_ms >= self.backoff_until_ms.get(
            name, 0
        ):
            self.fleet.record_failure(name)
            until_ms = self.fleet.observations(name).backoff_until_ms
            assert until_ms >= self.now_ms + 250
            self.backoff_until_ms[name] = until_ms

    @stateful.rule(name=st.sampled_from(_NAMES), ok=st.booleans())
    def run(self, name: str, ok: bool) -> None:
        self.fleet.record_start(name)
        if name in self.naive:
            self.own_in_flight[name] += 1
            assert self.fleet.load(name) >= self.own_in_flight[name]
        if ok:
            self.fleet.record_end(name, ok)
            if name in self.naive:
                self.own_in_flight[name] -= 1

    @stateful.invariant()
    def own_requests_match(self) -> None:
        for name, count in self.own_in_flight.items():
            assert self.fleet.observations(name).in_flight == count

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

    @stateful.rule(
        name=st.sampled_from(_NAMES), data_centre=st.sampled_from(_DATA_CENTRES)
    )
    def replace_vm(self, name: str, data_centre: str) -> None:
        previous = self.naive.get(name)
        if previous is None or previous.received_ms == self.now_ms:
            return
        self.naive[name] = attrs.evolve(
            previous,
            vm=f'{previous.vm}+',
            data_centre=data_centre,
            received_ms=self.now_ms,
            sequence=0,
        )
        assert self.fleet.update(self.naive[name])
        self.backoff_until_ms.pop(name, None)
        self.own_in_flight[name] = 0

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
                    and self.now_ms
                    >= self.backoff_until_ms.get(view.endpoint, 0)
                }
                sampled = self.fleet.sample(
                    (pool, version), _DATA_CENTRES, 9, (), self.rng.random
                )
                assert len(sampled) == len(set(sampled))
                assert set(sampled) == expected

    @stateful.invariant()
    def prefix_holders_are_routable(self) -> None:
        for prefix in (1, 2, 3):
            expected = {
                view.endpoint
                for view in self.naive.values()
                if view.pool == 'p'
                and prefix in view.prefixes
                and view.state in {'ready', 'cold'}
                and self.now_ms >= self.backoff_until_ms.get(view.endpoint, 0)
            }
            sampled = {
                self.fleet.index.holder(
                    'p', prefix, functools.partial(float, step / 7)
                )
                for step in range(7)
            }
            assert sampled - {''} == expected


TestFleet = FleetMachine.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


def _view(name: str, **fields: Any) -> views.EndpointView:
    return views.EndpointView(name, 'vm', 'z', 'p', 'a', **fields)


def test_own_requests_since_measurement() -> None:
    """Guards against missing requests that a late report doesn't include.

    A report counts only requests that started before its measurement.
    """
    now = [0.0]
    fleet = views.Fleet(lambda: now[0], lambda: 0)
    # A very long service time keeps the estimate from decaying to the mean.
    without_decay = {'limit': 8, 'service_time_ms': 1e12}
    fleet.update(_view('e', sequence=1, **without_decay))
    for now[0] in (100.0, 200.0):
        fleet.record_start('e')
    now[0] = 300.0
    # Measured at 150 ms, the report includes only the first request.
    fleet.update(
        _view(
            'e',
            in_flight=5,
            sequence=2,
            received_ms=300,
            age_ms=150,
            **without_decay,
        )
    )
    assert fleet.load('e') == pytest.approx(6)


def test_load_of_old_report_decays_to_mean() -> None:
    """Guards against all requests going to an endpoint that was idle.

    An old report says that it is idle although requests have arrived since.
    """
    now = [0.0]
    fleet = views.Fleet(lambda: now[0], lambda: 0)
    fleet.update(_view('idle', limit=10))
    fleet.update(_view('busy', limit=10, in_flight=10))
    assert fleet.load('idle') == 0
    now[0] = 20_000
    assert abs(fleet.load('idle') - fleet.load('busy')) < 0.01


def test_backoff_grows_and_ends() -> None:
    """Guards against trying a failed endpoint at a constant rate."""
    now = [0.0]
    fleet = views.Fleet(lambda: now[0], lambda: 0)
    fleet.update(_view('e'))
    backoffs_ms = []
    for _ in range(8):
        fleet.record_failure('e')
        backoffs_ms.append(fleet.observations('e').backoff_until_ms - now[0])
        assert not fleet.is_routable('e', 'p', '')
        now[0] = fleet.observations('e').backoff_until_ms
        assert fleet.is_routable('e', 'p', '')
    assert backoffs_ms == [250, 500, 1000, 2000, 4000, 8000, 16_000, 16_000]
    fleet.record_start('e')
    fleet.record_end('e', ok=True)
    fleet.record_failure('e')
    assert fleet.observations('e').backoff_until_ms - now[0] == 250


def test_reports_of_restarted_agent_are_applied() -> None:
    """Guards against ignoring an agent after its restart.

    Its sequence starts at zero again, so its reports look late.
    """
    fleet = views.Fleet(lambda: 0, lambda: 0)
    fleet.update(_view('e', sequence=90))
    assert not fleet.update(_view('e', sequence=1, received_ms=500))
    assert fleet.update(_view('e', sequence=1, received_ms=4000))
