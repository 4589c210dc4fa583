"""How many requests one daemon may send to a cold endpoint."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Final

import attrs
import xxhash

if TYPE_CHECKING:
    from collections import deque

_WINDOW_MS: Final = 1000.0
# Requests that were sent in one second may arrive in the next one.
_MARGIN: Final = 0.8
# Assignments that are remembered, for endpoints that are cold at one time.
_KEPT_ASSIGNMENTS: Final = 2048


@attrs.frozen
class ColdShare:
    """The part of a bound that each of ``senders`` daemons may use."""

    senders: int
    per_s: int


def share_per_daemon(
    cold_per_s: float, overshoot: float, slack: float, daemons: int
) -> ColdShare:
    """Return how ``daemons`` divide what a cold endpoint bears.

    Only so many of them send to it that each has one request a second, and all
    together stay below the agreed bound, whatever the others do.
    """
    bound_per_s = max(1.0, _MARGIN * (cold_per_s * overshoot + slack))
    senders = max(1, min(daemons, int(bound_per_s)))
    return ColdShare(senders, int(bound_per_s / senders))


@functools.lru_cache(maxsize=_KEPT_ASSIGNMENTS)
def is_sender(
    endpoint: str, daemon: str, daemons: tuple[str, ...], senders: int
) -> bool:
    """Return whether ``daemon`` is one of those that send to ``endpoint``.

    The hash of both names ranks the daemons, so that all agree and each cold
    endpoint has other senders.
    """
    own = _rank(endpoint, daemon)
    ahead = sum(_rank(endpoint, other) < own for other in daemons)
    return ahead < senders


def may_send(sends_ms: deque[float], per_s: int, now_ms: float) -> bool:
    """Return whether one more request keeps to the share."""
    while sends_ms and sends_ms[0] <= now_ms - _WINDOW_MS:
        sends_ms.popleft()
    return len(sends_ms) < per_s


def _rank(endpoint: str, daemon: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{endpoint}/{daemon}'.encode())
