"""Following a keyed topic of the store, through its outages."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING, Final

import attrs
import eliot

from yuccarouter.gateway import ports
from yuccarouter_common import clocks
from yuccarouter_common.platform import errors

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_MS_PER_S: Final = 1000
# Pause after a failed call, which doubles with each further one; several
# daemons spread theirs around it. Refused calls are priced like others.
_RETRY_MS: Final = 300.0
_MAX_RETRY_MS: Final = 1200.0
_MAX_DOUBLINGS: Final = 4
# Longest time without a call while another topic has to find out whether the
# store is back; that topic alone may have an answer that can't be read.
_LONGEST_WAIT_MS: Final = 5000.0
# Pause after records came, so that a series of them is read with few calls.
_BATCH_MS: Final = 200.0
# Pause between looks at what peers have read: their reading and this one must
# both fit into the drain bound.
_ELSEWHERE_MS: Final = 400.0
# The newest records are read again this long after they were read last while
# the store is away, since a long poll would not show that it has forgotten.
_LOST_CONTACT_MS: Final = 1000.0


@attrs.define
class Table:
    """The newest record of each key, by offset.

    A record that is older than the known one of its key changes nothing, so
    that pages and peers may repeat what is known.
    """

    entries: dict[str, ports.Entry] = attrs.field(factory=dict)
    next_offset: int = 0
    newest_offset: int = -1

    def apply(self, entry: ports.Entry) -> bool:
        """Keep a record unless a newer one of its key is known."""
        known = self.entries.get(entry.key)
        if known is not None and known.offset >= entry.offset:
            return False
        self.entries[entry.key] = entry
        self.newest_offset = max(self.newest_offset, entry.offset)
        return True

    def missing(self, present: frozenset[str]) -> list[ports.Entry]:
        """Return removals of the keys that a full reading no longer has."""
        # One offset lower, so that the same record counts as new when it is
        # read again: the reading that lacks it may have been a stale one.
        return [
            ports.Entry(key, b'', entry.offset - 1)
            for key, entry in self.entries.items()
            if entry.value and key not in present
        ]


@attrs.define
class Topic:
    """A topic that is followed, with what is known of it.

    ``interval_ms`` is the time between calls; with 0 each call waits for the
    next record. ``changed`` gets each record that is new, in order, and
    ``regained`` is called after contact to the store was lost. Where
    ``read_elsewhere`` returns that a peer reads the topic for this daemon, the
    store is not called. While the store does not answer for the topic ``first``
    either, it is not asked for this one.
    """

    name: str
    store: ports.Store
    changed: Callable[[ports.Entry], None]
    regained: Callable[[float], None]
    interval_ms: float = 0
    wait_ms: int = 8000
    read_elsewhere: Callable[[Topic], Awaitable[bool]] | None = None
    first: Topic | None = None
    table: Table = attrs.field(factory=Table)
    started_ms: float = attrs.field(factory=clocks.monotonic_ms)
    contact_ms: float = -math.inf
    is_loaded: bool = False
    is_failing: bool = False
    is_delegated: bool = False
    failures_in_row: int = 0
    failed_ms: float = -math.inf

    @property
    def is_read_from_store(self) -> bool:
        """Whether this daemon reads from the store, and the store answers."""
        return self.is_loaded and not self.is_failing and not self.is_delegated

    def age_ms(self) -> float:
        """Return the time since the store last answered for this topic."""
        if not self.is_failing and self.is_loaded and not self.interval_ms:
            # A long poll that is waiting is an answer yet to come.
            return min(clocks.monotonic_ms() - self.contact_ms, self.wait_ms)
        return clocks.monotonic_ms() - self.contact_ms

    async def follow(self) -> None:
        """Read the topic until the task is cancelled."""
        while True:
            if self._waits_for_first():
                await asyncio.sleep(_RETRY_MS / _MS_PER_S)
                continue
            try:
                pause_ms = await self._read_once()
            except ports.CompactedError:
                eliot.log_message('topic_compacted', topic=self.name)
                self.is_loaded = False
            except errors.PlatformError as fault:
                self._failed(fault)
                await asyncio.sleep(self._retry_ms() / _MS_PER_S)
            else:
                await asyncio.sleep(pause_ms / _MS_PER_S)

    def merge(
        self,
        entries: list[ports.Entry],
        present: frozenset[str] | None = None,
        newest_offset: int = -1,
    ) -> None:
        """Apply records that a peer knows; older ones change nothing.

        ``present`` are all keys that the peer knows to be there, and
        ``newest_offset`` is how far it has read: a key that it lacks was
        removed, unless its record is newer than that.
        """
        removals = [] if present is None else self.table.missing(present)
        for removed in removals:
            if removed.offset < newest_offset:
                self.table.entries[removed.key] = removed
                self.changed(removed)
        for entry in entries:
            self._apply(entry)

    async def _read_once(self) -> float:
        """Read what is new and return the pause before the next reading."""
        if not self.is_loaded:
            await self._load()
            return self.interval_ms
        elsewhere = self.read_elsewhere
        self.is_delegated = elsewhere is not None and await elsewhere(self)
        if self.is_delegated:
            return _ELSEWHERE_MS
        wait_ms = 0 if self.interval_ms else self.wait_ms
        page = await self.store.read(self.name, self.table.next_offset, wait_ms)
        self._reached()
        for entry in page.entries:
            self._apply(entry)
        self.table.next_offset = max(self.table.next_offset, page.next_offset)
        return max(self.interval_ms, _BATCH_MS if page.entries else 0)

    async def _load(self) -> None:
        page = await self.store.newest(self.name)
        self._reached()
        present = frozenset(entry.key for entry in page.entries)
        for removed in self.table.missing(present):
            self.table.entries[removed.key] = removed
            self.changed(removed)
        for entry in sorted(page.entries, key=lambda item: item.offset):
            self._apply(entry)
        self.table.next_offset = page.next_offset
        self.is_loaded = True

    def _apply(self, entry: ports.Entry) -> None:
        if self.table.apply(entry):
            self.changed(entry)

    def _waits_for_first(self) -> bool:
        if self.first is None or not self.first.is_failing:
            return False
        waited_ms = clocks.monotonic_ms() - self.failed_ms
        return self.is_failing and waited_ms < _LONGEST_WAIT_MS

    def _retry_ms(self) -> float:
        doublings = min(self.failures_in_row - 1, _MAX_DOUBLINGS)
        pause_ms = min(_MAX_RETRY_MS, math.ldexp(_RETRY_MS, doublings))
        return pause_ms * (0.5 + random.random())

    def _reached(self) -> None:
        self.failures_in_row = 0
        now_ms = clocks.monotonic_ms()
        if self.is_failing:
            self.is_failing = False
            away_ms = min(now_ms - self.contact_ms, now_ms - self.started_ms)
            eliot.log_message(
                'store_regained', topic=self.name, away_ms=round(away_ms)
            )
            self.regained(away_ms)
        self.contact_ms = now_ms

    def _failed(self, fault: errors.PlatformError) -> None:
        self.failures_in_row += 1
        self.failed_ms = clocks.monotonic_ms()
        if not self.is_failing:
            self.is_failing = True
            eliot.log_message(
                'store_lost',
                topic=self.name,
                code=fault.code,
                reason=fault.message,
            )
        if clocks.monotonic_ms() - self.contact_ms > _LOST_CONTACT_MS:
            self.is_loaded = False
