"""Smoothed latencies of answers, to detect slow ones."""

from __future__ import annotations

from typing import Final

import attrs

# An answer is slow above this multiple of its baseline.
_SLOW_FACTOR: Final = 4.0
# Faster answers are never slow: their latency is mostly queueing.
_MIN_SLOW_MS: Final = 250.0
_SMOOTHING_FACTOR: Final = 0.1


@attrs.define
class LatencyBaselines:
    """Smoothed latencies of similar answers, by a common key."""

    _baselines_ms: dict[str, float] = attrs.field(factory=dict)

    def record(self, key: str, elapsed_ms: float) -> None:
        """Update the baseline of a key with an answer's latency."""
        baseline_ms = self._baselines_ms.setdefault(key, elapsed_ms)
        self._baselines_ms[key] = baseline_ms + _SMOOTHING_FACTOR * (
            elapsed_ms - baseline_ms
        )

    def is_slow(self, key: str, elapsed_ms: float) -> bool:
        """Return whether a latency is far above the baseline of its key."""
        baseline_ms = self._baselines_ms.get(key)
        if baseline_ms is None:
            return False
        return elapsed_ms > max(_MIN_SLOW_MS, _SLOW_FACTOR * baseline_ms)
