"""Tests of session tokens and of sessions on withdrawn versions."""

from __future__ import annotations

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from yuccarouter.routing import errors, sessions
from yuccarouter_common import model

_KEY = b'k' * 32
_SESSION = sessions.Session('o', 's-1', 'clue@1')
_TOKEN = sessions.issue(_KEY, _SESSION)


def test_token_contains_its_version() -> None:
    """Guards against a session that loses its version at a key rotation."""
    assert sessions.read([_KEY], 'o', _TOKEN) == _SESSION
    assert sessions.read([b'new', _KEY], 'o', _TOKEN) == _SESSION
    assert not _SESSION.needs_pin


def test_caller_chosen_id() -> None:
    """Guards against taking a caller-chosen id for a version."""
    session = sessions.read([_KEY], 'o', 'clue@2')
    assert session == sessions.Session('o', 'clue@2')
    assert session.needs_pin


@hypothesis.given(
    position=st.integers(0), character=st.characters(codec='ascii')
)
@hypothesis.settings(derandomize=True)
def test_changed_token(position: int, character: str) -> None:
    """Guards against accepting a token with one changed character."""
    start = len('yrs1.')
    index = start + position % (len(_TOKEN) - start)
    changed = _TOKEN[:index] + character + _TOKEN[index + 1 :]
    try:
        session = sessions.read([_KEY], 'o', changed)
    except errors.RoutingError as error:
        assert error.code == 'invalid_request'
    else:
        # Unused bits of the last base64 character may differ.
        assert session == _SESSION


@pytest.mark.parametrize(
    ('organisation', 'header', 'keys'),
    [
        ('other', _TOKEN, [_KEY]),
        ('o', _TOKEN, [b'x' * 32]),
        ('o', _TOKEN, []),
        ('o', 'yrs1.', [_KEY]),
        ('o', 'yrs1.a.b.c', [_KEY]),
        ('o', 'yrs1.ä.b', [_KEY]),
        ('o', '', [_KEY]),
        ('o', 'x' * 513, [_KEY]),
    ],
)
def test_invalid_header_is_rejected(
    organisation: str, header: str, keys: list[bytes]
) -> None:
    """Guards against forged, oversized or other organisations' headers."""
    with pytest.raises(errors.RoutingError) as raised:
        sessions.read(keys, organisation, header)
    assert raised.value.code == 'invalid_request'


def _configuration(state: str) -> model.Configuration:
    return model.Configuration(
        versions={
            'clue@1': model.ModelVersion('clue', '1', 'p', state=state),
            'clue@2': model.ModelVersion('clue', '2', 'p'),
            'big@1': model.ModelVersion('big', '1', 'p'),
        },
        cascades={
            'c': model.Cascade('c', (model.CascadeStep('clue'),)),
            'd': model.Cascade('d', (model.CascadeStep('big'),)),
        },
    )


_ALLOWED = ('clue@1', 'clue@2', 'big@1')


@pytest.mark.parametrize(
    ('state', 'allowed', 'policy', 'requested', 'expected'),
    [
        ('ready', _ALLOWED, 'refuse', 'clue', 'clue@1'),
        ('ready', _ALLOWED, 'refuse', 'clue@1', 'clue@1'),
        ('ready', _ALLOWED, 'refuse', 'c', 'clue@1'),
        ('ready', _ALLOWED, 'refuse', 'clue@2', 'invalid_request'),
        ('ready', _ALLOWED, 'refuse', 'big', 'invalid_request'),
        ('ready', _ALLOWED, 'refuse', 'd', 'invalid_request'),
        (
            'withdrawn',
            _ALLOWED,
            'refuse',
            'clue',
            'session_version_withdrawn',
        ),
        ('withdrawn', _ALLOWED, 'move', 'clue', 'clue@2'),
        ('withdrawn', ('clue@1',), 'move', 'clue', 'version_not_allowed'),
        ('ready', ('clue@2',), 'refuse', 'clue', 'version_not_allowed'),
        ('ready', ('clue@2',), 'move', 'clue', 'clue@2'),
    ],
)
def test_resolve_version(
    state: str,
    allowed: tuple[str, ...],
    policy: str,
    requested: str,
    expected: str,
) -> None:
    """Guards against a session that changes its version unnoticed.

    It may move only if its version is unusable and the organisation allows it.
    """
    organisation = model.Organisation(
        'o', allowed=allowed, on_withdrawn_session=policy
    )
    try:
        resolved = sessions.resolve_version(
            _configuration(state), organisation, _SESSION, requested
        )
    except errors.RoutingError as error:
        assert error.code == expected
    else:
        assert resolved.version.name == expected
        assert resolved.moved == (expected != _SESSION.version)


def test_unpinned_session_has_no_version() -> None:
    """Guards against running a request before the registry pins a version."""
    unpinned = attrs.evolve(_SESSION, version='')
    with pytest.raises(errors.RoutingError):
        sessions.resolve_version(
            _configuration('ready'),
            model.Organisation('o', allowed=_ALLOWED),
            unpinned,
            'clue',
        )
