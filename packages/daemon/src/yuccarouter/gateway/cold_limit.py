"""How many requests one daemon may send to a cold endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections import deque

_WINDOW_MS: Final = 1000.0
# Requests that were sent in one second may arrive in the next one.
_MARGIN: Final = 0.8


def own_share_per_s(
    cold_per_s: float, overshoot: float, slack: float, daemons: int
) -> float:
    """Return the requests a second that each of ``daemons`` may send.

    All daemons together stay below the agreed bound, whatever the others do.
    """
    return _MARGIN * (cold_per_s * overshoot + slack) / max(1, daemons)


def may_send(sends_ms: deque[float], share_per_s: float, now_ms: float) -> bool:
    """Return whether one more request keeps to the share.

    A share below one request a second stretches the window instead.
    """
    window_ms = max(_WINDOW_MS, _WINDOW_MS / max(share_per_s, 0.01))
    while sends_ms and sends_ms[0] <= now_ms - window_ms:
        sends_ms.popleft()
    return len(sends_ms) < max(1, int(share_per_s))
