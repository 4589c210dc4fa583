"""Which models answer a call, and when it escalates to a larger one."""

from __future__ import annotations

from typing import Final

import attrs

# Minimum confidence, 0 to 100, of an accepted answer of a smaller model.
ACCEPTED_CONFIDENCE: Final = 56.0
# Largest backlog at which a call of priority 0 escalates, as a share of the
# objective. Engines with a larger one can't keep up with their prompts.
_MAX_BACKLOG_SHARE: Final = 0.5
# A prefill up to this share of the objective adds little to the backlog, and
# is worth far more for its time than a longer one.
_SHORT_PREFILL_SHARE: Final = 0.05
# The largest backlog is divided by 1 plus this much per priority level.
_DIVISOR_PER_PRIORITY: Final = 2


@attrs.frozen
class Plan:
    """The models to try in order; the last one's answer is always accepted."""

    models: tuple[str, ...]
    accepted_confidence: float = ACCEPTED_CONFIDENCE

    def accepts(self, step: int, confidence: float | None) -> bool:
        """Return whether the answer of a step is passed to the caller."""
        if step >= len(self.models) - 1:
            return True
        return confidence is not None and confidence >= self.accepted_confidence


@attrs.frozen
class EscalationTimes:
    """Expected times of an escalation to the larger model.

    ``elapsed_ms`` is the time since the call arrived, ``backlog_ms`` the
    prefill time of the prompts that wait at the endpoint and ``read_ms`` that
    of this prompt.
    """

    elapsed_ms: float
    backlog_ms: float
    read_ms: float


def should_escalate(
    times: EscalationTimes, objective_ms: float, priority: int
) -> bool:
    """Return whether to ask a larger model instead of accepting the answer.

    A late answer is worth as little as one that may be wrong, and a long
    prompt of the largest model stalls all other streams of its engine. As the
    backlog grows, calls with a higher ``priority`` number stop escalating
    first, unless their prompts are short.
    """
    answer_ms = times.elapsed_ms + times.backlog_ms + times.read_ms
    if answer_ms > objective_ms:
        return False
    if times.read_ms <= _SHORT_PREFILL_SHARE * objective_ms:
        return True
    divisor = 1 + _DIVISOR_PER_PRIORITY * priority
    max_backlog_ms = _MAX_BACKLOG_SHARE * objective_ms / divisor
    return times.backlog_ms <= max_backlog_ms


def plan_for(models: tuple[str, ...]) -> Plan:
    """Return the plan for a call that may use ``models``, smallest first.

    The largest model answers all requests well, but takes most of an engine's
    time. The smallest one is asked first: it is so much cheaper that a
    rejected answer costs little.
    """
    if len(models) == 1:
        return Plan(models)
    return Plan((models[0], models[-1]))
