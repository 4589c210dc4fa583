"""Moving averages of the endpoint's latencies, and their baselines."""

from __future__ import annotations

from typing import Final

import attrs

# Smoothing factor of the recent latency.
_RECENT_WEIGHT: Final = 0.3
# Above the near factor, the limit is not raised; above the far factor, the
# endpoint is treated as cold. Batching alone changes latencies by less than a
# factor of 2.
_NEAR_FACTOR: Final = 2.0
_FAR_FACTOR: Final = 5.0
# Prevents scheduling delays of a few milliseconds from counting as a rise.
_TOLERANCE_S: Final = 0.05
# Higher, because the wait of one request is a single sample.
_OVERDUE_FACTOR: Final = 10.0
# Smoothing factors of the baseline, which follows faster samples sooner than
# slower ones. A minimum as the baseline would make a kind with cached and
# uncached prompts look slow most of the time.
_FASTER_SAMPLE_WEIGHT: Final = 0.05
_SLOWER_SAMPLE_WEIGHT: Final = 0.02
_MIN_SAMPLES: Final = 4
_MAX_KINDS: Final = 256


@attrs.define
class _Series:
    """Latencies of one kind of request, in seconds.

    ``samples`` counts the samples since the limit was last reset, and
    ``total_samples`` all of them.
    """

    baseline_s: float
    recent_s: float
    samples: int = 1
    total_samples: int = 1

    def add(self, sample_s: float) -> None:
        self.samples += 1
        self.total_samples += 1
        self.recent_s += _RECENT_WEIGHT * (sample_s - self.recent_s)
        step = (
            _FASTER_SAMPLE_WEIGHT
            if sample_s < self.baseline_s
            else _SLOWER_SAMPLE_WEIGHT
        )
        # The first samples have equal weights.
        step = (
            max(step, 1 / self.total_samples)
            if self.total_samples <= _MIN_SAMPLES
            else step
        )
        self.baseline_s += step * (sample_s - self.baseline_s)

    def exceeds(self, time_s: float, factor: float) -> bool:
        return time_s > self.baseline_s * factor + _TOLERANCE_S


@attrs.define
class LatencyBaselines:
    """Latencies by request kind; kinds differ by orders of magnitude."""

    _series: dict[str, _Series] = attrs.field(factory=dict)

    def add(self, kind: str, sample_s: float) -> None:
        """Add a sample; kinds beyond ``_MAX_KINDS`` share one series."""
        key = kind
        if key not in self._series and len(self._series) >= _MAX_KINDS:
            key = ''
        series = self._series.get(key)
        if series is None:
            self._series[key] = _Series(sample_s, sample_s)
        else:
            series.add(sample_s)

    def is_near_baseline(self, kind: str) -> bool:
        """Return whether the recent latency is near the baseline."""
        return not self._exceeds(kind, _NEAR_FACTOR)

    def is_far_above_baseline(self, kind: str) -> bool:
        """Return whether the recent latency is far above the baseline."""
        return self._exceeds(kind, _FAR_FACTOR)

    def is_overdue(self, kind: str, waited_s: float) -> bool:
        """Return whether one request has waited far beyond the baseline."""
        series = self._series.get(kind)
        return series is not None and series.exceeds(waited_s, _OVERDUE_FACTOR)

    def mean_s(self, kind: str) -> float:
        """Return the recent latency of a kind, or the mean over all kinds.

        The mean is returned for a kind without samples; it is 0 when there are
        no samples at all.
        """
        series = self._series.get(kind)
        return self.overall_mean_s() if series is None else series.recent_s

    def overall_mean_s(self) -> float:
        """Return the mean over all kinds, or 0 without samples."""
        if not self._series:
            return 0
        all_series = self._series.values()
        return sum(series.recent_s for series in all_series) / len(all_series)

    def reset_recent(self) -> None:
        """Reset the recent latencies to the baselines.

        Latencies from before a reset of the limit don't describe the load after
        it.
        """
        for series in self._series.values():
            series.recent_s = series.baseline_s
            series.samples = 0

    def _exceeds(self, kind: str, factor: float) -> bool:
        series = self._series.get(kind)
        if series is None or series.samples < _MIN_SAMPLES:
            return False
        return series.exceeds(series.recent_s, factor)
