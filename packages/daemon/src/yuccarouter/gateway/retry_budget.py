"""Budget of retries that reach an endpoint, per service."""

from __future__ import annotations

import collections
import math
from typing import Final

# Leaves room for retries that arrive in another window than they were sent in.
_SAFETY_FACTOR: Final = 0.95


class RetryBudget:
    """Retry budget per service within a sliding window.

    For all daemons together, the retries may be at most ``ratio`` times the
    requests plus ``slack``. Each daemon applies the ratio to its own requests
    and takes an equal part of the slack, so that the sum stays within the
    bound without communication. The slack is granted from ``slack_from_ms`` on:
    a restarted daemon does not know what its process before used of it in the
    same window.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_ms: float,
        *,
        slack_from_ms: float = -math.inf,
    ) -> None:
        self._slack_from_ms = slack_from_ms
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._retries: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )

    def record_request(self, service: str, now_ms: float) -> None:
        """Record a caller's request, which adds to the budget."""
        self._requests[service].append(now_ms)

    def take(
        self,
        service: str,
        now_ms: float,
        daemons: int,
        reserve_share: float = 0,
    ) -> bool:
        """Return whether one retry was granted, and count it.

        It is refused if less than ``reserve_share`` of the budget would be
        left.
        """
        requests = self._count_recent(self._requests[service], now_ms)
        retries = self._count_recent(self._retries[service], now_ms)
        slack = self._slack if now_ms >= self._slack_from_ms else 0
        allowed = _SAFETY_FACTOR * (
            self._ratio * requests + slack / max(1, daemons)
        )
        if retries + 1 > allowed * (1 - reserve_share):
            return False
        self._retries[service].append(now_ms)
        return True

    def _count_recent(
        self, times: collections.deque[float], now_ms: float
    ) -> int:
        while times and times[0] <= now_ms - self._window_ms:
            times.popleft()
        return len(times)
