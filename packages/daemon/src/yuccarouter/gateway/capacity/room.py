"""The room of a service: what its endpoints can take now."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import attrs

from yuccarouter.gateway import choice, model

if TYPE_CHECKING:
    from yuccarouter.gateway import endpoints


@attrs.frozen
class Room:
    """The capacity and the backlog of a service's usable endpoints.

    ``capacity_ms_per_s`` is the usual endpoint time of the work that they can
    do in a second: slow endpoints offer less. ``backlog_ms`` is the smallest
    expected wait at any of them, infinite if there is none, and ``age_ms`` the
    age of that endpoint's last load report, infinite if it has sent none.
    """

    capacity_ms_per_s: float
    backlog_ms: float
    age_ms: float


@attrs.frozen
class Scope:
    """The service whose room is wanted, and what applies to its endpoints.

    ``requirements`` tells which endpoints are usable. ``is_engine`` is true for
    engines, whose prompts are read one after another; the other endpoints
    serve as many requests at a time as they have slots, each in
    ``service_ms``. ``time_factor`` returns an endpoint's current factor.
    """

    requirements: choice.Requirements
    is_engine: bool
    service_ms: float
    time_factor: Callable[[str, float], float]


def service_room(
    views: Iterable[endpoints.EndpointView], scope: Scope, now_ms: float
) -> Room:
    """Return the room of a service.

    Endpoints that did not answer a moment ago offer no capacity.
    """
    capacity_ms_per_s: float = 0
    backlog_ms = math.inf
    age_ms = math.inf
    for view in views:
        if not _is_usable(view, scope, now_ms):
            continue
        factor = scope.time_factor(view.name, now_ms)
        lanes = 1 if scope.is_engine else max(1, view.announced.slots)
        capacity_ms_per_s += model.MS_PER_S * lanes / factor
        wait_ms = factor * _usual_wait_ms(view, scope, now_ms)
        if wait_ms < backlog_ms:
            backlog_ms = wait_ms
            age_ms = now_ms - view.load_received_ms
    return Room(capacity_ms_per_s, backlog_ms, age_ms)


def _is_usable(
    view: endpoints.EndpointView, scope: Scope, now_ms: float
) -> bool:
    requirements = scope.requirements
    return (
        choice.is_usable(view, requirements, now_ms)
        and view.avoid_until_ms <= now_ms
        and view.name not in requirements.unreachable
    )


def _usual_wait_ms(
    view: endpoints.EndpointView, scope: Scope, now_ms: float
) -> float:
    """Return the wait for a place at an endpoint of the usual speed."""
    if scope.is_engine:
        return view.backlog_ms(now_ms)
    slots = max(1, view.announced.slots)
    queued = max(0, view.occupancy(now_ms) + 1 - slots)
    return scope.service_ms * queued / slots
