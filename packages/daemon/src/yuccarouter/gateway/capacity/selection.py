"""Chooses endpoints where the load is controlled, without herding.

Daemons learn of each other's requests only after a while. If all chose the
endpoint of the lowest cost, those that see the same idle endpoint would
overload it. Each therefore chooses between two random ones of nearly equal
cost (power of two choices), of a random sample of the endpoints.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.gateway import choice
from yuccarouter.gateway.capacity import service_index

if TYPE_CHECKING:
    from yuccarouter.gateway import endpoints
    from yuccarouter.gateway.capacity import work

# Endpoints without waiting requests that suffice for a choice among them.
_SUFFICIENT: Final = 8
# Endpoints with waiting requests that are candidates; of others, only those
# without are.
_MAX_WAITING: Final = 4
# Usable endpoints that are looked at, as a decision must take under 100
# microseconds: those of the own data centre beside others, and all.
_MAX_LOCAL: Final = 16
_MAX_EXAMINED: Final = 24
# Costs are nearly equal up to this difference, in units of the value of one
# plain request, for what does not depend on the load.
_NEAR_COST: Final = 0.002
# Costs of time are nearly equal up to this share of the lowest one. The mean of
# a service with a few slow endpoints is near the usual speed by it.
_NEAR_TIME_SHARE: Final = 0.5


@attrs.define
class _Candidate:
    """A usable endpoint.

    ``load`` is lower the sooner the endpoint can serve one more request.
    """

    view: endpoints.EndpointView
    cost: float
    times: choice.CurrentTimes
    load: float
    weight: float
    is_idle: bool

    @property
    def other_cost(self) -> float:
        """The part of the cost that does not depend on expected times."""
        return self.cost - self.times.cost


def choose(
    known: service_index.ServiceEndpoints,
    requirements: choice.Requirements,
    estimates: work.Estimates,
    now_ms: float,
) -> choice.Choice | None:
    """Return an endpoint of nearly the lowest cost, ``None`` if none is usable.

    Endpoints that recently did not answer are used only if there is no other.
    """
    candidates = _candidates(known, _Search(requirements, estimates, now_ms))
    if not candidates:
        return None
    chosen = _less_loaded(_nearly_best(candidates))
    return choice.Choice(
        endpoint=chosen.view,
        cost=chosen.cost,
        candidates=len(candidates),
        uncached_tokens=chosen.times.uncached_tokens,
        expected_ms=chosen.times.expected_ms,
        time_factor=chosen.times.factor,
    )


def _candidates(
    known: service_index.ServiceEndpoints, search: _Search
) -> list[_Candidate]:
    """Return a sample of the usable endpoints, of those that answer if any.

    The endpoints that should cache a shared prompt are always included.
    """
    for home, bonus in _bonuses(known, search).values():
        search.examine(home, bonus)
    most_local = _MAX_LOCAL if known.remote else _MAX_EXAMINED
    for views, most in (
        (known.local, most_local),
        (known.remote, _MAX_EXAMINED),
    ):
        for view in service_index.in_random_order(views):
            if search.is_sufficient(most):
                break
            search.examine(view, 0)
    if search.found:
        return list(search.found.values())
    return [
        _candidate(silent, search, 0) for silent in search.silent[:_MAX_WAITING]
    ]


@attrs.define
class _Search:
    """Examined endpoints: those that answer, and those that did not.

    ``examined`` counts the endpoints that answer or are left out for waiting
    requests, and ``idle`` the candidates that have none.
    """

    requirements: choice.Requirements
    estimates: work.Estimates
    now_ms: float
    found: dict[str, _Candidate] = attrs.field(factory=dict)
    silent: list[endpoints.EndpointView] = attrs.field(factory=list)
    examined: int = 0
    idle: int = 0

    def examine(self, view: endpoints.EndpointView, bonus: float) -> None:
        """Add an endpoint if it is usable and may be the best one."""
        if view.name in self.found:
            return
        waiting = len(self.found) - self.idle
        if waiting >= _MAX_WAITING and not self._is_idle(view):
            self.examined += 1
            return
        if not choice.is_usable(view, self.requirements, self.now_ms):
            return
        if not _answers(view, self.requirements, self.now_ms):
            self.silent.append(view)
            return
        self.examined += 1
        added = _candidate(view, self, bonus)
        self.found[view.name] = added
        self.idle += added.is_idle

    def _is_idle(self, view: endpoints.EndpointView) -> bool:
        occupancy, backlog_ms = view.occupancy_and_backlog_ms(self.now_ms)
        is_read_free = not self.requirements.prompt_tokens or backlog_ms <= 0
        return occupancy < view.announced.slots and is_read_free

    def is_sufficient(self, most: int) -> bool:
        """Return whether enough endpoints are known for a choice."""
        return self.idle >= _SUFFICIENT or self.examined >= most


def _answers(
    view: endpoints.EndpointView,
    requirements: choice.Requirements,
    now_ms: float,
) -> bool:
    return (
        view.avoid_until_ms <= now_ms
        and view.name not in requirements.unreachable
    )


def _bonuses(
    known: service_index.ServiceEndpoints, search: _Search
) -> dict[str, tuple[endpoints.EndpointView, float]]:
    """Return the endpoints that should cache a shared prompt, with bonuses."""
    requirements = search.requirements
    if not requirements.shared_parts:
        return {}
    part = requirements.shared_parts[-1].name
    bonuses: dict[str, tuple[endpoints.EndpointView, float]] = {}
    for ring, bonus in zip(
        (known.ring, known.local_ring),
        choice.affinity_costs(requirements),
        strict=True,
    ):
        usable = [
            view
            for view in ring.first(part)
            if choice.is_usable(view, requirements, search.now_ms)
        ]
        if usable:
            bonuses.setdefault(usable[0].name, (usable[0], bonus))
    return bonuses


def _candidate(
    view: endpoints.EndpointView,
    search: _Search,
    bonus: float,
) -> _Candidate:
    requirements = search.requirements
    now_ms = search.now_ms
    times = choice.current_times(view, requirements, search.estimates, now_ms)
    slots = max(1, view.announced.slots)
    load = times.factor * (times.occupancy + 1) / slots
    is_idle = times.occupancy < slots
    is_prompt = requirements.prompt_tokens > 0
    cost = choice.cost_with(
        times.cost,
        view,
        requirements,
        now_ms,
        uncached=times.uncached_tokens,
        is_full=is_prompt and not is_idle,
    )
    weight = slots / times.factor
    if is_prompt:
        # Prompts wait for reads rather than for slots.
        load = times.cost + _NEAR_COST * load
        weight = 1 / times.factor
        is_idle = is_idle and times.backlog_ms <= 0
    return _Candidate(view, cost - bonus, times, load, weight, is_idle)


def _nearly_best(candidates: list[_Candidate]) -> list[_Candidate]:
    """Return the candidates of nearly the lowest cost."""
    best = min(candidates, key=_cost)
    most_time = best.times.cost * (1 + _NEAR_TIME_SHARE) + _NEAR_COST
    most_other = best.other_cost + _NEAR_COST
    return [
        candidate
        for candidate in candidates
        if candidate.times.cost <= most_time
        and candidate.other_cost <= most_other
    ]


def _cost(candidate: _Candidate) -> float:
    return candidate.cost


def _less_loaded(candidates: list[_Candidate]) -> _Candidate:
    """Return the less loaded one of two random candidates.

    They are drawn by weight, without replacement.
    """
    drawn = sorted(
        (random.expovariate(candidate.weight), index)
        for index, candidate in enumerate(candidates)
    )
    return min(
        (candidates[index] for _, index in drawn[:2]),
        key=_load,
    )


def _load(candidate: _Candidate) -> float:
    return candidate.load
