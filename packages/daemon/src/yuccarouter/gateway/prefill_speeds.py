"""How long engines take to read prompts, by model."""

from __future__ import annotations

from typing import Final

import attrs

# Assumed until answers have shown the speed, with the weight of one prompt.
ASSUMED_MS_PER_TOKEN: Final = 0.04
_ASSUMED_TOKENS: Final = 5000.0
# Part of the earlier answers' weight that is left after each new one.
_KEPT: Final = 0.98
# Time to a first token that does not depend on the prompt.
_BASE_MS: Final = 25.0


@attrs.define
class _Speed:
    """Decayed sums over answers."""

    read_ms: float = ASSUMED_MS_PER_TOKEN * _ASSUMED_TOKENS
    tokens: float = _ASSUMED_TOKENS


@attrs.define
class PrefillSpeeds:
    """Smoothed reading speeds of a deployment's engines, by model.

    The largest model of a deployment may take five times as long as the
    smallest one. Each answer counts by its tokens, as the times of short
    prompts are mostly not for reading.
    """

    _speeds: dict[str, _Speed] = attrs.field(factory=dict)

    def record(self, model: str, waited_ms: float, tokens: float) -> None:
        """Count an answer; ``waited_ms`` is without the wait for others."""
        speed = self._speeds.setdefault(model, _Speed())
        speed.read_ms = _KEPT * speed.read_ms + max(0, waited_ms - _BASE_MS)
        speed.tokens = _KEPT * speed.tokens + tokens

    def expected_ms(self, model: str, tokens: float) -> float:
        """Return the time that an idle engine takes to read ``tokens``."""
        speed = self._speeds.get(model, _Speed())
        return tokens * speed.read_ms / speed.tokens
