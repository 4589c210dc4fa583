"""Chooses the endpoint for a call by expected time, distance and caches."""

from __future__ import annotations

import random
from collections.abc import Container, Iterable
from typing import Final

import attrs
import xxhash

from yuccarouter.gateway import (
    cold_limit,
    endpoints,
    model,
    prefill_speeds,
    senders,
)
from yuccarouter.gateway.capacity import work

# Costs are in units of the value of one plain request. An answer within its
# objective has its full value, so that expected time costs little until it
# nears the objective.

# The price of traffic between data centres differs by a factor of five among
# deployments.
_CROSS_DATA_CENTRE_COST_PER_BYTE: Final = 1.2e-5
# Assumed size of an answer and of the headers of both bodies.
_ANSWER_BYTES: Final = 2000
# Cost of a prompt token as a share of the price of a generated token.
_PREFILL_PRICE_SHARE: Final = 0.25
# Cost of prefilling 1,000 shared tokens again, whatever the model.
_REPEATED_PREFILL_COST: Final = 0.02
# Bonus for the endpoint that should cache a shared prompt, as a share of the
# prefill cost that the cache saves: the endpoint for all daemons, and the one
# for the daemons of this data centre.
_GLOBAL_AFFINITY_SHARE: Final = 0.3
_LOCAL_AFFINITY_SHARE: Final = 0.1
# Requests with long prompts are worth more: this many tokens add one unit.
_TOKENS_PER_EXTRA_VALUE: Final = 4000
_FAILURE_COST: Final = 1.5
_COLD_COST: Final = 0.15
_FULL_COST: Final = 1.0
# Time that each concurrent request adds to one generated token.
_TOKEN_MS_PER_RUNNING: Final = 0.2
_MIN_OBJECTIVE_MS: Final = 50.0
_TOKENS_PER_PRICE_UNIT: Final = 1000


@attrs.frozen
class Requirements:
    """What a call requires of an endpoint, and the inputs of its cost.

    ``versions`` are the allowed versions, ``None`` for all. ``tried`` are the
    endpoints that got the call before and ``unreachable`` those that other
    daemons can't reach. ``rate_limited`` may not get a request from this daemon
    now. ``cold_share`` limits what ``daemon`` sends to a cold
    endpoint beside ``other_daemons``, ``None`` for no limit.
    ``max_in_flight`` limits this daemon's requests at an endpoint, 0 for no
    limit. ``prefill_ms_per_token`` holds for an idle engine.
    ``shared_parts`` are the parts of the prompt that other prompts may share.
    ``estimates`` are given where the load is controlled; elsewhere the expected
    time does not depend on the current speed of endpoints.
    """

    service: str
    objective_ms: float
    versions: frozenset[str] | None
    tried: frozenset[str]
    out_of_service: frozenset[str]
    local_data_centre: str
    cold_share: cold_limit.ColdShare | None
    max_in_flight: int
    daemon: str = ''
    other_daemons: tuple[str, ...] = ()
    unreachable: frozenset[str] = frozenset()
    rate_limited: Container[str] = frozenset()
    model_name: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefill_ms_per_token: float = prefill_speeds.ASSUMED_MS_PER_TOKEN
    shared_parts: tuple[model.PromptPart, ...] = ()
    model_cost: float = 0
    body_bytes: int = 0
    estimates: work.Estimates | None = None


@attrs.frozen
class Choice:
    """The chosen endpoint, its cost and the number of candidates.

    ``expected_ms`` is the expected time to the answer, or to the first event of
    a stream, if the request is sent there now. ``time_factor`` is the factor of
    the endpoint's current speed, ``None`` where the load is not controlled.
    """

    endpoint: endpoints.EndpointView
    cost: float
    candidates: int
    uncached_tokens: int
    expected_ms: float = 0
    time_factor: float | None = None


