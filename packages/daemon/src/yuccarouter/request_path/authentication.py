"""Authentication of callers by their organisation's key."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

from yuccarouter_common import model, refusals

if TYPE_CHECKING:
    from collections.abc import Callable

_SCHEME: Final = 'bearer '


def digest(key: str) -> str:
    """Return the hex digest that identifies a key in the configuration."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticator(
    current: Callable[[], model.Configuration],
) -> Callable[[str], model.Organisation]:
    """Return a function from an ``Authorization`` header to its organisation.

    The function raises ``RefusalError`` with the code ``unauthenticated``. Its
    index of key digests is rebuilt when the configuration has changed.
    """
    position = model.Position()
    index: dict[str, model.Organisation] = {}

    def authenticate(header: str) -> model.Organisation:
        nonlocal position, index  # noqa: WPS420
        configuration = current()
        if configuration.position != position:
            position = configuration.position
            index = {
                key: organisation
                for organisation in configuration.organisations.values()
                for key in organisation.key_digests
            }
        if not header.lower().startswith(_SCHEME):
            raise refusals.RefusalError(
                'unauthenticated', 'a bearer token is required'
            )
        key_owner = index.get(digest(header[len(_SCHEME) :].strip()))
        if key_owner is None:
            raise refusals.RefusalError(
                'unauthenticated', 'the bearer token is unknown'
            )
        return key_owner

    return authenticate
