"""Quantiles of recently observed latencies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs
from hdrh import histogram

# Two windows are kept, so a quantile covers the last 30 s to 60 s.
_WINDOW_MS: Final = 30_000
_MAX_MS: Final = 600_000
# With one digit, a quantile takes about 15 us and its error is at most 6%.
_SIGNIFICANT_DIGITS: Final = 1
_PERCENT: Final = 100


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS)


@attrs.define
class _Windows:
    started_ms: float
    current: histogram.HdrHistogram = attrs.field(factory=_histogram)
    combined: histogram.HdrHistogram = attrs.field(factory=_histogram)

    def rotate(self, now_ms: float) -> None:
        """Drop observations that are older than two windows."""
        if now_ms - self.started_ms < _WINDOW_MS:
            return
        recent = _histogram()
        if now_ms - self.started_ms < 2 * _WINDOW_MS:
            recent.add(self.current)
        self.combined = recent
        self.current = _histogram()
        self.started_ms = now_ms


class Latencies:
    """Latencies by key, for example a request kind and a version."""

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        self._windows: dict[str, _Windows] = {}

    def record(self, key: str, elapsed_ms: float) -> None:
        """Add one observation."""
        now_ms = self._now_ms()
        windows = self._windows.get(key)
        if windows is None:
            windows = _Windows(now_ms)
            self._windows[key] = windows
        windows.rotate(now_ms)
        rounded_ms = min(_MAX_MS, max(1, round(elapsed_ms)))
        windows.current.record_value(rounded_ms)
        windows.combined.record_value(rounded_ms)

    def count(self, key: str) -> int:
        """Return the number of recent observations."""
        recent = self._recent(key)
        return 0 if recent is None else int(recent.get_total_count())

    def quantile_ms(self, key: str, quantile: float) -> float | None:
        """Return a quantile, or None without recent observations."""
        recent = self._recent(key)
        if recent is None or not recent.get_total_count():
            return None
        return float(recent.get_value_at_percentile(quantile * _PERCENT))

    def _recent(self, key: str) -> histogram.HdrHistogram | None:
        windows = self._windows.get(key)
        if windows is None:
            return None
        windows.rotate(self._now_ms())
        return windows.combined
