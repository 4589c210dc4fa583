"""Writing of bill rows to the log in batches, without repeating a row."""

from __future__ import annotations

import asyncio
import collections
import uuid
from typing import TYPE_CHECKING, Any, Final, Protocol

import eliot
import mode
import prometheus_client

from yuccarouter.billing import errors
from yuccarouter_common import billing_rows
from yuccarouter_common.platform import errors as platform_errors

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from yuccarouter_common.platform import log

    OnWritten = Callable[[list[billing_rows.BillRow]], Awaitable[None]]

    class LogClient(Protocol):
        """The part of ``log.Client`` that billing uses, with its errors."""

        async def append(
            self, stream: str, append_id: str, payload: Any
        ) -> log.Appended: ...

        async def read(
            self, stream: str, start: int, *, limit: int
        ) -> log.Batch: ...

        async def find(
            self, stream: str, append_id: str, start: int
        ) -> log.Appended | None: ...


# At 13.5 requests/s, the load of one entry at the target scale, a log outage of
# two hours fills this. The rows take about 30 MB.
_MAX_HELD_ROWS: Final = 100_000
_MAX_BATCH_ROWS: Final = 500
_RETRY_DELAY_S: Final = 0.5
_MS_PER_S: Final = 1000

_ROWS = prometheus_client.Counter(
    'yuccarouter_bill_rows',
    'Bill rows that are in the log',
)
_HELD = prometheus_client.Gauge(
    'yuccarouter_bill_rows_held',
    'Bill rows that are not yet in the log',
)


class Ledger(mode.Service):
    """Buffers bill rows until they are in the log.

    ``on_written`` is called with the rows of each batch that is in the log. A
    batch is retried with the same append id until it is known to be in the log,
    so that a lost answer never causes a row to be billed twice.
    """

    def __init__(
        self,
        client: LogClient,
        interval_ms: int,
        on_written: OnWritten,
        max_held_rows: int = _MAX_HELD_ROWS,
    ) -> None:
        super().__init__()
        self.retry_delay_s = _RETRY_DELAY_S
        self._client = client
        self._interval_s = interval_ms / _MS_PER_S
        self._on_written = on_written
        self._max_held_rows = max_held_rows
        self._held: collections.deque[billing_rows.BillRow] = (
            collections.deque()
        )
        self._flush_lock = asyncio.Lock()
        self._is_log_down = False
        # All appends of this process are at or after this offset.
        self._search_start_offset: int | None = None

    @property
    def held_rows(self) -> int:
        """Number of rows that are not yet known to be in the log."""
        return len(self._held)

    @property
    def is_full(self) -> bool:
        """Whether no more rows can be held, so requests must be refused."""
        return len(self._held) >= self._max_held_rows

    def add(self, row: billing_rows.BillRow) -> None:
        """Add a row to the next batch.

        Raises ``LedgerFullError`` when no more rows can be held.
        """
        if self.is_full:
            raise errors.LedgerFullError(
                'too many bill rows are waiting for the log'
            )
        self._held.append(row)
        _HELD.set(len(self._held))

    async def flush(self) -> None:
        """Write all held rows; wait while the log is down.

        A lock allows one flush at a time. Two would write the same rows and
        remove twice as many.
        """
        async with self._flush_lock:
            while self._held:
                await self._flush_batch()

    @mode.Service.task
    async def _flush_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(self._interval_s)
            await self.flush()

    async def _flush_batch(self) -> None:
        size = min(len(self._held), _MAX_BATCH_ROWS)
        batch = [self._held[index] for index in range(size)]
        await self._write(batch)
        for _ in batch:
            self._held.popleft()
        _ROWS.inc(len(batch))
        _HELD.set(len(self._held))
        await self._on_written(batch)

    async def _write(self, batch: list[billing_rows.BillRow]) -> None:
        append_id = uuid.uuid4().hex
        payload = billing_rows.batch_payload(batch)
        may_be_written = False
        while True:
            try:
                if not (may_be_written and await self._is_written(append_id)):
                    await self._set_search_start()
                    await self._client.append(
                        billing_rows.STREAM, append_id, payload
                    )
            except platform_errors.AnswerLostError:
                may_be_written = True
            except platform_errors.PlatformError as fault:
                await self._wait_for_log(fault)
            else:
                self._record_log_up()
                return

    async def _set_search_start(self) -> None:
        if self._search_start_offset is None:
            batch = await self._client.read(billing_rows.STREAM, 0, limit=1)
            self._search_start_offset = batch.end_offset

    async def _is_written(self, append_id: str) -> bool:
        start = self._search_start_offset or 0
        appended = await self._client.find(
            billing_rows.STREAM, append_id, start
        )
        return appended is not None

    async def _wait_for_log(self, fault: platform_errors.PlatformError) -> None:
        if not self._is_log_down:
            self._is_log_down = True
            eliot.log_message('billing_log_down', reason=fault.message)
        await asyncio.sleep(self.retry_delay_s)

    def _record_log_up(self) -> None:
        if self._is_log_down:
            self._is_log_down = False
            eliot.log_message('billing_log_up', held_rows=len(self._held))