def choose(
    views: Iterable[endpoints.EndpointView],
    requirements: Requirements,
    now_ms: float,
) -> Choice | None:
    """Return the endpoint with the lowest cost, ``None`` if none is usable.

    Endpoints that recently did not answer are used only if there is no other.
    Ties are broken at random, so that daemons don't all choose the same
    endpoint.
    """
    usable = [view for view in views if is_usable(view, requirements, now_ms)]
    healthy = [
        view
        for view in usable
        if view.avoid_until_ms <= now_ms
        and view.name not in requirements.unreachable
    ]
    candidates = healthy or usable
    if not candidates:
        return None
    bonuses = _affinity_bonuses(candidates, requirements)
    ranked = [
        (
            _cost(view, requirements, now_ms) - bonuses.get(view.name, 0),
            random.random(),
            index,
        )
        for index, view in enumerate(candidates)
    ]
    cost, _, index = min(ranked)
    chosen = candidates[index]
    return Choice(
        endpoint=chosen,
        cost=cost,
        candidates=len(candidates),
        uncached_tokens=uncached_tokens(chosen, requirements),
        expected_ms=expected_ms(chosen, requirements, now_ms),
    )


def is_usable(
    view: endpoints.EndpointView, requirements: Requirements, now_ms: float
) -> bool:
    """Return whether an endpoint may get the call."""
    announced = view.announced
    if announced.service != requirements.service or announced.is_draining:
        return False
    if announced.endpoint in requirements.tried:
        return False
    if (
        announced.endpoint in requirements.rate_limited
        or now_ms < view.paused_until_ms
    ):
        return False
    if announced.data_centre in requirements.out_of_service:
        return False
    if (
        requirements.versions is not None
        and announced.version not in requirements.versions
    ):
        return False
    if (
        requirements.max_in_flight
        and view.in_flight >= requirements.max_in_flight
    ):
        return False
    return not view.is_cold(now_ms) or _may_send_cold(
        view, requirements, now_ms
    )


def _may_send_cold(
    view: endpoints.EndpointView, requirements: Requirements, now_ms: float
) -> bool:
    share = requirements.cold_share
    if share is None:
        return True
    return senders.is_sender(
        view.name,
        requirements.daemon,
        requirements.other_daemons,
        share.senders,
    ) and cold_limit.may_send(view.cold_send_times_ms, share.per_s, now_ms)


def uncached_tokens(
    view: endpoints.EndpointView, requirements: Requirements
) -> int:
    """Return the shared tokens that the endpoint has not cached.

    A part can be reused only together with all parts before it.
    """
    cached_tokens = 0
    all_tokens = 0
    is_cached = True
    for part in requirements.shared_parts:
        all_tokens += part.tokens
        is_cached = (
            is_cached and (requirements.model_name, part.name) in view.cached
        )
        cached_tokens += part.tokens if is_cached else 0
    return all_tokens - cached_tokens


def _prefill_cost(requirements: Requirements, tokens: int) -> float:
    """Return the cost of prefilling shared tokens."""
    price = (
        _REPEATED_PREFILL_COST + _PREFILL_PRICE_SHARE * requirements.model_cost
    )
    return tokens / _TOKENS_PER_PRICE_UNIT * price


def _affinity_bonuses(
    candidates: list[endpoints.EndpointView], requirements: Requirements
) -> dict[str, float]:
    """Return bonuses for the endpoints that should cache a shared prompt.

    Rendezvous hashing gives the same ranking on all daemons, so that a prompt
    is cached by one endpoint for all daemons, or by one in each data centre
    where traffic between data centres costs more than the prefill.
    """
    if not requirements.shared_parts:
        return {}
    last_part = requirements.shared_parts[-1].name

    def weight(view: endpoints.EndpointView) -> int:
        return xxhash.xxh3_64_intdigest(f'{last_part}/{view.name}'.encode())

    global_bonus, local_bonus = affinity_costs(requirements)
    bonuses = {max(candidates, key=weight).name: global_bonus}
    local = [
        view
        for view in candidates
        if view.announced.data_centre == requirements.local_data_centre
    ]
    if local:
        name = max(local, key=weight).name
        bonuses.setdefault(name, local_bonus)
    return bonuses


def affinity_costs(requirements: Requirements) -> tuple[float, float]:
    """Return the bonus of the endpoint for all daemons, and the local one's."""
    saved_cost = _prefill_cost(
        requirements, sum(part.tokens for part in requirements.shared_parts)
    )
    return (
        _GLOBAL_AFFINITY_SHARE * saved_cost,
        _LOCAL_AFFINITY_SHARE * saved_cost,
    )


