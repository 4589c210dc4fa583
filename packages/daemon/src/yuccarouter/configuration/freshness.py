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

    def confirm(self, age_ms: float = 0) -> None:
        """Note that the position was the newest one ``age_ms`` ago."""
        seen_at = self._clock() - age_ms / _MS
        self._confirmed_at = max(self._confirmed_at, seen_at)

    def age_ms(self) -> float:
        """Return the time since the last confirmation, infinite if none."""
        return (self._clock() - self._confirmed_at) * _MS
