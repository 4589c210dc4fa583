"""How long silence is borne before an attempt is taken elsewhere.

An endpoint that lost its answer is silent, and so is one that reads a long
prompt. The times of recent answers, as multiples of what the tokens to read
let expect, tell one from the other.
"""

from __future__ import annotations

from typing import Final

import attrs

# Smoothing and width as in the retransmission timer of TCP (RFC 6298), with a
# wider margin: a needless second reading of a prompt is dear.
_MEAN_WEIGHT: Final = 0.125
_DEVIATION_WEIGHT: Final = 0.25
_DEVIATIONS: Final = 6.0
_PRIOR_RATIO: Final = 3.0
_PRIOR_DEVIATION: Final = 2.0
# Part of the objective after which an answer is at most waited for: what is
# left must do for another endpoint.
_MAX_OF_OBJECTIVE: Final = 1.5
# Part of the longest pause on time that a stream may be silent.
_PAUSE_OF_OBJECTIVE: Final = 1.5
_MIN_MS: Final = 1500.0
# The known backlog is out of date, and prompts of others may be read first.
_BACKLOGS: Final = 2.0
_BASE_MS: Final = 30.0
_READ_MS_PER_TOKEN: Final = 0.04


def expected_ms(tokens: float) -> float:
    """Return the time to the first event on an idle engine."""
    return _BASE_MS + tokens * _READ_MS_PER_TOKEN


@attrs.define
class FirstEventTimeout:
    """Ratio of observed to expected times, for answers that are alike."""

    mean: float = _PRIOR_RATIO
    deviation: float = _PRIOR_DEVIATION

    def record(self, observed_ms: float, tokens: float) -> None:
        """Count an answer."""
        ratio = observed_ms / expected_ms(tokens)
        error = ratio - self.mean
        self.mean += _MEAN_WEIGHT * error
        self.deviation += _DEVIATION_WEIGHT * (abs(error) - self.deviation)

    def timeout_ms(
        self, tokens: float, objective_ms: float, backlog_ms: float = 0
    ) -> float:
        """Return how long to wait for the first event.

        An endpoint that is busy with the prompts of others is not silent; a
        call that leaves it loses its place in the queue.
        """
        ratio = self.mean + _DEVIATIONS * self.deviation
        longest_ms = max(_MIN_MS, _MAX_OF_OBJECTIVE * objective_ms)
        usual_ms = max(_MIN_MS, ratio * expected_ms(tokens))
        return min(longest_ms, usual_ms) + _BACKLOGS * backlog_ms


def gap_timeout_ms(objective_ms: float) -> float:
    """Return how long a stream may be silent between events."""
    return max(_MIN_MS, _PAUSE_OF_OBJECTIVE * objective_ms)
