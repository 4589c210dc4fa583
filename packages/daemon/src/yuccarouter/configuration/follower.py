"""Follows the configuration stream of the platform's log."""

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

# Long enough that idle processes cause little load on the log. Short enough
# that a process notices a rewound log within the 13 s in which a change must
# reach all processes.
_POLL_WAIT_MS: Final = 5000
_READ_LIMIT_RECORDS: Final = 500
# Limits a process to five polls a second, also while records arrive faster.
_MIN_INTERVAL_MS: Final = 200
# While the log fails, polls are at most 2 s apart, so that a change is seen
# well within 13 s after the log recovers.
_MAX_BACKOFF_MS: Final = 2000
# The record applied last is read again after this many polls without records.
# This detects a log that was rewound and has grown to the same length again.
_POLLS_BETWEEN_CHECKS: Final = 6
_MS_PER_S: Final = 1000


@attrs.define
class Counters:
    """Events of the follower since its start."""

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
        wait_ms: int = _POLL_WAIT_MS,
        min_interval_ms: int = _MIN_INTERVAL_MS,
    ) -> None:
        super().__init__()
        self.counters = Counters()
        # Message of the last poll's failure, empty after a successful poll.
        self.fault = ''
        self._client = client
        self._store = store
        self._wait_ms = wait_ms
        self._min_interval_ms = min_interval_ms
        self._loaded = False
        self._scan_offset = 0
        self._polls_since_check = 0

    async def on_started(self) -> None:
        """Start the task that polls the stream."""
        self.add_future(self._follow())

    async def poll(self) -> None:
        """Read the stream once and apply its new records.

        Raises ``RouterError`` when the log can't be read or replayed.
        """
        self.counters.polls += 1
        if self._store.rewound:
            await self._scan_for_repair()
        elif self._loaded:
            await self._tail()
        else:
            await self._load()

    async def _follow(self) -> None:
        backoff_ms = float(self._min_interval_ms)
        while not self.should_stop:
            started_s = time.monotonic()
            try:
                await self.poll()
            except errors.RouterError as fault:
                self._record_failure(fault)
                await asyncio.sleep(
                    random.uniform(0.5, 1) * backoff_ms / _MS_PER_S
                )
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
            else:
                self.fault = ''
                backoff_ms = float(self._min_interval_ms)
                spent_s = time.monotonic() - started_s
                pause_s = self._min_interval_ms / _MS_PER_S - spent_s
                await asyncio.sleep(max(0, pause_s))

    def _record_failure(self, fault: errors.RouterError) -> None:
        self.counters.failed_polls += 1
        if fault.message != self.fault:
            eliot.log_message('configuration_unread', reason=fault.message)
        self.fault = fault.message

    async def _load(self) -> None:
        base = await history.load(self._client)
        self._store.install(base.configuration, base.digest)
        self._loaded = True
        # Peers may have brought the store further than the base. Its history is
        # then compared with the log's before records are applied.
        if not self._store.ready or await self._is_same_history():
            self._apply(base.entries)
            self._confirm_freshness(base.end_offset)

    async def _tail(self) -> None:
        offset = self._store.position.offset
        batch = await self._client.read(
            history.STREAM,
            offset + 1,
            limit=_READ_LIMIT_RECORDS,
            wait_ms=self._wait_ms,
        )
        if batch.first_offset > self._store.position.offset + 1:
            self._reset_after_gap(batch.first_offset)
            return
        self._polls_since_check += 1
        is_due = self._polls_since_check >= _POLLS_BETWEEN_CHECKS
        is_shrunk = batch.end_offset <= offset
        if batch.records or is_due or is_shrunk:
            self._polls_since_check = 0
            # Checked after the read: if the last record is still in place now,
            # it was in place when the records after it were read.
            if not await self._is_same_history():
                return
        if not is_shrunk:
            self._apply(batch.records)
            self._confirm_freshness(batch.end_offset)

    async def _is_same_history(self) -> bool:
        """Check that the log still has the record that was applied last."""
        position = self._store.position
        if position.offset < 0:
            return True
        known_digest = self._store.digest_at(position.offset)
        batch = await self._client.read(
            history.STREAM, position.offset, limit=1
        )
        if position != self._store.position:
            # The exchange with peers has changed the position meanwhile. The
            # next poll checks again.
            return False
        if batch.end_offset <= position.offset:
            self._mark_rewound(f'log ends at {batch.end_offset}')
            return False
        entry = batch.records[0] if batch.records else None
        if entry is None or entry.offset != position.offset or not known_digest:
            return True
        if history.digest(entry.payload) == known_digest:
            return True
        self._mark_rewound('record at the applied offset differs')
        return False

    async def _scan_for_repair(self) -> None:
        """Scan the rewound log for a snapshot of a later generation."""
        batch = await self._client.read(
            history.STREAM,
            self._scan_offset,
            limit=_READ_LIMIT_RECORDS,
            wait_ms=self._wait_ms,
        )
        if batch.end_offset < self._scan_offset:
            self._scan_offset = 0
            return
        generation = self._store.position.generation
        for entry in batch.records:
            self._scan_offset = entry.offset + 1
            snapshot = history.decode_snapshot(entry)
            if snapshot is None or snapshot.position.generation <= generation:
                continue
            self._store.apply(entry.offset, entry.payload)
            eliot.log_message(
                'configuration_repaired',
                generation=snapshot.position.generation,
                offset=entry.offset,
            )
            return
        if self._scan_offset >= batch.end_offset:
            # The log is reachable and has no repair. Its changes have no effect
            # for callers, so the stale policy must not apply.
            self._store.freshness.confirm()
            await self._check_restored()

    async def _check_restored(self) -> None:
        """Leave the rewound state if the log has the applied record again.

        A lagging replica of the log looks like a restore for a while.
        """
        position = self._store.position
        known_digest = self._store.digest_at(position.offset)
        batch = await self._client.read(
            history.STREAM, position.offset, limit=1
        )
        if (
            known_digest
            and position == self._store.position
            and any(
                entry.offset == position.offset
                and history.digest(entry.payload) == known_digest
                for entry in batch.records
            )
        ):
            self._store.rewound = False
            eliot.log_message('configuration_log_restored')

    def _apply(self, entries: list[log.Entry]) -> None:
        for entry in entries:
            if self._store.apply(entry.offset, entry.payload):
                self.counters.applied += 1

    def _confirm_freshness(self, end_offset: int) -> None:
        if self._store.position.offset + 1 >= end_offset:
            self._store.freshness.confirm()

    def _mark_rewound(self, reason: str) -> None:
        self._store.rewound = True
        self._scan_offset = 0
        self.counters.rewinds += 1
        eliot.log_message(
            'configuration_log_rewound',
            offset=self._store.position.offset,
            generation=self._store.position.generation,
            reason=reason,
        )

    def _reset_after_gap(self, first_offset: int) -> None:
        """Make the next poll load a snapshot: the next records were dropped.

        Raises ``UnavailableError`` while there is no configuration.
        """
        self.counters.gaps += 1
        self._loaded = False
        eliot.log_message(
            'configuration_gap',
            offset=self._store.position.offset,
            first_offset=first_offset,
        )
        if not self._store.ready:
            raise platform_errors.UnavailableError(
                'the first records of the configuration stream were dropped'
            )
