"""How many arrivals beyond the first of each request a daemon may cause."""

from __future__ import annotations

import collections
from typing import Final

# The rest is left for arrivals that are counted in another window.
_MARGIN: Final = 0.95


class RetryBudget:
    """Repeats per service within a sliding window.

    The agreed bound is ``ratio`` times the requests, plus a slack, for all
    daemons together. Each daemon keeps to the ratio for its own requests and
    to its part of the slack, so that the sum keeps to the bound without any
    exchange.
    """

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._repeats: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )

    def record_request(self, service: str, now_ms: float) -> None:
        """Count a caller's request."""
        self._requests[service].append(now_ms)

    def take(
        self,
        service: str,
        now_ms: float,
        daemons: int,
        reserve_share: float = 0,
    ) -> bool:
        """Take one repeat, unless less than ``reserve_share`` would be left."""
        requests = self._recent(self._requests[service], now_ms)
        repeats = self._recent(self._repeats[service], now_ms)
        allowed = _MARGIN * (
            self._ratio * requests + self._slack / max(1, daemons)
        )
        if repeats + 1 > allowed * (1 - reserve_share):
            return False
        self._repeats[service].append(now_ms)
        return True

    def _recent(self, times: collections.deque[float], now_ms: float) -> int:
        while times and times[0] <= now_ms - self._window_ms:
            times.popleft()
        return len(times)
