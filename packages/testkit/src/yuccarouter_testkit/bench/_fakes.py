"""Small fake endpoints with queues, on a virtual clock."""

from __future__ import annotations

import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from yuccarouter.routing import views

Action = Callable[[], None]


class Clock:
    """Virtual time; actions run in the order of their times."""

    def __init__(self) -> None:
        self.now_ms = float(0)
        self._actions: list[tuple[float, int, Action]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return the virtual time in ms."""
        return self.now_ms

    def after(self, delay_ms: float, action: Action) -> None:
        """Run an action after a delay."""
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._actions, (due_ms, next(self._order), action))

    def run(self, until_ms: float) -> None:
        """Run the actions that are due by a time."""
        while self._actions and self._actions[0][0] <= until_ms:
            due = heapq.heappop(self._actions)
            self.now_ms = due[0]
            due[2]()
        self.now_ms = until_ms


@attrs.define
class Work:
    """One request at an endpoint and what happens with it.

    ``started`` runs when the request leaves the queue. ``ended`` gets whether
    the request was completed.
    """

    service_ms: float
    started: Action
    ended: Callable[[bool], None]


class Endpoint:
    """An endpoint with a number of slots and a bounded queue."""

    def __init__(
        self,
        clock: Clock,
        name: str,
        limit: int,
        max_queued: int,
        slowness: float = 1,
    ) -> None:
        self.name = name
        self.is_down = False
        self.arrived = 0
        self._clock = clock
        self._limit = limit
        self._max_queued = max_queued
        self._slowness = slowness
        self._running: set[int] = set()
        self._works: dict[int, Work] = {}
        self._queue: collections.deque[int] = collections.deque()
        self._ids = itertools.count()
        self._sequence = itertools.count(1)

    def submit(self, work: Work) -> bool:
        """Take a request; return False when it is refused."""
        self.arrived += 1
        if len(self._queue) >= self._max_queued:
            return False
        number = next(self._ids)
        self._works[number] = work
        self._queue.append(number)
        self._start_next()
        return True

    def fail(self) -> None:
        """Go down and lose all requests."""
        self.is_down = True
        lost = list(self._works.values())
        self._works.clear()
        self._running.clear()
        self._queue.clear()
        for work in lost:
            work.ended(False)

    def report(self, lag_ms: float, service_ms: float) -> views.EndpointView:
        """Return the report of this moment, received after a lag."""
        return views.EndpointView(
            endpoint=self.name,
            vm=self.name,
            data_centre='a',
            pool='p',
            address='',
            versions=('m@1',),
            limit=self._limit,
            in_flight=len(self._running),
            queued=len(self._queue),
            service_time_ms=service_ms * self._slowness,
            first_token_ms=service_ms / 8 * self._slowness,
            age_ms=lag_ms,
            received_ms=self._clock.now() + lag_ms,
            sequence=next(self._sequence),
        )

    def _start_next(self) -> None:
        while self._queue and len(self._running) < self._limit:
            number = self._queue.popleft()
            self._running.add(number)
            work = self._works[number]
            work.started()
            delay_ms = work.service_ms * self._slowness
            ending = functools.partial(self._end, number)
            self._clock.after(delay_ms, ending)

    def _end(self, number: int) -> None:
        work = self._works.pop(number, None)
        if work is None:
            return
        self._running.discard(number)
        work.ended(True)
        self._start_next()


@attrs.frozen
class Reporter:
    """Sends endpoints' reports to every entry, late and unaligned."""

    clock: Clock
    fleets: list[views.Fleet]
    service_ms: float
    lag_ms: float
    interval_ms: float

    def start(self, endpoint: Endpoint, rng: random.Random) -> None:
        """Give every entry a first report and begin to send."""
        self._receive(endpoint.report(0, self.service_ms))
        send = functools.partial(self._send, endpoint)
        self.clock.after(rng.uniform(0, self.interval_ms), send)

    def _send(self, endpoint: Endpoint) -> None:
        if endpoint.is_down:
            return
        view = endpoint.report(self.lag_ms, self.service_ms)
        receive = functools.partial(self._receive, view)
        self.clock.after(self.lag_ms, receive)
        again = functools.partial(self._send, endpoint)
        self.clock.after(self.interval_ms, again)

    def _receive(self, view: views.EndpointView) -> None:
        for fleet in self.fleets:
            fleet.update(view)


@attrs.frozen
class Arrivals:
    """Calls ``arrive`` at random times until the end."""

    clock: Clock
    rng: random.Random
    mean_gap_ms: float
    until_ms: float
    arrive: Action

    def start(self) -> None:
        """Make an arrival and wait for the next one."""
        if self.clock.now() >= self.until_ms:
            return
        self.arrive()
        gap_ms = self.rng.expovariate(1 / self.mean_gap_ms)
        self.clock.after(gap_ms, self.start)
