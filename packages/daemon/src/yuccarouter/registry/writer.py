"""Appends items to the stream of one registry partition, in batches."""

from __future__ import annotations

import asyncio
import collections
import time
import uuid
from typing import Final

import attrs

from yuccarouter.registry import errors, items
from yuccarouter_common import history
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import log

# Bounds the appends to 10 a second per partition and owner: with one owner for
# each of 32 partitions, 320 a second for the whole deployment.
MIN_INTERVAL_MS: Final = 100
_MAX_BACKOFF_MS: Final = 2000
_MAX_QUEUED: Final = 5000
_MAX_BATCH_ITEMS: Final = 500
# Keeps a record well below the record size limit that logs commonly have.
_MAX_BATCH_BYTES: Final = 262_144
_MS_PER_S: Final = 1000


@attrs.define(eq=False)
class PendingItem:
    """An item that has not been read back from the stream yet.

    ``read_back`` resolves to the offset of the item's record. ``in_doubt``
    says that an append with the item has been sent and may take effect.
    """

    item: items.Item
    read_back: asyncio.Future[int]
    in_doubt: bool = False


class Writer:
    """Appends batches of items, one append at a time.

    An append whose answer was lost is looked up by its ``append_id`` and
    repeated when it is not in the stream. A record may therefore appear
    twice. The second one has no effect: the first claim of a key counts, and
    claims of a released attempt are ignored.
    """

    def __init__(
        self,
        client: history.LogClient,
        stream: str,
        min_interval_ms: float = MIN_INTERVAL_MS,
    ) -> None:
        # End of the stream as far as it has been read. The record of an
        # append is at or after the value at the time it was sent.
        self.next_offset = 0
        self.appends = 0
        self.unanswered_appends = 0
        self._client = client
        self._stream = stream
        self._min_interval_ms = min_interval_ms
        self._backoff_ms = min_interval_ms
        self._queue: collections.deque[PendingItem] = collections.deque()
        self._unconfirmed: dict[str, list[PendingItem]] = {}
        self._has_queued = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of items that have not been read back."""
        return len(self._queue) + sum(map(len, self._unconfirmed.values()))

    def add(self, item: items.Item) -> PendingItem:
        """Queue an item; raises ``QueueFullError`` when the queue is full."""
        if len(self._queue) >= _MAX_QUEUED:
            raise errors.QueueFullError(
                'too many registry items wait to be written'
            )
        return self.add_unbounded(item)

    def add_unbounded(self, item: items.Item) -> PendingItem:
        """Queue an item that must not be refused, such as a release."""
        future: asyncio.Future[int] = asyncio.Future()
        pending = PendingItem(item, future)
        self._queue.append(pending)
        self._has_queued.set()
        return pending

    def withdraw(self, pending: PendingItem) -> bool:
        """Drop an unsent item; returns whether it certainly has no effect."""
        if pending.in_doubt or pending not in self._queue:
            return False
        self._queue.remove(pending)
        return True

    def confirm_read(self, entry: log.Entry) -> None:
        """Resolve the items of a record that has been read and applied."""
        self.next_offset = entry.offset + 1
        for pending in self._unconfirmed.pop(entry.append_id, ()):
            if not pending.read_back.done():
                pending.read_back.set_result(entry.offset)

    def requeue_unconfirmed(self) -> None:
        """Queue unconfirmed items again after a reload, except claims.

        A rewound stream may have lost their records. Claims fail instead, so
        that their callers can try again.
        """
        unconfirmed = [
            pending for batch in self._unconfirmed.values() for pending in batch
        ]
        self._unconfirmed.clear()
        for pending in unconfirmed:
            if isinstance(pending.item, items.Claim):
                _fail(pending, 'registry stream was rewound')
            else:
                self._queue.append(pending)
        self._has_queued.set()

    async def drain(self, timeout_s: float) -> None:
        """Wait until all items are read back, at most ``timeout_s``."""
        read_backs = [pending.read_back for pending in self._queue]
        for batch in self._unconfirmed.values():
            read_backs.extend(pending.read_back for pending in batch)
        if read_backs:
            await asyncio.wait(read_backs, timeout=timeout_s)

    async def run(self) -> None:
        """Append batches until cancelled."""
        while True:
            await self._has_queued.wait()
            started = time.monotonic()
            await self._write(self._next_batch())
            if not self._queue:
                self._has_queued.clear()
            spent_ms = (time.monotonic() - started) * _MS_PER_S
            await asyncio.sleep(max(0, self._backoff_ms - spent_ms) / _MS_PER_S)

    def _next_batch(self) -> list[PendingItem]:
        batch: list[PendingItem] = []
        size_bytes = 0
        while self._queue and len(batch) < _MAX_BATCH_ITEMS:
            item = self._queue[0].item
            if isinstance(item, items.Outcome):
                size_bytes += len(item.body)
            if batch and size_bytes > _MAX_BATCH_BYTES:
                break
            batch.append(self._queue.popleft())
        return batch

    async def _write(self, batch: list[PendingItem]) -> None:
        if not batch:
            return
        append_id = uuid.uuid4().hex
        self._unconfirmed[append_id] = batch
        start_offset = self.next_offset
        for pending in batch:
            pending.in_doubt = True
        payload = items.encode([queued.item for queued in batch])
        try:
            await self._append(append_id, payload)
        except platform_errors.UnavailableError:
            self._requeue(append_id)
            self._backoff_ms = min(
                max(2 * self._backoff_ms, 1),
                _MAX_BACKOFF_MS,
            )
            return
        except platform_errors.PlatformError:
            self.unanswered_appends += 1
            await self._append_until_found(append_id, start_offset, payload)
        self._backoff_ms = self._min_interval_ms

    async def _append(self, append_id: str, payload: object) -> None:
        self.appends += 1
        await self._client.append(self._stream, append_id, payload)

    async def _append_until_found(
        self,
        append_id: str,
        start_offset: int,
        payload: object,
    ) -> None:
        """Look the record up and append it again until it is in the stream.

        Ends early when the record is read back meanwhile.
        """
        pause_ms = max(self._min_interval_ms, 1)
        while append_id in self._unconfirmed:
            try:
                found = await self._client.find(
                    self._stream, append_id, start_offset
                )
                if found is not None:
                    return
                await self._append(append_id, payload)
            except platform_errors.PlatformError:
                await asyncio.sleep(pause_ms / _MS_PER_S)
                pause_ms = min(2 * pause_ms, _MAX_BACKOFF_MS)
            else:
                return

    def _requeue(self, append_id: str) -> None:
        for pending in reversed(self._unconfirmed.pop(append_id, [])):
            pending.in_doubt = False
            self._queue.appendleft(pending)


def _fail(pending: PendingItem, reason: str) -> None:
    if not pending.read_back.done():
        pending.read_back.set_exception(errors.RegistryError(reason))
