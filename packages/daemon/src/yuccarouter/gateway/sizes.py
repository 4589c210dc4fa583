"""Which size of model answers a call, and when a larger one is asked."""

from __future__ import annotations

from typing import Final

import attrs

# Confidence, 0 to 100, from which an answer of a smaller model is passed on.
ACCEPTED_CONFIDENCE: Final = 56.0


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


def plan_for(models: tuple[str, ...]) -> Plan:
    """Return the models for a call whose sizes are ``models``.

    The largest model answers all requests well, but takes most of an engine's
    time. The smallest one is asked first: it is so much cheaper that a wrong
    try costs little.
    """
    if len(models) == 1:
        return Plan(models)
    return Plan((models[0], models[-1]))
