"""Load on the remaining endpoints when a third fails at once."""

from __future__ import annotations

import functools
import itertools
import random
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from yuccarouter.routing import choice, errors, retry_budget, views
from yuccarouter_common import model
from yuccarouter_testkit.bench import _fakes

_ENDPOINTS: Final = 30
_FAILED: Final = 10
_ENTRIES: Final = 4
_LIMIT: Final = 8
_MAX_QUEUED: Final = 32
_SERVICE_MS: Final = 200.0
# The rest of the endpoints can carry 0.67 of the whole capacity.
_UTILISATION: Final = 0.8
_LAG_MS: Final = 200.0
_INTERVAL_MS: Final = 500.0
# An attempt without an answer by then counts as failed, but its work goes on:
# this is how retries overload endpoints that have become slow.
_TIMEOUT_MS: Final = 800.0
_FAIL_MS: Final = 5000.0
_END_MS: Final = 25_000.0
_BLIND_ATTEMPTS: Final = 3
_CONFIGURATION: Final = model.Configuration()

_NONE: Final[frozenset[str]] = frozenset()
_OK: Final = 'ok'
_LOST: Final = 'lost'
_LATE: Final = 'late'
_REFUSED: Final = 'refused'

# Sends one request, given its service time.
Sender = Callable[[float], None]
Ended = Callable[[str], None]


@attrs.define
class _Attempt:
    """Passes on the first result of an attempt only."""

    ended: Ended
    is_over: bool = False

    def end(self, state: str) -> None:
        if not self.is_over:
            self.is_over = True
            self.ended(state)

    def end_work(self, ok: bool) -> None:
        self.end(_OK if ok else _LOST)


@attrs.define
class _World:
    clock: _fakes.Clock
    endpoints: dict[str, _fakes.Endpoint]
    rng: random.Random
    offered: int = 0
    answered: int = 0
    arrived_before: int = 0

    def send(self, name: str, service_ms: float, ended: Ended) -> None:
        """Make one attempt; ``ended`` gets its result once."""
        endpoint = self.endpoints[name]
        attempt = _Attempt(ended)
        work = _fakes.Work(service_ms, _ignore, attempt.end_work)
        if endpoint.is_down:
            attempt.end(_LOST)
        elif endpoint.submit(work):
            late = functools.partial(attempt.end, _LATE)
            self.clock.after(_TIMEOUT_MS, late)
        else:
            attempt.end(_REFUSED)

    def answer(self) -> None:
        """Count an answer after the failure."""
        self.answered += self.clock.now() >= _FAIL_MS

    def fail(self) -> None:
        """Take a third of the endpoints down."""
        self.arrived_before = self.arrived_at_rest()
        for endpoint in list(self.endpoints.values())[:_FAILED]:
            endpoint.fail()

    def arrived_at_rest(self) -> int:
        """Return the attempts that have reached the other endpoints."""
        rest = list(self.endpoints.values())[_FAILED:]
        return sum(endpoint.arrived for endpoint in rest)

    def arrive(self, senders: list[Sender], rng: random.Random) -> None:
        """Send one request through a random entry."""
        self.offered += self.clock.now() >= _FAIL_MS
        rng.choice(senders)(rng.expovariate(1 / _SERVICE_MS))


@attrs.frozen
class _Budgeted:
    """The router's way: direct evidence and a budget of retries."""

    world: _World
    fleet: views.Fleet
    budget: retry_budget.RetryBudget

    def send(self, service_ms: float, excluded: frozenset[str] = _NONE) -> None:
        request = choice.Request('p', 'm@1', 'a', excluded=excluded)
        try:
            name = choice.choose(
                self.fleet,
                request,
                _CONFIGURATION,
                self.world.clock.now(),
                self.world.rng.random,
            ).endpoint
        except errors.RoutingError:
            return
        self.fleet.record_start(name)
        tried = excluded | {name}
        ended = functools.partial(self._ended, name, service_ms, tried)
        self.world.send(name, service_ms, ended)

    def _ended(
        self, name: str, service_ms: float, tried: frozenset[str], state: str
    ) -> None:
        self.fleet.record_end(name, state in {_OK, _REFUSED})
        if state == _OK:
            self.budget.record_success()
            self.world.answer()
            return
        if state == _LOST:
            self.fleet.record_failure(name)
        if self.budget.take_retry():
            rng = self.world.rng.random
            wait_ms = retry_budget.backoff_ms(len(tried), 0, rng)
            again = functools.partial(self.send, service_ms, tried)
            self.world.clock.after(wait_ms, again)


@attrs.frozen
class _Blind:
    """The naive way: round robin over all endpoints, two retries at once."""

    world: _World
    order: Iterator[str]

    def send(self, service_ms: float, number: int = 1) -> None:
        ended = functools.partial(self._ended, service_ms, number)
        self.world.send(next(self.order), service_ms, ended)

    def _ended(self, service_ms: float, number: int, state: str) -> None:
        if state == _OK:
            self.world.answer()
        elif number < _BLIND_ATTEMPTS:
            self.send(service_ms, number + 1)


def run(seed: int) -> dict[str, float]:
    """Return attempts at the rest and answers, for each offered request."""
    budgeted = _measure(seed, _budgeted)
    blind = _measure(seed, _blind)
    return {
        'router_load': budgeted[0],
        'router_answered': budgeted[1],
        'blind_load': blind[0],
        'blind_answered': blind[1],
    }


def _measure(
    seed: int, make: Callable[[_World], Sender]
) -> tuple[float, float]:
    clock = _fakes.Clock()
    endpoints = {
        f'e{number}': _fakes.Endpoint(clock, f'e{number}', _LIMIT, _MAX_QUEUED)
        for number in range(_ENDPOINTS)
    }
    world = _World(clock, endpoints, random.Random(seed + 1))
    senders = [make(world) for _ in range(_ENTRIES)]
    rng = random.Random(seed)
    clock.after(_FAIL_MS, world.fail)
    gap_ms = _SERVICE_MS / (_ENDPOINTS * _LIMIT * _UTILISATION)
    arrive = functools.partial(world.arrive, senders, rng)
    _fakes.Arrivals(clock, rng, gap_ms, _END_MS, arrive).start()
    clock.run(_END_MS)
    load = world.arrived_at_rest() - world.arrived_before
    return load / world.offered, world.answered / world.offered


def _budgeted(world: _World) -> Sender:
    fleet = views.Fleet(world.clock.now, world.rng.random)
    reporter = _fakes.Reporter(
        world.clock, [fleet], _SERVICE_MS, _LAG_MS, _INTERVAL_MS
    )
    for endpoint in world.endpoints.values():
        reporter.start(endpoint, world.rng)
    return _Budgeted(world, fleet, retry_budget.RetryBudget()).send


def _blind(world: _World) -> Sender:
    return _Blind(world, itertools.cycle(world.endpoints)).send


def _ignore() -> None:
    """Take no notice of the first token."""
