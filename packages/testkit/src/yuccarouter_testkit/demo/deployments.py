"""The two example deployments: where their endpoints are and who calls."""

from __future__ import annotations

from typing import Final

import attrs


@attrs.frozen
class Group:
    """Endpoints of one pool, spread over the data centres in turn.

    ``settings`` are the settings of each endpoint's double; ``double`` names
    its module when it is not the usual one.
    """

    pool: str
    is_engine: bool
    count: int
    settings: dict[str, object]
    double: str = ''


@attrs.frozen
class Deployment:
    """One user's fleet; organisation keys are made from their names."""

    name: str
    data_centres: tuple[str, ...]
    groups: tuple[Group, ...]
    organisations: tuple[str, ...]


def organisation_key(name: str) -> str:
    """Return the bearer token of an example organisation."""
    return f'example-key-{name}'


_CLUE_VERSIONS: Final = {'clue-mini@1': 0.7, 'clue@1': 0.95, 'clue@2': 0.97}
_RECORD_VERSIONS: Final = {
    'record-mini@1': 0.7,
    'record@1': 0.95,
    'record@2': 0.97,
}

RATSELWERK: Final = Deployment(
    name='ratselwerk',
    data_centres=('muenchen', 'nuernberg', 'augsburg'),
    groups=(
        Group(
            'clue-checkers',
            is_engine=True,
            count=5,
            settings={'versions': _CLUE_VERSIONS, 'checks_fencing': True},
        ),
        Group('desk-app', is_engine=False, count=3, settings={'name': 'desk'}),
    ),
    organisations=('ratsel-nord', 'denkfabrik'),
)

THANUPP: Final = Deployment(
    name='thanupp',
    data_centres=('kochi', 'kozhikode', 'kollam'),
    groups=(
        Group(
            'record-assistants',
            is_engine=True,
            count=10,
            settings={'versions': _RECORD_VERSIONS},
        ),
        Group(
            'ledger-app', is_engine=False, count=3, settings={'name': 'ledger'}
        ),
    ),
    organisations=('malabar-cold', 'board'),
)

ALL: Final = (RATSELWERK, THANUPP)
