"""Delay after which a slow idempotent call is hedged by a second attempt."""

from __future__ import annotations

from typing import Final

from yuccarouter.routing import latency

# With fewer observations the 99th percentile is unreliable.
_MIN_OBSERVATIONS: Final = 100
_START_QUANTILE: Final = 0.95
_TAIL_QUANTILE: Final = 0.99
_MEDIAN_QUANTILE: Final = 0.5


def delay_ms(
    latencies: latency.Latencies,
    key: str,
    *,
    may_hedge: bool,
    remaining_ms: float,
) -> float | None:
    """Return the delay before a second attempt, or None for no hedge.

    ``may_hedge`` is true if the call is idempotent and its kind is configured
    for hedging. The latencies of ``key`` are the times to first token of
    attempts, or to their cancellation. The second attempt starts at the 95th
    percentile, and only if that plus the median is below the 99th percentile
    and within the remaining time. When all endpoints are slow, the quantiles
    are close together and there is no hedge. Each hedge also needs
    ``RetryBudget.take_hedge`` when it starts.
    """
    if not may_hedge or latencies.count(key) < _MIN_OBSERVATIONS:
        return None
    start_ms = latencies.quantile_ms(key, _START_QUANTILE)
    tail_ms = latencies.quantile_ms(key, _TAIL_QUANTILE)
    median_ms = latencies.quantile_ms(key, _MEDIAN_QUANTILE)
    if start_ms is None or tail_ms is None or median_ms is None:
        return None
    expected_end_ms = start_ms + median_ms
    if expected_end_ms >= min(tail_ms, remaining_ms):
        return None
    return start_ms
