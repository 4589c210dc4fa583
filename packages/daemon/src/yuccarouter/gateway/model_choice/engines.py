"""Load of a service's engines, and engines on which no read waits."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from yuccarouter.gateway import choice, endpoints

# An engine takes no more reads without harm once a prompt waits there for this
# share of its objective.
_FULL_BACKLOG_SHARE: Final = 0.5
# Older reports of waiting requests are ignored.
_MAX_REPORT_AGE_MS: Final = 1000.0
# Without a report, prompts wait if the backlog is over this share of the
# objective. A shorter one may be that of a single prompt that is being read.
_WAITING_BACKLOG_SHARE: Final = 0.125
# Number of engines whose load is looked at. The load of each is a sum over all
# peers, which takes 0.1 ms at 400 daemons.
SAMPLE: Final = 24


def is_waited_for(
    view: endpoints.EndpointView, objective_ms: float, now_ms: float
) -> bool:
    """Return whether requests wait at an endpoint.

    A recent report of the endpoint decides, except for a backlog that came
    after it and that no more reads may be added to.
    """
    backlog_ms = view.backlog_ms(now_ms)
    if _has_recent_report(view, now_ms):
        is_full = backlog_load(backlog_ms, objective_ms) >= 1
        return is_full or _reported_waiting(view, now_ms) > 0
    return backlog_ms > _WAITING_BACKLOG_SHARE * objective_ms


def backlog_load(backlog_ms: float, objective_ms: float) -> float:
    """Return the load of one engine by its backlog, 0 to 1."""
    full_ms = _FULL_BACKLOG_SHARE * objective_ms
    return 1.0 if full_ms <= 0 else min(1.0, backlog_ms / full_ms)


def service_load(
    views: Iterable[endpoints.EndpointView],
    objective_ms: float,
    answer_ms: float,
    now_ms: float,
) -> float:
    """Return the share of the engines that can't take more reads, 0 to 1.

    ``views`` are a service's engines and ``answer_ms`` the mean engine time of
    an answer. One engine with a long read counts once, however long it is:
    others can take the requests meanwhile.
    """
    known = list(views)
    sample = random.sample(known, SAMPLE) if len(known) > SAMPLE else known
    if not sample:
        return 0
    loads = [
        backlog_load(
            max(
                view.backlog_ms(now_ms),
                _reported_waiting(view, now_ms) * answer_ms,
            ),
            objective_ms,
        )
        for view in sample
    ]
    return sum(loads) / len(loads)


@attrs.frozen
class Found:
    """The best engine for a read.

    ``passed_over`` names engines that would be chosen instead, but have waiting
    requests. It is empty if requests wait at the chosen engine too, for which
    ``is_waited_for`` is true then.
    """

    chosen: choice.Choice
    is_waited_for: bool
    passed_over: frozenset[str] = frozenset()


def choose_without_waiting(
    choose: Callable[[frozenset[str]], choice.Choice | None],
    objective_ms: float,
    now_ms: float,
) -> Found | None:
    """Return an engine without waiting requests, or else the best one.

    ``choose`` returns the best engine besides some. Only the best two are
    compared, as each comparison looks at all engines.
    """
    best = choose(frozenset())
    if best is None:
        return None
    if not is_waited_for(best.endpoint, objective_ms, now_ms):
        return Found(best, is_waited_for=False)
    passed = frozenset((best.endpoint.name,))
    other = choose(passed)
    if other is None or is_waited_for(other.endpoint, objective_ms, now_ms):
        return Found(best, is_waited_for=True)
    return Found(other, is_waited_for=False, passed_over=passed)


def _has_recent_report(view: endpoints.EndpointView, now_ms: float) -> bool:
    return now_ms - view.load_received_ms <= _MAX_REPORT_AGE_MS


def _reported_waiting(view: endpoints.EndpointView, now_ms: float) -> int:
    if view.load is None or not _has_recent_report(view, now_ms):
        return 0
    return max(0, view.load.waiting)
