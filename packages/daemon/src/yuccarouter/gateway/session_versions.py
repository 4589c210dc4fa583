"""Which version the requests of a session ran on a moment ago."""

from __future__ import annotations

import collections
from typing import Final

import attrs

# Sessions that are remembered; beyond them the oldest ones are forgotten.
_KEPT_SESSIONS: Final = 20_000


@attrs.define
class SessionVersions:
    """The version of each session's newest request, for a time.

    A session lasts for ``session_ms`` after the end of its newest request.
    """

    session_ms: float
    _newest: collections.OrderedDict[tuple[str, str], tuple[str, float]] = (
        attrs.field(factory=collections.OrderedDict)
    )

    def record(
        self, service: str, session: str, version: str, now_ms: float
    ) -> None:
        """Remember a request when it is sent and when it has ended."""
        self._newest[service, session] = (version, now_ms)
        self._newest.move_to_end((service, session))
        if len(self._newest) > _KEPT_SESSIONS:
            self._newest.popitem(last=False)

    def version(self, service: str, session: str, now_ms: float) -> str | None:
        """Return the version of a session that has not ended."""
        known = self._newest.get((service, session))
        if known is None or now_ms - known[1] > self.session_ms:
            return None
        return known[0]
