"""When an idempotent call gets a second attempt beside a slow first one."""

from __future__ import annotations

from typing import Final

from yuccarouter.routing import latency

# Fewer observations say too little of the tail.
_MIN_COUNT: Final = 100
_START_SHARE: Final = 0.95
_TAIL_SHARE: Final = 0.99
_MEDIAN_SHARE: Final = 0.5


def delay_ms(
    latencies: latency.Latencies,
    key: str,
    *,
    may_hedge: bool,
    remaining_ms: float,
) -> float | None:
    """Return after which time of silence to hedge, or None for never.

    ``may_hedge`` says that the call is idempotent and its kind is configured
    for hedging. The times of a key are those of attempts to the first token;
    for an attempt that was cancelled, the time until then. The second attempt
    starts at the 95th percentile, and only where the median after it is below
    the 99th and within the remaining time. When all endpoints are slow, the
    quantiles are close together and there is no hedge. Each hedge also needs
    ``RetryBudget.take_hedge`` at the time of its start.
    """
    if not may_hedge or latencies.count(key) < _MIN_COUNT:
        return None
    start_ms = latencies.quantile_ms(key, _START_SHARE)
    tail_ms = latencies.quantile_ms(key, _TAIL_SHARE)
    median_ms = latencies.quantile_ms(key, _MEDIAN_SHARE)
    if start_ms is None or tail_ms is None or median_ms is None:
        return None
    ends_ms = start_ms + median_ms
    if ends_ms >= min(tail_ms, remaining_ms):
        return None
    return start_ms
