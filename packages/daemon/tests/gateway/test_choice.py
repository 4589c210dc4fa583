"""Tests of the choice of an endpoint under different loads."""

from __future__ import annotations

import collections
from typing import Any

import gateway_makers as make
import pytest

from yuccarouter.gateway import choice, cold_limit, endpoints, model

PARTS = (model.PromptPart('common', 500), model.PromptPart('topic', 5000))


def chosen_name(
    views: list[Any], need: choice.Requirements, now_ms: float = 0
) -> str:
    result = choice.choose(views, need, now_ms)
    return result.endpoint.name if result else ''


@pytest.mark.parametrize(
    ('fields', 'need', 'usable'),
    [
        ({}, {}, True),
        ({'service': 'ledger'}, {}, False),
        ({'is_draining': True}, {}, False),
        ({}, {'tried': frozenset(('e1',))}, False),
        ({}, {'out_of_service': frozenset('a')}, False),
        ({}, {'versions': frozenset(('v2',))}, False),
        ({}, {'versions': frozenset(('v1',))}, True),
        ({'in_flight': 7}, {'max_in_flight': 7}, False),
        ({'in_flight': 6}, {'max_in_flight': 7}, True),
    ],
)
def test_usable_endpoints(
    fields: dict[str, Any], need: dict[str, Any], usable: bool
) -> None:
    """Guards against calls to endpoints that must not get them."""
    view = make.view('e1', **fields)
    assert choice.is_usable(view, make.need(**need), 0) is usable


@pytest.mark.parametrize(
    ('case', 'near', 'far', 'expected'),
    [
        ('both idle', {}, {}, 'near'),
        (
            'moderate load near costs less than traffic',
            {'in_flight': 20},
            {},
            'near',
        ),
        (
            'long prompts wait at the near one',
            {'pending_prefill_ms': 2400},
            {},
            'far',
        ),
        ('near one is full', {'in_flight': 64}, {}, 'far'),
        ('near one fails requests', {'failure_share': 0.4}, {}, 'far'),
        ('near one did not answer', {'avoid_until_ms': 10}, {}, 'far'),
        (
            'neither answered: still try one',
            {'avoid_until_ms': 10},
            {'avoid_until_ms': 10},
            'near',
        ),
    ],
)
def test_choice_of_data_centre(
    case: str,
    near: dict[str, Any],
    far: dict[str, Any],
    expected: str,
) -> None:
    """Guards against unneeded traffic between data centres, and queues."""
    views = [
        make.view('near', data_centre='a', **near),
        make.view('far', data_centre='b', **far),
    ]
    need = make.need(prompt_tokens=500, body_bytes=3000)
    assert chosen_name(views, need) == expected, case


def test_prompt_goes_to_endpoint_with_its_cache() -> None:
    """Guards against prefilling a long shared prompt on every endpoint."""
    views = [make.view(f'e{number}') for number in range(4)]
    views[2].record_cached('m', ['common', 'topic'], 0)
    need = make.need(prompt_tokens=6000, shared_parts=PARTS, model_name='m')
    assert chosen_name(views, need) == 'e2'


def test_cache_is_per_model() -> None:
    """Guards against counting one model's cache for another model."""
    view = make.view()
    view.record_cached('m', ['common', 'topic'], 0)
    same_model = make.need(
        prompt_tokens=6000, shared_parts=PARTS, model_name='m'
    )
    other_model = make.need(
        prompt_tokens=6000, shared_parts=PARTS, model_name='n'
    )
    assert choice.uncached_tokens(view, same_model) == 0
    assert choice.uncached_tokens(view, other_model) == 5500


def test_part_without_its_prefix_is_uncached() -> None:
    """Guards against counting a part as cached without the parts before."""
    view = make.view()
    view.record_cached('m', ['topic'], 0)
    need = make.need(prompt_tokens=6000, shared_parts=PARTS, model_name='m')
    assert choice.uncached_tokens(view, need) == 5500


def test_daemons_agree_on_new_prompts() -> None:
    """Guards against daemons that each cache a prompt on another endpoint."""
    need = make.need(prompt_tokens=6000, shared_parts=PARTS, model_name='m')
    chosen_names = {
        chosen_name([make.view(f'e{number}') for number in order], need)
        for order in ([0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1])
    }
    assert len(chosen_names) == 1


def test_new_prompts_spread_over_endpoints() -> None:
    """Guards against one endpoint that gets most new prompts."""
    counts: collections.Counter[str] = collections.Counter()
    for number in range(200):
        parts = (PARTS[0], model.PromptPart(f'topic{number}', 5000))
        need = make.need(prompt_tokens=6000, shared_parts=parts, model_name='m')
        counts[chosen_name([make.view(f'e{i}') for i in range(4)], need)] += 1
    assert min(counts.values()) > 25


def test_popular_prompt_spreads_under_load() -> None:
    """Guards against a queue at the endpoint that cached a popular prompt."""
    views = [make.view(f'e{number}') for number in range(3)]
    views[0].record_cached('m', ['common', 'topic'], 0)
    need = make.need(prompt_tokens=6000, shared_parts=PARTS, model_name='m')
    chosen_names = []
    for _ in range(30):
        result = choice.choose(views, need, 0)
        assert result is not None
        result.endpoint.in_flight += 1
        prefill_tokens = 500 + result.uncached_tokens
        result.endpoint.pending_prefill_ms += (
            prefill_tokens * need.prefill_ms_per_token
        )
        chosen_names.append(result.endpoint.name)
    assert chosen_names[0] == 'e0'
    assert len(set(chosen_names)) == 3


def test_backlog_of_peers_counts(clock: make.Clock) -> None:
    """Guards against daemons that all send long prompts to one endpoint.

    Incident inc-9d24: each of four daemons knew only its own prompts, and most
    waiting prompts were at two of five endpoints.
    """
    directory = endpoints.Directory()
    for name in ('e1', 'e2'):
        directory.apply_announcement(make.announcement(name))
    need = make.need(prompt_tokens=6000)
    first = chosen_name(list(directory), need, clock.now_ms)
    directory.record_peer_backlog('peer', {first: [3, 3600]})
    assert chosen_name(list(directory), need, clock.now_ms) != first
    # The report of a peer that sends no more messages expires.
    clock.now_ms += 5000
    chosen_names = {
        chosen_name(list(directory), need, clock.now_ms) for _ in range(64)
    }
    assert first in chosen_names


def test_cold_endpoint_gets_limited_requests() -> None:
    """Guards against a burst of requests that overloads a cold endpoint."""
    view = make.view(cold_until_ms=1e9)
    need = make.need(cold_share=cold_limit.ColdShare(1, 3))
    sent = 0
    for now_ms in range(0, 1000, 10):
        if choice.is_usable(view, need, now_ms):
            view.cold_send_times_ms.append(now_ms)
            sent += 1
    assert sent == 3


def test_equal_endpoints_share_calls() -> None:
    """Guards against daemons that all choose the first of idle endpoints."""
    views = [make.view(f'e{number}') for number in range(10)]
    counts = collections.Counter(
        chosen_name(views, make.need()) for _ in range(400)
    )
    assert len(counts) == 10
    assert max(counts.values()) < 100
