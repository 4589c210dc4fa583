"""Digests that identify a request when it comes again under another id."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from yuccarouter.gateway import model

# Not a character of the ids of prompt parts.
_PREFIX: Final = '/'
# With the prefix as long as the id of a prompt part may be in messages.
_HEX_DIGITS: Final = 15
_DIGEST_BYTES: Final = 8
_SEPARATOR: Final = b'\0'


def request_digest(call: model.Call, organisation: str, body: bytes) -> str:
    """Return a digest of a request's method, path, caller and body.

    Callers choose most of these, so that the hash function is one for which
    nobody can find the request of another organisation with the same digest:

        request_digest(call, 'desk', b'{}')    # '/3b1f0a5c2d9e784'
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for text in (organisation, call.method, call.host, call.target):
        digest.update(text.encode('utf-8', 'surrogateescape'))
        digest.update(_SEPARATOR)
    digest.update(body)
    return _PREFIX + digest.hexdigest()[:_HEX_DIGITS]


def is_request_digest(suspect: str) -> bool:
    """Return whether a suspect is a whole request, not a part of a prompt."""
    return suspect.startswith(_PREFIX)
