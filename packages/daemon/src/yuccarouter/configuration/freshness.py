"""Tracks how long ago the configuration was known to be up to date."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Final

_MS_PER_S: Final = 1000

Clock = Callable[[], float]


class Freshness:
    """Time since the configuration was last known to be up to date.

    It is so when its position is at the end of the log, as read by this
    process or by a peer. ``clock`` returns monotonic seconds.
    """

    def __init__(self, clock: Clock = time.monotonic) -> None:
        self._clock = clock
        self._confirmed_at = -math.inf
        self._contact_at = -math.inf

    def confirm(self, age_ms: float = 0) -> None:
        """Record that the position was the newest one ``age_ms`` ago."""
        confirmed_at = self._clock() - age_ms / _MS_PER_S
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def record_contact(self) -> None:
        """Record that a peer outside this process's fault domain answered."""
        self._contact_at = self._clock()

    def isolated_ms(self) -> float:
        """Return the time since the log or a remote peer was last reached.

        While the log is down for all processes, no change is accepted. A
        process that still reaches remote peers can't have missed one.
        Infinite if neither was ever reached.
        """
        reached_at = max(self._confirmed_at, self._contact_at)
        return (self._clock() - reached_at) * _MS_PER_S

    def age_ms(self) -> float:
        """Return the time since the last confirmation, infinite if none."""
        return (self._clock() - self._confirmed_at) * _MS_PER_S
