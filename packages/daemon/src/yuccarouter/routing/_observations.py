"""The entry's own observations of one endpoint."""

from __future__ import annotations

import collections
from typing import Final

# Changes within one interval are stored as one sum, which bounds memory.
_BUCKET_MS: Final = 20
# Covers 5 s of continuous changes; beyond that the oldest sums are merged.
_MAX_BUCKETS: Final = 256

_FIRST_BACKOFF_MS: Final = 250
_MAX_BACKOFF_MS: Final = 16_000
# Keeps endpoints that failed together from returning at the same time.
_JITTER_SHARE: Final = 0.5
# Smoothing factor of the failure share: the weight of the newest outcome.
_FAILURE_SMOOTHING: Final = 0.1


class Observations:
    """The entry's own requests and failures at one endpoint.

    A report counts the requests up to the time of its measurement. The entry's
    starts and ends after that time are added to it until the next report.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.failure_share = float(0)
        self.backoff_until_ms = float(0)
        self._failures = 0
        self._changes: collections.deque[tuple[float, int]]
        self._changes = collections.deque()
        self._change_since_report = 0

    @property
    def change_since_report(self) -> int:
        """The entry's starts minus ends since the last report's measurement."""
        return self._change_since_report

    def record_start(self, now_ms: float) -> None:
        """Count a request that was sent."""
        self.in_flight += 1
        self._record_change(now_ms, 1)

    def record_end(self, now_ms: float, *, ok: bool) -> None:
        """Count the end of a request; a success resets the next backoff."""
        self.in_flight = max(0, self.in_flight - 1)
        self._record_change(now_ms, -1)
        self._update_failure_share(failed=not ok)
        if ok:
            self._failures = 0

    def record_failure(self, now_ms: float, rng_value: float) -> float:
        """Record a failure and return the time at which the backoff ends.

        Failures during a backoff don't extend it: requests that were sent
        together fail by the same fault.
        """
        self._update_failure_share(failed=True)
        if now_ms < self.backoff_until_ms:
            return self.backoff_until_ms
        backoff_ms = min(_MAX_BACKOFF_MS, _FIRST_BACKOFF_MS * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        jitter = 1 + _JITTER_SHARE * rng_value
        self.backoff_until_ms = now_ms + backoff_ms * jitter
        return self.backoff_until_ms

    def apply_report(self, measured_ms: float) -> None:
        """Discard the changes that a report's measurement includes."""
        while self._changes and self._changes[0][0] <= measured_ms:
            self._change_since_report -= self._changes.popleft()[1]

    def _update_failure_share(self, *, failed: bool) -> None:
        self.failure_share += _FAILURE_SMOOTHING * (failed - self.failure_share)

    def _record_change(self, now_ms: float, change: int) -> None:
        self._change_since_report += change
        changes = self._changes
        if changes and now_ms - changes[-1][0] < _BUCKET_MS:
            changes[-1] = (changes[-1][0], changes[-1][1] + change)
            return
        changes.append((now_ms, change))
        if len(changes) > _MAX_BUCKETS:
            oldest = changes.popleft()
            changes[0] = (changes[0][0], changes[0][1] + oldest[1])
