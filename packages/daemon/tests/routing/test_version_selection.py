"""Tests of version selection and roll-out shares."""

from __future__ import annotations

import attrs
import pytest

from yuccarouter.routing import errors, version_selection
from yuccarouter_common import model

_ORGANISATION = model.Organisation(
    'o', allowed=('clue@1', 'clue@2', 'big@1', 'gone@1')
)
_CONFIGURATION = model.Configuration(
    versions={
        'clue@1': model.ModelVersion('clue', '1', 'p'),
        'clue@2': model.ModelVersion('clue', '2', 'p'),
        'clue@3': model.ModelVersion('clue', '3', 'p'),
        'big@1': model.ModelVersion('big', '1', 'p'),
        'gone@1': model.ModelVersion('gone', '1', 'p', state='withdrawn'),
    },
    cascades={
        'c': model.Cascade(
            'c',
            (
                model.CascadeStep('gone@1'),
                model.CascadeStep('clue'),
                model.CascadeStep('big@1'),
            ),
            kinds=('note',),
        ),
        'gone': model.Cascade('gone', (model.CascadeStep('gone'),)),
    },
)


def _rolling(state: str, share: float = 0) -> model.Configuration:
    rollout = model.Rollout(
        'r', 'clue', '2', '1', state=state, share=share, changed_offset=9
    )
    return attrs.evolve(_CONFIGURATION, rollouts={'r': rollout})


def _names(
    configuration: model.Configuration, requested: str, key: str = 'k'
) -> list[str]:
    resolution = version_selection.resolve(
        configuration, _ORGANISATION, requested, key, 'note'
    )
    return [version.name for version in resolution.versions]


@pytest.mark.parametrize(
    ('requested', 'expected'),
    [
        ('clue@2', ['clue@2']),
        # Without a roll-out, a newly created version gets no traffic.
        ('clue', ['clue@1']),
        ('c', ['clue@1', 'big@1']),
    ],
)
def test_resolve(requested: str, expected: list[str]) -> None:
    """Guards against a name resolving to a wrong or a newly created version."""
    assert _names(_CONFIGURATION, requested) == expected


@pytest.mark.parametrize(
    ('requested', 'code'),
    [
        ('clue@3', 'version_not_allowed'),
        ('gone@1', 'version_not_allowed'),
        ('gone', 'version_not_allowed'),
        ('clue@9', 'unknown_model'),
        ('none', 'unknown_model'),
        ('', 'unknown_model'),
    ],
)
def test_unusable_version_is_rejected(requested: str, code: str) -> None:
    """Guards against using a version that isn't allowed or is withdrawn."""
    with pytest.raises(errors.RoutingError) as raised:
        _names(_CONFIGURATION, requested)
    assert raised.value.code == code


def test_cascade_applies_only_to_its_kinds() -> None:
    """Guards against a cheap step for a kind that the cascade doesn't list."""
    resolution = version_selection.resolve(
        _CONFIGURATION, _ORGANISATION, 'c', 'k', 'grid'
    )
    assert resolution.cascade is None
    assert [version.name for version in resolution.versions] == ['big@1']


@pytest.mark.parametrize(
    ('state', 'share', 'expected'),
    [
        ('created', 1.0, 0),
        ('rolling', 0.0, 0),
        ('rolling', 0.2, 0.2),
        ('held', 0.2, 0.2),
        ('rolling', 1.0, 1),
        ('withdrawn', 1.0, 0),
        ('finished', 0.2, 1),
    ],
)
def test_share(state: str, share: float, expected: float) -> None:
    """Guards against a new version getting more than its roll-out's share."""
    configuration = _rolling(state, share)
    keys = [f'session-{number}' for number in range(2000)]
    new = sum(_names(configuration, 'clue', key) == ['clue@2'] for key in keys)
    assert abs(new / len(keys) - expected) <= 0.03


def test_share_is_stable_as_it_grows() -> None:
    """Guards against callers switching back to the old version.

    That happens if the hash of a key depends on the share.
    """
    keys = [f'session-{number}' for number in range(500)]
    small, large = (
        {
            key
            for key in keys
            if _names(_rolling('rolling', share), 'clue', key) == ['clue@2']
        }
        for share in (0.1, 0.5)
    )
    assert small < large


def test_withdrawn_rollout_blocks_the_version() -> None:
    """Guards against explicit requests for a version that was rolled back."""
    configuration = _rolling('withdrawn')
    with pytest.raises(errors.RoutingError) as raised:
        _names(configuration, 'clue@2')
    assert raised.value.code == 'version_not_allowed'


def test_only_usable_version() -> None:
    """Guards against rejecting callers that may use only the new version.

    A roll-out with a share of 0 must not exclude them.
    """
    new_version_only = attrs.evolve(_ORGANISATION, allowed=('clue@2',))
    version = version_selection.choose_version(
        _rolling('rolling', 0), new_version_only, 'clue', 'k'
    )
    assert version.name == 'clue@2'
