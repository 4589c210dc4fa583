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

    An append waits for its turn at ``appends_per_s`` over all streams, and
    gets 503 without effect if its turn is more than ``max_queue_ms`` away.
    Each stream keeps its last ``retention_records`` records.
    """

    appends_per_s: float = 500
    max_queue_ms: float = 1000
    retention_records: int = 100_000


@attrs.frozen
class LogFaults(faults.Faults):
    """Faults of the log.

    ``lag_ms`` hides records from readers until they have this age.
    ``rewind_to`` removes, once, all records from this offset on and
    ``truncate_to`` all records before it. ``lose_appends`` is the number of
    next appends that take effect and lose their answer; unlike with
    ``lose_answers``, reads don't count. ``stream`` limits these three to one
    stream.
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
    # Monotonic, for the lag.
    visible_from_s: float


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
        kept_from = min(max(offset, self.first_offset), self.end_offset)
        del self.records[: kept_from - self.first_offset]
        self.first_offset = kept_from

    def rewind(self, offset: int) -> None:
        kept = max(0, offset - self.first_offset)
        del self.records[kept:]
        # A restored log may end before the oldest record that was kept.
        self.first_offset = min(self.first_offset, offset)

    def visible_end(self, lag_ms: float) -> int:
        if lag_ms <= 0:
            return self.end_offset
        horizon_s = time.monotonic() - lag_ms / 1000
        for record in reversed(self.records):
            if record.visible_from_s <= horizon_s:
                return record.offset + 1
        return self.first_offset


@attrs.define(eq=False)
class _Log:
    settings: Settings
    streams: dict[str, _Stream] = attrs.field(factory=dict)
    last_time_ms: int = 0
    next_turn_s: float = 0
    injector: faults.Injector = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.injector = faults.Injector(LogFaults(), self.on_fault)

    def stream(self, name: str) -> _Stream:
        return self.streams.setdefault(name, _Stream())

    def on_fault(self, given: dict[str, Any]) -> None:
        only = given.get('stream', '')
        for name, stream in self.streams.items():
            if only and name != only:
                continue
            if given.get('truncate_to') is not None:
                stream.truncate(given['truncate_to'])
            if given.get('rewind_to') is not None:
                stream.rewind(given['rewind_to'])
            stream.notify()

    def take_lost_append(self, name: str) -> bool:
        current = self.injector.current
        if not current.lose_appends or current.stream not in {'', name}:
            return False
        self.injector.current = attrs.evolve(
            current, lose_appends=current.lose_appends - 1
        )
        return True

    async def take_turn(self) -> bool:
        now_s = time.monotonic()
        turn_s = max(now_s, self.next_turn_s)
        if (turn_s - now_s) * 1000 > self.settings.max_queue_ms:
            return False
        self.next_turn_s = turn_s + 1 / self.settings.appends_per_s
        await asyncio.sleep(turn_s - now_s)
        return True

    def append(self, name: str, append_id: str, payload: Any) -> _Record:
        stream = self.stream(name)
        # The log's times never go back, even if the VM's clock does.
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
    except (ValueError, KeyError, TypeError) as bad:
        return faults.error_response(400, 'invalid_append', repr(bad))
    if not await log.take_turn():
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
    except ValueError as bad:
        return faults.error_response(400, 'invalid_read', str(bad))
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
        left_s = deadline_s - time.monotonic()
        # A reader past the end is answered at once, to notice a rewind.
        if query.start != end or left_s <= 0:
            return _batch(stream, query, end)
        await _wait_for_change(stream, left_s, lag_ms)


async def _wait_for_change(
    stream: _Stream,
    left_s: float,
    lag_ms: float,
) -> None:
    if lag_ms > 0:
        await asyncio.sleep(min(left_s, _LAG_POLL_S))
        return
    try:
        await asyncio.wait_for(stream.changed.wait(), left_s)
    except asyncio.TimeoutError:
        return


def _batch(stream: _Stream, query: _Query, end: int) -> web.Response:
    first = stream.first_offset
    start = max(query.start, first)
    stop = max(start, min(end, start + query.limit))
    found = stream.records[start - first : stop - first]
    return faults.json_response(
        {
            'records': [
                {
                    'offset': record.offset,
                    'time_ms': record.time_ms,
                    'append_id': record.append_id,
                    'payload': record.payload,
                }
                for record in found
            ],
            'first_offset': first,
            'end_offset': end,
        }
    )


if __name__ == '__main__':
    serving.main(make_app, Settings)
