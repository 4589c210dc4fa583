"""Concurrency limit of one endpoint, with slow start."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import eliot

from yuccarouter.admission import (
    counters,
    latency_baselines,
    ports,
    request_tracker,
)
from yuccarouter_common import model


@attrs.define
class ConcurrencyLimiter:
    """Limits the requests in flight at one endpoint.

    The limit is 0 until the first load report that was measured after the
    limiter's start. It then begins at the pool's cold limit. It rises by one
    with each served request, provided that the load was at least half the limit
    and first-token latencies are near their baseline. Each reset begins a new
    epoch at the cold limit. Only requests started and reports measured in the
    current epoch raise the limit.
    """

    pool: Callable[[], model.Pool]
    clock: ports.Clock
    first_token_times: latency_baselines.LatencyBaselines = attrs.field(
        factory=latency_baselines.LatencyBaselines
    )
    service_times: latency_baselines.LatencyBaselines = attrs.field(
        factory=latency_baselines.LatencyBaselines
    )
    epoch: int = 0
    _increase: int = 0
    _load: request_tracker.Load | None = None
    _tracker: request_tracker.RequestTracker = attrs.field(init=False)
    _epoch_start: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start the first epoch."""
        self._epoch_start = self.clock()
        self._tracker = request_tracker.RequestTracker(self._epoch_start)

    @property
    def own_in_flight(self) -> int:
        """Number of this agent's requests in flight."""
        return self._tracker.own_in_flight

    @property
    def in_flight(self) -> int:
        """Known requests in flight, with foreign ones (see the tracker)."""
        return self._tracker.own_in_flight + self._tracker.foreign

    @property
    def cold(self) -> bool:
        """Whether the newest report marks the endpoint as cold."""
        return self._load is not None and self._load.cold

    @property
    def limit(self) -> int:
        """Maximum requests in flight; 0 before the first report."""
        if self._load is None:
            return 0
        cold_limit = self.pool().cold_limit
        if self.cold:
            return min(cold_limit, self._max_limit())
        # Only served requests raise the limit, so a warm endpoint gets at least
        # one request even when the cold limit is 0.
        return min(max(cold_limit, 1) + self._increase, self._max_limit())

    def has_capacity(self) -> bool:
        """Return whether one more request may start."""
        return self.in_flight < self.limit

    def start(
        self, kind: str, *, has_first_token: bool = True
    ) -> request_tracker.TrackedRequest:
        """Count one more request; call only when there is capacity."""
        tracked = request_tracker.TrackedRequest(
            kind, self.epoch, self.clock(), has_first_token
        )
        self._tracker.start(tracked)
        return tracked

    def record_first_token(
        self, tracked: request_tracker.TrackedRequest
    ) -> None:
        """Record the first token of a request; later calls have no effect."""
        if tracked.first_token is not None or tracked.sent is None:
            return
        tracked.first_token = self.clock()
        if tracked.epoch != self.epoch:
            return
        self.first_token_times.add(
            tracked.kind, tracked.first_token - tracked.sent
        )
        if self.first_token_times.is_far_above_baseline(tracked.kind):
            self.reset_to_cold_limit('times_rose')

    def check_overdue_first_tokens(self) -> None:
        """Reset the limit when the first token of a request is overdue.

        This detects a cold endpoint before its slow first token arrives.
        """
        now = self.clock()
        for tracked in self._tracker.running:
            is_waiting = tracked.has_first_token and tracked.first_token is None
            if (
                not is_waiting
                or tracked.sent is None
                or tracked.epoch != self.epoch
            ):
                continue
            if self.first_token_times.is_overdue(
                tracked.kind, now - tracked.sent
            ):
                self.reset_to_cold_limit('first_token_overdue')
                return

    def finish(
        self,
        tracked: request_tracker.TrackedRequest,
        *,
        served: bool,
        may_be_running: bool = False,
    ) -> None:
        """Count a request as ended.

        ``served`` says that the endpoint has answered it completely, and
        ``may_be_running`` that the endpoint may still be running it; it then
        counts as a foreign request until a report shows otherwise.
        """
        # Load below half the limit does not show that the endpoint can handle
        # the limit.
        was_near_limit = 2 * self.in_flight >= self.limit
        now = self.clock()
        self._tracker.finish(tracked, now, may_be_running=may_be_running)
        if not served or tracked.sent is None:
            return
        self.service_times.add(tracked.kind, now - tracked.sent)
        if was_near_limit and tracked.epoch == self.epoch:
            self._raise_limit(tracked.kind)

    def apply_load(self, load: request_tracker.Load) -> None:
        """Update the limit and the foreign requests from a load report.

        Reports measured before the limiter's start are ignored, as they don't
        show the requests that the previous agent process started afterwards.
        Reports older than the newest one are ignored too.
        """
        previous = self._load
        if (
            previous is None
            and load.earliest < self._tracker.reports_valid_from
        ):
            return
        if previous is not None and load.latest < previous.latest:
            return
        turned_cold = load.cold and not self.cold
        self._load = load
        self._tracker.update_foreign(load, is_first=previous is None)
        if turned_cold:
            self.reset_to_cold_limit('reported_cold')

    def reset_to_cold_limit(self, reason: str) -> None:
        """Set the limit to the cold limit and begin a new epoch.

        Logs ``GateDropped`` when the limit was above the cold limit.
        """
        if self._increase:
            counters.LIMIT_RESETS.labels(reason).inc()
            eliot.log_message('GateDropped', reason=reason)
        self._increase = 0
        self.epoch += 1
        self._epoch_start = self.clock()
        self.first_token_times.reset_recent()

    def _raise_limit(self, kind: str) -> None:
        if self._is_warm() and self.first_token_times.is_near_baseline(kind):
            self._increase = min(self._increase + 1, self._max_limit())

    def _is_warm(self) -> bool:
        # A report measured before the last reset does not describe the
        # endpoint's state after it.
        load = self._load
        return (
            load is not None
            and not load.cold
            and load.earliest >= self._epoch_start
        )

    def _max_limit(self) -> int:
        max_in_flight = self.pool().max_in_flight
        if self._load is not None and self._load.capacity > 0:
            return min(max_in_flight, self._load.capacity)
        return max_in_flight
