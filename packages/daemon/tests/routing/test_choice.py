"""Tests of the choice of an endpoint."""

from __future__ import annotations

import collections
import random
from typing import Any

import pytest

from yuccarouter.routing import choice, errors, views
from yuccarouter_common import model
from yuccarouter_testkit.bench import _first_token

_VERSION = 'clue@1'


def _fleet(reports: list[views.EndpointView], now_ms: float = 0) -> views.Fleet:
    fleet = views.Fleet(lambda: now_ms, random.Random(1).random)
    for report in reports:
        fleet.update(report)
    return fleet


def _view(name: str, **fields: Any) -> views.EndpointView:
    return views.EndpointView(
        **{
            'endpoint': name,
            'vm': name,
            'data_centre': 'a',
            'pool': 'p',
            'address': '127.0.0.1:1',
            'versions': (_VERSION,),
            'limit': 8,
            'service_time_ms': 400.0,
            'first_token_ms': 100.0,
            **fields,
        }
    )


def _configuration(**weights: float) -> model.Configuration:
    return model.Configuration(
        pools={'p': model.Pool('p', weights=model.Weights(**weights))},
        data_centres={
            'a': model.DataCentre('a', 'south'),
            'b': model.DataCentre('b', 'south'),
            'c': model.DataCentre('c', 'north'),
            'out': model.DataCentre('out', 'south', model.OUT_OF_SERVICE),
        },
    )


_REQUEST = choice.Request('p', _VERSION, 'a')


@pytest.mark.parametrize(
    ('worse', 'better', 'weights', 'request_fields'),
    [
        ({'in_flight': 8}, {'in_flight': 1}, {}, {}),
        ({'queued': 20}, {'data_centre': 'c'}, {}, {}),
        ({'data_centre': 'b'}, {}, {}, {}),
        ({'data_centre': 'c'}, {'data_centre': 'b'}, {}, {}),
        ({'state': 'cold', 'in_flight': 1}, {'in_flight': 7}, {}, {}),
        ({}, {'state': 'cold', 'data_centre': 'a'}, {'cold': -1}, {}),
        ({}, {'prefixes': frozenset([5])}, {}, {'prefixes': (5,)}),
        (
            {'prefixes': frozenset([5])},
            {'in_flight': 1},
            {'cache': -1},
            {'prefixes': (5,)},
        ),
        # A cached prefix doesn't count if the request would have to queue.
        (
            {'prefixes': frozenset([5]), 'in_flight': 8},
            {'in_flight': 7},
            {},
            {'prefixes': (5,)},
        ),
        ({}, {}, {}, {'session_endpoint': 'better'}),
        ({}, {'in_flight': 8}, {}, {'excluded': frozenset(['worse'])}),
        ({'data_centre': 'out'}, {'queued': 50}, {}, {}),
        ({'versions': ('clue@2',)}, {'queued': 50}, {}, {}),
        ({'state': 'leaving'}, {'queued': 50}, {}, {}),
        ({'state': 'down'}, {'queued': 50}, {}, {}),
        ({'pool': 'q'}, {'queued': 50}, {}, {}),
        # A cold endpoint at its limit is chosen only without another one.
        ({'state': 'cold', 'limit': 1, 'in_flight': 1}, {'queued': 90}, {}, {}),
    ],
)
def test_order(
    worse: dict[str, Any],
    better: dict[str, Any],
    weights: dict[str, float],
    request_fields: dict[str, Any],
) -> None:
    """Guards against ignoring a term of the score or an exclusion."""
    fleet = _fleet([_view('worse', **worse), _view('better', **better)])
    request = choice.Request('p', _VERSION, 'a', **request_fields)
    for seed in range(20):
        chosen = choice.choose(
            fleet,
            request,
            _configuration(**weights),
            0,
            random.Random(seed).random,
        )
        assert chosen.endpoint == 'better'


