"""Slow start: how much work the endpoint gets."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import eliot

from yuccarouter.admission import counters, request_tracker, ports, timing
from yuccarouter_common import model


@attrs.define
class ConcurrencyLimiter:
    """The limit of requests in flight at one endpoint.

    The gate starts closed and opens to the cold limit with the first report
    measured after its start. Each epoch begins at the cold limit; only work
    and reports of the current epoch open the gate further.
    """

    pool: Callable[[], model.Pool]
    clock: ports.Clock
    first_tokens: timing.Timing = attrs.field(factory=timing.Timing)
    service_times: timing.Timing = attrs.field(factory=timing.Timing)
    epoch: int = 0
    _opened: int = 0
    _load: request_tracker.Load | None = None
    _ledger: request_tracker.RequestTracker = attrs.field(init=False)
    _epoch_began: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin the first epoch."""
        self._epoch_began = self.clock()
        self._ledger = request_tracker.RequestTracker(self._epoch_began)

    @property
    def own(self) -> int:
        """Requests of this agent in flight."""
        return self._ledger.own

    @property
    def in_flight(self) -> int:
        """All requests in flight at the endpoint, as far as known."""
        return self._ledger.own + self._ledger.foreign

    @property
    def cold(self) -> bool:
        """Whether the newest report says that the endpoint is cold."""
        return self._load is not None and self._load.cold

    @property
    def limit(self) -> int:
        """Requests that may be in flight now; 0 before the first report."""
        if self._load is None:
            return 0
        floor = self.pool().cold_limit
        if self.cold:
            return min(floor, self._ceiling())
        # A warm endpoint gets at least one request, or it could never show
        # that it bears more.
        return min(max(floor, 1) + self._opened, self._ceiling())

    def is_free(self) -> bool:
        """Return whether one more request may start."""
        return self.in_flight < self.limit

    def start(
        self, kind: str, *, has_first_token: bool = True
    ) -> request_tracker.TrackedRequest:
        """Count one more request; only when the gate is free."""
        work = request_tracker.TrackedRequest(
            kind, self.epoch, self.clock(), has_first_token
        )
        self._ledger.start(work)
        return work

    def first_token(self, work: request_tracker.TrackedRequest) -> None:
        """Note the first token of a request, once."""
        if work.first_token is not None or work.sent is None:
            return
        work.first_token = self.clock()
        if work.epoch != self.epoch:
            return
        self.first_tokens.add(work.kind, work.first_token - work.sent)
        if self.first_tokens.is_sharp(work.kind):
            self.drop('times_rose')

    def check_first_tokens(self) -> None:
        """Fall when a first token is overdue.

        A cold endpoint shows itself by the wait before it does by an answer.
        """
        now = self.clock()
        for work in self._ledger.running:
            is_waiting = work.has_first_token and work.first_token is None
            if not is_waiting or work.sent is None or work.epoch != self.epoch:
                continue
            if self.first_tokens.is_overdue(work.kind, now - work.sent):
                self.drop('first_token_overdue')
                return

    def finish(
        self,
        work: request_tracker.TrackedRequest,
        *,
        served: bool,
        may_be_running: bool = False,
    ) -> None:
        """Count a request as ended.

        ``served`` says that the endpoint has answered it completely, and
        ``may_be_running`` that the endpoint may still be running it; it then
        counts as foreign work until a report shows otherwise.
        """
        # Work well below the limit does not show that the limit is borne.
        was_used = 2 * self.in_flight >= self.limit
        now = self.clock()
        self._ledger.finish(work, now, may_be_running=may_be_running)
        if not served or work.sent is None:
            return
        self.service_times.add(work.kind, now - work.sent)
        if was_used and work.epoch == self.epoch:
            self._open(work.kind)

    def apply_load(self, load: request_tracker.Load) -> None:
        """Take in a report.

        Reports measured before the gate's start don't show the work that a
        predecessor has started since; they are ignored, as older ones are.
        """
        previous = self._load
        if previous is None and load.earliest < self._ledger.since:
            return
        if previous is not None and load.latest < previous.latest:
            return
        turned_cold = load.cold and not self.cold
        self._load = load
        self._ledger.count_foreign(load, is_first=previous is None)
        if turned_cold:
            self.drop('reported_cold')

    def drop(self, reason: str) -> None:
        """Fall to the cold limit at once and begin a new epoch."""
        if self._opened:
            counters.GATE_DROPS.labels(reason).inc()
            eliot.log_message('GateDropped', reason=reason)
        self._opened = 0
        self.epoch += 1
        self._epoch_began = self.clock()
        self.first_tokens.restart()

    def _open(self, kind: str) -> None:
        if self._is_warm() and self.first_tokens.is_near(kind):
            self._opened = min(self._opened + 1, self._ceiling())

    def _is_warm(self) -> bool:
        # A report from before the drop says nothing about the time after it.
        load = self._load
        return (
            load is not None
            and not load.cold
            and load.earliest >= self._epoch_began
        )

    def _ceiling(self) -> int:
        most = self.pool().max_in_flight
        if self._load is not None and self._load.capacity > 0:
            return min(most, self._load.capacity)
        return most
