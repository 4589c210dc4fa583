"""Which endpoint gets a call: time to its answer, distance and caches."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final

import attrs
import xxhash

from yuccarouter.gateway import cold_limit, endpoints, model, prefill_speeds

# Costs are in units of one plain request's worth. An answer within its
# objective earns all of it, so that expected time costs little until it nears
# the objective.
# Price of a byte between data centres; deployments differ by a factor of five.
_DISTANT_COST_PER_BYTE: Final = 1.2e-5
# Bytes of an answer and of the headers around both bodies.
_ANSWER_BYTES: Final = 2000
# Share of the price of generated tokens that a token costs that is read.
_READ_PRICE: Final = 0.25
# Price of 1,000 shared tokens that are read again, whatever the model.
_REREAD_COST: Final = 0.02
# Part of what a kept prompt saves that an endpoint is worth where it is kept
# for all daemons, and where only this data centre's ones look.
_SHARED_PLACE: Final = 0.3
_LOCAL_PLACE: Final = 0.1
# Long prompts are asked by requests that are worth more.
_TOKENS_PER_WORTH: Final = 4000
_FAILURE_COST: Final = 1.5
_COLD_COST: Final = 0.15
_FULL_COST: Final = 1.0
# Time that each request beside it adds to one generated token.
_STEP_MS_PER_RUNNING: Final = 0.2
_MIN_OBJECTIVE_MS: Final = 50.0
_TOKENS_PER_UNIT: Final = 1000


@attrs.frozen
class Requirements:
    """What an endpoint must be for a call, and what makes it a good one.

    ``versions`` decides by version; ``tried`` are endpoints that had the call
    before and ``lost`` those that other daemons can't reach;
    ``cold_share`` bounds what ``daemon`` sends to a cold endpoint beside the
    other ``daemons``, and is ``None`` where a cold one bears any load;
    ``read_ms_per_token`` is the reading speed of an idle engine.
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
    model_name: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefill_ms_per_token: float = prefill_speeds.ASSUMED_MS_PER_TOKEN
    shared_parts: tuple[model.PromptPart, ...] = ()
    model_cost: float = 0
    body_bytes: int = 0


@attrs.frozen
class Choice:
    """An endpoint, with what decided for it."""

    endpoint: endpoints.EndpointView
    cost: float
    candidates: int
    uncached_tokens: int


def choose(
    views: Iterable[endpoints.EndpointView], need: Requirements, now_ms: float
) -> Choice | None:
    """Return the endpoint of least cost, ``None`` where none may be used.

    Endpoints that were lost a moment ago are used only where no other is left.
    Those of equal cost are drawn from, so that many daemons do not all turn to
    the same one.
    """
    usable = [view for view in views if is_usable(view, need, now_ms)]
    trusted = [
        view
        for view in usable
        if view.avoid_until_ms <= now_ms and view.name not in need.unreachable
    ]
    candidates = trusted or usable
    if not candidates:
        return None
    places = _places(candidates, need)
    ranked = [
        (
            _cost(view, need, now_ms) - places.get(view.name, 0),
            random.random(),
            place,
        )
        for place, view in enumerate(candidates)
    ]
    cost, _, place = min(ranked)
    chosen = candidates[place]
    return Choice(
        endpoint=chosen,
        cost=cost,
        candidates=len(candidates),
        uncached_tokens=uncached_tokens(chosen, need),
    )


def is_usable(
    view: endpoints.EndpointView, need: Requirements, now_ms: float
) -> bool:
    """Return whether an endpoint may get the call at all."""
    announced = view.announced
    if announced.service != need.service or announced.is_draining:
        return False
    if announced.endpoint in need.tried:
        return False
    if announced.data_centre in need.out_of_service:
        return False
    if need.versions is not None and announced.version not in need.versions:
        return False
    if need.max_in_flight and view.in_flight >= need.max_in_flight:
        return False
    return not view.is_cold(now_ms) or _may_warm(view, need, now_ms)


def _may_warm(
    view: endpoints.EndpointView, need: Requirements, now_ms: float
) -> bool:
    share = need.cold_share
    if share is None:
        return True
    return cold_limit.is_sender(
        view.name, need.daemon, need.other_daemons, share.senders
    ) and cold_limit.may_send(view.cold_send_times_ms, share.per_s, now_ms)


def uncached_tokens(view: endpoints.EndpointView, need: Requirements) -> int:
    """Return the shared tokens that the endpoint must read first.

    A part is kept only together with all parts before it.
    """
    held = 0
    total = 0
    is_held = True
    for part in need.shared_parts:
        total += part.tokens
        is_held = is_held and (need.model_name, part.name) in view.cached
        held += part.tokens if is_held else 0
    return total - held


def _kept_value(need: Requirements, tokens: int) -> float:
    """Return what it saves that an endpoint need not read shared tokens."""
    price = _REREAD_COST + _READ_PRICE * need.model_cost
    return tokens / _TOKENS_PER_UNIT * price


def _places(
    candidates: list[endpoints.EndpointView], need: Requirements
) -> dict[str, float]:
    """Return the endpoints where a shared prompt should be kept, with gains.

    All daemons rank alike, so that a prompt is kept in one place for all, or
    in one for each data centre where distance is dearer.
    """
    if not need.shared_parts:
        return {}
    last = need.shared_parts[-1].name

    def weight(view: endpoints.EndpointView) -> int:
        return xxhash.xxh3_64_intdigest(f'{last}/{view.name}'.encode())

    value = _kept_value(need, sum(part.tokens for part in need.shared_parts))
    places = {max(candidates, key=weight).name: _SHARED_PLACE * value}
    home = [
        view
        for view in candidates
        if view.announced.data_centre == need.local_data_centre
    ]
    if home:
        name = max(home, key=weight).name
        places.setdefault(name, _LOCAL_PLACE * value)
    return places


def expected_ms(
    view: endpoints.EndpointView, need: Requirements, now_ms: float
) -> float:
    """Return the expected time to the answer.

    For a stream it is the time to the first event, and what the requests that
    run beside it add to the others.
    """
    unread = need.prompt_tokens - (
        sum(part.tokens for part in need.shared_parts)
        - uncached_tokens(view, need)
    )
    occupancy = view.occupancy(now_ms)
    reading_ms = view.backlog_ms(now_ms) + unread * need.prefill_ms_per_token
    if need.prompt_tokens:
        step_ms = occupancy * _STEP_MS_PER_RUNNING
        return reading_ms + need.output_tokens * step_ms
    rounds = (occupancy + 1) / max(1, view.announced.slots)
    return need.objective_ms * rounds / 2


def _cost(
    view: endpoints.EndpointView, need: Requirements, now_ms: float
) -> float:
    objective_ms = max(_MIN_OBJECTIVE_MS, need.objective_ms)
    lateness = expected_ms(view, need, now_ms) / objective_ms
    worth = 1 + need.prompt_tokens / _TOKENS_PER_WORTH
    cost: float = worth * lateness * lateness
    cost += _FAILURE_COST * view.failure_share
    if view.announced.data_centre != need.local_data_centre:
        cost += _DISTANT_COST_PER_BYTE * (need.body_bytes + _ANSWER_BYTES)
    if view.is_cold(now_ms):
        cost += _COLD_COST
    if view.occupancy(now_ms) >= view.announced.slots:
        cost += _FULL_COST
    return cost + _kept_value(need, uncached_tokens(view, need))
