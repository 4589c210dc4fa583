"""Batching the bill rows of a data centre's entries into fewer appends.

Every entry can be the relay. The entries of a data centre choose one by
rendezvous hashing over the live entries in the VM list. If they disagree, the
only effect is more appends. A sender whose relayed append fails appends to the
log itself. Its rows may then be in the log twice, and readers keep the first
row of each request id.
"""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import TYPE_CHECKING, Any, Final

import attrs
import mode
import orjson
import prometheus_client
from grpc import aio

from yuccarouter.membership import subset
from yuccarouter_common import billing_rows
from yuccarouter_common.platform import errors, log
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter.billing import ledger
    from yuccarouter.membership import channels, directory
    from yuccarouter_common import settings

APPENDED: Final = 'appended'
UNAVAILABLE: Final = 'unavailable'
UNKNOWN: Final = 'unknown'

# Up to this number of live entries, all append to the log directly. With one
# append per entry each 200 ms that is at most 100 appends/s, and the log
# supports several hundred.
_MIN_ENTRIES: Final = 20
_INTERVAL_MS: Final = 250
# A record with this number of rows has about 600 KB.
_MAX_RECORD_ROWS: Final = 2000
_MAX_PENDING_ROWS: Final = 20_000
# Covers an append and the search for it after a lost answer, up to 2 s each.
_TIMEOUT_S: Final = 5.0
# A relay that failed is not used for this time.
_AVOID_S: Final = 10.0
_MS_PER_S: Final = 1000

_RELAYED: Final = prometheus_client.Counter(
    'yuccarouter_relayed_appends',
    'Appends of bill rows that were sent to the relay',
    ('result',),
)


@attrs.frozen
class _PendingAppend:
    rows: list[Any]
    appended: asyncio.Future[log.Appended]


class AppendBatcher(mode.Service):
    """Appends the rows of several senders in one record of the log."""

    def __init__(
        self, client: ledger.LogClient, interval_ms: int = _INTERVAL_MS
    ) -> None:
        super().__init__()
        self._client = client
        self._interval_s = interval_ms / _MS_PER_S
        self._pending: list[_PendingAppend] = []
        # All appends of this process are at or after this offset.
        self._search_from: int | None = None

    async def append(self, payload: dict[str, Any]) -> log.Appended:
        """Return once the rows of ``payload`` are in the log.

        Raises ``UnavailableError`` when they are not and won't be, and
        ``AnswerLostError`` when that is unknown.
        """
        rows = payload['rows']
        if self.should_stop or self._pending_rows >= _MAX_PENDING_ROWS:
            raise errors.UnavailableError(
                'the relay is stopping or its queue is full'
            )
        appended: asyncio.Future[log.Appended] = asyncio.Future()
        self._pending.append(_PendingAppend(rows, appended))
        return await appended

    async def flush(self) -> None:
        """Append all pending rows and answer their senders."""
        while self._pending:
            batch = self._take_batch()
            if batch:
                await self._write(batch)

    async def on_stop(self) -> None:
        """Append the pending rows, so that no sender keeps waiting."""
        await self.flush()

    @mode.Service.task
    async def _flush_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(self._interval_s)
            await self.flush()

    @property
    def _pending_rows(self) -> int:
        return sum(len(pending.rows) for pending in self._pending)

    def _take_batch(self) -> list[_PendingAppend]:
        """Dequeue the appends for one record, without cancelled ones."""
        batch: list[_PendingAppend] = []
        row_count = 0
        while self._pending and row_count < _MAX_RECORD_ROWS:
            pending = self._pending.pop(0)
            if not pending.appended.done():
                batch.append(pending)
                row_count += len(pending.rows)
        return batch

    async def _write(self, batch: list[_PendingAppend]) -> None:
        try:
            appended = await self._append(batch)
        except errors.PlatformError as fault:
            for failed in batch:
                if not failed.appended.done():
                    failed.appended.set_exception(fault)
            return
        for pending in batch:
            if not pending.appended.done():
                pending.appended.set_result(appended)

    async def _append(self, batch: list[_PendingAppend]) -> log.Appended:
        rows = [row for pending in batch for row in pending.rows]
        append_id = uuid.uuid4().hex
        stream = billing_rows.STREAM
        if self._search_from is None:
            read = await self._client.read(stream, 0, limit=1)
            self._search_from = read.end_offset
        try:
            return await self._client.append(stream, append_id, {'rows': rows})
        except errors.AnswerLostError as fault:
            appended = await self._find(append_id, self._search_from)
            if appended is None:
                raise errors.AnswerLostError(fault.message) from fault
            return appended

    async def _find(self, append_id: str, start: int) -> log.Appended | None:
        try:
            return await self._client.find(
                billing_rows.STREAM, append_id, start
            )
        except errors.PlatformError:
            return None


