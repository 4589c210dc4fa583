"""How long ago the configuration was known to be the newest one."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Final

_MS: Final = 1000

Clock = Callable[[], float]


class Freshness:
    """Age of the last sight of the log's end, own or through a peer.

    ``clock`` returns monotonic seconds.
    """

    def __init__(self, clock: Clock = time.monotonic) -> None:
        self._clock = clock
        self._confirmed_at = -math.inf
        self._heard_at = -math.inf

    def confirm(self, age_ms: float = 0) -> None:
        """Note that the position was the newest one ``age_ms`` ago."""
        seen_at = self._clock() - age_ms / _MS
        self._confirmed_at = max(self._confirmed_at, seen_at)

    def record_contact(self) -> None:
        """Note that a peer beyond this process's fault domain has answered."""
        self._heard_at = self._clock()

    def isolated_ms(self) -> float:
        """Return the time since the log or a distant peer was last reached.

        While the log is down for everybody no change is accepted, so that a
        process that still reaches the others can't have missed one.
        """
        reached_at = max(self._confirmed_at, self._heard_at)
        return (self._clock() - reached_at) * _MS

    def age_ms(self) -> float:
        """Return the time since the last confirmation, infinite if none."""
        return (self._clock() - self._confirmed_at) * _MS
