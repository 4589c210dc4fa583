"""One registry partition, kept up to date from its stream."""

from __future__ import annotations

import asyncio
import math
import time
from typing import Final

import eliot
import mode

from yuccarouter.registry import items, loading, partition, writer
from yuccarouter_common import history
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import log

_POLL_WAIT_MS: Final = 5000
_MIN_BACKOFF_MS: Final = 100
_MAX_BACKOFF_MS: Final = 2000
# A key without an outcome is answered from memory only if the end of the stream
# was reached within the last two long polls.
_MAX_END_AGE_MS: Final = 2 * _POLL_WAIT_MS
# Finds a stream that was rewound and has grown to the same length again.
_POLLS_BETWEEN_CHECKS: Final = 6
_MS_PER_S: Final = 1000


class ServedPartition(mode.Service):
    """Reads a partition's stream continuously and writes to it.

    ``loaded`` is set while ``claims`` reflects the records of the stream.
    """

    def __init__(
        self,
        client: history.LogClient,
        stream: str,
        retain_ms: int,
        min_interval_ms: float = writer.MIN_INTERVAL_MS,
        wait_ms: int = _POLL_WAIT_MS,
    ) -> None:
        super().__init__()
        self.claims = partition.Partition(retain_ms)
        self.writer = writer.Writer(client, stream, min_interval_ms)
        self.loaded = asyncio.Event()
        self.last_used_at = time.monotonic()
        self._client = client
        self._stream = stream
        self._retain_ms = retain_ms
        self._wait_ms = wait_ms
        self._last_append_id = ''
        self._check_due = False
        self._polls_since_check = 0
        self._gap_write: writer.PendingItem | None = None
        self._last_read_at = -math.inf
        self._end_seen_at = -math.inf

    async def on_started(self) -> None:
        """Start the reading and the writing task."""
        self.add_future(self._tail())
        self.add_future(self.writer.run())

    @property
    def is_fresh(self) -> bool:
        """Whether the end of the stream was reached recently."""
        age_ms = (time.monotonic() - self._end_seen_at) * _MS_PER_S
        return self.loaded.is_set() and age_ms <= _MAX_END_AGE_MS

    def log_time_ms(self) -> int:
        """Return a lower bound of the log's current time, 0 if not known."""
        if not self.claims.last_time_ms:
            return 0
        elapsed_ms = (time.monotonic() - self._last_read_at) * _MS_PER_S
        return self.claims.last_time_ms + int(elapsed_ms)

    def is_complete_for(self, key_time_ms: int, window_ms: int) -> bool:
        """Whether no claim of a key within the window can be missing."""
        if self._gap_write is not None and not self._gap_write.read_back.done():
            return False
        return self.claims.is_complete_for(
            key_time_ms, self.log_time_ms() - window_ms
        )

    async def outcome_body(self, key: str, holder: partition.Holder) -> bytes:
        """Return the body of an outcome, read again if evicted from memory.

        Raises ``PlatformError`` when it can't be read.
        """
        if holder.body is not None:
            return holder.body
        batch = await self._client.read(
            self._stream,
            holder.outcome_offset,
            limit=1,
        )
        for entry in batch.records:
            if entry.offset == holder.outcome_offset:
                outcome = partition.read_outcome(entry, key)
                if outcome is not None:
                    return outcome.body
        raise platform_errors.UnavailableError(
            'stream no longer holds the outcome'
        )

    async def _tail(self) -> None:
        backoff_ms = float(_MIN_BACKOFF_MS)
        while not self.should_stop:
            try:
                await self._poll()
            except platform_errors.PlatformError:
                self._check_due = True
                await asyncio.sleep(backoff_ms / _MS_PER_S)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
            else:
                backoff_ms = float(_MIN_BACKOFF_MS)

    async def _poll(self) -> None:
        if not self.loaded.is_set():
            await self._load()
        batch = await self._client.read(
            self._stream,
            self.claims.next_offset,
            wait_ms=self._wait_ms,
        )
        if batch.first_offset > self.claims.next_offset:
            self._reload('records were dropped before they were read')
            return
        self._polls_since_check += 1
        is_shrunk = batch.end_offset < self.claims.next_offset
        if is_shrunk or not await self._is_same_history():
            self._reload('stream was rewound')
            self._gap_write = self.writer.add_unbounded(items.Gap('rewound'))
            return
        self._apply(batch.records)
        if self.claims.next_offset >= batch.end_offset:
            self._end_seen_at = time.monotonic()

    async def _load(self) -> None:
        loaded = await loading.load(self._client, self._stream, self._retain_ms)
        self.claims = loaded.state
        if loaded.all_dropped:
            self._gap_write = self.writer.add_unbounded(
                items.Gap('no record is kept')
            )
        self._last_read_at = time.monotonic()
        self._end_seen_at = self._last_read_at
        self._last_append_id = ''
        for entry in loaded.tail:
            self._record_read(entry)
        self.writer.next_offset = self.claims.next_offset
        self.loaded.set()

    async def _is_same_history(self) -> bool:
        """Check that the stream still has the record that was read last.

        Checks only after a failed poll and at regular intervals; returns true
        otherwise.
        """
        is_due = (
            self._check_due or self._polls_since_check >= _POLLS_BETWEEN_CHECKS
        )
        if not is_due or not self._last_append_id:
            return True
        offset = self.claims.next_offset - 1
        batch = await self._client.read(self._stream, offset, limit=1)
        self._check_due = False
        self._polls_since_check = 0
        return any(
            entry.offset == offset and entry.append_id == self._last_append_id
            for entry in batch.records
        )

    def _apply(self, entries: list[log.Entry]) -> None:
        for entry in entries:
            self.claims.apply(entry)
            self._record_read(entry)
        if entries:
            self._last_read_at = time.monotonic()

    def _record_read(self, entry: log.Entry) -> None:
        self._last_append_id = entry.append_id
        self.writer.confirm_read(entry)

    def _reload(self, reason: str) -> None:
        eliot.log_message(
            'registry_partition_reload',
            stream=self._stream,
            next_offset=self.claims.next_offset,
            reason=reason,
        )
        self.loaded.clear()
        self.writer.requeue_unconfirmed()
