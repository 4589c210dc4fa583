"""Following the configuration stream of the platform's log."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Final

import attrs
import eliot
import mode

from yuccarouter.configuration import store as stores
from yuccarouter_common import errors, history
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import log

# Long enough that idle processes cost the log little, short enough that a
# process notices a rewound log within the 13 s in which a change must spread.
_WAIT_MS: Final = 5000
_LIMIT_RECORDS: Final = 500
# At most five reads a second from one process, however fast records come.
_MIN_INTERVAL_MS: Final = 200
# A failing log is asked at most every two seconds, so that a change is seen
# well within 13 s of the log's return.
_MAX_BACKOFF_MS: Final = 2000
# The record at the applied offset is read again after this many idle polls,
# which finds a log that was rewound and has grown to the same length.
_POLLS_BETWEEN_CHECKS: Final = 6
_MS: Final = 1000


@attrs.define
class Counters:
    """What the follower has seen since its start."""

    polls: int = 0
    failed_polls: int = 0
    applied: int = 0
    rewinds: int = 0
    gaps: int = 0


class Follower(mode.Service):
    """Applies the records of the stream to a store, in order."""

    def __init__(
        self,
        client: history.LogClient,
        store: stores.Store,
        wait_ms: int = _WAIT_MS,
        min_interval_ms: int = _MIN_INTERVAL_MS,
    ) -> None:
        super().__init__()
        self.counters = Counters()
        # Set when the log is the reason that there is no configuration.
        self.fault = ''
        self._client = client
        self._store = store
        self._wait_ms = wait_ms
        self._min_interval_ms = min_interval_ms
        self._loaded = False
        self._scan_offset = 0
        self._idle_polls = 0

    async def on_started(self) -> None:
        """Start to follow."""
        self.add_future(self._follow())

    async def poll(self) -> None:
        """Read the stream once and apply what is new.

        Raises a ``RouterError`` when the log can't be read or replayed.
        """
        self.counters.polls += 1
        if self._store.rewound:
            await self._look_for_repair()
        elif self._loaded:
            await self._tail()
        else:
            await self._load()

    async def _follow(self) -> None:
        backoff_ms = float(self._min_interval_ms)
        while not self.should_stop:
            started = time.monotonic()
            try:
                await self.poll()
            except errors.RouterError as fault:
                self._failed(fault)
                await asyncio.sleep(random.uniform(0.5, 1) * backoff_ms / _MS)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
            else:
                self.fault = ''
                backoff_ms = float(self._min_interval_ms)
                spent = time.monotonic() - started
                pause = self._min_interval_ms / _MS - spent
                await asyncio.sleep(max(0, pause))

    def _failed(self, fault: errors.RouterError) -> None:
        self.counters.failed_polls += 1
        if fault.message != self.fault:
            eliot.log_message('configuration_unread', reason=fault.message)
        self.fault = fault.message

    async def _load(self) -> None:
        base = await history.load(self._client)
        self._store.install(base.configuration, base.digest)
        self._loaded = True
        # A store that a peer has filled is ahead of or equal to the base.
        if not self._store.ready or await self._is_same_history():
            self._apply(base.entries)
            self._confirm(base.end_offset)

    async def _tail(self) -> None:
        offset = self._store.position.offset
        batch = await self._client.read(
            history.STREAM,
            offset + 1,
            limit=_LIMIT_RECORDS,
            wait_ms=self._wait_ms,
        )
        if batch.first_offset > self._store.position.offset + 1:
            self._gap(batch.first_offset)
            return
        self._idle_polls += 1
        due = self._idle_polls >= _POLLS_BETWEEN_CHECKS
        shrunk = batch.end_offset <= offset
        if batch.records or due or shrunk:
            self._idle_polls = 0
            # The check comes after the read: a record that is still in place
            # then was in place when the records after it were read.
            if not await self._is_same_history():
                return
        if not shrunk:
            self._apply(batch.records)
            self._confirm(batch.end_offset)

    async def _is_same_history(self) -> bool:
        """Check that the log still has the record that was applied last."""
        position = self._store.position
        if position.offset < 0:
            return True
        known = self._store.digest_at(position.offset)
        batch = await self._client.read(
            history.STREAM, position.offset, limit=1
        )
        if position != self._store.position:
            # A peer has moved the store on meanwhile; the next poll checks.
            return False
        if batch.end_offset <= position.offset:
            self._rewound(f'log ends at {batch.end_offset}')
            return False
        entry = batch.records[0] if batch.records else None
        if entry is None or entry.offset != position.offset or not known:
            return True
        if history.digest(entry.payload) == known:
            return True
        self._rewound('record differs')
        return False

    async def _look_for_repair(self) -> None:
        """Read on for a snapshot of a later generation."""
        batch = await self._client.read(
            history.STREAM,
            self._scan_offset,
            limit=_LIMIT_RECORDS,
            wait_ms=self._wait_ms,
        )
        if batch.end_offset < self._scan_offset:
            self._scan_offset = 0
            return
        generation = self._store.position.generation
        for entry in batch.records:
            self._scan_offset = entry.offset + 1
            held = history.decode_snapshot(entry)
            if held is None or held.position.generation <= generation:
                continue
            self._store.apply(entry.offset, entry.payload)
            eliot.log_message(
                'configuration_repaired',
                generation=held.position.generation,
                offset=entry.offset,
            )
            return
        if self._scan_offset >= batch.end_offset:
            # The log is reachable and holds no repair: callers see nothing
            # of the rewound log, so the stale policy must not apply.
            self._store.freshness.confirm()
            await self._check_restored()

    async def _check_restored(self) -> None:
        """Go on if the log has the applied record again.

        A replica of the log that lagged for a moment looks like a restore.
        """
        position = self._store.position
        known = self._store.digest_at(position.offset)
        batch = await self._client.read(
            history.STREAM, position.offset, limit=1
        )
        if (
            known
            and position == self._store.position
            and any(
                entry.offset == position.offset
                and history.digest(entry.payload) == known
                for entry in batch.records
            )
        ):
            self._store.rewound = False
            eliot.log_message('configuration_log_restored')

    def _apply(self, entries: list[log.Entry]) -> None:
        for entry in entries:
            if self._store.apply(entry.offset, entry.payload):
                self.counters.applied += 1

    def _confirm(self, end_offset: int) -> None:
        if self._store.position.offset + 1 >= end_offset:
            self._store.freshness.confirm()

    def _rewound(self, reason: str) -> None:
        self._store.rewound = True
        self._scan_offset = 0
        self.counters.rewinds += 1
        eliot.log_message(
            'configuration_log_rewound',
            offset=self._store.position.offset,
            generation=self._store.position.generation,
            reason=reason,
        )

    def _gap(self, first_offset: int) -> None:
        """Start again from a snapshot: the next records were dropped."""
        self.counters.gaps += 1
        self._loaded = False
        eliot.log_message(
            'configuration_gap',
            offset=self._store.position.offset,
            first_offset=first_offset,
        )
        if not self._store.ready:
            raise platform_errors.UnavailableError('log starts after a gap')
