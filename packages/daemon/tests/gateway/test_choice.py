"""Tests of the choice of an endpoint, by pattern of load."""

from __future__ import annotations

import collections
from typing import Any

import gateway_makers as make
import pytest

from yuccarouter.gateway import choice, cold_limit, endpoints, model

PARTS = (model.PromptPart('common', 500), model.PromptPart('topic', 5000))


def chosen(
    views: list[Any], need: choice.Requirements, now_ms: float = 0
) -> str:
    found = choice.choose(views, need, now_ms)
    return found.endpoint.name if found else ''


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
def test_who_may_get_a_call(
    fields: dict[str, Any], need: dict[str, Any], usable: bool
) -> None:
    """Guards against calls to endpoints that must not get them."""
    view = make.view('e1', **fields)
    assert choice.is_usable(view, make.need(**need), 0) is usable


@pytest.mark.parametrize(
    ('pattern', 'near', 'far', 'expected'),
    [
        ('idle: stay near', {}, {}, 'near'),
        ('some load near: bytes are dearer', {'in_flight': 20}, {}, 'near'),
        ('long prompts wait near', {'pending_prefill_ms': 2400}, {}, 'far'),
        ('near one is full', {'in_flight': 64}, {}, 'far'),
        ('near one fails requests', {'failure_share': 0.4}, {}, 'far'),
        ('near one was lost', {'avoid_until_ms': 10}, {}, 'far'),
        (
            'both were lost: still try',
            {'avoid_until_ms': 10},
            {'avoid_until_ms': 10},
            'near',
        ),
    ],
)
def test_near_or_far(
    pattern: str,
    near: dict[str, Any],
    far: dict[str, Any],
    expected: str,
) -> None:
    """Guards against paying for distance without need, and against queues."""
    views = [
        make.view('near', data_centre='a', **near),
        make.view('far', data_centre='b', **far),
    ]
    need = make.need(prompt_tokens=500, body_bytes=3000)
    assert chosen(views, need) == expected, pattern


def test_prompts_return_to_their_cache() -> None:
    """Guards against reading a long shared prompt on every engine."""
    views = [make.view(f'e{number}') for number in range(4)]
    views[2].record_cached('m', ['common', 'topic'], 0)
    need = make.need(prompt_tokens=6000, shared_parts=PARTS, model_name='m')
    assert chosen(views, need) == 'e2'


def test_cache_counts_for_its_model_only() -> None:
    """Guards against taking one model's cache for another's."""
    view = make.view()
    view.record_cached('m', ['common', 'topic'], 0)
    held = make.need(prompt_tokens=6000, shared_parts=PARTS, model_name='m')
    other = make.need(prompt_tokens=6000, shared_parts=PARTS, model_name='n')
    assert choice.uncached_tokens(view, held) == 0
    assert choice.uncached_tokens(view, other) == 5500


def test_later_part_needs_the_earlier_ones() -> None:
    """Guards against counting a part whose beginning is gone."""
    view = make.view()
    view.record_cached('m', ['topic'], 0)
    need = make.need(prompt_tokens=6000, shared_parts=PARTS, model_name='m')
    assert choice.uncached_tokens(view, need) == 5500


def test_daemons_agree_on_new_prompts() -> None:
    """Guards against each daemon warming another engine for one prompt."""
    need = make.need(prompt_tokens=6000, shared_parts=PARTS, model_name='m')
    picks = {
        chosen([make.view(f'e{number}') for number in order], need)
        for order in ([0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1])
    }
    assert len(picks) == 1


def test_topics_spread_over_engines() -> None:
    """Guards against one engine that gets most new prompts."""
    counts: collections.Counter[str] = collections.Counter()
    for number in range(200):
        parts = (PARTS[0], model.PromptPart(f'topic{number}', 5000))
        need = make.need(prompt_tokens=6000, shared_parts=parts, model_name='m')
        counts[chosen([make.view(f'e{i}') for i in range(4)], need)] += 1
    assert min(counts.values()) > 25


def test_hot_topic_overflows() -> None:
    """Guards against a queue for the engine that holds a popular prompt."""
    views = [make.view(f'e{number}') for number in range(3)]
    views[0].record_cached('m', ['common', 'topic'], 0)
    need = make.need(prompt_tokens=6000, shared_parts=PARTS, model_name='m')
    picks = []
    for _ in range(30):
        found = choice.choose(views, need, 0)
        assert found is not None
        found.endpoint.in_flight += 1
        unread = 500 + found.uncached_tokens
        found.endpoint.pending_prefill_ms += unread * need.prefill_ms_per_token
        picks.append(found.endpoint.name)
    assert picks[0] == 'e0'
    assert len(set(picks)) == 3


def test_peers_long_prompts_count(clock: make.Clock) -> None:
    """Guards against daemons that all send long prompts to one engine.

    Incident inc-9d24: two of five engines had most of the unread prompts of
    four daemons, each of which saw its own only.
    """
    directory = endpoints.Directory()
    for name in ('e1', 'e2'):
        directory.apply_announcement(make.announcement(name))
    need = make.need(prompt_tokens=6000)
    first = chosen(list(directory), need, clock.now_ms)
    directory.record_peer_backlog('peer', {first: [3, 3600]})
    assert chosen(list(directory), need, clock.now_ms) != first
    # A peer that is silent has no work there any more, as far as known.
    clock.now_ms += 5000
    picks = {chosen(list(directory), need, clock.now_ms) for _ in range(64)}
    assert first in picks


def test_cold_endpoint_gets_its_share() -> None:
    """Guards against a burst that breaks a cold endpoint."""
    view = make.view(cold_until_ms=1e9)
    need = make.need(cold_share=cold_limit.ColdShare(1, 3))
    sent = 0
    for now_ms in range(0, 1000, 10):
        if choice.is_usable(view, need, now_ms):
            view.cold_send_times_ms.append(now_ms)
            sent += 1
    assert sent == 3


def test_equal_endpoints_share_calls() -> None:
    """Guards against many daemons that all turn to the first of idle ones."""
    views = [make.view(f'e{number}') for number in range(10)]
    counts = collections.Counter(chosen(views, make.need()) for _ in range(400))
    assert len(counts) == 10
    assert max(counts.values()) < 100
