"""Queue of requests for slots at the endpoint."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable, Iterable

import attrs

from yuccarouter.admission import (
    counters,
    organisation_slots,
    ports,
    queue,
    request_tracker,
    wait_estimates,
)
from yuccarouter.admission import limiter as limiters
from yuccarouter_common import refusals
from yuccarouter_common.proto import router_pb2

Check = Callable[[router_pb2.RunRequest], None]


@attrs.define(eq=False)
class Slot:
    """Permission to have one request in flight at the endpoint.

    ``queued_ms`` is the time that the request waited for the slot.
    """

    queued_ms: int
    _tracked: request_tracker.TrackedRequest
    _owner: SlotQueue
    _organisation: str
    _held: bool = True

    def mark_sent(self) -> None:
        """Record when the request is sent; later calls have no effect."""
        if self._tracked.sent is None:
            self._tracked.sent = self._owner.limiter.clock()

    def mark_first_token(self) -> None:
        """Record that the endpoint has begun to answer."""
        if self._held:
            self._owner.limiter.record_first_token(self._tracked)

    def mark_failed(self) -> None:
        """Reset the concurrency limit after a failed request."""
        self._owner.limiter.reset_to_cold_limit('request_failed')

    def release(self, *, served: bool, may_be_running: bool = False) -> None:
        """Release the slot; later calls have no effect.

        ``may_be_running`` says that the endpoint may still be running the
        request.
        """
        if self._held:
            self._held = False
            self._owner.limiter.finish(
                self._tracked, served=served, may_be_running=may_be_running
            )
            self._owner.on_released(self._organisation)


@attrs.frozen(eq=False)
class _Waiter:
    """A queued request; ``granted`` completes with its slot."""

    request: router_pb2.RunRequest
    deadline: float
    granted: asyncio.Future[Slot]


_Entry = queue.Entry[_Waiter]
# Expected slot time of queued requests, in seconds, by organisation.
_Costs = collections.defaultdict[str, float]


@attrs.define(eq=False)
class SlotQueue:
    """Queues requests and grants them slots within the endpoint's limits.

    ``check`` raises ``RefusalError`` for a request that must not run now.
    Times are in seconds of the limiter's clock.
    """

    configuration: ports.ConfigurationView
    limiter: limiters.ConcurrencyLimiter
    check: Check
    is_draining: bool = False
    _queue: queue.FairQueue[_Waiter] = attrs.field(factory=queue.FairQueue)
    _wait_estimator: wait_estimates.WaitEstimator = attrs.field(init=False)
    _organisation_slots: organisation_slots.OrganisationSlots = attrs.field(
        init=False
    )

    def __attrs_post_init__(self) -> None:
        """Create the wait estimator and the count of organisations' slots."""
        self._wait_estimator = wait_estimates.WaitEstimator(self.limiter)
        self._organisation_slots = organisation_slots.OrganisationSlots(
            self.configuration
        )

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queue.size

    async def acquire(
        self, request: router_pb2.RunRequest, deadline: float
    ) -> Slot:
        """Wait for a slot and return it.

        Raises ``RefusalError`` at once when the estimated wait exceeds the
        deadline, and later when the deadline passes or the request is displaced
        from the queue.
        """
        self._refuse_on_arrival(request, deadline)
        granted: asyncio.Future[Slot] = (
            asyncio.get_running_loop().create_future()
        )
        entry = self._entry(_Waiter(request, deadline, granted))
        queued_at = self.limiter.clock()
        self._queue.push(entry)
        self.dispatch()
        displaced = self._queue.shed(self.limiter.pool().max_queued)
        if displaced is not None:
            backlog = self._backlog(
                displaced.organisation, _cost_by_organisation(self._queue)
            )
            _refuse(displaced, self._wait_estimator.overloaded(backlog))
        slot = await self._wait(entry)
        waited_s = self.limiter.clock() - queued_at
        counters.QUEUE_SECONDS.observe(waited_s)
        slot.queued_ms = int(waited_s * 1000)
        return slot

    def on_released(self, organisation: str) -> None:
        """Grant a released slot to the next queued request."""
        self._organisation_slots.release_slot(organisation)
        self.dispatch()

    def dispatch(self) -> None:
        """Grant free slots to the next queued requests."""
        while self.limiter.has_capacity():
            entry = self._queue.pop(self._is_eligible)
            if entry is None:
                break
            self._grant(entry)

    def reevaluate_queue(self) -> None:
        """Refuse queued requests that can no longer run in time.

        Runs after each poll of the endpoint's load: the limit may have fallen,
        a version may have been withdrawn, or the endpoint may be draining.
        """
        kept_costs: _Costs = collections.defaultdict(float)
        for entry in self._queue.in_service_order():
            refusal = self._refusal(entry, kept_costs)
            if refusal is None:
                kept_costs[entry.organisation] += entry.cost
            elif self._queue.discard(entry):
                _refuse(entry, refusal)
        self.dispatch()
        counters.LIMIT.set(self.limiter.limit)
        counters.IN_FLIGHT.set(self.limiter.in_flight)
        counters.QUEUED.set(self.queued)

    def start_draining(self) -> None:
        """Refuse queued and new requests; running requests finish."""
        self.is_draining = True
        self.reevaluate_queue()

    def _refuse_on_arrival(
        self, request: router_pb2.RunRequest, deadline: float
    ) -> None:
        if self.is_draining:
            raise wait_estimates.shutting_down()
        name = request.organisation
        if self._organisation_slots.max_concurrent(name) <= 0:
            raise wait_estimates.organisation_limit(name)
        entries = self._queue.entries_before(name, request.priority)
        refusal = self._wait_estimator.refusal_if_late(
            deadline, self._backlog(name, _cost_by_organisation(entries))
        )
        if refusal is not None:
            raise refusal

    def _entry(self, waiter: _Waiter) -> _Entry:
        request = waiter.request
        return queue.Entry(
            request.organisation,
            request.priority,
            request.weight if request.weight > 0 else 1,
            self._wait_estimator.cost_s(request),
            waiter,
        )

    async def _wait(self, entry: _Entry) -> Slot:
        waiter = entry.payload
        try:
            async with asyncio.timeout(waiter.deadline - self.limiter.clock()):
                return await waiter.granted
        except TimeoutError:
            self._cancel_wait(entry)
            backlog = self._backlog(
                entry.organisation, _cost_by_organisation(self._queue)
            )
            raise self._wait_estimator.deadline_passed(backlog) from None
        except asyncio.CancelledError:
            self._cancel_wait(entry)
            raise

    def _cancel_wait(self, entry: _Entry) -> None:
        granted = entry.payload.granted
        if self._queue.discard(entry) or granted.cancelled():
            return
        if granted.exception() is None:
            granted.result().release(served=False)

    def _is_eligible(self, entry: _Entry) -> bool:
        return self._organisation_slots.may_start(entry.organisation)

    def _backlog(
        self, organisation: str, queued_costs: _Costs
    ) -> wait_estimates.Backlog:
        # Entries of other organisations that have reached their limit don't
        # take the next slot.
        cost_s = sum(
            organisation_cost_s
            for name, organisation_cost_s in queued_costs.items()
            if name == organisation or self._organisation_slots.may_start(name)
        )
        return wait_estimates.Backlog(
            cost_s,
            self._organisation_slots.max_concurrent(organisation),
            is_at_limit=not self._organisation_slots.may_start(organisation),
        )

    def _grant(self, entry: _Entry) -> None:
        waiter = entry.payload
        if waiter.granted.done():
            return
        name = entry.organisation
        self._organisation_slots.take_slot(name)
        request = waiter.request
        tracked = self.limiter.start(
            request.kind,
            has_first_token=request.stream or bool(request.service),
        )
        waiter.granted.set_result(Slot(0, tracked, self, name))

    def _refusal(
        self, entry: _Entry, costs_before: _Costs
    ) -> refusals.RefusalError | None:
        if self.is_draining:
            return wait_estimates.shutting_down()
        try:
            self.check(entry.payload.request)
        except refusals.RefusalError as refusal:
            return refusal
        backlog = self._backlog(entry.organisation, costs_before)
        return self._wait_estimator.refusal_if_late(
            entry.payload.deadline, backlog
        )


def _cost_by_organisation(entries: Iterable[_Entry]) -> _Costs:
    costs: _Costs = collections.defaultdict(float)
    for entry in entries:
        costs[entry.organisation] += entry.cost
    return costs


def _refuse(entry: _Entry, refusal: refusals.RefusalError) -> None:
    if not entry.payload.granted.done():
        entry.payload.granted.set_exception(refusal)
