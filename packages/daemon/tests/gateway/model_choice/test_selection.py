"""Tests of the models that a stream asks, with and without load control."""

from __future__ import annotations

import contextlib
import math
import types
from typing import TYPE_CHECKING, Any

import attrs
import gateway_makers as make
import pytest

from yuccarouter.gateway import (
    attempts,
    choice,
    endpoints,
    model,
    model_escalation,
    rollout_control,
    routes,
    state,
    streaming,
)
from yuccarouter.gateway.model_choice import (
    bid_price,
    decision,
    selection,
    service_prices,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MODELS = ('small', 'middle', 'large')
# Read times of the models in ms per token.
SPEEDS = {'small': 0.004, 'middle': 0.011, 'large': 0.04}


def make_relay(
    clock: make.Clock, *, controls: bool, tokens: int = 1000, **fields: Any
) -> streaming.Relay:
    """Return a stream whose smallest model has answered once."""
    gateway = state.Gateway(
        attrs.evolve(make.conf(), controls_overload=controls),
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        rollout_control.RolloutControl.__new__(rollout_control.RolloutControl),
    )
    views = [make.view(f'e{number}') for number in range(3)]
    for view in views:
        gateway.directory.apply_announcement(view.announced)
    for name in fields.pop('known', MODELS):
        for _ in range(400):
            elapsed_ms = 25 + 5000 * SPEEDS[name]
            gateway.prefill_speeds.record(name, elapsed_ms, 5000)
            gateway.service_times.record_read(name, 5000, elapsed_ms, 0)
    for _ in range(1000):
        gateway.retry_budget.record_request('engine', clock.now_ms)
    route = model.Route(
        name='r',
        host='h',
        path_prefix='/',
        kind=model.Kind.STREAM,
        timeout_ms=30_000,
        objective_ms=fields.pop('objective_ms', 2000),
        gap_objective_ms=200,
        priority=0,
        max_attempts=3,
        shares=(model.ServiceShare('engine', 1),),
        is_resumable=True,
        models=fields.pop('models', MODELS),
    )
    out = attempts.OutgoingCall(
        gateway=gateway,
        call=make.call(generation=model.Generation('', tokens, 100, ())),
        route=route,
        service='engine',
        organisation='o',
        priority=0,
        body=b'',
        deadline_ms=clock.now_ms + 30_000,
        arrived_ms=clock.now_ms,
        runs=1,
    )
    return streaming._make_relay(out, None)  # type: ignore[arg-type]


@pytest.fixture(autouse=True)
def no_rollout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Allow all versions: no roll-out is in progress."""
    monkeypatch.setattr(
        rollout_control.RolloutControl, 'allowed_versions', lambda *_: None
    )
    monkeypatch.setattr(
        rollout_control.RolloutControl, 'fallback_versions', lambda *_: None
    )


@pytest.mark.parametrize(
    ('tokens', 'confidence', 'controls', 'asked'),
    [
        (1000, 20.0, False, 'large'),
        (1000, None, False, 'large'),
        (1000, 57.0, False, None),
        (54_000, 20.0, False, None),
        (1000, 20.0, True, 'large'),
        (1000, None, True, 'large'),
        (1000, 57.0, True, None),
        (54_000, 2.0, True, 'large'),
        (54_000, 48.0, True, 'middle'),
    ],
)
def test_larger_models(
    clock: make.Clock,
    tokens: int,
    confidence: float | None,
    controls: bool,
    asked: str | None,
) -> None:
    """Guards against a change where the load is not controlled.

    There, the largest model is asked if it would be in time, and no other.
    """
    relay = make_relay(clock, controls=controls, tokens=tokens)
    assert relay.model == 'small'
    assert (relay.plan == model_escalation.plan_for(MODELS)) is not controls
    is_escalated = streaming._escalate_if_uncertain(relay, confidence)
    assert is_escalated is (asked is not None)
    assert relay.model == (asked or 'small')


@pytest.mark.parametrize('tokens', [1000, 54_000])
def test_fault_in_the_choice(
    clock: make.Clock, monkeypatch: pytest.MonkeyPatch, tokens: int
) -> None:
    """Guards against a request that is lost to an error in the decision.

    It is then served as without load control.
    """

    def fail(*_: Any) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(decision, 'decide', fail)
    escalated = [
        streaming._escalate_if_uncertain(
            relay := make_relay(clock, controls=controls, tokens=tokens), 20
        )
        and relay.model
        for controls in (False, True)
    ]
    assert escalated[0] == escalated[1]


def test_attempts_and_retry_budget(clock: make.Clock) -> None:
    """Guards against escalations beyond the attempts or the retry budget."""
    relay = make_relay(clock, controls=True)
    relay.out.runs = 3
    assert not streaming._escalate_if_uncertain(relay, 20)
    relay.out.runs = 1
    while relay.out.take_retry(is_optional=True):
        clock.now_ms += 0.001
    assert not streaming._escalate_if_uncertain(relay, 20)
    assert relay.out.take_retry()


def test_both_confidences_are_learned(clock: make.Clock) -> None:
    """Guards against lifts that are learned twice, or from one model."""
    relay = make_relay(clock, controls=True)
    learned = relay.out.gateway.confidences
    assert relay.choice is not None
    for index, confidence in ((0, 30), (0, 30), (2, 90), (2, 90)):
        relay.choice.record_answer(index, confidence)
    (counts,) = learned.message(clock.now_ms).values()
    assert sum(counts) == 1


@pytest.mark.parametrize(
    ('known', 'expected_ms'),
    [
        (MODELS, 110),
        (('small', 'large'), math.sqrt(40 * 400)),
        ((), 400),
    ],
)
def test_read_time_of_a_model_never_asked(
    clock: make.Clock, known: tuple[str, ...], expected_ms: float
) -> None:
    """Guards against a middle model that is never asked as it looks slow."""
    gateway = make_relay(clock, controls=True, known=known).out.gateway
    read_ms = selection.read_ms(gateway, MODELS, 1, 10_000)
    assert math.isclose(read_ms, expected_ms, rel_tol=0.05)


def test_engines_with_waiting_reads_are_avoided(clock: make.Clock) -> None:
    """Guards against a large read at an engine that others wait for."""
    relay = make_relay(clock, controls=True, tokens=8000)
    idle, waited_for, paused = relay.out.gateway.directory
    paused.paused_until_ms = math.inf
    idle.in_flight = 30
    waited_for.record_load(model.Load(1, 3, 64), clock.now_ms)
    best = relay.out.next_endpoint('large')
    assert best is not None
    assert best.endpoint is waited_for
    assert streaming._escalate_if_uncertain(relay, 20)
    chosen = streaming._next_endpoint(relay)
    assert chosen is not None
    assert chosen.endpoint is idle


@pytest.mark.parametrize(
    ('expected_ms', 'later_ms', 'remaining_ms', 'timeouts_ms'),
    [
        (100, 100, 30_000, (3000, 3000)),
        (4000, 2000, 30_000, (8000, 4000)),
        (12_000, 100, 30_000, (18_000, 3000)),
        (14_900, 14_900, 30_000, (18_625, 18_625)),
        (20_000, 100, 30_000, (25_000, 3000)),
        (1000, 1000, 1600, (1250, 1250)),
    ],
)
def test_time_is_left_for_another_engine(
    clock: make.Clock,
    expected_ms: float,
    later_ms: float,
    remaining_ms: float,
    timeouts_ms: tuple[float, float],
) -> None:
    """Guards against a silent engine that uses up all of the caller's time.

    The second timeout is that of an attempt at another engine, whose expected
    time differs.
    """
    chosen = choice.Choice(make.view(), 0, 1, 0, expected_ms=later_ms)
    asked = make_relay(clock, controls=True).choice
    assert asked is not None
    assert asked.head_timeout_ms(chosen, 3000, remaining_ms) == 3000
    asked._decided = decision.Option(2, True, 0.9, 0, expected_ms, False)
    asked.begin(2)
    for timeout_ms in timeouts_ms:
        assert asked.head_timeout_ms(chosen, 3000, remaining_ms) == timeout_ms


@pytest.mark.parametrize(
    ('others', 'load'),
    [
        ((), 0.4),
        (({'objective_ms': 500},), 0.8),
        (({'objective_ms': 500}, {'objective_ms': 8000}), 0.8),
        (({'objective_ms': 500, 'kind': model.Kind.SAFE},), 0.4),
        (
            (
                {
                    'objective_ms': 500,
                    'shares': (model.ServiceShare('engine', 0),),
                },
            ),
            0.4,
        ),
    ],
)
def test_load_is_the_same_for_all_routes(
    clock: make.Clock, others: tuple[dict[str, Any], ...], load: float
) -> None:
    """Guards against routes that swing the price of a service for each other.

    A route with a long objective would take loaded engines for idle ones.
    """
    relay = make_relay(clock, controls=True, objective_ms=1000)
    out = relay.out
    known = [out.route, *(attrs.evolve(out.route, **other) for other in others)]
    out.gateway.table = routes.RouteTable(
        model.Configuration(
            1,
            tuple(known),
            services={},
            organisations=(),
            limits=model.Limits(1000),
        )
    )
    for view in out.gateway.directory:
        view.pending_prefill_ms = 200
    for route in known:
        clock.now_ms += 10_000
        out.route = route
        assert relay.choice is not None
        situation = relay.choice._situation(20, clock.now_ms)
        assert math.isclose(situation.price.load, load, abs_tol=0.01)


@pytest.mark.parametrize(
    'reason', ['evacuated', 'paused', 'limited', 'unreachable', 'silent']
)
def test_load_is_that_of_usable_engines(
    clock: make.Clock, monkeypatch: pytest.MonkeyPatch, reason: str
) -> None:
    """Guards against a low price because of idle engines that can't be used.

    Two engines of three are out of use, and the third one is loaded.
    """
    gateway = make_relay(clock, controls=True).out.gateway
    loaded, *idle = gateway.directory
    loaded.pending_prefill_ms = 5000
    names = frozenset(view.name for view in idle)
    for view in idle:
        view.announced = attrs.evolve(
            view.announced,
            data_centre='evacuated' if reason == 'evacuated' else 'a',
        )
        until_ms = clock.now_ms + 10_000
        view.paused_until_ms = until_ms if reason == 'paused' else 0
        view.avoid_until_ms = until_ms if reason == 'silent' else 0
    gateway.evacuated_data_centres = frozenset(('evacuated',))
    for owner, method, is_meant in (
        (gateway.rate_limits, 'exhausted', reason == 'limited'),
        (gateway.failure_reports, 'unreachable', reason == 'unreachable'),
    ):
        found = names if is_meant else frozenset()
        monkeypatch.setattr(type(owner), method, lambda *_, found=found: found)
    price = service_prices.observed(gateway, 'engine', 2000, clock.now_ms)
    assert price.load == 1


@pytest.mark.parametrize(
    ('models', 'controls', 'answers'),
    [(MODELS, True, 1), (('small',), True, 1), (MODELS, False, 0)],
)
def test_price_is_that_of_first_answers(
    clock: make.Clock, models: tuple[str, ...], controls: bool, answers: int
) -> None:
    """Guards against a price that falls because of the reads that it limits.

    It counts the first answers of all routes that use the engines.
    """
    relay = make_relay(clock, controls=controls, models=models)
    prices = relay.out.gateway.bid_prices
    before = prices.price('engine').value_per_ms
    streaming._record_head(relay, 30, 1000)
    first = prices.price('engine').value_per_ms
    assert (first != before) is bool(answers)
    relay.model_index = len(relay.plan.models) - 1
    streaming._record_head(relay, 90, 54_000)
    assert prices.price('engine').value_per_ms == first


@pytest.mark.parametrize('percent', [100, 250])
def test_times_follow_length_and_speed(clock: make.Clock, percent: int) -> None:
    """Guards against long reads that seem in time, but are late.

    The read time grows faster than the prompt, and on slow engines.
    """
    relay = make_relay(clock, controls=True, tokens=40_000, known=())
    gateway = relay.out.gateway
    for tokens in [*range(1000, 50_000, 1000)] * 4:
        units = tokens / 10_000
        read_ms = 200 * units + 100 * units**2
        for name in MODELS:
            gateway.service_times.record_read(name, tokens, 25 + read_ms, 0)
            gateway.prefill_speeds.record(name, 25 + read_ms, tokens)
    for view in gateway.directory:
        view.pending_prefill_ms = 100
        gateway.speeds.record(view.name, percent, clock.now_ms)
    assert relay.choice is not None
    engine = relay.choice._engine(2000, clock.now_ms)
    assert engine is not None
    option = relay.choice._option(0, 2, 20, engine, clock.now_ms)
    factor = percent / 100
    assert math.isclose(option.read_ms, 2400 * factor, rel_tol=0.05)
    assert math.isclose(option.backlog_ms, 100 * factor)


@pytest.mark.parametrize(
    ('owner', 'method'),
    [
        (selection.Selection, 'head_timeout_ms'),
        (selection.Selection, 'record_answer'),
        (selection.Selection, 'begin'),
        (bid_price.BidPrices, 'record_answer'),
        (bid_price.BidPrices, 'price'),
    ],
)
async def test_fault_in_an_attempt(
    clock: make.Clock, monkeypatch: pytest.MonkeyPatch, owner: Any, method: str
) -> None:
    """Guards against a request that is lost to an error in the bookkeeping.

    The attempt goes on, and the log has the cause with its traceback.
    """

    def fail(*_: Any) -> None:
        raise ZeroDivisionError

    @contextlib.asynccontextmanager
    async def answer(*_: Any) -> AsyncIterator[types.SimpleNamespace]:
        head = types.SimpleNamespace(status=200, confidence=20.0)
        yield types.SimpleNamespace(head=head, sent_ms=clock.now_ms)

    lines: list[str] = []
    tracebacks: list[Any] = []
    eliot = streaming.eliot
    monkeypatch.setattr(
        eliot, 'log_message', lambda text, **_: lines.append(text)
    )
    monkeypatch.setattr(
        eliot,
        'write_traceback',
        lambda exc_info: tracebacks.append(exc_info[0]),
    )
    monkeypatch.setattr(attempts, 'open_attempt', answer)
    monkeypatch.setattr(owner, method, fail)
    relay = make_relay(clock, controls=True)
    chosen = streaming._next_endpoint(relay)
    assert chosen is not None
    assert await streaming._attempt(relay, chosen) is None
    assert relay.model == 'large'
    assert lines.count('model_choice_failed') == 1
    assert tracebacks == [ZeroDivisionError]


def test_few_engines_are_examined(
    clock: make.Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against decisions that take longer the more engines there are."""
    gateway = make_relay(clock, controls=True).out.gateway
    for number in range(810):
        gateway.directory.apply_announcement(make.view(f'x{number}').announced)
    examined: list[str] = []
    is_usable = choice.is_usable

    def count(view: endpoints.EndpointView, *given: Any) -> bool:
        examined.append(view.name)
        return is_usable(view, *given)

    monkeypatch.setattr(choice, 'is_usable', count)
    found = service_prices.usable_engines(gateway, 'engine', clock.now_ms)
    assert len(found) == len(examined) == 24
