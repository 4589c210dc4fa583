"""Session tokens and the version to which a session is pinned."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence
from typing import Final

import attrs
import orjson

from yuccarouter.routing import errors, version_selection
from yuccarouter_common import model

_PREFIX: Final = 'yrs1.'
_MAX_HEADER_CHARACTERS: Final = 512


@attrs.frozen
class Session:
    """A session and the version to which it is pinned.

    ``version`` is a ``model@version`` name. It is empty for a caller-chosen id
    until the registry has pinned the session to a version.
    """

    organisation: str
    session_id: str
    version: str = ''

    @property
    def needs_pin(self) -> bool:
        """Whether the registry must look up or pin the session's version."""
        return not self.version


@attrs.frozen
class SessionVersion:
    """The version that a session's request runs on.

    ``moved`` is true if it differs from the session's pinned version.
    """

    version: model.ModelVersion
    moved: bool = False


def issue(key: bytes, session: Session) -> str:
    """Return the signed token of a session that has a version."""
    payload = orjson.dumps(
        [session.organisation, session.version, session.session_id]
    )
    return f'{_PREFIX}{_encode(payload)}.{_encode(_sign(key, payload))}'


def read(keys: Sequence[bytes], organisation: str, header: str) -> Session:
    """Return the session of an ``X-Session-Id`` value.

    A token contains its version; any other text is a caller-chosen id.
    ``keys`` holds the current signing key and earlier ones, so that sessions
    survive a key rotation. Raises ``RoutingError`` with the code
    ``invalid_request`` for a token that is forged, damaged or of another
    organisation: as a caller-chosen id, it could get another version.
    """
    if not header or len(header) > _MAX_HEADER_CHARACTERS:
        raise _invalid(
            f'is empty or longer than {_MAX_HEADER_CHARACTERS} characters'
        )
    if not header.startswith(_PREFIX):
        return Session(organisation, header)
    try:
        payload, signature = map(
            _decode, header.removeprefix(_PREFIX).split('.')
        )
    except (binascii.Error, ValueError) as fault:
        raise _invalid('is not a valid token') from fault
    # Every key is compared, so that timing doesn't reveal which one matched.
    matches = [
        hmac.compare_digest(_sign(key, payload), signature) for key in keys
    ]
    if not any(matches):
        raise _invalid('has no valid signature')
    owner, version, session_id = orjson.loads(payload)
    if owner != organisation:
        raise _invalid('belongs to another organisation')
    return Session(owner, session_id, version)


def resolve_version(
    configuration: model.Configuration,
    organisation: model.Organisation,
    session: Session,
    requested: str,
) -> SessionVersion:
    """Return the version for a request of a pinned session.

    Raises ``RoutingError``: ``invalid_request`` when the request names another
    model or version than the session's, ``session_version_withdrawn`` or
    ``version_not_allowed`` when the version can't be used any more and the
    organisation refuses such sessions.
    """
    name = session.version
    if not _matches(configuration, requested, name):
        raise errors.RoutingError(
            f'the session has the version {name!r}, not {requested!r}',
            code='invalid_request',
        )
    if version_selection.is_usable(configuration, organisation, name):
        return SessionVersion(configuration.versions[name])
    if organisation.on_withdrawn_session == model.REFUSE:
        raise _unusable(configuration, name)
    model_name = name.partition('@')[0]
    version = version_selection.choose_version(
        configuration, organisation, model_name, session.session_id
    )
    return SessionVersion(version, moved=True)


def _matches(
    configuration: model.Configuration, requested: str, name: str
) -> bool:
    model_name = name.partition('@')[0]
    cascade = configuration.cascades.get(requested)
    if cascade is not None:
        targets = {step.target for step in cascade.steps}
        return bool(targets & {name, model_name})
    return requested in {name, model_name}


def _unusable(
    configuration: model.Configuration, name: str
) -> errors.RoutingError:
    if version_selection.is_withdrawn(configuration, name):
        return errors.RoutingError(
            f'the version {name!r} of the session is withdrawn',
            code='session_version_withdrawn',
        )
    return errors.RoutingError(
        f'the version {name!r} of the session is not allowed any more',
        code='version_not_allowed',
    )


def _invalid(reason: str) -> errors.RoutingError:
    return errors.RoutingError(f'X-Session-Id {reason}', code='invalid_request')


def _sign(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, hashlib.sha256)


def _encode(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip('=')


def _decode(text: str) -> bytes:
    padded = text + '=' * (-len(text) % 4)
    return base64.b64decode(padded, altchars=b'-_', validate=True)
