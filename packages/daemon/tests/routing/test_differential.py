"""Tests of the router against a naive implementation on random inputs.

The naive implementation scans everything, goes round robin over all allowed
endpoints and always uses the best model. It is the oracle of what is allowed.
"""

from __future__ import annotations

import itertools
import random

import pytest

from yuccarouter.routing import choice, errors, version_selection, views
from yuccarouter_common import model

_MODELS = ('small', 'large')
_DATA_CENTRES = ('a', 'b', 'c')
_STEPS = (model.CascadeStep('small'), model.CascadeStep('large'))


def _configuration(rng: random.Random) -> model.Configuration:
    versions = [
        model.ModelVersion(
            name, version, name, state=rng.choice(['ready'] * 3 + ['withdrawn'])
        )
        for name in _MODELS
        for version in '123'
    ]
    rollouts = [
        model.Rollout(
            f'r{number}',
            rng.choice(_MODELS),
            rng.choice('123'),
            rng.choice('123'),
            state=rng.choice(
                ['created', 'rolling', 'held', 'withdrawn', 'finished']
            ),
            share=rng.random(),
            changed_offset=number,
        )
        for number in range(rng.randrange(4))
    ]
    organisations = [
        model.Organisation(
            name,
            allowed=tuple(
                version.name for version in versions if rng.random() < 0.6
            ),
        )
        for name in ('o', 'q')
    ]
    data_centres = [
        model.DataCentre(
            name,
            rng.choice(['south', 'north']),
            rng.choice([model.IN_SERVICE, model.OUT_OF_SERVICE]),
        )
        for name in _DATA_CENTRES
    ]
    return model.Configuration(
        organisations={one.name: one for one in organisations},
        versions={one.name: one for one in versions},
        rollouts={one.name: one for one in rollouts},
        data_centres={one.name: one for one in data_centres},
        cascades={'c': model.Cascade('c', _STEPS)},
    )


def _reports(rng: random.Random) -> list[views.EndpointView]:
    return [
        views.EndpointView(
            f'e{number}',
            'vm',
            rng.choice(_DATA_CENTRES),
            rng.choice(_MODELS),
            '',
            state=rng.choice(['ready', 'ready', 'cold', 'leaving', 'down']),
            limit=4,
            in_flight=rng.randrange(6),
            versions=tuple(
                f'{name}@{version}'
                for name in _MODELS
                for version in '123'
                if rng.random() < 0.5
            )
            or ('small@1',),
            prefixes=frozenset(rng.sample(range(4), 2)),
        )
        for number in range(rng.randrange(9))
    ]


class _Naive:
    """The routing rules of the design page, by scanning everything."""

    def __init__(
        self,
        configuration: model.Configuration,
        reports: list[views.EndpointView],
    ) -> None:
        self.configuration = configuration
        self.reports = reports
        self.turn = itertools.count()

    def versions(self, organisation: str, requested: str) -> set[str]:
        """Return every version that may run the request."""
        names = set(self.configuration.organisations[organisation].allowed)
        for version in self.configuration.versions.values():
            if version.state == model.WITHDRAWN:
                names.discard(version.name)
        newest: dict[str, model.Rollout] = {}
        for one in self.configuration.rollouts.values():
            newest[f'{one.model}@{one.version}'] = one
        for name, one in newest.items():
            if one.state == 'withdrawn':
                names.discard(name)
        return {
            name
            for name in names
            if requested in {name, name.split('@')[0], 'c'}
        }

    def best(self, organisation: str, requested: str) -> str:
        """Return the best allowed version, or an empty string."""
        order = sorted(self.versions(organisation, requested))
        return order[0] if order else ''

    def endpoints(self, version: str, excluded: frozenset[str]) -> list[str]:
        """Return every endpoint that may run a version."""
        data_centres = self.configuration.data_centres
        pool = self.configuration.versions[version].pool
        return [
            report.endpoint
            for report in self.reports
            if version in report.versions
            and report.pool == pool
            and report.state in {'ready', 'cold'}
            and data_centres[report.data_centre].state == model.IN_SERVICE
            and report.endpoint not in excluded
        ]

    def choose(self, version: str, excluded: frozenset[str]) -> str:
        """Return the next allowed endpoint in turn, or an empty string."""
        allowed = self.endpoints(version, excluded)
        return allowed[next(self.turn) % len(allowed)] if allowed else ''


def _resolve(
    configuration: model.Configuration,
    organisation: str,
    requested: str,
    key: str,
) -> list[str]:
    try:
        resolution = version_selection.resolve(
            configuration,
            configuration.organisations[organisation],
            requested,
            key,
        )
    except errors.RoutingError as error:
        assert error.code == 'version_not_allowed'
        return []
    return [version.name for version in resolution.versions]


def _choose(
    fleet: views.Fleet,
    configuration: model.Configuration,
    request: choice.Request,
    rng: random.Random,
) -> str:
    try:
        return choice.choose(
            fleet, request, configuration, 0, rng.random
        ).endpoint
    except errors.RoutingError as error:
        assert error.code == 'no_endpoint'
        return ''


@pytest.mark.parametrize('seed', range(60))
def test_agree_on_what_is_allowed(seed: int) -> None:
    """Guards against using a version or endpoint that isn't allowed.

    It also guards against rejecting what the naive implementation serves.
    """
    rng = random.Random(seed)
    configuration = _configuration(rng)
    reports = _reports(rng)
    fleet = views.Fleet(lambda: 0, rng.random)
    for report in reports:
        fleet.update(report)
    naive = _Naive(configuration, reports)
    for number in range(60):
        organisation = rng.choice('oq')
        requested = rng.choice(['small', 'large', 'small@2', 'large@1', 'c'])
        key = f'k{number}'
        names = _resolve(configuration, organisation, requested, key)
        assert set(names) <= naive.versions(organisation, requested)
        assert bool(names) == bool(naive.best(organisation, requested))
        for name in names:
            excluded = frozenset(f'e{n}' for n in rng.sample(range(9), 2))
            request = choice.Request(
                configuration.versions[name].pool,
                name,
                rng.choice(_DATA_CENTRES),
                session_endpoint=f'e{rng.randrange(9)}',
                prefixes=(rng.randrange(4), rng.randrange(4)),
                excluded=excluded,
            )
            chosen = _choose(fleet, configuration, request, rng)
            possible = naive.endpoints(name, excluded)
            assert bool(chosen) == bool(naive.choose(name, excluded))
            assert not chosen or chosen in possible


@pytest.mark.parametrize('seed', range(20))
def test_every_allowed_endpoint_is_reachable(seed: int) -> None:
    """Guards against endpoints that are allowed but never sampled."""
    rng = random.Random(seed)
    configuration = _configuration(rng)
    reports = _reports(rng)
    naive = _Naive(configuration, reports)
    fleet = views.Fleet(lambda: 0, rng.random)
    for report in reports:
        fleet.update(report)
    for name, version in configuration.versions.items():
        possible = set(naive.endpoints(name, frozenset()))
        seen: set[str] = set()
        # Excluding the endpoints seen makes each other one the best in turn.
        while len(seen) < len(reports) + 1:
            request = choice.Request(
                version.pool, name, 'a', excluded=frozenset(seen)
            )
            chosen = _choose(fleet, configuration, request, rng)
            if not chosen:
                break
            seen.add(chosen)
        assert seen == possible
