"""Timeouts for the first event of a stream and for gaps between events.

An endpoint that lost its answer sends nothing, and neither does one that
prefills a long prompt. The times of recent answers, as multiples of those
expected for the tokens to prefill, tell the two apart.
"""

from __future__ import annotations

from typing import Final

import attrs

# As in TCP's retransmission timer (RFC 6298), but with a wider margin, because
# an unnecessary second prefill of a prompt is expensive.
_MEAN_SMOOTHING_FACTOR: Final = 0.125
_DEVIATION_SMOOTHING_FACTOR: Final = 0.25
_DEVIATION_MULTIPLE: Final = 6.0
_PRIOR_RATIO: Final = 3.0
_PRIOR_DEVIATION: Final = 2.0
# Longest timeout as a multiple of the objective: the remaining time must
# suffice for another endpoint.
_MAX_OBJECTIVE_MULTIPLE: Final = 1.5
# Timeout for the next event as a multiple of the objective for gaps.
_GAP_OBJECTIVE_MULTIPLE: Final = 1.5
_MIN_TIMEOUT_MS: Final = 1500.0
# The known backlog is out of date, and other prompts may be prefilled first.
_BACKLOG_FACTOR: Final = 2.0
_BASE_MS: Final = 30.0
_PREFILL_MS_PER_TOKEN: Final = 0.04


def expected_ms(tokens: float) -> float:
    """Return the expected time to the first event on an idle engine."""
    return _BASE_MS + tokens * _PREFILL_MS_PER_TOKEN


@attrs.define
class FirstEventTimeout:
    """Adaptive timeout from the ratio of observed to expected times.

    Similar answers share one instance.
    """

    mean: float = _PRIOR_RATIO
    deviation: float = _PRIOR_DEVIATION

    def record(self, observed_ms: float, tokens: float) -> None:
        """Update the ratio with the observed time of an answer."""
        ratio = observed_ms / expected_ms(tokens)
        error = ratio - self.mean
        self.mean += _MEAN_SMOOTHING_FACTOR * error
        self.deviation += _DEVIATION_SMOOTHING_FACTOR * (
            abs(error) - self.deviation
        )

    def timeout_ms(
        self, tokens: float, objective_ms: float, backlog_ms: float = 0
    ) -> float:
        """Return how long to wait for the first event.

        The backlog extends the timeout: an endpoint that is busy with other
        prompts has not failed, and a call that leaves it loses its place in
        the queue.
        """
        ratio = self.mean + _DEVIATION_MULTIPLE * self.deviation
        max_ms = max(_MIN_TIMEOUT_MS, _MAX_OBJECTIVE_MULTIPLE * objective_ms)
        estimated_ms = max(_MIN_TIMEOUT_MS, ratio * expected_ms(tokens))
        return min(max_ms, estimated_ms) + _BACKLOG_FACTOR * backlog_ms


def gap_timeout_ms(objective_ms: float) -> float:
    """Return how long to wait for the next event of a stream."""
    return max(_MIN_TIMEOUT_MS, _GAP_OBJECTIVE_MULTIPLE * objective_ms)
