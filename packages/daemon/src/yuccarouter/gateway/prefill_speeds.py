"""Estimates of the prefill time per token, by model."""

from __future__ import annotations

from typing import Final

import attrs

# Initial estimate, with the weight of a prompt of ``_ASSUMED_TOKENS``.
ASSUMED_MS_PER_TOKEN: Final = 0.04
_ASSUMED_TOKENS: Final = 5000.0
# Decay of the weight of earlier answers with each new one.
_DECAY_FACTOR: Final = 0.98
# Part of the time to the first token that does not depend on the prompt.
_BASE_MS: Final = 25.0


@attrs.define
class _Speed:
    """Exponentially decayed sums over answers."""

    prefill_ms: float = ASSUMED_MS_PER_TOKEN * _ASSUMED_TOKENS
    tokens: float = _ASSUMED_TOKENS


@attrs.define
class PrefillSpeeds:
    """Smoothed prefill times per token of a deployment's engines, by model.

    The largest model of a deployment may take five times as long as the
    smallest one. Answers are weighted by their tokens, because little of the
    time of a short prompt is prefill.
    """

    _speeds: dict[str, _Speed] = attrs.field(factory=dict)

    def record(self, model: str, elapsed_ms: float, tokens: float) -> None:
        """Record an answer; ``elapsed_ms`` excludes the engine's backlog."""
        speed = self._speeds.setdefault(model, _Speed())
        speed.prefill_ms = _DECAY_FACTOR * speed.prefill_ms + max(
            0, elapsed_ms - _BASE_MS
        )
        speed.tokens = _DECAY_FACTOR * speed.tokens + tokens

    def is_known(self, model: str) -> bool:
        """Return whether a prompt of this model was timed."""
        return model in self._speeds

    def expected_ms(self, model: str, tokens: float) -> float:
        """Return the time that an idle engine takes to prefill ``tokens``."""
        speed = self._speeds.get(model, _Speed())
        return tokens * speed.prefill_ms / speed.tokens
