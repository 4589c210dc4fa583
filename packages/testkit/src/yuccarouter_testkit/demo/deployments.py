"""The two example deployments: endpoints and calling organisations."""

from __future__ import annotations

from typing import Final

import attrs


@attrs.frozen
class Group:
    """Endpoints of one pool, assigned to the data centres round-robin.

    Each endpoint is simulated by a test double. ``settings`` are the settings
    of each double; ``double`` names its module in ``stand_ins``. If empty, the
    module is ``engine`` or ``plain_service``, depending on ``is_engine``.
    """

    pool: str
    is_engine: bool
    count: int
    settings: dict[str, object]
    double: str = ''


@attrs.frozen
class Deployment:
    """The fleet of one example user.

    Bearer tokens are derived from the names of the organisations.
    """

    name: str
    data_centres: tuple[str, ...]
    groups: tuple[Group, ...]
    organisations: tuple[str, ...]


def organisation_key(name: str) -> str:
    """Return the bearer token of an example organisation."""
    return f'example-key-{name}'


# Maps model versions to their answer quality, from 0 to 1.
_CLUE_QUALITIES: Final = {'clue-mini@1': 0.7, 'clue@1': 0.95, 'clue@2': 0.97}
_RECORD_QUALITIES: Final = {
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
            settings={'versions': _CLUE_QUALITIES, 'checks_fencing': True},
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
            settings={'versions': _RECORD_QUALITIES},
        ),
        Group(
            'ledger-app', is_engine=False, count=3, settings={'name': 'ledger'}
        ),
    ),
    organisations=('malabar-cold', 'board'),
)

ALL: Final = (RATSELWERK, THANUPP)
