"""Replaying the configuration stream from the newest usable snapshot."""

from __future__ import annotations

from typing import Any, Final, Protocol

import attrs
import orjson
import xxhash

from yuccarouter_common import apply, errors, model, records
from yuccarouter_common.platform import log

STREAM: Final = 'configuration'

_CHUNK_RECORDS: Final = 1000
_SNAPSHOT_PREFIX: Final = 'snapshot'
_SNAPSHOT_PARTS: Final = 4


class HistoryError(errors.RouterError):
    """The stream keeps no snapshot from which it can be replayed."""

    code = 'no_snapshot'


class LogClient(Protocol):
    """What this system uses of ``platform.log.Client``."""

    async def append(
        self,
        stream: str,
        append_id: str,
        payload: Any,
        timeout_s: float = ...,
    ) -> log.Appended:
        """Append one record."""

    async def read(
        self,
        stream: str,
        start: int,
        *,
        limit: int = ...,
        wait_ms: int = ...,
    ) -> log.Batch:
        """Read records from ``start`` on."""

    async def find(
        self,
        stream: str,
        append_id: str,
        start: int,
    ) -> log.Appended | None:
        """Return where the record with ``append_id`` is."""


@attrs.frozen
class ReplayBase:
    """A configuration and the records that follow it in the stream.

    ``digest`` is that of the record at the configuration's position, or 0
    when the stream no longer keeps this record.
    """

    configuration: model.Configuration
    digest: int
    entries: list[log.Entry]
    end_offset: int


def digest(payload: Any) -> int:
    """Return a 64-bit digest of a record's payload."""
    return xxhash.xxh3_64_intdigest(
        orjson.dumps(payload, option=orjson.OPT_SORT_KEYS),
    )


def state_digest(configuration: model.Configuration) -> int:
    """Return a 64-bit digest of a whole configuration with its position."""
    return digest(apply.snapshot_body(configuration))


def snapshot_id(position: model.Position, record_digest: int) -> str:
    """Return the change id of a snapshot of the state at a position.

    The digest of the record at the position lets a reader detect a snapshot
    that was written by a process which had followed another history.
    """
    return (
        f'{_SNAPSHOT_PREFIX}/{position.generation}/{position.offset}'
        f'/{record_digest:016x}'
    )


def apply_payload(
    current: model.Configuration,
    offset: int,
    payload: Any,
) -> tuple[model.Configuration, model.VoidChange | None]:
    """Return the configuration after one record of the stream.

    A record that can't be decoded is void, so that it stops no process. The
    result of a snapshot of a later generation is at the position that the
    snapshot describes, which may lie before ``offset``; the records after
    that position then have to be read again.
    """
    try:
        record = records.decode(payload)
    except records.RecordError as fault:
        position = attrs.evolve(current.position, offset=offset)
        return (
            attrs.evolve(current, position=position),
            model.VoidChange('', offset, fault.message),
        )
    if record.kind is records.Kind.SNAPSHOT:
        held = _snapshot_state(record, offset)
        if held is not None and _starts_generation(held, current):
            return held, None
    return apply.apply_record(current, offset, record)


async def load(client: LogClient, stream: str = STREAM) -> ReplayBase:
    """Return the newest usable snapshot and the records after it.

    Reads backwards in chunks, so that a start takes time in proportion to
    the distance between snapshots and not to the log's retention. Raises
    ``HistoryError`` when records were dropped and no snapshot covers them.
    """
    probe = await client.read(stream, 0, limit=1)
    first = probe.first_offset
    start = probe.end_offset
    entries: list[log.Entry] = []
    end = probe.end_offset
    while start > first:
        upper = start
        start = max(first, start - _CHUNK_RECORDS)
        chunk, end = await _read_range(client, stream, start, upper)
        entries = chunk + entries
        base = _newest_regular(entries, end)
        if base is not None:
            return base
    return _from_start(entries, first, end)


async def _read_range(
    client: LogClient,
    stream: str,
    start: int,
    upper: int,
) -> tuple[list[log.Entry], int]:
    read: list[log.Entry] = []
    while True:
        batch = await client.read(stream, start, limit=upper - start)
        read.extend(
            entry for entry in batch.records if start <= entry.offset < upper
        )
        if read:
            start = read[-1].offset + 1
        if start >= upper or not batch.records:
            return read, batch.end_offset


def _newest_regular(entries: list[log.Entry], end: int) -> ReplayBase | None:
    """Return the base of the newest snapshot of a described position."""
    by_offset = {entry.offset: entry for entry in entries}
    for entry in reversed(entries):
        held = decode_snapshot(entry)
        if held is None or held.position.offset + 1 not in by_offset:
            continue
        offset = held.position.offset
        described = by_offset.get(offset)
        found = 0 if described is None else digest(described.payload)
        if 0 <= offset < entry.offset and _matches(entry, held, found):
            later = [record for record in entries if record.offset > offset]
            return ReplayBase(held, found, later, end)
    return None


def _from_start(entries: list[log.Entry], first: int, end: int) -> ReplayBase:
    if first == 0:
        return ReplayBase(model.Configuration(), 0, entries, end)
    repair = _first_repair(entries)
    if repair is None:
        raise HistoryError(
            f'stream starts at offset {first} and has no usable snapshot',
        )
    entry, held = repair
    later = [record for record in entries if record.offset > entry.offset]
    return ReplayBase(held, digest(entry.payload), later, end)


def _first_repair(
    entries: list[log.Entry],
) -> tuple[log.Entry, model.Configuration] | None:
    """Return the repair that running processes have applied.

    Of two repairs of one generation the first in order has effect.
    """
    found: tuple[log.Entry, model.Configuration] | None = None
    for entry in entries:
        held = decode_snapshot(entry)
        if held is None or held.position.generation == 0:
            continue
        newest = 0 if found is None else found[1].position.generation
        if held.position.generation > newest:
            position = attrs.evolve(held.position, offset=entry.offset)
            found = entry, attrs.evolve(held, position=position)
    return found


def decode_snapshot(entry: log.Entry) -> model.Configuration | None:
    """Return what a snapshot record holds, none for any other record."""
    try:
        record = records.decode(entry.payload)
        if record.kind is not records.Kind.SNAPSHOT:
            return None
        return apply.from_snapshot(record.body)
    except records.RecordError:
        return None


def _matches(
    entry: log.Entry,
    held: model.Configuration,
    found_digest: int,
) -> bool:
    """Whether a snapshot describes the history that the stream keeps."""
    change_id = str(entry.payload.get('change_id', ''))
    parts = change_id.split('/')
    if len(parts) != _SNAPSHOT_PARTS or parts[0] != _SNAPSHOT_PREFIX:
        return True
    if not found_digest:
        # The record at the position has been dropped from the stream.
        return True
    return change_id == snapshot_id(held.position, found_digest)


def _snapshot_state(
    record: records.Record,
    offset: int,
) -> model.Configuration | None:
    try:
        held = apply.from_snapshot(record.body)
    except records.RecordError:
        return None
    if 0 <= held.position.offset < offset:
        return held
    return None


def _starts_generation(
    held: model.Configuration,
    current: model.Configuration,
) -> bool:
    return held.position.generation > current.position.generation
