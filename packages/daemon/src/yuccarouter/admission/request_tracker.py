"""Count of the agent's own and of foreign requests at the endpoint."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

# The agent and the endpoint see a request start and end at different times,
# because of the loopback connection and the endpoint's scheduling.
_MARGIN_S: Final = 0.05
# Bounds the history of ended requests. One that has dropped out of it may count
# as a foreign request for one report.
_MAX_ENDED: Final = 4096


@attrs.frozen
class Load:
    """A load report of the endpoint.

    The endpoint measured it between ``earliest`` and ``latest``, in seconds of
    the agent's clock. ``capacity`` is 0 when the endpoint states none.
    """

    in_flight: int
    capacity: int
    cold: bool
    earliest: float
    latest: float


@attrs.define(eq=False)
class TrackedRequest:
    """One request of this agent; times are in seconds of its clock.

    ``has_first_token`` is false for an engine's answer that is not streamed:
    the time until it arrives depends on its length.
    """

    kind: str
    epoch: int
    started: float
    has_first_token: bool
    sent: float | None = None
    first_token: float | None = None
    ended: float | None = None


@attrs.define
class RequestTracker:
    """Counts the requests in flight at the endpoint.

    ``foreign`` counts requests at the endpoint that this agent does not track:
    those of a previous agent process, and those whose call broke while the
    endpoint may still be running them. Only a load report that shows fewer of
    them lowers the count, and only one measured at or after
    ``reports_valid_from``: the tracker's start, or the last time that a broken
    call was added.
    """

    reports_valid_from: float
    foreign: int = 0
    _running: dict[int, TrackedRequest] = attrs.field(factory=dict)
    _ended: collections.deque[TrackedRequest] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_ENDED)
    )

    @property
    def own_in_flight(self) -> int:
        """Number of this agent's requests in flight."""
        return len(self._running)

    @property
    def running(self) -> Iterable[TrackedRequest]:
        """The agent's own requests in flight."""
        return self._running.values()

    def start(self, tracked: TrackedRequest) -> None:
        """Start to count a request."""
        self._running[id(tracked)] = tracked

    def finish(
        self, tracked: TrackedRequest, now: float, *, may_be_running: bool
    ) -> None:
        """Count a request as ended, or as foreign when it may be running."""
        self._running.pop(id(tracked))
        tracked.ended = now
        self._ended.append(tracked)
        if may_be_running:
            self.foreign += 1
            self.reports_valid_from = now

    def update_foreign(self, load: Load, *, is_first: bool) -> None:
        """Correct the count of foreign requests from a load report.

        The report is compared with the agent's own requests at the time of the
        measurement, not with its current ones.
        """
        if is_first:
            self.foreign = load.in_flight
            return
        max_foreign = max(0, load.in_flight - self._min_reported_own(load))
        min_foreign = max(0, load.in_flight - self._max_reported_own(load))
        if load.earliest >= self.reports_valid_from:
            self.foreign = min(self.foreign, max_foreign)
        self.foreign = max(self.foreign, min_foreign)

    def _min_reported_own(self, load: Load) -> int:
        """Count own requests that the measurement must include."""
        return sum(
            tracked.sent is not None
            and tracked.sent + _MARGIN_S <= load.earliest
            and (
                tracked.ended is None
                or tracked.ended >= load.latest + _MARGIN_S
            )
            for tracked in self._not_ended_before(load.earliest - _MARGIN_S)
        )

    def _max_reported_own(self, load: Load) -> int:
        """Count own requests that the measurement may include."""
        return sum(
            tracked.started <= load.latest
            for tracked in self._not_ended_before(load.earliest - _MARGIN_S)
        )

    def _not_ended_before(self, time: float) -> Iterator[TrackedRequest]:
        """Yield the requests that are running or ended at or after a time."""
        yield from self._running.values()
        for tracked in reversed(self._ended):
            if tracked.ended is None or tracked.ended < time:
                return
            yield tracked
