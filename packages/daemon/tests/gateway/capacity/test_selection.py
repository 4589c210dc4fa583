"""Tests of choices by current speed, and of choices without any figure."""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable
from typing import Any

import capacity_makers
import gateway_makers as make
import pytest

from yuccarouter.gateway import choice, endpoints, model, state
from yuccarouter.gateway.capacity import selection, service_index, work

PARTS = (model.PromptPart('common', 500), model.PromptPart('topic', 5000))
NOW_MS = 50_000.0


def estimates(
    factors: dict[str, float] | None = None, service_ms: float = 75
) -> work.Estimates:
    known = factors or {}
    return work.Estimates(
        lambda name, now_ms: known.get(name, 1.0),
        service_ms,
        lambda tokens: tokens * 0.04,
    )


def indexed(
    views: list[endpoints.EndpointView],
) -> service_index.ServiceEndpoints:
    directory = endpoints.Directory()
    directory._views = {view.name: view for view in views}
    return service_index.ServiceIndex(directory, 'a').of('engine')


def chosen_name(
    views: list[endpoints.EndpointView],
    given: work.Estimates | None = None,
    **need: Any,
) -> str:
    requirements = make.need(**{'objective_ms': 200, **need})
    found = selection.choose(
        indexed(views), requirements, given or estimates(), NOW_MS
    )
    return found.endpoint.name if found else ''


def cost_before(
    view: endpoints.EndpointView, need: choice.Requirements
) -> float:
    """Return the cost of an endpoint as it was before speeds were known."""
    shared = sum(part.tokens for part in need.shared_parts)
    uncached = choice.uncached_tokens(view, need)
    occupancy = view.occupancy(NOW_MS)
    if need.prompt_tokens:
        tokens = need.prompt_tokens - (shared - uncached)
        ms = view.backlog_ms(NOW_MS) + tokens * need.prefill_ms_per_token
        ms += need.output_tokens * (occupancy * 0.2)
    else:
        ms = need.objective_ms * ((occupancy + 1) / view.announced.slots) / 2
    lateness = ms / max(50.0, need.objective_ms)
    cost = (1 + need.prompt_tokens / 4000) * lateness * lateness
    cost += 1.5 * view.failure_share
    if view.announced.data_centre != need.local_data_centre:
        cost += 1.2e-5 * (need.body_bytes + 2000)
    cost += 0.15 * view.is_cold(NOW_MS)
    cost += occupancy >= view.announced.slots
    return cost + uncached / 1000 * (0.02 + 0.25 * need.model_cost)


def random_gateway(seed: int) -> state.Gateway:
    """Return a gateway with a random fleet, without loads' fourth figure."""
    drawn = random.Random(seed)
    gateway = capacity_makers.gateway(
        *(
            make.announcement(
                f'e{number}',
                data_centre=drawn.choice('abc'),
                slots=drawn.choice((4, 6, 64)),
            )
            for number in range(drawn.randrange(1, 40))
        )
    )
    for view in gateway.directory:
        view.in_flight = drawn.randrange(9)
        view.pending_prefill_ms = drawn.choice((0, 0, 900.5))
        view.failure_share = drawn.choice((0, 0, 0.36))
        view.peer_backlog['p'] = endpoints.PeerBacklog(2, 30.25, NOW_MS)
        load = model.Load(drawn.randrange(4), drawn.randrange(3), 6)
        view.record_load(load, NOW_MS - drawn.choice((5, 5000)))
        if drawn.random() < 0.3:
            view.record_cached('m', ['common', 'topic'], NOW_MS)
    return gateway


