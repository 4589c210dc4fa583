"""The shared budget of retries and hedges, backoff times and retry hints."""

from __future__ import annotations

import math
from typing import Final

from yuccarouter.routing import _members

# Extra attempts per success. The target allows a load of 1.1 times the offered
# load; the rest of this margin is for the initial balance.
_ATTEMPTS_PER_SUCCESS: Final = 0.08
# Initial and maximum balance. It covers the requests in flight at the endpoints
# of a failed data centre: about one second of one entry's requests at the
# target scale.
_MAX_BALANCE: Final = 10.0
# A hedge must leave this much of the balance for retries.
_MIN_BALANCE_AFTER_HEDGE: Final = 5.0

_FIRST_BACKOFF_MS: Final = 20.0
_MAX_BACKOFF_MS: Final = 2000.0
_FIRST_HINT_MS: Final = 250.0
_MAX_HINT_MS: Final = 8000.0
# Limits the number of doublings, to prevent overflow.
_MAX_EXPONENT: Final = 16
# Consecutive denials after which the hint doubles.
_DENIALS_PER_STEP: Final = 16


class RetryBudget:
    """A token bucket of extra attempts, refilled by an entry's successes.

    Only successes add to the balance. When every attempt fails, the balance is
    used up and no further attempt is retried.
    """

    def __init__(self) -> None:
        self.balance = _MAX_BALANCE
        self.granted = 0
        self.denied = 0
        self._consecutive_denials = 0

    def record_success(self) -> None:
        """Add to the balance for a request that was answered."""
        self.balance = min(_MAX_BALANCE, self.balance + _ATTEMPTS_PER_SUCCESS)

    def take_retry(self) -> bool:
        """Take an extra attempt for a retry; return False if there is none."""
        return self._take(1)

    def take_hedge(self) -> bool:
        """Take an extra attempt for a hedge; return False if too few remain."""
        return self._take(_MIN_BALANCE_AFTER_HEDGE + 1)

    def retry_after_ms(self, rng: _members.Rng) -> int:
        """Return the time after which a rejected caller should try again.

        The hint grows while the budget is used up. It has random jitter, so
        that rejected callers don't return together.
        """
        step = min(
            _MAX_EXPONENT, self._consecutive_denials // _DENIALS_PER_STEP
        )
        max_ms = min(_MAX_HINT_MS, math.ldexp(_FIRST_HINT_MS, step))
        return math.ceil(max_ms * (0.5 + 0.5 * rng()))

    def _take(self, needed: float) -> bool:
        if self.balance < needed:
            self.denied += 1
            self._consecutive_denials += 1
            return False
        self.balance -= 1
        self.granted += 1
        self._consecutive_denials = 0
        return True


def backoff_ms(
    attempt: int, endpoint_hint_ms: float, rng: _members.Rng
) -> float:
    """Return the wait before the next attempt, with random jitter.

    ``attempt`` is the number of attempts that have failed. ``endpoint_hint_ms``
    is the endpoint's own hint if the same endpoint is tried again, and 0 for
    another endpoint.
    """
    exponent = min(_MAX_EXPONENT, attempt - 1)
    max_ms = min(_MAX_BACKOFF_MS, math.ldexp(_FIRST_BACKOFF_MS, exponent))
    return max(endpoint_hint_ms, max_ms * rng())
