"""Tests of the policy, the controller and the loading of weights."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from yuccarouter.rollout import (
    collectors,
    controller,
    errors,
    evidence,
    policy,
    weights,
)
from yuccarouter_common import apply, model, records
from yuccarouter_common.platform import errors as platform_errors

_LONG_MS = 10**8
_ROLLING = model.Rollout(
    'c@2', 'c', '2', '1', state='rolling', step=1, share=0.05
)


@pytest.mark.parametrize(
    ('rollout', 'known', 'expected'),
    [
        ({}, {'harm': 99.0}, policy.Hold(0.05, 'more evidence is needed on ')),
        (
            {},
            {'harm': 100.0, 'harm_cause': 'errors of a', 'request_count': 7},
            policy.Withdraw(
                'worse than c@1 in errors of a '
                '(e-value 100 after 7 compared requests)'
            ),
        ),
        ({'state': 'held'}, {'no_harm': 99.0}, policy.Hold(0.05, '')),
        (
            {'state': 'held'},
            {'harm': 100.0},
            policy.Withdraw(
                'worse than c@1 in  (e-value 100 after 0 compared requests)'
            ),
        ),
        (
            {'state': 'created', 'step': 0, 'share': 0},
            {'loaded': False},
            policy.Hold(0, 'weights are being loaded'),
        ),
        (
            {'state': 'created', 'step': 0, 'share': 0},
            {},
            policy.Advance(0, 0.01, 'weights are loaded'),
        ),
        (
            {},
            {'no_harm': 20.0, 'weakest_test': 'rating of a'},
            policy.Advance(
                2,
                0.2,
                'no harm at step 1 (weakest e-value 20, rating of a)',
            ),
        ),
        (
            {},
            {'no_harm': 20.0, 'step_elapsed_ms': 1000},
            policy.Hold(0.05, 'step 1 goes on'),
        ),
        (
            {},
            {'no_harm': 99.0, 'missing_share': 0.3},
            policy.Hold(0.05, 'ratings are missing'),
        ),
        (
            {},
            {'no_harm': 99.0, 'unrated': 200},
            policy.Hold(0, '200 requests are not rated yet'),
        ),
        # 100 of 200 allowed requests are unrated with a lag of 20 s, 1000
        # requests/s and a share of 0.005.
        (
            {},
            {'rating_lag_ms': 20_000.0, 'requests_per_s': 1000.0},
            policy.Hold(0.005, '0 requests are not rated yet'),
        ),
        (
            {'share': 0},
            {'unrated': 10},
            policy.Hold(0.05, 'more evidence is needed on '),
        ),
        (
            {'step': 3, 'share': 0.5},
            {'no_harm': 20.0},
            policy.Advance(4, 0.95, 'no harm at step 3 (weakest e-value 20, )'),
        ),
        (
            {'step': 4, 'share': 0.95},
            {'no_harm': 20.0},
            policy.Finish('no harm at step 4 (weakest e-value 20, )'),
        ),
    ],
)
def test_decide(
    rollout: dict[str, Any],
    known: dict[str, Any],
    expected: policy.Decision,
) -> None:
    """Guards against advancing without evidence and keeping bad versions."""
    decision = policy.decide(
        attrs.evolve(_ROLLING, **rollout),
        evidence.Evidence(**{'step_elapsed_ms': _LONG_MS, **known}),
    )
    assert decision == expected


@attrs.define
class _ControllerContext:
    """Stand-in for the lease, the evidence and the log of a controller."""

    configuration: model.Configuration
    known: evidence.Evidence = evidence.Evidence()
    valid: bool = True
    number: int = 5
    lose_lease_after_records: int = 10**6
    written: list[records.Record] = attrs.field(factory=list)
    steps: list[int] = attrs.field(factory=list)
    fault: platform_errors.PlatformError | None = None

    def fencing_number(self) -> int:
        return self.number

    def is_valid(self) -> bool:
        return self.valid and len(self.written) < self.lose_lease_after_records

    def evidence(self, rollout: model.Rollout) -> evidence.Evidence:
        return self.known

    def start_step(self, rollout: model.Rollout) -> None:
        self.steps.append(rollout.step)

    def stop(self, name: str) -> None:
        self.steps.append(-1)

    async def publish(self, record: records.Record) -> None:
        if self.fault is not None:
            raise self.fault
        self.written.append(record)
        self.configuration, _ = apply.apply_record(
            self.configuration,
            self.configuration.position.offset + 1,
            record,
        )

    def controller(self) -> controller.Controller:
        return controller.Controller(
            lease=self,
            source=self,
            configuration=lambda: self.configuration,
            publish=self.publish,
        )

    @property
    def rollout(self) -> model.Rollout:
        return self.configuration.rollouts['c@2']


@pytest.fixture
def context() -> _ControllerContext:
    """Return the stand-in with a roll-out at its second step."""
    return _ControllerContext(
        model.Configuration(
            position=model.Position(0, 9),
            versions={'c@2': model.ModelVersion('c', '2', 'p')},
            rollouts={'c@2': _ROLLING},
        )
    )


_NO_HARM = evidence.Evidence(no_harm=50, step_elapsed_ms=_LONG_MS)
_HARMFUL = evidence.Evidence(harm=500, harm_cause='errors of a')


async def test_advance(context: _ControllerContext) -> None:
    """Guards against a record without fencing number or condition."""
    context.known = _NO_HARM
    await context.controller().step()
    assert (context.rollout.step, context.rollout.share) == (2, 0.2)
    assert context.rollout.fencing_number == 5
    assert context.written[0].condition.expected_offset == -1


async def test_hold_writes_nothing(context: _ControllerContext) -> None:
    """Guards against a record every second while nothing changes."""
    await context.controller().step()
    assert not context.written


@pytest.mark.parametrize(
    ('changes', 'count'),
    [
        ({'valid': False}, 0),
        ({'number': 4}, 0),
        ({'lose_lease_after_records': 1}, 1),
    ],
)
async def test_without_lease(
    context: _ControllerContext, changes: dict[str, Any], count: int
) -> None:
    """Guards against acting without the lease, also if lost in a step."""
    context.known = _HARMFUL
    context.configuration.rollouts['c@2'] = attrs.evolve(
        _ROLLING, fencing_number=5
    )
    for name, value in changes.items():
        setattr(context, name, value)
    await context.controller().step()
    assert len(context.written) == count


async def test_withdraw(context: _ControllerContext) -> None:
    """Guards against a withdrawn roll-out whose version is still in use."""
    context.known = _HARMFUL
    await context.controller().step()
    assert context.configuration.versions['c@2'].state == model.WITHDRAWN
    assert (context.rollout.state, context.rollout.share) == ('withdrawn', 0)


async def test_incomplete_withdrawal(context: _ControllerContext) -> None:
    """Guards against a withdrawal that a lost record leaves incomplete."""
    context.configuration.rollouts['c@2'] = attrs.evolve(
        _ROLLING, state='withdrawn'
    )
    await context.controller().step()
    assert context.configuration.versions['c@2'].state == model.WITHDRAWN


async def test_withdrawn_by_operator(context: _ControllerContext) -> None:
    """Guards against advancing a version that an operator has withdrawn."""
    context.known = _NO_HARM
    version = model.ModelVersion('c', '2', 'p', state=model.WITHDRAWN)
    context.configuration.versions['c@2'] = version
    await context.controller().step()
    assert context.rollout.state == 'withdrawn'
    assert context.rollout.reason == 'the version is withdrawn'


async def test_takeover(context: _ControllerContext) -> None:
    """Guards against a takeover that restarts or uses old evidence."""
    context.known = _NO_HARM
    first = context.controller()
    await first.step()
    context.number = 8
    second = context.controller()
    await second.step()
    assert context.rollout.step == 3
    assert context.steps == [1, 2]
    context.number = 5
    await first.step()
    assert context.rollout.step == 3


async def test_paused_controller(context: _ControllerContext) -> None:
    """Guards against an effect of a decision on an outdated state.

    The second controller was paused, so that it decides on a configuration
    from before the first one's record.
    """
    context.known = _NO_HARM
    outdated = context.configuration
    await context.controller().step()
    paused = controller.Controller(
        lease=context,
        source=context,
        configuration=lambda: outdated,
        publish=context.publish,
    )
    await paused.step()
    assert len(context.written) == 2
    assert context.rollout.step == 2


@pytest.mark.parametrize(
    'fault',
    [
        platform_errors.UnavailableError('down'),
        platform_errors.AnswerLostError('lost'),
    ],
)
async def test_log_fault(
    context: _ControllerContext, fault: platform_errors.PlatformError
) -> None:
    """Guards against a controller that stops when an append fails."""
    context.known = _NO_HARM
    context.fault = fault
    tested = context.controller()
    await tested.step()
    context.fault = None
    await tested.step()
    assert context.rollout.step == 2


async def test_service(context: _ControllerContext) -> None:
    """Guards against a service that does not act or does not stop."""
    context.known = _NO_HARM
    async with context.controller():
        async with asyncio.timeout(10):
            while context.rollout.step == 1:
                await asyncio.sleep(0.01)


async def test_second_rollout_of_a_version(context: _ControllerContext) -> None:
    """Guards against evidence of an earlier roll-out of the same name."""
    tested = context.controller()
    await tested.step()
    context.configuration.rollouts['c@2'] = attrs.evolve(
        _ROLLING, state='finished'
    )
    await tested.step()
    context.configuration.rollouts['c@2'] = attrs.evolve(
        _ROLLING, state='created', step=0, share=0
    )
    await tested.step()
    await tested.step()
    assert context.steps == [1, -1, 0, 0]


def test_collectors() -> None:
    """Guards against requests counted for the wrong version."""
    now_ms = 0
    source = collectors.Collectors(('a',), lambda: now_ms, lambda rollout: True)
    source.start_step(_ROLLING)
    for number in range(600):
        now_ms += 100
        for version, failed in (('c@1', False), ('c@2', True), ('d@1', True)):
            source.add_request(
                version,
                evidence.Request(
                    f'{version}/{number}', 'a', False, failed, 1, now_ms
                ),
            )
            source.add_rating(
                version,
                evidence.Rating(
                    f'{version}/{number}', 'a', False, 0.5, now_ms + 5
                ),
            )
    known = source.evidence(_ROLLING)
    assert known.harm_cause.startswith('errors')
    assert known.harm > 100
    assert known.request_count == 600
    assert known.rating_lag_ms == 5
    # 20 requests/s, averaged over one time constant of the decaying rate.
    assert known.requests_per_s == pytest.approx(20 * (1 - 0.368), rel=0.05)
    source.stop('c@2')
    source.start_step(_ROLLING)
    assert source.evidence(_ROLLING).request_count == 0


def test_sample() -> None:
    """Guards against processor time that grows with the traffic.

    Only a sample of the requests is compared; the unrated requests and the
    rate must still be those of all requests.
    """
    source = collectors.Collectors(
        ('a',), lambda: 120_000, lambda rollout: True
    )
    source.start_step(_ROLLING)
    for number in range(60_000):
        source.add_request(
            'c@2',
            evidence.Request(str(number), 'a', True, False, 1, number * 2),
        )
    known = source.evidence(_ROLLING)
    # 500 requests/s, of which 20/s are compared once the rate has converged.
    assert 20 * 120 < known.request_count < 6 * 20 * 120
    assert known.unrated == pytest.approx(
        known.request_count * 500 / 20, rel=0.2
    )
    assert known.requests_per_s == pytest.approx(500, rel=0.2)


_TARGETS = strategies.lists(
    strategies.sampled_from('xyz'), min_size=1, max_size=20
).map(
    lambda data_centres: [
        weights.Target(f'e{number}', data_centre)
        for number, data_centre in enumerate(data_centres)
    ]
)


@hypothesis.given(_TARGETS)
def test_even_loading(targets: list[weights.Target]) -> None:
    """Guards against one data centre that waits until another is loaded."""
    while True:
        target = weights.next_target(targets, frozenset())
        if target is None:
            break
        share = _loaded_share(targets, target.data_centre)
        others = [
            _loaded_share(targets, other.data_centre) for other in targets
        ]
        assert share == min(others)
        targets = [
            attrs.evolve(each, is_loaded=True) if each == target else each
            for each in targets
        ]
    assert all(target.is_loaded for target in targets)


def _loaded_share(targets: list[weights.Target], data_centre: str) -> float:
    loaded = [
        target.is_loaded
        for target in targets
        if target.data_centre == data_centre
    ]
    return sum(loaded) / len(loaded)


async def test_loading_rate() -> None:
    """Guards against exceeding the store's rate limit.

    A failing endpoint must not keep the others from loading either.
    """
    loaded: set[str] = set()
    attempts: list[tuple[int, str]] = []
    now_ms = 0

    async def load(target: weights.Target) -> None:
        attempts.append((now_ms, target.endpoint))
        if target.endpoint == 'a':
            raise errors.LoadFailedError('no memory')
        if len(attempts) == 2:
            raise errors.LoadRefusedError('busy', retry_after_ms=5000)
        loaded.add(target.endpoint)

    loader = weights.RateLimitedLoader(load, lambda: now_ms)
    names = ('a', 'b', 'c')
    while loaded != {'b', 'c'}:
        await loader.step(
            [weights.Target(name, 'x', name in loaded) for name in names]
        )
        now_ms += 500
    assert attempts == [
        (0, 'a'),
        (1000, 'b'),
        (6000, 'a'),
        (7000, 'b'),
        (8000, 'c'),
    ]


async def test_loading_ends() -> None:
    """Guards against loading that never ends or skips an endpoint."""
    loaded: set[str] = set()

    async def load(target: weights.Target) -> None:
        loaded.add(target.endpoint)

    loader = weights.RateLimitedLoader(load, lambda: 0, interval_ms=0)
    await loader.run(
        lambda: [weights.Target(name, 'x', name in loaded) for name in 'ab']
    )
    assert loaded == {'a', 'b'}
