"""Counting the work at the endpoint: the agent's own and foreign work."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

# Between the agent's and the endpoint's view of when a request starts and
# ends lie a loopback connection and the endpoint's scheduling.
_MARGIN_S: Final = 0.05
# Own requests beyond the history count as foreign work for one report.
_MAX_ENDED: Final = 4096


@attrs.frozen
class Load:
    """A load report of the endpoint.

    It was measured between ``earliest`` and ``latest``, in seconds of the
    agent's clock. ``capacity`` is 0 when the endpoint states none.
    """

    in_flight: int
    capacity: int
    cold: bool
    earliest: float
    latest: float


@attrs.define(eq=False)
class TrackedRequest:
    """One request of this agent; times are in seconds of its clock.

    ``has_first_token`` is false for an answer that arrives in one piece after
    a time that depends on its length.
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
    """Requests in flight at the endpoint.

    ``foreign`` counts work that this agent does not hold: of a predecessor,
    or lost with a broken call. It only falls when a report shows that the
    endpoint runs less than that besides the agent's own work.
    """

    since: float
    foreign: int = 0
    _running: dict[int, TrackedRequest] = attrs.field(factory=dict)
    _ended: collections.deque[TrackedRequest] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_ENDED)
    )

    @property
    def own(self) -> int:
        """Requests of this agent in flight."""
        return len(self._running)

    @property
    def running(self) -> Iterable[TrackedRequest]:
        """The agent's own requests in flight."""
        return self._running.values()

    def start(self, work: TrackedRequest) -> None:
        """Count a request from now on."""
        self._running[id(work)] = work

    def finish(
        self, work: TrackedRequest, now: float, *, may_be_running: bool
    ) -> None:
        """Count a request as ended, or as foreign when it is lost."""
        self._running.pop(id(work))
        work.ended = now
        self._ended.append(work)
        if may_be_running:
            self.foreign += 1
            self.since = now

    def count_foreign(self, load: Load, *, is_first: bool) -> None:
        """Correct the count of foreign work by a report.

        The report is compared with what the agent held when it was measured,
        not with what it holds now.
        """
        if is_first:
            self.foreign = load.in_flight
            return
        at_most = max(0, load.in_flight - self._surely_held(load))
        at_least = max(0, load.in_flight - self._possibly_held(load))
        if load.earliest >= self.since:
            self.foreign = min(self.foreign, at_most)
        self.foreign = max(self.foreign, at_least)

    def _surely_held(self, load: Load) -> int:
        """Count own requests that were at the endpoint when it reported."""
        return sum(
            work.sent is not None
            and work.sent + _MARGIN_S <= load.earliest
            and (work.ended is None or work.ended >= load.latest + _MARGIN_S)
            for work in self._held_since(load.earliest - _MARGIN_S)
        )

    def _possibly_held(self, load: Load) -> int:
        """Count own requests that may have been at the endpoint then."""
        return sum(
            work.started <= load.latest
            for work in self._held_since(load.earliest - _MARGIN_S)
        )

    def _held_since(self, moment: float) -> Iterator[TrackedRequest]:
        """Yield the requests that are running or ended after a moment."""
        yield from self._running.values()
        for work in reversed(self._ended):
            if work.ended is None or work.ended < moment:
                return
            yield work
