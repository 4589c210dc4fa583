"""Double of the platform's append-only log."""

from __future__ import annotations

import asyncio
import functools
import time
from typing import Any, Final

import attrs
import orjson
from aiohttp import web

from yuccarouter_common import clocks
from yuccarouter_testkit.stand_ins import faults, serving

_RECORDS: Final = '/streams/{name}/records'
_MAX_WAIT_MS: Final = 60_000
_MAX_LIMIT: Final = 10_000
_LAG_POLL_S: Final = 0.005


@attrs.frozen
class Settings:
    """Limits of the log.

    All streams together accept ``appends_per_s``. Further appends wait; one
    that would wait longer than ``max_queue_ms`` gets 503 without effect. Each
    stream keeps its last ``retention_records`` records.
    """

    appends_per_s: float = 500
    max_queue_ms: float = 1000
    retention_records: int = 100_000


@attrs.frozen
class LogFaults(faults.Faults):
    """Faults of the log.

    ``lag_ms`` hides records from readers until they have this age. When the
    fault is injected, ``rewind_to`` removes all records from this offset on
    and ``truncate_to`` all records before it. The next ``lose_appends``
    appends take effect but lose their answers; unlike with ``lose_answers``,
    reads don't count. ``stream`` limits ``rewind_to``, ``truncate_to`` and
    ``lose_appends`` to one stream.
    """

    lag_ms: float = 0
    rewind_to: int | None = None
    truncate_to: int | None = None
    lose_appends: int = 0
    stream: str = ''


@attrs.frozen
class _Record:
    offset: int
    time_ms: int
    append_id: str
    payload: Any
    # Monotonic time of the append; visible once it is ``lag_ms`` ago.
    appended_s: float


@attrs.define(eq=False)
class _Stream:
    first_offset: int = 0
    records: list[_Record] = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end_offset(self) -> int:
        return self.first_offset + len(self.records)

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def truncate(self, offset: int) -> None:
        new_first = min(max(offset, self.first_offset), self.end_offset)
        del self.records[: new_first - self.first_offset]
        self.first_offset = new_first

    def rewind(self, offset: int) -> None:
        kept_count = max(0, offset - self.first_offset)
        del self.records[kept_count:]
        # A restored log may end before the oldest record retained until then.
        self.first_offset = min(self.first_offset, offset)

    def visible_end(self, lag_ms: float) -> int:
        if lag_ms <= 0:
            return self.end_offset
        horizon_s = time.monotonic() - lag_ms / 1000
        for record in reversed(self.records):
            if record.appended_s <= horizon_s:
                return record.offset + 1
        return self.first_offset


@attrs.define(eq=False)
class _Log:
    settings: Settings
    streams: dict[str, _Stream] = attrs.field(factory=dict)
    last_time_ms: int = 0
    next_slot_s: float = 0
    injector: faults.Injector = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.injector = faults.Injector(LogFaults(), self.on_fault)

    def stream(self, name: str) -> _Stream:
        return self.streams.setdefault(name, _Stream())

    def on_fault(self, changes: dict[str, Any]) -> None:
        only_stream = changes.get('stream', '')
        for name, stream in self.streams.items():
            if only_stream and name != only_stream:
                continue
            if changes.get('truncate_to') is not None:
                stream.truncate(changes['truncate_to'])
            if changes.get('rewind_to') is not None:
                stream.rewind(changes['rewind_to'])
            stream.notify()

    def take_lost_append(self, name: str) -> bool:
        current = self.injector.current
        if not current.lose_appends or current.stream not in {'', name}:
            return False
        self.injector.current = attrs.evolve(
            current, lose_appends=current.lose_appends - 1
        )
        return True

    async def wait_for_slot(self) -> bool:
        now_s = time.monotonic()
        slot_s = max(now_s, self.next_slot_s)
        if (slot_s - now_s) * 1000 > self.settings.max_queue_ms:
            return False
        self.next_slot_s = slot_s + 1 / self.settings.appends_per_s
        await asyncio.sleep(slot_s - now_s)
        return True

    def append(self, name: str, append_id: str, payload: Any) -> _Record:
        stream = self.stream(name)
        # Record times never decrease, even if the VM's clock is set back.
        self.last_time_ms = max(self.last_time_ms, clocks.wall_ms())
        record = _Record(
            stream.end_offset,
            self.last_time_ms,
            append_id,
            payload,
            time.monotonic(),
        )
        stream.records.append(record)
        stream.truncate(stream.end_offset - self.settings.retention_records)
        stream.notify()
        return record


