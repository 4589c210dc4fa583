"""One budget for retries and hedges, and the hints for those without one."""

from __future__ import annotations

import math
from typing import Final

from yuccarouter.routing import _members

# Extra attempts per success. The target allows a load of 1.1 times the
# offered load; the rest of the margin is left to the reserve.
_SHARE: Final = 0.08
# Covers the requests in flight at the endpoints of a failed data centre:
# about one second of one entry's requests at the target scale.
_RESERVE: Final = 10.0
# A hedge is taken only while this much is left for retries.
_HEDGE_FLOOR: Final = 5.0

_FIRST_BACKOFF_MS: Final = 20.0
_MAX_BACKOFF_MS: Final = 2000.0
_FIRST_HINT_MS: Final = 250.0
_MAX_HINT_MS: Final = 8000.0
# Keeps the doubling from overflowing.
_MAX_EXPONENT: Final = 16
# Denials in a row after which the hint doubles.
_DENIALS_PER_STEP: Final = 16


class RetryBudget:
    """Extra attempts that an entry may make, as a share of its successes.

    Only successes add to the balance. When every attempt fails, the reserve is
    used up and no attempt is repeated any more.
    """

    def __init__(self) -> None:
        self.balance = _RESERVE
        self.granted = 0
        self.denied = 0
        self._denied_in_row = 0

    def record_success(self) -> None:
        """Count a request that was answered."""
        self.balance = min(_RESERVE, self.balance + _SHARE)

    def take_retry(self) -> bool:
        """Take one extra attempt after a failed or refused one."""
        return self._take(1)

    def take_hedge(self) -> bool:
        """Take one extra attempt beside a slow one."""
        return self._take(_HEDGE_FLOOR + 1)

    def retry_after_ms(self, rng: _members.Rng) -> int:
        """Return when a rejected caller should try again.

        The hint grows while the budget is used up and is spread at random, so
        that rejected callers don't return together.
        """
        step = min(_MAX_EXPONENT, self._denied_in_row // _DENIALS_PER_STEP)
        longest_ms = min(_MAX_HINT_MS, math.ldexp(_FIRST_HINT_MS, step))
        return math.ceil(longest_ms * (0.5 + 0.5 * rng()))

    def _take(self, needed: float) -> bool:
        if self.balance < needed:
            self.denied += 1
            self._denied_in_row += 1
            return False
        self.balance -= 1
        self.granted += 1
        self._denied_in_row = 0
        return True


def backoff_ms(
    attempt: int, refused_hint_ms: float, rng: _members.Rng
) -> float:
    """Return the wait before the next attempt, spread at random.

    ``attempt`` is the number of attempts that have failed. ``refused_hint_ms``
    is the endpoint's own hint when the same endpoint is tried again, and 0 for
    another endpoint.
    """
    exponent = min(_MAX_EXPONENT, attempt - 1)
    longest_ms = min(_MAX_BACKOFF_MS, math.ldexp(_FIRST_BACKOFF_MS, exponent))
    return max(refused_hint_ms, longest_ms * rng())
