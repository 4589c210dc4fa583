"""Time to first token against round robin."""

from __future__ import annotations

import functools
import itertools
import random
from collections.abc import Callable
from typing import Final

import attrs
from hdrh import histogram

from yuccarouter.routing import choice, views
from yuccarouter_common import model
from yuccarouter_testkit.bench import _fakes

_ENDPOINTS: Final = 24
_ENTRIES: Final = 4
_MAX_QUEUED: Final = 10_000
_PREFILL_MS: Final = 50.0
_UTILISATION: Final = 0.8
_LAG_MS: Final = 200.0
_INTERVAL_MS: Final = 500.0
# Length of the run in mean service times, and the part that is not measured.
_RUN: Final = 120
_WARM_UP: Final = 15
_MAX_MS: Final = 600_000
_TAIL: Final = 99

Picker = Callable[[], str]
Make = Callable[[_fakes.Clock, views.Fleet, list[str], random.Random], Picker]
_REQUEST: Final = choice.Request('p', 'm@1', 'a')
_CONFIGURATION: Final = model.Configuration()


@attrs.frozen
class Shape:
    """Requests of exponential length on endpoints with some slots.

    ``slow`` endpoints take twice as long. The load is 80% of the capacity that
    this leaves.
    """

    service_ms: float
    limit: int
    slow: int = 0


@attrs.frozen
class _World:
    shape: Shape
    clock: _fakes.Clock
    rng: random.Random
    endpoints: dict[str, _fakes.Endpoint]
    fleets: list[views.Fleet]
    pickers: list[Picker]
    times: histogram.HdrHistogram

    def arrive(self) -> None:
        """Send one request through a random entry."""
        entry = self.rng.randrange(_ENTRIES)
        service_ms = self.rng.expovariate(1 / self.shape.service_ms)
        name = self.pickers[entry]()
        fleet = self.fleets[entry]
        fleet.record_start(name)
        self.endpoints[name].submit(
            _fakes.Work(
                service_ms,
                functools.partial(self._started, self.clock.now()),
                functools.partial(fleet.record_end, name),
            )
        )

    def _started(self, arrived_ms: float) -> None:
        if arrived_ms >= _WARM_UP * self.shape.service_ms:
            waited_ms = self.clock.now() - arrived_ms
            self.times.record_value(round(waited_ms + _PREFILL_MS))


def run(seed: int, shape: Shape) -> dict[str, float]:
    """Return the p99 time to first token of both ways, in ms.

    Both get the same arrivals and service times.
    """
    routed_ms = _measure(seed, shape, _routed)
    robin_ms = _measure(seed, shape, _round_robin)
    return {
        'router_p99_ms': routed_ms,
        'round_robin_p99_ms': robin_ms,
        'ratio': routed_ms / robin_ms,
    }


def _routed(
    clock: _fakes.Clock,
    fleet: views.Fleet,
    names: list[str],
    rng: random.Random,
) -> Picker:
    return functools.partial(_choose, clock, fleet, rng)


def _choose(clock: _fakes.Clock, fleet: views.Fleet, rng: random.Random) -> str:
    return choice.choose(
        fleet, _REQUEST, _CONFIGURATION, clock.now(), rng.random
    ).endpoint


def _round_robin(
    clock: _fakes.Clock,
    fleet: views.Fleet,
    names: list[str],
    rng: random.Random,
) -> Picker:
    start = rng.randrange(len(names))
    order = itertools.cycle(names[start:] + names[:start])
    return functools.partial(next, order)


def _measure(
    seed: int,
    shape: Shape,
    make: Make,
) -> float:
    rng = random.Random(seed)
    world = _world(rng, random.Random(seed + 1), shape, make)
    slots = (_ENDPOINTS - shape.slow / 2) * shape.limit
    gap_ms = shape.service_ms / (slots * _UTILISATION)
    end_ms = _RUN * shape.service_ms
    _fakes.Arrivals(world.clock, rng, gap_ms, end_ms, world.arrive).start()
    world.clock.run(2 * end_ms)
    return float(world.times.get_value_at_percentile(_TAIL))


def _world(
    rng: random.Random,
    choice_rng: random.Random,
    shape: Shape,
    make: Make,
) -> _World:
    clock = _fakes.Clock()
    names = [f'e{number}' for number in range(_ENDPOINTS)]
    endpoints = {
        name: _fakes.Endpoint(
            clock, name, shape.limit, _MAX_QUEUED, 1 + (place < shape.slow)
        )
        for place, name in enumerate(names)
    }
    fleets = [
        views.Fleet(clock.now, choice_rng.random) for _ in range(_ENTRIES)
    ]
    reporter = _fakes.Reporter(
        clock, fleets, shape.service_ms, _LAG_MS, _INTERVAL_MS
    )
    for endpoint in endpoints.values():
        reporter.start(endpoint, choice_rng)
    pickers = [make(clock, fleet, names, choice_rng) for fleet in fleets]
    times = histogram.HdrHistogram(1, _MAX_MS, 3)
    return _World(shape, clock, rng, endpoints, fleets, pickers, times)
