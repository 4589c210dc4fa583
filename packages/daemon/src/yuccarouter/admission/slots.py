"""Slots at the endpoint: who may send work to it, and when."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable, Iterable

import attrs

from yuccarouter.admission import (
    counters,
    request_tracker,
    ports,
    queue,
    shares,
    waits,
)
from yuccarouter.admission import limiter as limiters
from yuccarouter_common import refusals
from yuccarouter_common.proto import router_pb2

Check = Callable[[router_pb2.RunRequest], None]


@attrs.define(eq=False)
class Slot:
    """Permission to have one request in flight at the endpoint."""

    queued_ms: int
    _work: request_tracker.TrackedRequest
    _owner: SlotQueue
    _organisation: str
    _held: bool = True

    def mark_sent(self) -> None:
        """Note that the request goes out, once."""
        if self._work.sent is None:
            self._work.sent = self._owner.limiter.clock()

    def mark_first_token(self) -> None:
        """Note that the endpoint has begun to answer."""
        if self._held:
            self._owner.limiter.first_token(self._work)

    def mark_failed(self) -> None:
        """Note that the endpoint has failed the request."""
        self._owner.limiter.drop('request_failed')

    def release(self, *, served: bool, may_be_running: bool = False) -> None:
        """Give the slot back; later calls have no effect.

        ``may_be_running`` says that the endpoint may still be running the
        request.
        """
        if self._held:
            self._held = False
            self._owner.limiter.finish(
                self._work, served=served, may_be_running=may_be_running
            )
            self._owner.left(self._organisation)


@attrs.frozen(eq=False)
class _Waiter:
    """A request that waits, and how it learns of its turn."""

    request: router_pb2.RunRequest
    deadline: float
    turn: asyncio.Future[Slot]


_Entry = queue.Entry[_Waiter]
# Slot time of queued requests, in seconds, by organisation.
_Costs = collections.defaultdict[str, float]


@attrs.define(eq=False)
class SlotQueue:
    """The queue and the gate of one endpoint.

    ``check`` raises ``RefusalError`` for a request that must not run now.
    Times are in seconds of the gate's clock.
    """

    configuration: ports.ConfigurationView
    limiter: limiters.ConcurrencyLimiter
    check: Check
    is_draining: bool = False
    _queue: queue.FairQueue[_Waiter] = attrs.field(factory=queue.FairQueue)
    _waits: waits.Waits = attrs.field(init=False)
    _shares: shares.Shares = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Estimate waits from the gate and limits from the configuration."""
        self._waits = waits.Waits(self.limiter)
        self._shares = shares.Shares(self.configuration)

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return self._queue.size

    async def acquire(
        self, request: router_pb2.RunRequest, deadline: float
    ) -> Slot:
        """Wait for a slot; raise ``RefusalError`` when there is none in time.

        A request that would wait beyond its deadline is refused at once.
        """
        self._refuse_early(request, deadline)
        turn: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        entry = self._entry(_Waiter(request, deadline, turn))
        entered = self.limiter.clock()
        self._queue.push(entry)
        self.pump()
        displaced = self._queue.shed(self.limiter.pool().max_queued)
        if displaced is not None:
            queued = self._ahead(displaced.organisation, _costs(self._queue))
            _refuse(displaced, self._waits.overloaded(queued))
        slot = await self._wait(entry)
        waited_s = self.limiter.clock() - entered
        counters.QUEUE_SECONDS.observe(waited_s)
        slot.queued_ms = int(waited_s * 1000)
        return slot

    def left(self, organisation: str) -> None:
        """Note that a slot was given back."""
        self._shares.give_back(organisation)
        self.pump()

    def pump(self) -> None:
        """Give free slots to the requests whose turn it is."""
        while self.limiter.is_free():
            entry = self._queue.pop(self._is_eligible)
            if entry is None:
                break
            self._grant(entry)

    def reevaluate_queue(self) -> None:
        """Refuse queued requests that can no longer run in time.

        Runs after each load report: the limit may have fallen, a version may
        have been withdrawn, or the endpoint may be leaving.
        """
        kept: _Costs = collections.defaultdict(float)
        for entry in self._queue.in_order():
            refusal = self._reason(entry, kept)
            if refusal is None:
                kept[entry.organisation] += entry.cost
            elif self._queue.withdraw(entry):
                _refuse(entry, refusal)
        self.pump()
        counters.LIMIT.set(self.limiter.limit)
        counters.IN_FLIGHT.set(self.limiter.in_flight)
        counters.QUEUED.set(self.queued)

    def start_draining(self) -> None:
        """Refuse queued and new work; running work finishes."""
        self.is_draining = True
        self.reevaluate_queue()

    def _refuse_early(
        self, request: router_pb2.RunRequest, deadline: float
    ) -> None:
        if self.is_draining:
            raise waits.shutting_down()
        name = request.organisation
        if self._shares.allowance(name) <= 0:
            raise waits.organisation_limit(name)
        ahead = self._queue.ahead(name, request.priority)
        late = self._waits.late(deadline, self._ahead(name, _costs(ahead)))
        if late is not None:
            raise late

    def _entry(self, waiter: _Waiter) -> _Entry:
        request = waiter.request
        return queue.Entry(
            request.organisation,
            request.priority,
            request.weight if request.weight > 0 else 1,
            self._waits.cost_s(request),
            waiter,
        )

    async def _wait(self, entry: _Entry) -> Slot:
        waiter = entry.payload
        try:
            async with asyncio.timeout(waiter.deadline - self.limiter.clock()):
                return await waiter.turn
        except TimeoutError:
            self._abandon(entry)
            queued = self._ahead(entry.organisation, _costs(self._queue))
            raise self._waits.passed(queued) from None
        except asyncio.CancelledError:
            self._abandon(entry)
            raise

    def _abandon(self, entry: _Entry) -> None:
        turn = entry.payload.turn
        if self._queue.withdraw(entry) or turn.cancelled():
            return
        if turn.exception() is None:
            turn.result().release(served=False)

    def _is_eligible(self, entry: _Entry) -> bool:
        return self._shares.may_start(entry.organisation)

    def _ahead(self, organisation: str, before: _Costs) -> waits.Ahead:
        # Entries of other organisations that have reached their limit don't
        # take the next slot.
        cost_s = sum(
            queued_s
            for name, queued_s in before.items()
            if name == organisation or self._shares.may_start(name)
        )
        return waits.Ahead(
            cost_s,
            self._shares.allowance(organisation),
            is_held_back=not self._shares.may_start(organisation),
        )

    def _grant(self, entry: _Entry) -> None:
        waiter = entry.payload
        if waiter.turn.done():
            return
        name = entry.organisation
        self._shares.take(name)
        request = waiter.request
        work = self.limiter.start(
            request.kind,
            has_first_token=request.stream or bool(request.service),
        )
        waiter.turn.set_result(Slot(0, work, self, name))

    def _reason(
        self, entry: _Entry, before: _Costs
    ) -> refusals.RefusalError | None:
        if self.is_draining:
            return waits.shutting_down()
        try:
            self.check(entry.payload.request)
        except refusals.RefusalError as refusal:
            return refusal
        ahead = self._ahead(entry.organisation, before)
        return self._waits.late(entry.payload.deadline, ahead)


def _costs(entries: Iterable[_Entry]) -> _Costs:
    costs: _Costs = collections.defaultdict(float)
    for entry in entries:
        costs[entry.organisation] += entry.cost
    return costs


def _refuse(entry: _Entry, refusal: refusals.RefusalError) -> None:
    if not entry.payload.turn.done():
        entry.payload.turn.set_exception(refusal)
