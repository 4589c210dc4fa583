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
# Times that differ less are ordered by the names of the versions instead: the
# delay of datagrams, up to 30 ms, makes daemons see them in different order.
_SIMULTANEOUS_MS: Final = 30.0


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
    request was sent or has ended, and ``since_ms`` when the first request of
    the session on this version was sent. ``reporter`` is the address of the
    daemon that has reported the session last.
    """

    version: str
    at_ms: float
    since_ms: float
    service: str = ''
    session: str = ''
    reporter: tuple[str, int] | None = None


def _is_earlier(request: NewestRequest, other: NewestRequest) -> bool:
    """Return whether a session was on the version of ``request`` first."""
    lead_ms = other.since_ms - request.since_ms
    if abs(lead_ms) <= _SIMULTANEOUS_MS:
        return request.version < other.version
    return lead_ms > 0


@attrs.define
class SessionVersions:
    """The version of each session's newest request, by this daemon or a peer.

    A session ends ``session_timeout_ms`` after the end of its newest request.
    While this daemon runs a request of it, it is in progress.
    """

    session_timeout_ms: float
    _running: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _newest_requests: collections.OrderedDict[str, NewestRequest] = attrs.field(
        factory=collections.OrderedDict
    )

    def record(
        self, service: str, session: str, version: str, now_ms: float
    ) -> None:
        """Record the version of a request that is sent."""
        key = session_key(service, session)
        known = self.newest(key, now_ms)
        is_same = known is not None and known.version == version
        if len(session) > _MAX_NAME_LENGTH:
            service, session = '', ''
        self._keep(
            key,
            NewestRequest(
                version,
                now_ms,
                known.since_ms if known and is_same else now_ms,
                service,
                session,
                known.reporter if known else None,
            ),
        )

    def record_start(
        self, service: str, session: str, version: str, now_ms: float
    ) -> None:
        """Record a request that runs until ``record_end``."""
        self.record(service, session, version, now_ms)
        self._running[session_key(service, session)] += 1

    def record_end(
        self, service: str, session: str, version: str, now_ms: float
    ) -> None:
        """Record that a request, after ``record_start``, runs no more."""
        self.record_answer(service, session, version, now_ms)
        key = session_key(service, session)
        self._running[key] -= 1
        if self._running[key] <= 0:
            self._running.pop(key)

    def record_answer(
        self, service: str, session: str, version: str, now_ms: float
    ) -> None:
        """Record that a request has its answer, from ``version``.

        The version of a session in progress stays: its owners may have
        corrected it while the request ran.
        """
        key = session_key(service, session)
        known = self.newest(key, now_ms)
        if known is None:
            self.record(service, session, version, now_ms)
        else:
            self._keep(key, attrs.evolve(known, at_ms=now_ms))

    def merge(self, key: str, reported: NewestRequest, now_ms: float) -> None:
        """Record what a peer knows.

        Of two versions of a session the earlier one is kept, so that daemons
        that know different ones agree.
        """
        known = self.newest(key, now_ms)
        if known is None:
            self._keep(key, reported)
            return
        at_ms = max(known.at_ms, reported.at_ms)
        since_ms = min(known.since_ms, reported.since_ms)
        if reported.version != known.version:
            if not _is_earlier(reported, known):
                return
            since_ms = reported.since_ms
        self._keep(
            key,
            attrs.evolve(
                known,
                version=reported.version,
                at_ms=at_ms,
                since_ms=since_ms,
                reporter=reported.reporter or known.reporter,
            ),
        )

    def version(self, service: str, session: str, now_ms: float) -> str | None:
        """Return the version of a session, ``None`` unless in progress."""
        return self.version_of(session_key(service, session), now_ms)

    def version_of(self, key: str, now_ms: float) -> str | None:
        """Return the version of a session, ``None`` unless in progress."""
        newest = self.newest(key, now_ms)
        return None if newest is None else newest.version

    def newest(self, key: str, now_ms: float) -> NewestRequest | None:
        """Return a session's newest request, ``None`` unless in progress."""
        newest = self._newest_requests.get(key)
        if newest is None:
            return None
        if key in self._running:
            return attrs.evolve(newest, at_ms=now_ms)
        is_over = now_ms - newest.at_ms > self.session_timeout_ms
        return None if is_over else newest

    def in_progress(
        self, service: str, now_ms: float
    ) -> Iterator[tuple[str, NewestRequest]]:
        """Return the key and newest request of each named session."""
        for key, known in list(self._newest_requests.items()):
            if known.session and known.service == service:
                newest = self.newest(key, now_ms)
                if newest is not None:
                    yield key, newest

    def _keep(self, key: str, newest: NewestRequest) -> None:
        self._newest_requests[key] = newest
        self._newest_requests.move_to_end(key)
        if len(self._newest_requests) > _MAX_SESSIONS:
            self._newest_requests.popitem(last=False)
