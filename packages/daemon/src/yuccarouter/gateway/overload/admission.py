"""Decides whether a request is sent, waits or is refused under load."""

from __future__ import annotations

import enum
from typing import Final

import attrs

# Shares of a request's slack, which is the time that it may wait and still be
# answered within its objective. Requests are shed with a probability that
# grows from 0 at the first share of expected waiting to its maximum at the
# second one: reports are old by the time of a decision, and all daemons would
# cross a single threshold at once.
_PLAIN_SHED_FROM: Final = 0.4
_PLAIN_SHED_TO: Final = 1.0
# The backlog of engines ends by itself once a long prompt is read, and a late
# answer to a prompt is still worth something, so that prompts are shed only
# when they would be late.
_PROMPT_SHED_FROM: Final = 1.0
_PROMPT_SHED_TO: Final = 2.0
# The other requests are always sent: without their answers, a daemon would not
# notice the end of an overload.
_MAX_SHED_SHARE: Final = 0.98
# Work times vary: a request may take this share of the usual one.
_FAST_SHARE: Final = 0.5
# Each step of priority halves a request's value; more steps than these make
# no difference.
_MAX_PRIORITY_STEPS: Final = 3.0
# Where a request takes nearly its whole objective, this share of the objective
# counts as slack.
_MIN_SLACK_SHARE: Final = 0.25


class Verdict(enum.Enum):
    """What happens to a request now."""

    ADMIT = 'admit'
    WAIT = 'wait'
    REFUSE = 'refuse'


class Reason(enum.StrEnum):
    """Why a request waits or is refused, for logs and metrics."""

    NONE = ''
    TIME_BUDGET = 'time_budget'
    OVER_SHARE = 'over_share'
    OVERLOAD = 'overload'
    QUEUE_FULL = 'queue_full'


@attrs.frozen
class Demanded:
    """What a request demands.

    ``objective_left_ms`` and ``time_left_ms`` are the times until its latency
    objective and until its deadline. ``draw`` is a random number from 0 to 1
    that the request keeps, so that repeated decisions are consistent.
    """

    objective_ms: float
    objective_left_ms: float
    time_left_ms: float
    draw: float
    priority: int = 0


@attrs.frozen
class Estimate:
    """What is known of the service.

    ``wait_ms`` is the expected wait at the best endpoint and ``work_ms`` the
    time of the request at an idle one. ``news_ms`` is the time until the next
    report of the endpoint, infinite if this daemon expects none.
    ``shed_share`` is the share of requests that has to be shed to keep the
    wait short, by the reports so far. ``admitted_share`` is the share of the
    demand of the request's organisation and key that fits their share of the
    capacity. ``usual_priority`` is the mean of the service's requests.
    """

    wait_ms: float
    work_ms: float
    news_ms: float
    shed_share: float = 0
    admitted_share: float = 1.0
    usual_priority: float = 0
    is_prompt: bool = False

    @property
    def expected_ms(self) -> float:
        """The expected time to the answer if the request is sent now."""
        return self.wait_ms + self.work_ms


@attrs.frozen
class Decision:
    """A verdict and its reason."""

    verdict: Verdict
    reason: Reason = Reason.NONE


ADMITTED: Final = Decision(Verdict.ADMIT)


def decide(request: Demanded, estimate: Estimate) -> Decision:
    """Return what happens to a request that has not been sent yet.

    A request that can't be answered within its time is refused. While the
    service isn't overloaded, all others are sent. In an overload, the demand
    of organisations above their share is shed first, then a share of all
    requests, those of low priority first. A request that is shed waits here
    instead if a newer report comes while its objective can still be met.
    """
    fastest_ms = estimate.wait_ms + _FAST_SHARE * estimate.work_ms
    if fastest_ms > request.time_left_ms:
        return Decision(Verdict.REFUSE, Reason.TIME_BUDGET)
    shed_share = _shed_share(request, estimate)
    if shed_share <= 0:
        return ADMITTED
    share = min(1.0, max(0, estimate.admitted_share))
    if request.draw >= share:
        return Decision(Verdict.REFUSE, Reason.OVER_SHARE)
    # Among the requests that are left, draws are uniform again.
    if request.draw / share >= shed_share:
        return ADMITTED
    if estimate.news_ms < request.objective_left_ms - estimate.work_ms:
        return Decision(Verdict.WAIT, Reason.OVERLOAD)
    return Decision(Verdict.REFUSE, Reason.OVERLOAD)


def slack_ms(objective_ms: float, work_ms: float) -> float:
    """Return how long a request may wait and still meet its objective."""
    return max(_MIN_SLACK_SHARE * objective_ms, objective_ms - work_ms)


def _shed_share(request: Demanded, estimate: Estimate) -> float:
    """Return the share of such requests that is shed, 0 without overload."""
    lowest, highest = _PLAIN_SHED_FROM, _PLAIN_SHED_TO
    if estimate.is_prompt:
        lowest, highest = _PROMPT_SHED_FROM, _PROMPT_SHED_TO
    # What has waited here has used a part of its slack.
    waited_ms = request.objective_ms - request.objective_left_ms
    used = (estimate.wait_ms + max(0, waited_ms)) / slack_ms(
        request.objective_ms, estimate.work_ms
    )
    by_wait = min(1.0, max(0, (used - lowest) / (highest - lowest)))
    share = 1 - (1 - by_wait) * (1 - estimate.shed_share)
    if share <= 0:
        return 0
    steps = min(
        _MAX_PRIORITY_STEPS,
        max(-_MAX_PRIORITY_STEPS, estimate.usual_priority - request.priority),
    )
    return min(_MAX_SHED_SHARE, float(share ** (2**steps)))
