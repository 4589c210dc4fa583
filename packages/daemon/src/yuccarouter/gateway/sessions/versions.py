"""The version on which each session in progress runs."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator

# Beyond this number the oldest sessions are forgotten. With the longest names,
# the table then takes about 12 MB.
_MAX_SESSIONS: Final = 20_000
# Longer names, in characters, are not kept: callers choose them, and a header
# may have thousands. Such sessions are found by their keys only.
_MAX_NAME_LENGTH: Final = 256


def session_key(service: str, session: str) -> str:
    """Return the identifier of a session, short whatever its name."""
    # Callers may send bytes that are not UTF-8, decoded as surrogates.
    name = f'{service}/{session}'.encode(errors='surrogateescape')
    return xxhash.xxh3_64_hexdigest(name)


@attrs.frozen
class NewestRequest:
    """The newest request of a session.

    ``service`` and ``session`` are empty if only a peer has served the
    session, or if its name is too long to be kept. ``at_ms`` is when the
    request was sent or has ended.
    """

    version: str
    at_ms: float
    service: str = ''
    session: str = ''


@attrs.define
class SessionVersions:
    """The version of each session's newest request, by this daemon or a peer.

    A session ends ``session_timeout_ms`` after the end of its newest request.
    """

    session_timeout_ms: float
    _newest_requests: collections.OrderedDict[str, NewestRequest] = attrs.field(
        factory=collections.OrderedDict
    )

    def record(
        self, service: str, session: str, version: str, now_ms: float
    ) -> None:
        """Record a request's version, when it is sent and when it has ended."""
        if len(session) > _MAX_NAME_LENGTH:
            newest = NewestRequest(version, now_ms)
        else:
            newest = NewestRequest(version, now_ms, service, session)
        self._keep(session_key(service, session), newest)

    def merge(self, key: str, version: str, at_ms: float) -> None:
        """Record what a peer knows, unless a newer request is known."""
        known = self._newest_requests.get(key)
        if known is None:
            self._keep(key, NewestRequest(version, at_ms))
        elif at_ms > known.at_ms:
            self._keep(key, attrs.evolve(known, version=version, at_ms=at_ms))

    def version(self, service: str, session: str, now_ms: float) -> str | None:
        """Return the version of a session, ``None`` unless in progress."""
        newest = self.newest(session_key(service, session), now_ms)
        return None if newest is None else newest.version

    def newest(self, key: str, now_ms: float) -> NewestRequest | None:
        """Return a session's newest request, ``None`` unless in progress."""
        newest = self._newest_requests.get(key)
        if newest is None or now_ms - newest.at_ms > self.session_timeout_ms:
            return None
        return newest

    def in_progress(
        self, service: str, now_ms: float
    ) -> Iterator[tuple[str, NewestRequest]]:
        """Return the key and newest request of each named session."""
        for key, newest in list(self._newest_requests.items()):
            age_ms = now_ms - newest.at_ms
            if newest.session and newest.service == service:
                if age_ms <= self.session_timeout_ms:
                    yield key, newest

    def _keep(self, key: str, newest: NewestRequest) -> None:
        self._newest_requests[key] = newest
        self._newest_requests.move_to_end(key)
        if len(self._newest_requests) > _MAX_SESSIONS:
            self._newest_requests.popitem(last=False)
