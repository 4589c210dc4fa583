"""How long peers have had records that a replica lacks."""

from __future__ import annotations

import asyncio

import attrs

from yuccarouter_common import clocks


@attrs.define
class RecordLag:
    """The oldest record that peers have told of and a replica lacks.

    ``offset`` is that of the newest record that the first such peer had, -1
    for none, and ``since_ms`` when it told so. ``news`` is set when a peer
    tells of a record that lacks.
    """

    offset: int = -1
    since_ms: float = 0
    news: asyncio.Event = attrs.field(factory=asyncio.Event)

    def note(self, peer_offset: int, own_offset: int) -> None:
        """Note the newest offset of a peer."""
        if peer_offset <= own_offset:
            return
        if self.offset <= own_offset:
            self.offset = peer_offset
            self.since_ms = clocks.monotonic_ms()
        self.news.set()

    def age_ms(self, own_offset: int) -> float:
        """Return for how long records have been lacking, 0 if none is."""
        if self.offset <= own_offset:
            return 0
        return clocks.monotonic_ms() - self.since_ms
