"""Benchmark of admission: slow start against no limit and a fixed limit.

An endpoint restarts cold under load and bears little until it has answered a
number of requests without being overloaded. The same arrivals run against
each way of admission.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import random
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs

from yuccarouter.admission import limiter as limiters
from yuccarouter.admission import request_tracker, slots
from yuccarouter_common import model, refusals
from yuccarouter_common.proto import router_pb2

_MAX_IN_FLIGHT: Final = 16
_COLD_LIMIT: Final = 2
_WARM_S: Final = 0.04
_COLD_S: Final = 0.08
# Answers without overload after which a cold endpoint is warm.
_WARM_UP: Final = 20
# Offered load as a share of the warm endpoint's capacity.
_LOAD: Final = 0.8
_DURATION_S: Final = 5.0
_RESTART_AT_S: Final = 1.5
_DEADLINE_S: Final = 0.5
_REPORT_S: Final = 0.05
_REPORT_LAG_S: Final = 0.1
_LARGE_SHARE: Final = 0.9
_POOL: Final = model.Pool(
    'p',
    max_in_flight=_MAX_IN_FLIGHT,
    cold_limit=_COLD_LIMIT,
    max_queued=64,
)


class OverloadError(Exception):
    """A cold endpoint got more work than it bears."""


class _EndpointFailedError(Exception):
    """The endpoint failed a request."""


@attrs.define(eq=False)
class _Endpoint:
    """A fake endpoint that fails requests beyond what it bears when cold."""

    cold: bool = False
    in_flight: int = 0
    most_cold: int = 0
    _answers: int = 0
    _life: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(self) -> None:
        """Serve one request; raise when the endpoint fails it."""
        life = self._life
        self.in_flight += 1
        self._note_load()
        overloaded = self.cold and self.in_flight > _COLD_LIMIT
        try:
            async with asyncio.timeout(_COLD_S if self.cold else _WARM_S):
                await life.wait()
        except TimeoutError:
            if overloaded:
                raise _EndpointFailedError from None
            self._note_answer()
        else:
            raise _EndpointFailedError
        finally:
            # A restart has ended the work of its time already.
            if not life.is_set():
                self.in_flight -= 1

    def restart(self) -> None:
        """Fail all running work at once and start cold."""
        self._life.set()
        self._life = asyncio.Event()
        self._answers = 0
        self.in_flight = 0
        self.cold = True

    def _note_answer(self) -> None:
        self._answers += 1
        if self._answers >= _WARM_UP:
            self.cold = False

    def _note_load(self) -> None:
        if self.cold:
            self.most_cold = max(self.most_cold, self.in_flight)
            if self.in_flight > _COLD_LIMIT:
                # Overload thrashes what the endpoint has loaded so far.
                self._answers = 0


@attrs.frozen
class _Arrival:
    at_s: float
    organisation: str


@attrs.define
class _Tally:
    """Requests by how they ended, and when the last one was answered."""

    ended: collections.Counter[str] = attrs.field(factory=collections.Counter)
    small_done: int = 0
    warm_after_s: float = 0


_Admit = Callable[[_Arrival, _Endpoint], Awaitable[None]]


def run(seed: int) -> dict[str, Any]:
    """Run all ways of admission on the same arrivals.

    Raises ``OverloadError`` when slow start lets a cold endpoint have more
    work than it bears.
    """
    arrivals = _arrivals(random.Random(seed))  # noqa: S311
    results: dict[str, Any] = {'seed': seed, 'requests': len(arrivals)}
    for name, make in _WAYS.items():
        results[name] = asyncio.run(_measure(arrivals, make))
    most = results['slow_start']['most_in_flight_cold']
    if most > _COLD_LIMIT:
        raise OverloadError(
            f'{most} requests in flight at a cold endpoint that bears '
            f'{_COLD_LIMIT}'
        )
    return results


def _arrivals(rng: random.Random) -> list[_Arrival]:
    rate = _LOAD * _MAX_IN_FLIGHT / _WARM_S
    at_s = float(0)
    arrivals = []
    while at_s < _DURATION_S:
        at_s += rng.expovariate(rate)
        is_large = rng.random() < _LARGE_SHARE
        arrivals.append(_Arrival(at_s, 'large' if is_large else 'small'))
    return arrivals


async def _measure(
    arrivals: list[_Arrival], make: Callable[[_Endpoint], _Admit]
) -> dict[str, Any]:
    endpoint = _Endpoint()
    tally = _Tally()
    loop = asyncio.get_running_loop()
    admit = make(endpoint)
    began = loop.time()
    loop.call_later(_RESTART_AT_S, endpoint.restart)
    watch = asyncio.create_task(_watch(endpoint, tally))
    tasks = []
    for arrival in arrivals:
        # Arrivals follow the schedule, whatever became of earlier ones.
        await asyncio.sleep(began + arrival.at_s - loop.time())  # noqa: WPS476
        tasks.append(asyncio.create_task(_one(arrival, endpoint, admit, tally)))
    await asyncio.gather(*tasks)
    watch.cancel()
    total = len(arrivals)
    return {
        'done_share': round(tally.ended['done'] / total, 3),
        'failed_share': round(tally.ended['failed'] / total, 3),
        'refused_share': round(tally.ended['refused'] / total, 3),
        'small_done': tally.small_done,
        'most_in_flight_cold': endpoint.most_cold,
        'cold_s': round(tally.warm_after_s, 2),
    }


async def _watch(endpoint: _Endpoint, tally: _Tally) -> None:
    while True:
        await asyncio.sleep(_REPORT_S)  # noqa: WPS476
        if endpoint.cold:
            tally.warm_after_s += _REPORT_S


async def _one(
    arrival: _Arrival, endpoint: _Endpoint, admit: _Admit, tally: _Tally
) -> None:
    try:
        async with asyncio.timeout(_DEADLINE_S):
            await admit(arrival, endpoint)
    except refusals.RefusalError:
        tally.ended['refused'] += 1
    except _EndpointFailedError:
        tally.ended['failed'] += 1
    except TimeoutError:
        tally.ended['late'] += 1
    else:
        tally.ended['done'] += 1
        tally.small_done += arrival.organisation == 'small'


def _no_limit(endpoint: _Endpoint) -> _Admit:
    return _serve_unlimited


async def _serve_unlimited(arrival: _Arrival, endpoint: _Endpoint) -> None:
    await endpoint.serve()


def _fixed_limit(endpoint: _Endpoint) -> _Admit:
    return functools.partial(_serve_limited, asyncio.Semaphore(_MAX_IN_FLIGHT))


async def _serve_limited(
    turns: asyncio.Semaphore, arrival: _Arrival, endpoint: _Endpoint
) -> None:
    async with turns:
        await endpoint.serve()


def _slow_start(endpoint: _Endpoint) -> _Admit:
    organisations = {
        name: model.Organisation(name) for name in ('large', 'small')
    }
    configuration = model.Configuration(organisations=organisations)
    admission = slots.SlotQueue(
        lambda: configuration,
        limiters.ConcurrencyLimiter(
            lambda: _POOL, asyncio.get_running_loop().time
        ),
        lambda request: None,
    )
    _report(endpoint, admission)
    return functools.partial(_serve_admitted, admission)


async def _serve_admitted(
    admission: slots.SlotQueue, arrival: _Arrival, endpoint: _Endpoint
) -> None:
    slot = await admission.acquire(
        router_pb2.RunRequest(organisation=arrival.organisation),
        admission.limiter.clock() + _DEADLINE_S,
    )
    await _serve_in(slot, endpoint)


async def _serve_in(slot: slots.Slot, endpoint: _Endpoint) -> None:
    served = False
    slot.mark_sent()
    try:
        await endpoint.serve()
        served = True
        slot.mark_first_token()
    except _EndpointFailedError:
        slot.mark_failed()
        raise
    finally:
        slot.release(served=served)


def _report(endpoint: _Endpoint, admission: slots.SlotQueue) -> None:
    """Measure the endpoint each interval; the agent learns it late."""
    loop = asyncio.get_running_loop()
    now = loop.time()
    load = request_tracker.Load(endpoint.in_flight, 0, endpoint.cold, now, now)

    loop.call_later(_REPORT_LAG_S, _observe, admission, load)
    loop.call_later(_REPORT_S, _report, endpoint, admission)


def _observe(admission: slots.SlotQueue, load: request_tracker.Load) -> None:
    admission.limiter.apply_load(load)
    admission.reevaluate_queue()


_WAYS: Final[dict[str, Callable[[_Endpoint], _Admit]]] = {
    'no_limit': _no_limit,
    'fixed_limit': _fixed_limit,
    'slow_start': _slow_start,
}
