"""Writing items to one registry partition, in batches."""

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

# With 32 partitions at most 320 appends a second for the fleet.
MIN_INTERVAL_MS: Final = 100
_MAX_BACKOFF_MS: Final = 2000
_MAX_PENDING: Final = 5000
_MAX_BATCH: Final = 500
# One record stays well below usual limits of a log's record size.
_MAX_BATCH_BYTES: Final = 262_144
_MS: Final = 1000


@attrs.define(eq=False)
class Ticket:
    """An item on its way into the stream.

    ``read_back`` gets the offset of the item's record once it has been read
    back. ``in_doubt`` says that an append with the item may take effect.
    """

    item: items.Item
    read_back: asyncio.Future[int]
    in_doubt: bool = False


class Writer:
    """Appends batches of items, one append at a time.

    Items of an append whose answer was lost are looked up by ``append_id``
    and written again when they are not there. A record may therefore appear
    twice, which has no effect: the first claim of a key counts, and claims
    of a released attempt are ignored.
    """

    def __init__(
        self,
        client: history.LogClient,
        stream: str,
        min_interval_ms: float = MIN_INTERVAL_MS,
    ) -> None:
        # Where to look for an append: the end of the stream when it was sent.
        self.next_offset = 0
        self.appends = 0
        self.lost_answers = 0
        self._client = client
        self._stream = stream
        self._min_interval_ms = min_interval_ms
        self._backoff_ms = min_interval_ms
        self._pending: collections.deque[Ticket] = collections.deque()
        self._unread: dict[str, list[Ticket]] = {}
        self._wanted = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of items that have not been read back."""
        return len(self._pending) + sum(map(len, self._unread.values()))

    def add(self, item: items.Item) -> Ticket:
        """Queue an item; raises ``QueueFullError`` when too many wait."""
        if len(self._pending) >= _MAX_PENDING:
            raise errors.QueueFullError('too many registry items wait')
        return self.add_always(item)

    def add_always(self, item: items.Item) -> Ticket:
        """Queue an item that must not be dropped, such as a release."""
        future: asyncio.Future[int] = asyncio.Future()
        ticket = Ticket(item, future)
        self._pending.append(ticket)
        self._wanted.set()
        return ticket

    def withdraw(self, ticket: Ticket) -> bool:
        """Drop an item; returns whether it certainly has no effect."""
        if ticket.in_doubt or ticket not in self._pending:
            return False
        self._pending.remove(ticket)
        return True

    def note_read(self, entry: log.Entry) -> None:
        """Note that a record of the stream has been read and applied."""
        self.next_offset = entry.offset + 1
        for ticket in self._unread.pop(entry.append_id, ()):
            if not ticket.read_back.done():
                ticket.read_back.set_result(entry.offset)

    def forget_unread(self) -> None:
        """Write what was lost in a rewound stream again, except claims."""
        unread = [ticket for batch in self._unread.values() for ticket in batch]
        self._unread.clear()
        for ticket in unread:
            if isinstance(ticket.item, items.Claim):
                _fail(ticket, 'registry stream was rewound')
            else:
                self._pending.append(ticket)
        self._wanted.set()

    async def drain(self, timeout_s: float) -> None:
        """Wait until all items are read back, at most ``timeout_s``."""
        waiting = [ticket.read_back for ticket in self._pending]
        for batch in self._unread.values():
            waiting.extend(ticket.read_back for ticket in batch)
        if waiting:
            await asyncio.wait(waiting, timeout=timeout_s)

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await self._wanted.wait()
            started = time.monotonic()
            await self._write(self._take())
            if not self._pending:
                self._wanted.clear()
            spent_ms = (time.monotonic() - started) * _MS
            await asyncio.sleep(max(0, self._backoff_ms - spent_ms) / _MS)

    def _take(self) -> list[Ticket]:
        batch: list[Ticket] = []
        size_bytes = 0
        while self._pending and len(batch) < _MAX_BATCH:
            item = self._pending[0].item
            if isinstance(item, items.Outcome):
                size_bytes += len(item.body)
            if batch and size_bytes > _MAX_BATCH_BYTES:
                break
            batch.append(self._pending.popleft())
        return batch

    async def _write(self, batch: list[Ticket]) -> None:
        if not batch:
            return
        append_id = uuid.uuid4().hex
        self._unread[append_id] = batch
        start = self.next_offset
        for ticket in batch:
            ticket.in_doubt = True
        payload = items.encode([queued.item for queued in batch])
        try:
            await self._append(append_id, payload)
        except platform_errors.UnavailableError:
            self._put_back(append_id)
            self._backoff_ms = min(
                max(2 * self._backoff_ms, 1),
                _MAX_BACKOFF_MS,
            )
            return
        except platform_errors.PlatformError:
            self.lost_answers += 1
            await self._resolve(append_id, start, payload)
        self._backoff_ms = self._min_interval_ms

    async def _append(self, append_id: str, payload: object) -> None:
        self.appends += 1
        await self._client.append(self._stream, append_id, payload)

    async def _resolve(
        self,
        append_id: str,
        start: int,
        payload: object,
    ) -> None:
        """Write until the record is found; it may be read back before."""
        pause_ms = max(self._min_interval_ms, 1)
        while append_id in self._unread:
            try:
                found = await self._client.find(self._stream, append_id, start)
                if found is not None:
                    return
                await self._append(append_id, payload)
            except platform_errors.PlatformError:
                await asyncio.sleep(pause_ms / _MS)
                pause_ms = min(2 * pause_ms, _MAX_BACKOFF_MS)
            else:
                return

    def _put_back(self, append_id: str) -> None:
        for ticket in reversed(self._unread.pop(append_id, [])):
            ticket.in_doubt = False
            self._pending.appendleft(ticket)


def _fail(ticket: Ticket, reason: str) -> None:
    if not ticket.read_back.done():
        ticket.read_back.set_exception(errors.RegistryError(reason))
