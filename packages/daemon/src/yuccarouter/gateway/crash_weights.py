"""How much a crash says about one of the requests that an engine ran.

Engines that crash at the same moment, as in a loss of power, have a common
cause: unless a request ran at all of them, it is probably another one. Of many
requests that one engine ran, each is unlikely to be the cause.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from yuccarouter.gateway import crash_suspicions

# Crashes of engines within this time count as one event. Other daemons'
# messages and clocks make times inexact.
_SAME_MOMENT_MS: Final = 50.0
# A crash that fewer requests met says as much about each of them.
_MAX_REQUESTS: Final = 4
# Callers repeat a request that crashes engines, so that even crashes of very
# busy ones tell it from the others in the end.
_MIN_WEIGHT: Final = 1 / 3


@attrs.frozen
class CrashWeights:
    """Weights of the crashes of a service's engines, 1 for a single request.

    ``_crashed_ms`` has the time at which each engine crashed, and ``_requests``
    the different requests that it lost.
    """

    _crashed_ms: dict[str, float]
    _requests: dict[str, set[str | int]]

    def add(self, attempt: crash_suspicions.CrashedAttempt) -> None:
        """Add an attempt that was lost in a crash."""
        engine = attempt.engine
        self._crashed_ms[engine] = min(
            attempt.crashed_ms,
            self._crashed_ms.get(engine, attempt.crashed_ms),
        )
        self._requests[engine].add(attempt.repeated_request)

    def of(self, evidence: list[crash_suspicions.CrashedAttempt]) -> float:
        """Return the weight of the crashes that one request met."""
        engines = {attempt.engine for attempt in evidence}
        return sum(self._of_engine(engine, evidence) for engine in engines)

    def _of_engine(
        self, engine: str, evidence: list[crash_suspicions.CrashedAttempt]
    ) -> float:
        together = {
            other
            for other, other_ms in self._crashed_ms.items()
            if abs(other_ms - self._crashed_ms[engine]) < _SAME_MOMENT_MS
        }
        # Copies of the request may crash engines at the same moment, but not
        # one attempt after the other.
        copies = {
            attempt.request
            for attempt in evidence
            if attempt.engine in together
        }
        busy = min(1, _MAX_REQUESTS / len(self._requests[engine]))
        return max(_MIN_WEIGHT, busy) * len(copies) / len(together)


def weights(
    attempts: Iterable[crash_suspicions.CrashedAttempt],
) -> dict[str, CrashWeights]:
    """Return the weights of crashes by service, from all lost attempts."""
    by_service: dict[str, CrashWeights] = collections.defaultdict(
        lambda: CrashWeights({}, collections.defaultdict(set))
    )
    for attempt in attempts:
        by_service[attempt.service].add(attempt)
    return by_service
