"""Rate limit on requests that a daemon sends to a cold endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.gateway import bootstrap
from yuccarouter_common import clocks

if TYPE_CHECKING:
    from collections import deque

_WINDOW_MS: Final = 1000.0
# Leaves room for requests that are sent in one second and arrive in the next.
_SAFETY_FACTOR: Final = 0.8


@attrs.frozen
class ColdShare:
    """How many daemons may send to a cold endpoint, and the rate of each."""

    senders: int
    per_s: int


def share_per_daemon(
    cold_per_s: float, overshoot: float, slack: float, daemons: int
) -> ColdShare:
    """Return how ``daemons`` divide the rate limit of a cold endpoint.

    The limit is ``cold_per_s`` times ``overshoot`` plus ``slack``, in requests
    per second. Only as many daemons send as can have one request per second
    each. The sum stays below the limit without communication.
    """
    limit_per_s = max(1.0, _SAFETY_FACTOR * (cold_per_s * overshoot + slack))
    senders = max(1, min(daemons, int(limit_per_s)))
    return ColdShare(senders, int(limit_per_s / senders))


def share_after_start(share: ColdShare, process_age_ms: float) -> ColdShare:
    """Return the share of a daemon whose process has run for so long.

    The process before may have used the share in the same window.
    """
    if process_age_ms < _WINDOW_MS:
        return attrs.evolve(share, per_s=0)
    return share


def process_age_ms() -> float:
    """Return how long this process has run."""
    return clocks.monotonic_ms() - bootstrap.PROCESS_STARTED_MS


def may_send(sends_ms: deque[float], per_s: int, now_ms: float) -> bool:
    """Return whether one more request stays within the rate limit."""
    while sends_ms and sends_ms[0] <= now_ms - _WINDOW_MS:
        sends_ms.popleft()
    return len(sends_ms) < per_s
