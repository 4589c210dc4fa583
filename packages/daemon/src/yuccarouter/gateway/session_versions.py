"""The version on which each session in progress runs."""

from __future__ import annotations

import collections
from typing import Final

import attrs

# Beyond this number the oldest sessions are forgotten.
_MAX_SESSIONS: Final = 20_000


@attrs.define
class SessionVersions:
    """The version of each session's newest request.

    A session ends ``session_timeout_ms`` after the end of its newest request.
    """

    session_timeout_ms: float
    _newest_requests: collections.OrderedDict[
        tuple[str, str], tuple[str, float]
    ] = attrs.field(factory=collections.OrderedDict)

    def record(
        self, service: str, session: str, version: str, now_ms: float
    ) -> None:
        """Record a request's version, when it is sent and when it has ended."""
        self._newest_requests[service, session] = (version, now_ms)
        self._newest_requests.move_to_end((service, session))
        if len(self._newest_requests) > _MAX_SESSIONS:
            self._newest_requests.popitem(last=False)

    def version(self, service: str, session: str, now_ms: float) -> str | None:
        """Return the version of a session, ``None`` unless in progress."""
        newest = self._newest_requests.get((service, session))
        if newest is None or now_ms - newest[1] > self.session_timeout_ms:
            return None
        return newest[0]
