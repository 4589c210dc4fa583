"""How long peers have had records that a replica lacks."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from yuccarouter_common import clocks


@attrs.frozen
class _Lack:
    """A record that peers have, and when the first of them has told so."""

    offset: int
    since_ms: float


_NOTHING: Final = _Lack(-1, 0)


@attrs.define
class RecordLag:
    """The oldest record that peers have told of and a replica lacks.

    ``news`` is set when a peer tells of a record that lacks. Another thread may
    ask for the age.
    """

    _lack: _Lack = _NOTHING
    news: asyncio.Event = attrs.field(factory=asyncio.Event)

    def note(self, peer_offset: int, own_offset: int) -> None:
        """Note the newest offset of a peer."""
        if peer_offset <= own_offset:
            return
        if self._lack.offset <= own_offset:
            self._lack = _Lack(peer_offset, clocks.monotonic_ms())
        self.news.set()

    def age_ms(self, own_offset: int) -> float:
        """Return for how long records have been lacking, 0 if none is."""
        lack = self._lack
        if lack.offset <= own_offset:
            return 0
        return clocks.monotonic_ms() - lack.since_ms
