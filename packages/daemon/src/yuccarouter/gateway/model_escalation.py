"""Which size of model answers a call, and when a larger one is asked."""

from __future__ import annotations

from typing import Final

import attrs

# Confidence, 0 to 100, from which an answer of a smaller model is passed on.
ACCEPTED_CONFIDENCE: Final = 56.0
# Part of the objective that the prompts before it may take, for a call of the
# first rank; an engine that is further behind can't read what it is sent.
_BACKLOG_OF_OBJECTIVE: Final = 0.5
# Part of the objective up to which a prompt adds little to the backlog. It is
# worth far more for the time that it takes than a long one.
_LITTLE_OF_OBJECTIVE: Final = 0.05
# How much sooner each further rank gives up the larger model.
_BACKLOG_PER_RANK: Final = 2


@attrs.frozen
class Plan:
    """The models to try in order; the last one's answer is always taken."""

    models: tuple[str, ...]
    accepted_confidence: float = ACCEPTED_CONFIDENCE

    def accepts(self, step: int, confidence: float | None) -> bool:
        """Return whether the answer of a step goes to the caller."""
        if step >= len(self.models) - 1:
            return True
        return confidence is not None and confidence >= self.accepted_confidence


@attrs.frozen
class EscalationTimes:
    """What asking the larger model would take now.

    ``backlog_ms`` is the time to read the prompts that wait at the endpoint
    and ``read_ms`` the time to read this one.
    """

    elapsed_ms: float
    backlog_ms: float
    read_ms: float


def should_escalate(
    prospect: EscalationTimes, objective_ms: float, priority: int
) -> bool:
    """Return whether to ask a larger model, rather than take the answer.

    An answer that comes late is worth as little as one that may be wrong, and
    all streams beside a long prompt of the largest model stand still. While
    engines are behind, the less urgent calls do without it first, unless their
    prompts are short.
    """
    first_ms = prospect.elapsed_ms + prospect.backlog_ms + prospect.read_ms
    if first_ms > objective_ms:
        return False
    if prospect.read_ms <= _LITTLE_OF_OBJECTIVE * objective_ms:
        return True
    rank = 1 + _BACKLOG_PER_RANK * priority
    bound_ms = _BACKLOG_OF_OBJECTIVE * objective_ms / rank
    return prospect.backlog_ms <= bound_ms


def plan_for(models: tuple[str, ...]) -> Plan:
    """Return the models for a call whose sizes are ``models``.

    The largest model answers all requests well, but takes most of an engine's
    time. The smallest one is asked first: it is so much cheaper that a wrong
    try costs little.
    """
    if len(models) == 1:
        return Plan(models)
    return Plan((models[0], models[-1]))