@pytest.mark.parametrize('seed', range(60))
@pytest.mark.parametrize('tokens', [0, 6000])
def test_choice_without_figures_is_as_before(
    clock: make.Clock, seed: int, tokens: int
) -> None:
    """Guards against other choices where no endpoint states its speed."""
    clock.now_ms = NOW_MS
    gateway = random_gateway(seed)
    parts = (*PARTS, model.PromptPart('own', 500)) if tokens else ()
    generation = model.Generation('m', tokens, 100, parts)
    call = make.call(generation=generation if tokens else None, body_bytes=99)
    route = capacity_makers.ROUTE
    need = gateway.requirements(call, route, 'engine', frozenset(), 'm')
    assert need.estimates is None
    random.seed(seed)
    found = gateway.choose(call, route, 'engine', frozenset(), 'm')
    random.seed(seed)
    views = list(gateway.directory)
    bonuses = choice._affinity_bonuses(views, need)
    costs = [
        (cost_before(view, need) - bonuses.get(view.name, 0), random.random())
        for view in views
    ]
    assert found is not None
    assert found.endpoint is views[costs.index(min(costs))]
    assert found.time_factor is None


def test_figure_turns_on_current_speeds(clock: make.Clock) -> None:
    """Guards against figures of endpoints that no choice takes into account."""
    gateway = random_gateway(3)
    assert not state.controls_load(gateway, 'engine')
    gateway.speeds.record('e0', 250, clock.now_ms)
    assert state.controls_load(gateway, 'engine')
    assert not state.controls_load(gateway, 'other')
    found = gateway.choose(
        make.call(), capacity_makers.ROUTE, 'engine', frozenset(), ''
    )
    assert found is not None
    assert found.time_factor == pytest.approx(2.5)
    room = state.service_room(gateway, 'engine')
    slots = sum(view.announced.slots for view in gateway.directory)
    assert room.capacity_ms_per_s == pytest.approx(1000 * slots / 2.5)


@pytest.mark.parametrize(
    ('case', 'first', 'second', 'factors', 'need', 'expected'),
    [
        ('slow', {}, {}, {'e1': 2.5}, {}, 'e2'),
        ('slow, other full', {}, {'in_flight': 6}, {'e1': 2.5}, {}, 'e2'),
        ('slow, queue', {}, {'in_flight': 18}, {'e1': 2.5}, {}, 'e1'),
        ('slow but only one', {}, {'is_draining': True}, {'e1': 9}, {}, 'e1'),
        ('other data centre', {}, {'data_centre': 'b'}, {}, {}, 'e1'),
        ('silent', {'avoid_until_ms': 1e9}, {}, {}, {}, 'e2'),
        ('tried', {}, {}, {'e2': 9}, {'tried': frozenset(('e1',))}, 'e2'),
        (
            'slow read',
            {'pending_prefill_ms': 30},
            {},
            {'e2': 2.5},
            {'prompt_tokens': 5000},
            'e1',
        ),
        (
            'no endpoint',
            {'is_draining': True},
            {'version': 'v2'},
            {},
            {'versions': frozenset(('v1',))},
            '',
        ),
    ],
)
def test_choice_by_current_speed(
    case: str,
    first: dict[str, Any],
    second: dict[str, Any],
    factors: dict[str, float],
    need: dict[str, Any],
    expected: str,
) -> None:
    """Guards against requests at an endpoint that is slow at this moment."""
    views = [
        make.view('e1', **{'slots': 6, **first}),
        make.view('e2', **{'slots': 6, **second}),
    ]
    names = {chosen_name(views, estimates(factors), **need) for _ in range(9)}
    assert names == {expected}, case


@pytest.mark.parametrize(
    ('in_flight', 'factor', 'expected_ms'),
    [(0, 1, 75), (5, 1, 75), (6, 1, 87.5), (17, 2, 450)],
)
def test_expected_time_of_plain_request(
    in_flight: int, factor: float, expected_ms: float
) -> None:
    """Guards against requests that are admitted although they will be late."""
    found = selection.choose(
        indexed([make.view('e1', slots=6, in_flight=in_flight)]),
        make.need(),
        estimates({'e1': factor}),
        NOW_MS,
    )
    assert found is not None
    assert found.expected_ms == pytest.approx(expected_ms)