@attrs.frozen
class _Query:
    start: int
    limit: int
    wait_ms: int


def make_app(settings: Settings) -> web.Application:
    """Return the log as a web application."""
    log = _Log(settings)
    app = web.Application(client_max_size=64 * 1024 * 1024)
    faults.install(app, log.injector)
    app.router.add_post(_RECORDS, functools.partial(_append, log))
    app.router.add_get(_RECORDS, functools.partial(_read, log))
    return app


async def _append(log: _Log, request: web.Request) -> web.Response:
    try:
        body = orjson.loads(await request.read())
        append_id, payload = str(body['append_id']), body['payload']
    except (ValueError, KeyError, TypeError) as error:
        return faults.error_response(400, 'invalid_append', repr(error))
    if not await log.wait_for_slot():
        return faults.error_response(503, 'overloaded', 'too many appends')
    name = request.match_info['name']
    record = log.append(name, append_id, payload)
    if log.take_lost_append(name):
        return faults.drop_connection(request)
    return faults.json_response(
        {'offset': record.offset, 'time_ms': record.time_ms}
    )


async def _read(log: _Log, request: web.Request) -> web.Response:
    try:
        query = _parse_query(request)
    except ValueError as error:
        return faults.error_response(400, 'invalid_read', str(error))
    return await _poll(log, log.stream(request.match_info['name']), query)


def _parse_query(request: web.Request) -> _Query:
    query = _Query(
        start=int(request.query.get('from', '0')),
        limit=min(int(request.query.get('limit', '1000')), _MAX_LIMIT),
        wait_ms=min(int(request.query.get('wait_ms', '0')), _MAX_WAIT_MS),
    )
    if min(query.start, query.limit, query.wait_ms) < 0:
        raise ValueError('from, limit and wait_ms must not be negative')
    return query


async def _poll(log: _Log, stream: _Stream, query: _Query) -> web.Response:
    deadline_s = time.monotonic() + query.wait_ms / 1000
    while True:
        lag_ms = log.injector.current.lag_ms
        end = stream.visible_end(lag_ms)
        remaining_s = deadline_s - time.monotonic()
        # A reader past the end is answered at once, so that it sees a rewind.
        if query.start != end or remaining_s <= 0:
            return _batch(stream, query, end)
        await _wait_for_change(stream, remaining_s, lag_ms)


async def _wait_for_change(
    stream: _Stream,
    remaining_s: float,
    lag_ms: float,
) -> None:
    if lag_ms > 0:
        await asyncio.sleep(min(remaining_s, _LAG_POLL_S))
        return
    try:
        await asyncio.wait_for(stream.changed.wait(), remaining_s)
    except asyncio.TimeoutError:
        return


def _batch(stream: _Stream, query: _Query, end: int) -> web.Response:
    first = stream.first_offset
    start = max(query.start, first)
    stop = max(start, min(end, start + query.limit))
    selected = stream.records[start - first : stop - first]
    return faults.json_response(
        {
            'records': [
                {
                    'offset': record.offset,
                    'time_ms': record.time_ms,
                    'append_id': record.append_id,
                    'payload': record.payload,
                }
                for record in selected
            ],
            'first_offset': first,
            'end_offset': end,
        }
    )


if __name__ == '__main__':
    serving.main(make_app, Settings)
