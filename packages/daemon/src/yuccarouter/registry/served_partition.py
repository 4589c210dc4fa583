"""One registry partition as its owner keeps it."""

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

_WAIT_MS: Final = 5000
_MIN_BACKOFF_MS: Final = 100
_MAX_BACKOFF_MS: Final = 2000
# An answer from memory is given only while the stream's end was seen this
# recently: two long polls.
_FRESH_MS: Final = 2 * _WAIT_MS
_POLLS_BETWEEN_CHECKS: Final = 6
_MS: Final = 1000


class ServedPartition(mode.Service):
    """Tails a partition's stream and writes to it."""

    def __init__(
        self,
        client: history.LogClient,
        stream: str,
        retain_ms: int,
        min_interval_ms: float = writer.MIN_INTERVAL_MS,
        wait_ms: int = _WAIT_MS,
    ) -> None:
        super().__init__()
        self.keys = partition.Partition(retain_ms)
        self.writer = writer.Writer(client, stream, min_interval_ms)
        self.loaded = asyncio.Event()
        self.used_at = time.monotonic()
        self._client = client
        self._stream = stream
        self._retain_ms = retain_ms
        self._wait_ms = wait_ms
        self._last_append_id = ''
        self._check_due = False
        self._idle_polls = 0
        self._gap: writer.Ticket | None = None
        self._read_at = -math.inf
        self._end_seen_at = -math.inf

    async def on_started(self) -> None:
        """Start to read and write."""
        self.add_future(self._tail())
        self.add_future(self.writer.run())

    @property
    def fresh(self) -> bool:
        """Whether the end of the stream was seen recently."""
        age_ms = (time.monotonic() - self._end_seen_at) * _MS
        return self.loaded.is_set() and age_ms <= _FRESH_MS

    def now_ms(self) -> int:
        """Return a lower estimate of the log's time."""
        if not self.keys.last_time_ms:
            return 0
        elapsed_ms = (time.monotonic() - self._read_at) * _MS
        return self.keys.last_time_ms + int(elapsed_ms)

    def covers(self, key_time_ms: int, window_ms: int) -> bool:
        """Whether a key without a holder certainly was not claimed."""
        if self._gap is not None and not self._gap.read_back.done():
            return False
        return self.keys.covers(key_time_ms, self.now_ms() - window_ms)

    async def outcome_body(self, key: str, holder: partition.Holder) -> bytes:
        """Return the body of an outcome, read again when it was dropped."""
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
        raise platform_errors.UnavailableError('outcome is no longer kept')

    async def _tail(self) -> None:
        backoff_ms = float(_MIN_BACKOFF_MS)
        while not self.should_stop:
            try:
                await self._poll()
            except platform_errors.PlatformError:
                self._check_due = True
                await asyncio.sleep(backoff_ms / _MS)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
            else:
                backoff_ms = float(_MIN_BACKOFF_MS)

    async def _poll(self) -> None:
        if not self.loaded.is_set():
            await self._load()
        batch = await self._client.read(
            self._stream,
            self.keys.next_offset,
            wait_ms=self._wait_ms,
        )
        if batch.first_offset > self.keys.next_offset:
            self._reload('records were dropped before they were read')
            return
        self._idle_polls += 1
        shrunk = batch.end_offset < self.keys.next_offset
        if shrunk or not await self._is_same_history():
            self._reload('stream was rewound')
            self._gap = self.writer.add_always(items.Gap('rewound'))
            return
        self._apply(batch.records)
        if self.keys.next_offset >= batch.end_offset:
            self._end_seen_at = time.monotonic()

    async def _load(self) -> None:
        loaded = await loading.load(self._client, self._stream, self._retain_ms)
        self.keys = loaded.state
        if loaded.lost_all:
            self._gap = self.writer.add_always(items.Gap('no record is kept'))
        self._read_at = time.monotonic()
        self._end_seen_at = self._read_at
        self._last_append_id = ''
        for entry in loaded.tail:
            self._note(entry)
        self.writer.next_offset = self.keys.next_offset
        self.loaded.set()

    async def _is_same_history(self) -> bool:
        """Check after an outage that the last record is still in place."""
        due = self._check_due or self._idle_polls >= _POLLS_BETWEEN_CHECKS
        if not due or not self._last_append_id:
            return True
        offset = self.keys.next_offset - 1
        batch = await self._client.read(self._stream, offset, limit=1)
        self._check_due = False
        self._idle_polls = 0
        return any(
            entry.offset == offset and entry.append_id == self._last_append_id
            for entry in batch.records
        )

    def _apply(self, entries: list[log.Entry]) -> None:
        for entry in entries:
            self.keys.apply(entry)
            self._note(entry)
        if entries:
            self._read_at = time.monotonic()

    def _note(self, entry: log.Entry) -> None:
        self._last_append_id = entry.append_id
        self.writer.note_read(entry)

    def _reload(self, reason: str) -> None:
        eliot.log_message(
            'registry_partition_reload',
            stream=self._stream,
            next_offset=self.keys.next_offset,
            reason=reason,
        )
        self.loaded.clear()
        self.writer.forget_unread()