def expected_ms(
    view: endpoints.EndpointView, requirements: Requirements, now_ms: float
) -> float:
    """Return the expected time to the answer.

    For a prompt it is the time to the first event, plus the time that
    concurrent requests add to the other events.
    """
    prefill_tokens = requirements.prompt_tokens - (
        sum(part.tokens for part in requirements.shared_parts)
        - uncached_tokens(view, requirements)
    )
    occupancy = view.occupancy(now_ms)
    prefill_ms = (
        view.backlog_ms(now_ms)
        + prefill_tokens * requirements.prefill_ms_per_token
    )
    if requirements.prompt_tokens:
        token_ms = occupancy * _TOKEN_MS_PER_RUNNING
        return prefill_ms + requirements.output_tokens * token_ms
    rounds = (occupancy + 1) / max(1, view.announced.slots)
    return requirements.objective_ms * rounds / 2


@attrs.define
class CurrentTimes:
    """Expected times at an endpoint, at its current speed.

    ``expected_ms`` is the time to the answer, or to the first event of a
    prompt's answer, and ``cost`` that of the time of the whole answer.
    """

    factor: float
    occupancy: int
    backlog_ms: float
    uncached_tokens: int
    expected_ms: float
    cost: float


def current_times(
    view: endpoints.EndpointView,
    requirements: Requirements,
    estimates: work.Estimates,
    now_ms: float,
) -> CurrentTimes:
    """Return the expected times if the call is sent to an endpoint now.

    Prompts wait for the reads before them. Plain requests that find no free
    slot wait for the requests before them.
    """
    factor = estimates.time_factor(view.name, now_ms)
    occupancy, backlog_ms = view.occupancy_and_backlog_ms(now_ms)
    uncached = uncached_tokens(view, requirements)
    if requirements.prompt_tokens:
        cached_tokens = (
            sum([part.tokens for part in requirements.shared_parts]) - uncached
        )
        read_ms = estimates.read_ms(requirements.prompt_tokens - cached_tokens)
        expected = factor * (backlog_ms + read_ms)
        token_ms = occupancy * _TOKEN_MS_PER_RUNNING
        answer_ms = expected + requirements.output_tokens * token_ms
    else:
        slots = max(1, view.announced.slots)
        queued = max(0, occupancy + 1 - slots)
        expected = estimates.service_ms * factor * (1 + queued / slots)
        answer_ms = expected
    cost = _time_cost(answer_ms, requirements)
    return CurrentTimes(factor, occupancy, backlog_ms, uncached, expected, cost)


def _time_cost(answer_ms: float, requirements: Requirements) -> float:
    objective_ms = max(_MIN_OBJECTIVE_MS, requirements.objective_ms)
    lateness = answer_ms / objective_ms
    value = 1 + requirements.prompt_tokens / _TOKENS_PER_EXTRA_VALUE
    return value * lateness * lateness


def _cost(
    view: endpoints.EndpointView, requirements: Requirements, now_ms: float
) -> float:
    return cost_with(
        _time_cost(expected_ms(view, requirements, now_ms), requirements),
        view,
        requirements,
        now_ms,
        uncached=uncached_tokens(view, requirements),
        is_full=view.occupancy(now_ms) >= view.announced.slots,
    )


def cost_with(
    time_cost: float,
    view: endpoints.EndpointView,
    requirements: Requirements,
    now_ms: float,
    *,
    uncached: int,
    is_full: bool,
) -> float:
    """Return an endpoint's cost, given that of its answer's expected time.

    ``uncached`` are the shared tokens that the endpoint has not cached.
    ``is_full`` is true if the request may have to wait for a slot, and the
    expected time does not contain that wait.
    """
    cost = time_cost
    cost += _FAILURE_COST * view.failure_share
    if view.announced.data_centre != requirements.local_data_centre:
        cost += _CROSS_DATA_CENTRE_COST_PER_BYTE * (
            requirements.body_bytes + _ANSWER_BYTES
        )
    if view.is_cold(now_ms):
        cost += _COLD_COST
    if is_full:
        cost += _FULL_COST
    return cost + _prefill_cost(requirements, uncached)
