"""Times of the endpoint, and whether they are near their baseline."""

from __future__ import annotations

from typing import Final

import attrs

# Weight of a new sample in the moving averages.
_WEIGHT: Final = 0.3
# Above near, the endpoint gets no more load; above sharp, it is taken to be
# cold. Batching alone changes times by less than a factor of 2.
_NEAR_FACTOR: Final = 2.0
_SHARP_FACTOR: Final = 5.0
# Keeps scheduling delays of a few milliseconds from counting as a rise.
_SLACK_S: Final = 0.05
# A wait is one sample only, so it must be further off to count.
_OVERDUE_FACTOR: Final = 10.0
# A baseline follows faster samples sooner than slower ones. The minimum would
# make a kind with cached and uncached prompts look slow most of the time.
_DOWN: Final = 0.05
_UP: Final = 0.02
_MIN_SAMPLES: Final = 4
_MAX_KINDS: Final = 256


@attrs.define
class _Series:
    """Samples of one kind of request, in seconds.

    ``samples`` counts those since the limit last fell, ``seen`` all.
    """

    baseline_s: float
    recent_s: float
    samples: int = 1
    seen: int = 1

    def add(self, sample_s: float) -> None:
        self.samples += 1
        self.seen += 1
        self.recent_s += _WEIGHT * (sample_s - self.recent_s)
        step = _DOWN if sample_s < self.baseline_s else _UP
        # The first samples count equally.
        step = max(step, 1 / self.seen) if self.seen <= _MIN_SAMPLES else step
        self.baseline_s += step * (sample_s - self.baseline_s)

    def exceeds(self, time_s: float, factor: float) -> bool:
        return time_s > self.baseline_s * factor + _SLACK_S


@attrs.define
class Timing:
    """Times by kind of request, since kinds differ by orders of magnitude."""

    _series: dict[str, _Series] = attrs.field(factory=dict)

    def add(self, kind: str, sample_s: float) -> None:
        """Take in a sample; kinds beyond a bound share one series."""
        key = kind
        if key not in self._series and len(self._series) >= _MAX_KINDS:
            key = ''
        series = self._series.get(key)
        if series is None:
            self._series[key] = _Series(sample_s, sample_s)
        else:
            series.add(sample_s)

    def is_near(self, kind: str) -> bool:
        """Return whether recent times are near the baseline."""
        return not self._exceeds(kind, _NEAR_FACTOR)

    def is_sharp(self, kind: str) -> bool:
        """Return whether recent times have risen far above the baseline."""
        return self._exceeds(kind, _SHARP_FACTOR)

    def is_overdue(self, kind: str, waited_s: float) -> bool:
        """Return whether a wait alone shows a sharp rise."""
        series = self._series.get(kind)
        return series is not None and series.exceeds(waited_s, _OVERDUE_FACTOR)

    def mean_s(self, kind: str) -> float:
        """Return the recent time of a kind, or of all while it is unknown.

        The result is 0 when nothing is known.
        """
        series = self._series.get(kind)
        return self.overall_s() if series is None else series.recent_s

    def overall_s(self) -> float:
        """Return the mean over kinds, or 0 when nothing is known."""
        if not self._series:
            return 0
        known = self._series.values()
        return sum(series.recent_s for series in known) / len(known)

    def restart(self) -> None:
        """Forget recent times but keep the baselines.

        Times from before a drop of the limit don't describe the load after.
        """
        for series in self._series.values():
            series.recent_s = series.baseline_s
            series.samples = 0

    def _exceeds(self, kind: str, factor: float) -> bool:
        series = self._series.get(kind)
        if series is None or series.samples < _MIN_SAMPLES:
            return False
        return series.exceeds(series.recent_s, factor)