def test_cached_prompt_is_found_among_many() -> None:
    """Guards against samples that leave out the endpoint with the cache."""
    views = [make.view(f'e{number}') for number in range(200)]
    need = {'prompt_tokens': 6000, 'shared_parts': PARTS, 'objective_ms': 2000}
    names = {
        chosen_name(ordered, **need)
        for ordered in (views, views[::-1])
        for _ in range(9)
    }
    assert len(names) == 1
    left = [view for view in views if view.name not in names]
    assert len({chosen_name(left, **need) for _ in range(9)}) == 1


@pytest.mark.parametrize('tokens', [0, 500])
def test_idle_endpoint_among_full_ones(tokens: int) -> None:
    """Guards against requests that wait while an endpoint is idle."""
    busy = {'slots': 6, 'in_flight': 7, 'pending_prefill_ms': 300}
    views = [make.view(f'e{number}', **busy) for number in range(23)]
    views.append(make.view('idle', slots=6))
    names = {chosen_name(views, prompt_tokens=tokens) for _ in range(20)}
    assert names == {'idle'}


def spread_choice(
    known: service_index.ServiceEndpoints,
) -> endpoints.EndpointView:
    found = selection.choose(
        known, make.need(objective_ms=200), estimates(), NOW_MS
    )
    assert found is not None
    return found.endpoint


def least_occupied(
    known: service_index.ServiceEndpoints,
) -> endpoints.EndpointView:
    return min(
        known.every, key=lambda view: (view.occupancy(NOW_MS), random.random())
    )


@pytest.mark.parametrize(
    ('choose', 'highest'),
    [(spread_choice, (8, 14)), (least_occupied, (18, 60))],
)
@pytest.mark.parametrize(
    ('daemons', 'endpoint_count'), [(24, 60), (68, 120), (400, 810)]
)
def test_spread_of_occupancy(
    daemons: int,
    endpoint_count: int,
    choose: Callable[[Any], endpoints.EndpointView],
    highest: tuple[int, int],
) -> None:
    """Guards against daemons that all choose the same idle endpoint.

    Each daemon sees its own requests and the loads of the same digest, and
    three requests for each endpoint come before the next one. The choice of
    the least occupied endpoint is shown for comparison.
    """
    views = [
        make.view(f'e{number}', slots=6) for number in range(endpoint_count)
    ]
    known = indexed(views)
    random.seed(daemons)
    total = [random.choice((0, 1, 2, 3, 3, 3)) for _ in views]
    seen = list(total)
    for daemon in range(daemons):
        for view, load in zip(views, seen, strict=True):
            view.record_load(model.Load(load, 0, 6), NOW_MS)
        for _ in range(daemon, 3 * endpoint_count, daemons):
            choose(known).sent_since_load += 1
        for index, view in enumerate(views):
            total[index] += view.sent_since_load
    assert highest[0] <= max(total) <= highest[1]
    is_spread = choose is spread_choice
    assert (statistics.pstdev(total) < 2.5) is is_spread


@pytest.mark.parametrize('tokens', [0, 5000])
@pytest.mark.parametrize('is_full', [False, True])
@pytest.mark.parametrize('count', [60, 120, 810])
def test_work_of_a_decision(count: int, is_full: bool, tokens: int) -> None:
    """Guards against decisions whose time grows with the endpoints.

    The number of examined endpoints is checked, not the time: that depends on
    what else the machine does.
    """
    busy = {'slots': 6, 'in_flight': 6 * is_full}
    views = [make.view(f'e{number}', **busy) for number in range(count)]
    examined: list[str] = []

    def time_factor(name: str, now_ms: float) -> float:
        examined.append(name)
        return 1.0

    given = work.Estimates(time_factor, 75, lambda tokens: tokens * 0.04)
    need = make.need(prompt_tokens=tokens, shared_parts=PARTS if tokens else ())
    assert selection.choose(indexed(views), need, given, NOW_MS)
    assert len(examined) <= 16
