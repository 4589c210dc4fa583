"""Client of the platform's append-only log."""

from __future__ import annotations

from typing import Any, Final

import aiohttp
import attrs
import orjson

from yuccarouter_common.platform import errors, exchanges

_APPEND_TIMEOUT_S: Final = 2.0
# Added to the time that a read waits for new records.
_READ_MARGIN_S: Final = 2.0
_DEFAULT_READ_LIMIT: Final = 1000
_SERVICE: Final = 'log'
_MS_PER_S: Final = 1000


@attrs.frozen
class Appended:
    """Offset of a new record and its time by the log's clock."""

    offset: int
    time_ms: int


@attrs.frozen
class Entry:
    """One record of a stream."""

    offset: int
    time_ms: int
    append_id: str
    payload: Any


@attrs.frozen
class Batch:
    """Records read from a stream.

    ``first_offset`` is the oldest offset that the log still keeps and
    ``end_offset`` the offset that the next append will get.
    """

    records: list[Entry]
    first_offset: int
    end_offset: int


@attrs.frozen
class Client:
    """Access to the log at one URL over a shared HTTP session."""

    session: aiohttp.ClientSession
    url: str

    async def append(
        self,
        stream: str,
        append_id: str,
        payload: Any,
        timeout_s: float = _APPEND_TIMEOUT_S,
    ) -> Appended:
        """Append one record.

        Raises ``UnavailableError`` when nothing took effect and
        ``AnswerLostError`` when that is not known; ``find`` then shows whether
        the record is in the log.
        """
        body = orjson.dumps({'append_id': append_id, 'payload': payload})
        answer = await exchanges.send(
            self.session,
            exchanges.Request(
                _SERVICE,
                'POST',
                self._records_url(stream),
                timeout_s,
                body,
                has_side_effects=True,
            ),
        )
        try:
            return exchanges.structure(_SERVICE, answer, Appended)
        except errors.BadAnswerError as fault:
            raise errors.AnswerLostError(fault.message) from fault

    async def read(
        self,
        stream: str,
        start: int,
        *,
        limit: int = _DEFAULT_READ_LIMIT,
        wait_ms: int = 0,
    ) -> Batch:
        """Read records from ``start`` on, waiting up to ``wait_ms`` for one.

        Raises ``UnavailableError`` when the log can't be read.
        """
        query = {
            'from': str(start),
            'limit': str(limit),
            'wait_ms': str(wait_ms),
        }
        answer = await exchanges.send(
            self.session,
            exchanges.Request(
                _SERVICE,
                'GET',
                self._records_url(stream),
                wait_ms / _MS_PER_S + _READ_MARGIN_S,
                query=query,
            ),
        )
        return exchanges.structure(_SERVICE, answer, Batch)

    async def find(
        self,
        stream: str,
        append_id: str,
        start: int,
    ) -> Appended | None:
        """Return offset and time of a record, searched from ``start`` on.

        ``None`` means that it is not in the log up to its current end.
        """
        while True:
            batch = await self.read(stream, start)
            for entry in batch.records:
                if entry.append_id == append_id:
                    return Appended(entry.offset, entry.time_ms)
            if not batch.records:
                return None
            start = batch.records[-1].offset + 1

    def _records_url(self, stream: str) -> str:
        return f'{self.url}/streams/{stream}/records'