@pytest.mark.parametrize(
    ('cold_fields', 'min_share', 'max_share'),
    [
        ({}, 0.05, 0.15),
        ({'in_flight': 1}, 0, 0),
        ({'queued': 1}, 0, 0),
        ({'data_centre': 'out'}, 0, 0),
        ({'state': 'leaving'}, 0, 0),
    ],
)
def test_idle_cold_endpoint_gets_a_share(
    cold_fields: dict[str, Any], min_share: float, max_share: float
) -> None:
    """Guards against a data centre that stays cold after its return to service.

    Engines warm up only by serving, but the cold-start penalty prefers warm
    ones.
    """
    fleet = _fleet(
        [_view('warm'), _view('cold', **{'state': 'cold', **cold_fields})]
    )
    rng = random.Random(3)
    chosen = collections.Counter(
        choice.choose(
            fleet, _REQUEST, _configuration(cold=4), 0, rng.random
        ).endpoint
        for _ in range(2000)
    )
    assert min_share <= chosen['cold'] / 2000 <= max_share


@pytest.mark.parametrize('source', ['session', 'prefix'])
def test_affinity_respects_out_of_service(source: str) -> None:
    """Guards against affinity to a data centre that is out of service."""
    fleet = _fleet([_view('e', data_centre='out', prefixes=frozenset([5]))])
    request = choice.Request('p', _VERSION, 'a', 'e', (5,))
    with pytest.raises(errors.RoutingError) as raised:
        choice.choose(fleet, request, _configuration(), 0, random.random)
    assert raised.value.code == 'no_endpoint'
    assert raised.value.retry_after_ms > 0


@pytest.mark.parametrize(
    ('now_ms', 'expected_ms'), [(0, 250), (249, 100), (-9000, 2000)]
)
def test_retry_hint_follows_the_backoff(
    now_ms: float, expected_ms: int
) -> None:
    """Guards against retry hints that are too short or too long.

    Callers with a hint below the remaining backoff are rejected again.
    """
    now = [0.0]
    fleet = views.Fleet(lambda: now[0], lambda: 0)
    fleet.update(_view('e'))
    fleet.record_failure('e')
    now[0] = now_ms
    with pytest.raises(errors.RoutingError) as raised:
        choice.choose(fleet, _REQUEST, _configuration(), 0, random.random)
    assert raised.value.retry_after_ms == expected_ms


def test_failures_raise_the_score() -> None:
    """Guards against sending requests to an endpoint because it fails fast.

    Failed requests end early, so its load is the lowest.
    """
    fleet = _fleet([_view('bad'), _view('good', in_flight=4)])
    for _ in range(20):
        fleet.record_start('bad')
        fleet.record_end('bad', ok=False)
    chosen = choice.choose(
        fleet, _REQUEST, _configuration(exposure=1.0), 0, random.random
    )
    assert chosen.endpoint == 'good'


def test_scores_explain_the_choice() -> None:
    """Guards against candidates whose scores don't match the choice."""
    fleet = _fleet([_view(f'e{n}', in_flight=n) for n in range(8)])
    chosen = choice.choose(fleet, _REQUEST, _configuration(), 0, random.random)
    scores = [candidate.score for candidate in chosen.candidates]
    assert scores == sorted(scores)
    assert chosen.candidates[0].endpoint == chosen.endpoint
    assert chosen.candidates[0].load == fleet.load(chosen.endpoint)


@pytest.mark.parametrize('prefixes', [(), (5,)])
def test_no_herding_on_one_report(prefixes: tuple[int, ...]) -> None:
    """Guards against many entries choosing the same endpoint.

    Each entry has the same reports, in which one endpoint is idle, and makes
    five choices before the next report. If each chose the least loaded of all
    endpoints, all first choices would be the idle one.
    """
    reports = [
        _view(
            f'e{n}',
            in_flight=4 * (n > 0),
            prefixes=frozenset([5]) if n < 10 else frozenset(),
        )
        for n in range(40)
    ]
    counts: collections.Counter[str] = collections.Counter()
    rng = random.Random(3)
    request = choice.Request('p', _VERSION, 'a', prefixes=prefixes)
    for _ in range(100):
        fleet = _fleet(reports)
        for _ in range(5):
            chosen = choice.choose(
                fleet, request, _configuration(), 0, rng.random
            )
            fleet.record_start(chosen.endpoint)
            counts[chosen.endpoint] += 1
    # Its share of the samples limits the requests of the idle endpoint.
    assert counts['e0'] <= 0.25 * 500


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_first_token_against_round_robin(seed: int) -> None:
    """Guards against choices by old reports that are worse than round robin."""
    shape = _first_token.Shape(service_ms=400, limit=8)
    assert _first_token.run(seed, shape)['ratio'] <= 0.6
