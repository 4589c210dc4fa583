"""Time of a routing decision and of a report by the number of endpoints."""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable
from typing import Final

import attrs

from yuccarouter.routing import choice, version_selection, views
from yuccarouter_common import model

SIZES: Final = (10, 100, 810)
_ROUNDS: Final = 25
_DECISIONS: Final = 200
_ZONES: Final = 7
_REGIONS: Final = 2
_VERSIONS: Final = 10
_PREFIXES: Final = 32
_US: Final = 1e6


@attrs.frozen
class _Case:
    """A fleet of one size at the target's number of zones and versions."""

    fleet: views.Fleet
    reports: list[views.EndpointView]
    configuration: model.Configuration
    rng: random.Random

    def decide(self, number: int) -> None:
        """Resolve the version of a request and choose its endpoint."""
        version = version_selection.resolve(
            self.configuration,
            self.configuration.organisations['o'],
            'm',
            str(number),
        ).versions[0]
        request = choice.Request(
            version.pool,
            version.name,
            f'z{number % _ZONES}',
            session_endpoint=f'e{number % len(self.reports)}',
            prefixes=(number % _PREFIXES, 1),
        )
        choice.choose(
            self.fleet, request, self.configuration, 0, self.rng.random
        )

    def scan(self, number: int) -> None:
        """Score every endpoint, which is the naive version."""
        min(self.reports, key=self._load)

    def report(self, number: int) -> None:
        """Take over one report."""
        place = number % len(self.reports)
        sequence = self.reports[place].sequence + 1
        self.reports[place] = attrs.evolve(
            self.reports[place], sequence=sequence
        )
        self.fleet.update(self.reports[place])

    def _load(self, view: views.EndpointView) -> float:
        return self.fleet.load(view.endpoint) / view.limit


def run(seed: int) -> dict[str, float]:
    """Return microseconds of a decision, a report and a full scan by size.

    The sizes take turns, so that a busy machine affects all of them.
    """
    cases = {size: _case(seed, size) for size in SIZES}
    figures: dict[str, float] = {}
    for name, action in (
        ('decision', _Case.decide),
        ('report', _Case.report),
        ('scan', _Case.scan),
    ):
        times: dict[int, list[float]] = {size: [] for size in SIZES}
        for _ in range(_ROUNDS):
            for size, case in cases.items():
                times[size].append(_time_us(case, action))
        for size in SIZES:
            figures[f'{name}_{size}_us'] = statistics.median(times[size])
    largest, smallest = SIZES[-1], SIZES[0]
    figures['ratio'] = (
        figures[f'decision_{largest}_us'] / figures[f'decision_{smallest}_us']
    )
    return figures


def _time_us(case: _Case, action: Callable[[_Case, int], None]) -> float:
    started = time.perf_counter()
    for number in range(_DECISIONS):
        action(case, number)
    return (time.perf_counter() - started) / _DECISIONS * _US


def _case(seed: int, size: int) -> _Case:
    rng = random.Random(seed)
    names = tuple(f'm@{number}' for number in range(_VERSIONS))
    reports = [
        views.EndpointView(
            endpoint=f'e{number}',
            vm=f'v{number}',
            data_centre=f'z{number % _ZONES}',
            pool='p',
            address='',
            limit=64,
            in_flight=rng.randrange(64),
            versions=names,
            service_time_ms=9000,
            first_token_ms=300,
            prefixes=frozenset(rng.sample(range(_PREFIXES), 8)),
        )
        for number in range(size)
    ]
    fleet = views.Fleet(time.monotonic, rng.random)
    for report in reports:
        fleet.update(report)
    return _Case(fleet, reports, _configuration(names), rng)


def _configuration(names: tuple[str, ...]) -> model.Configuration:
    zones = [
        model.DataCentre(f'z{number}', f'r{number % _REGIONS}')
        for number in range(_ZONES)
    ]
    versions = [
        model.ModelVersion('m', name.partition('@')[2], 'p') for name in names
    ]
    return model.Configuration(
        organisations={'o': model.Organisation('o', allowed=names)},
        versions={version.name: version for version in versions},
        pools={'p': model.Pool('p')},
        data_centres={zone.name: zone for zone in zones},
        rollouts={
            'r': model.Rollout('r', 'm', '1', '0', state='rolling', share=0.2)
        },
    )
