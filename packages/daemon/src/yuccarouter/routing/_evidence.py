"""What this process itself knows of one endpoint."""

from __future__ import annotations

import collections
from typing import Final

# Starts and ends within one interval share an entry, which bounds memory.
_BUCKET_MS: Final = 20
# Covers 5 s of constant change; older entries are merged.
_MAX_BUCKETS: Final = 256

_BACKOFF_MS: Final = 250
_MAX_BACKOFF_MS: Final = 16_000
# Spreads the returns of endpoints that failed together.
_JITTER: Final = 0.5
# Weight of the newest outcome in the failure share.
_FAILURE_GAIN: Final = 0.1


class Evidence:
    """Own requests and failures at one endpoint.

    A report counts the requests up to the time of its measurement. Own starts
    and ends after that time are added to it until the next report.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.failure_share = float(0)
        self.backoff_until_ms = float(0)
        self._failures = 0
        self._changes: collections.deque[tuple[float, int]]
        self._changes = collections.deque()
        self._since_report = 0

    @property
    def since_report(self) -> int:
        """Own starts minus own ends since the last report's measurement."""
        return self._since_report

    def record_start(self, now_ms: float) -> None:
        """Count a request that was sent."""
        self.in_flight += 1
        self._change(now_ms, 1)

    def record_end(self, now_ms: float, *, ok: bool) -> None:
        """Count the end of a request; a success ends the backoff's growth."""
        self.in_flight = max(0, self.in_flight - 1)
        self._change(now_ms, -1)
        self._learn(failed=not ok)
        if ok:
            self._failures = 0

    def record_failure(self, now_ms: float, rng_value: float) -> float:
        """Return the time until which the endpoint is left out.

        Failures of requests that were sent together count once, because
        they are evidence of one fault.
        """
        self._learn(failed=True)
        if now_ms < self.backoff_until_ms:
            return self.backoff_until_ms
        backoff_ms = min(_MAX_BACKOFF_MS, _BACKOFF_MS * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        jitter = 1 + _JITTER * rng_value
        self.backoff_until_ms = now_ms + backoff_ms * jitter
        return self.backoff_until_ms

    def reported(self, measured_ms: float) -> None:
        """Forget the changes that a report's measurement includes."""
        while self._changes and self._changes[0][0] <= measured_ms:
            self._since_report -= self._changes.popleft()[1]

    def _learn(self, *, failed: bool) -> None:
        self.failure_share += _FAILURE_GAIN * (failed - self.failure_share)

    def _change(self, now_ms: float, change: int) -> None:
        self._since_report += change
        changes = self._changes
        if changes and now_ms - changes[-1][0] < _BUCKET_MS:
            changes[-1] = (changes[-1][0], changes[-1][1] + change)
            return
        changes.append((now_ms, change))
        if len(changes) > _MAX_BUCKETS:
            oldest = changes.popleft()
            changes[0] = (changes[0][0], changes[0][1] + oldest[1])
