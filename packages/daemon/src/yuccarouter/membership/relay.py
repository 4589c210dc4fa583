"""Gathering the bill rows of a data centre's entries into fewer appends.

Every entry can be the relay. The entries of a data centre agree on one by
rendezvous hashing over the live ones in the VM list; when they disagree, there
are more appends and nothing else changes. A sender that gets no good answer
appends by itself. Its rows may then be in the log twice, and readers keep the
first row of a request id.
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

# Up to this number of live entries, one append each 200 ms is at most 100 a
# second, and the log takes several hundred.
_MIN_ENTRIES: Final = 20
_INTERVAL_MS: Final = 250
# A record of that many rows is about 600 KB.
_MAX_RECORD_ROWS: Final = 2000
_MAX_WAITING_ROWS: Final = 20_000
# An append and the search for one whose answer was lost take 2 s each.
_TIMEOUT_S: Final = 5.0
# A relay that failed is passed over for this time.
_AVOID_S: Final = 10.0
_MS_PER_S: Final = 1000

_RELAYED: Final = prometheus_client.Counter(
    'yuccarouter_relayed_appends',
    'Appends of bill rows that were sent to the relay',
    ('result',),
)


@attrs.frozen
class _Waiting:
    rows: list[Any]
    answer: asyncio.Future[log.Appended]


class AppendBatcher(mode.Service):
    """Appends the payloads of several senders in one record."""

    def __init__(
        self, client: ledger.LogClient, interval_ms: int = _INTERVAL_MS
    ) -> None:
        super().__init__()
        self._client = client
        self._interval_s = interval_ms / _MS_PER_S
        self._waiting: list[_Waiting] = []
        # Every append of this process is at or after this offset.
        self._search_from: int | None = None

    async def append(self, payload: dict[str, Any]) -> log.Appended:
        """Return when a record with the rows of ``payload`` is in the log.

        Raises ``UnavailableError`` when it is not and won't be, and
        ``AnswerLostError`` when that is not known.
        """
        rows = payload['rows']
        if self.should_stop or self._waiting_rows >= _MAX_WAITING_ROWS:
            raise errors.UnavailableError('the relay takes no more rows')
        answer: asyncio.Future[log.Appended] = asyncio.Future()
        self._waiting.append(_Waiting(rows, answer))
        return await answer

    async def flush(self) -> None:
        """Append everything that waits, as far as the log takes it."""
        while self._waiting:
            batch = self._take()
            if batch:
                await self._write(batch)

    async def on_stop(self) -> None:
        """Answer the senders that still wait."""
        await self.flush()

    @mode.Service.task
    async def _flush_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(self._interval_s)
            await self.flush()

    @property
    def _waiting_rows(self) -> int:
        return sum(len(waiting.rows) for waiting in self._waiting)

    def _take(self) -> list[_Waiting]:
        """Take the payloads of one record, without those given up."""
        batch: list[_Waiting] = []
        size = 0
        while self._waiting and size < _MAX_RECORD_ROWS:
            waiting = self._waiting.pop(0)
            if not waiting.answer.done():
                batch.append(waiting)
                size += len(waiting.rows)
        return batch

    async def _write(self, batch: list[_Waiting]) -> None:
        try:
            appended = await self._append(batch)
        except errors.PlatformError as fault:
            for failed in batch:
                if not failed.answer.done():
                    failed.answer.set_exception(fault)
            return
        for waiting in batch:
            if not waiting.answer.done():
                waiting.answer.set_result(appended)

    async def _append(self, batch: list[_Waiting]) -> log.Appended:
        rows = [row for waiting in batch for row in waiting.rows]
        append_id = uuid.uuid4().hex
        stream = billing_rows.STREAM
        if self._search_from is None:
            read = await self._client.read(stream, 0, limit=1)
            self._search_from = read.end_offset
        try:
            return await self._client.append(stream, append_id, {'rows': rows})
        except errors.AnswerLostError as lost:
            found = await self._find(append_id, self._search_from)
            if found is None:
                raise errors.AnswerLostError(lost.message) from lost
            return found

    async def _find(self, append_id: str, start: int) -> log.Appended | None:
        try:
            return await self._client.find(
                billing_rows.STREAM, append_id, start
            )
        except errors.PlatformError:
            return None


class RelayedLog:
    """The log, with appends of bill rows sent through the relay.

    It has the interface of ``platform.log.Client`` that a ledger uses.
    """

    def __init__(
        self,
        conf: settings.Settings,
        client: ledger.LogClient,
        gatherer: AppendBatcher,
        known: directory.Directory,
        daemons: channels.Channels,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._conf = conf
        self._client = client
        self._gatherer = gatherer
        self._known = known
        self._daemons = daemons
        self._now_s = now_s
        self._avoided_until_s: dict[str, float] = {}

    async def append(
        self, stream: str, append_id: str, payload: Any
    ) -> log.Appended:
        """Append one record; raises as the log's client does."""
        relay = self._relay() if stream == billing_rows.STREAM else ''
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
        """Return where an append that was not relayed is."""
        return await self._client.find(stream, append_id, start)

    def _relay(self) -> str:
        """Return the address of the relay, or ``''`` to append directly."""
        entries = self._known.live(subset.ENTRY)
        if len(entries) <= _MIN_ENTRIES:
            return ''
        now_s = self._now_s()
        own = self._conf.data_centre
        usable = [
            vm
            for vm in entries
            if vm.data_centre == own
            and self._avoided_until_s.get(vm.address, 0) <= now_s
        ]
        ranked = subset.ranked(f'relay/{own}', usable)
        return ranked[0].address if ranked else ''

    async def _send(
        self, relay: str, append_id: str, payload: Any
    ) -> log.Appended:
        if relay == str(self._conf.peer):
            async with asyncio.timeout(_TIMEOUT_S):
                return await self._gatherer.append(payload)
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
    gatherer: AppendBatcher, request: router_pb2.AppendRequest
) -> router_pb2.AppendReply:
    """Answer a sender."""
    if request.stream != billing_rows.STREAM:
        return router_pb2.AppendReply(state=UNAVAILABLE)
    try:
        appended = await gatherer.append(orjson.loads(request.payload))
    except errors.AnswerLostError:
        return router_pb2.AppendReply(state=UNKNOWN)
    except errors.PlatformError:
        return router_pb2.AppendReply(state=UNAVAILABLE)
    return router_pb2.AppendReply(
        state=APPENDED, offset=appended.offset, time_ms=appended.time_ms
    )