class RelayedLog:
    """A log client that sends appends of bill rows through the relay.

    It implements the part of ``platform.log.Client`` that a ledger uses.
    """

    def __init__(
        self,
        conf: settings.Settings,
        client: ledger.LogClient,
        batcher: AppendBatcher,
        vm_directory: directory.Directory,
        daemons: channels.Channels,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._conf = conf
        self._client = client
        self._batcher = batcher
        self._vm_directory = vm_directory
        self._daemons = daemons
        self._now_s = now_s
        self._avoided_until_s: dict[str, float] = {}

    async def append(
        self, stream: str, append_id: str, payload: Any
    ) -> log.Appended:
        """Append one record; raises the errors of ``log.Client.append``."""
        relay = self._relay_address() if stream == billing_rows.STREAM else ''
        if relay:
            try:
                return await self._send(relay, append_id, payload)
            except (errors.PlatformError, aio.AioRpcError, TimeoutError):
                _RELAYED.labels('failed').inc()
                self._avoided_until_s[relay] = self._now_s() + _AVOID_S
        return await self._client.append(stream, append_id, payload)

    async def read(self, stream: str, start: int, *, limit: int) -> log.Batch:
        """Read records of the log."""
        return await self._client.read(stream, start, limit=limit)

    async def find(
        self, stream: str, append_id: str, start: int
    ) -> log.Appended | None:
        """Return the offset of a direct append, or ``None`` if it is absent."""
        return await self._client.find(stream, append_id, start)

    def _relay_address(self) -> str:
        """Return the address of the relay, or ``''`` to append directly."""
        entries = self._vm_directory.live(subset.ENTRY)
        if len(entries) <= _MIN_ENTRIES:
            return ''
        now_s = self._now_s()
        local = self._conf.data_centre
        usable = [
            vm
            for vm in entries
            if vm.data_centre == local
            and self._avoided_until_s.get(vm.address, 0) <= now_s
        ]
        ranked = subset.ranked(f'relay/{local}', usable)
        return ranked[0].address if ranked else ''

    async def _send(
        self, relay: str, append_id: str, payload: Any
    ) -> log.Appended:
        if relay == str(self._conf.peer):
            async with asyncio.timeout(_TIMEOUT_S):
                return await self._batcher.append(payload)
        reply = await self._daemons.at(relay).peer.Append(
            router_pb2.AppendRequest(
                stream=billing_rows.STREAM,
                append_id=append_id,
                payload=orjson.dumps(payload),
            ),
            metadata=self._daemons.metadata,
            timeout=_TIMEOUT_S,
        )
        if reply.state != APPENDED:
            raise errors.AnswerLostError(f'the relay answered {reply.state}')
        _RELAYED.labels(APPENDED).inc()
        return log.Appended(reply.offset, reply.time_ms)


async def handle_append(
    batcher: AppendBatcher, request: router_pb2.AppendRequest
) -> router_pb2.AppendReply:
    """Append the rows of a sender and return its reply."""
    if request.stream != billing_rows.STREAM:
        return router_pb2.AppendReply(state=UNAVAILABLE)
    try:
        appended = await batcher.append(orjson.loads(request.payload))
    except errors.AnswerLostError:
        return router_pb2.AppendReply(state=UNKNOWN)
    except errors.PlatformError:
        return router_pb2.AppendReply(state=UNAVAILABLE)
    return router_pb2.AppendReply(
        state=APPENDED, offset=appended.offset, time_ms=appended.time_ms
    )
