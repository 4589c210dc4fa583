"""What an answer is worth to its caller, by its quality and its time."""

from __future__ import annotations

from typing import Final

# Worth of an answer that was too hard for its model, as a share of a right one.
INSUFFICIENT_WORTH: Final = 0.05
# Worth of a late answer as a share of one in time; callers state 0.1 to 0.4.
LATE_WORTH: Final = 0.3
# Each step of priority halves the value of a request.
_VALUE_PER_PRIORITY_STEP: Final = 0.5
# Lower priorities count as this one, so that each request keeps some value.
_LOWEST_PRIORITY: Final = 16
# A longer prompt is worth more: this many tokens add one unit.
_TOKENS_PER_EXTRA_VALUE: Final = 4000
# Error of an expected wait, as a share of it, on either side. Reads that were
# sent by other daemons a moment ago are not known yet.
_WAIT_ERROR_SHARE: Final = 0.25


def request_value(priority: int, prompt_tokens: float) -> float:
    """Return the value of a right answer in time, 1 for a plain request."""
    steps = min(_LOWEST_PRIORITY, max(0, priority))
    size = 1 + max(0, prompt_tokens) / _TOKENS_PER_EXTRA_VALUE
    return float(_VALUE_PER_PRIORITY_STEP**steps * size)


def time_worth(in_time: float) -> float:
    """Return the share of the value that is left by the answer's time."""
    return in_time + (1 - in_time) * LATE_WORTH


def answer_worth(sufficient: float, in_time: float) -> float:
    """Return the expected share of a request's value that an answer has.

    ``sufficient`` is the probability that its model is strong enough and
    ``in_time`` that of meeting the latency objective.
    """
    quality = sufficient + (1 - sufficient) * INSUFFICIENT_WORTH
    return quality * time_worth(in_time)


def in_time_probability(
    elapsed_ms: float, wait_ms: float, objective_ms: float
) -> float:
    """Return the probability that an answer meets the objective.

    ``wait_ms`` is the expected time from now to its first event.
    """
    slack_ms = objective_ms - elapsed_ms - wait_ms
    error_ms = _WAIT_ERROR_SHARE * wait_ms
    if error_ms <= 0:
        return float(slack_ms >= 0)
    return min(1, max(0, (1 + slack_ms / error_ms) / 2))
