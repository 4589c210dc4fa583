"""When a replica was last known to hold all records of the store."""

from __future__ import annotations

import math
from typing import Final

import attrs

from yuccarouter_common import clocks


@attrs.frozen
class Confirmation:
    """When a replica held all records of the store, and who has told so.

    ``at_ms`` is a time of ``clocks.boot_ms``, as the age of a replica grows
    while its VM is suspended. ``source`` is the name of a peer, or ``store``.
    """

    at_ms: float = -math.inf
    source: str = 'store'

    def age_ms(self) -> float:
        """Return the time since then."""
        return clocks.boot_ms() - self.at_ms

    def is_within(self, limit_ms: float) -> bool:
        """Return whether the replica is not older than a limit."""
        return self.age_ms() <= limit_ms

    def rounded_age_ms(self) -> int | None:
        """Return the age for the log, ``None`` if there is none."""
        age_ms = self.age_ms()
        return round(age_ms) if math.isfinite(age_ms) else None


NEVER: Final = Confirmation()
