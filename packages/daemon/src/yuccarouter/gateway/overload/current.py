"""State of the admission of requests in a daemon."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.gateway.overload import (
    endpoint_loads,
    retry_after,
    startup,
    waiting,
)

if TYPE_CHECKING:
    from yuccarouter.gateway import attempts

# Weight of a request's priority in the mean of its service.
_PRIORITY_WEIGHT: Final = 0.05
_MAX_SERVICES: Final = 256


def _all_admitted(out: attempts.OutgoingCall, now_ms: float) -> float:
    """Return that all demand fits its share."""
    return 1.0


@attrs.define
class Overload:
    """What a daemon knows and keeps for admission, by service.

    ``admitted_share`` returns the share of the demand of a request's
    organisation and key that fits their share of the service's capacity.
    """

    memory_bytes: float
    holds: startup.Holds = attrs.field(init=False)
    loads: endpoint_loads.Loads = attrs.field(factory=endpoint_loads.Loads)
    return_times: retry_after.ReturnTimes = attrs.field(
        factory=retry_after.ReturnTimes
    )
    admitted_share: Callable[[attempts.OutgoingCall, float], float] = (
        _all_admitted
    )
    _queues: dict[str, waiting.WaitingQueue] = attrs.field(factory=dict)
    _priorities: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Derive the bounds from the memory."""
        self.holds = startup.Holds(startup.max_held(self.memory_bytes))

    def queue(self, service: str) -> waiting.WaitingQueue:
        """Return the requests of a service that wait here."""
        if service not in self._queues and len(self._queues) >= _MAX_SERVICES:
            self._forget_empty_queues()
        return self._queues.setdefault(
            service,
            waiting.WaitingQueue(waiting.limit_bytes(self.memory_bytes)),
        )

    def record_priority(self, service: str, priority: int) -> float:
        """Record a request's priority; return the mean of its service."""
        usual = self._priorities.get(service, priority)
        usual += _PRIORITY_WEIGHT * (priority - usual)
        if service in self._priorities or (
            len(self._priorities) < _MAX_SERVICES
        ):
            self._priorities[service] = usual
        return usual

    def _forget_empty_queues(self) -> None:
        self._queues = {
            service: queue
            for service, queue in self._queues.items()
            if queue.entries
        }
