"""Replays the configuration stream from the newest usable snapshot."""

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
    """The stream has no snapshot from which it can be replayed."""

    code = 'no_snapshot'


class LogClient(Protocol):
    """The methods of ``platform.log.Client`` that the router uses."""

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
        """Return offset and time of the record with ``append_id``."""


@attrs.frozen
class ReplayBase:
    """A configuration and the records that follow it in the stream.

    ``digest`` is that of the record at the configuration's position, or 0
    when the stream no longer contains this record.
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
    """Return a 64-bit digest of a configuration, including its position."""
    return digest(apply.snapshot_body(configuration))


def snapshot_id(position: model.Position, record_digest: int) -> str:
    """Return the change id of a snapshot of the state at a position.

    The digest of the record at the position lets a reader detect a snapshot
    from a process that had applied a different history.
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

    A record that can't be decoded is void, so that it does not stop the
    processes that read the stream. A snapshot of a later generation sets the
    position to the one that it describes, which may lie before ``offset``;
    the caller must then read the records after that position again.
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
        snapshot = _earlier_snapshot(record, offset)
        if snapshot is not None and _has_newer_generation(snapshot, current):
            return snapshot, None
    return apply.apply_record(current, offset, record)


async def load(client: LogClient, stream: str = STREAM) -> ReplayBase:
    """Return the newest usable snapshot and the records after it.

    Reads backwards in chunks, so that the start-up time depends on the distance
    between snapshots and not on the log's retention. Raises ``HistoryError``
    when the log has dropped records that no snapshot covers.
    """
    probe = await client.read(stream, 0, limit=1)
    first_offset = probe.first_offset
    start = probe.end_offset
    entries: list[log.Entry] = []
    end_offset = probe.end_offset
    while start > first_offset:
        stop = start
        start = max(first_offset, start - _CHUNK_RECORDS)
        chunk, end_offset = await _read_range(client, stream, start, stop)
        entries = chunk + entries
        base = _newest_regular(entries, end_offset)
        if base is not None:
            return base
    return _from_start(entries, first_offset, end_offset)


async def _read_range(
    client: LogClient,
    stream: str,
    start: int,
    stop: int,
) -> tuple[list[log.Entry], int]:
    entries: list[log.Entry] = []
    while True:
        batch = await client.read(stream, start, limit=stop - start)
        entries.extend(
            entry for entry in batch.records if start <= entry.offset < stop
        )
        if entries:
            start = entries[-1].offset + 1
        if start >= stop or not batch.records:
            return entries, batch.end_offset


def _newest_regular(
    entries: list[log.Entry], end_offset: int
) -> ReplayBase | None:
    """Return a base from the newest usable snapshot that is not a repair.

    A snapshot is usable when the entries include the records after its position
    and its change id matches the record at its position.
    """
    by_offset = {entry.offset: entry for entry in entries}
    for entry in reversed(entries):
        snapshot = decode_snapshot(entry)
        if snapshot is None or snapshot.position.offset + 1 not in by_offset:
            continue
        offset = snapshot.position.offset
        record_at = by_offset.get(offset)
        record_digest = 0 if record_at is None else digest(record_at.payload)
        if 0 <= offset < entry.offset and _matches_history(
            entry, snapshot, record_digest
        ):
            later = [record for record in entries if record.offset > offset]
            return ReplayBase(snapshot, record_digest, later, end_offset)
    return None


def _from_start(
    entries: list[log.Entry], first_offset: int, end_offset: int
) -> ReplayBase:
    if first_offset == 0:
        return ReplayBase(model.Configuration(), 0, entries, end_offset)
    repair = _effective_repair(entries)
    if repair is None:
        raise HistoryError(
            f'stream starts at offset {first_offset} and has no usable '
            'snapshot',
        )
    entry, configuration = repair
    later = [record for record in entries if record.offset > entry.offset]
    return ReplayBase(configuration, digest(entry.payload), later, end_offset)


def _effective_repair(
    entries: list[log.Entry],
) -> tuple[log.Entry, model.Configuration] | None:
    """Return the repair that running processes have applied.

    Of two repairs of one generation, the first in log order takes effect.
    """
    repair: tuple[log.Entry, model.Configuration] | None = None
    for entry in entries:
        snapshot = decode_snapshot(entry)
        if snapshot is None or snapshot.position.generation == 0:
            continue
        newest = 0 if repair is None else repair[1].position.generation
        if snapshot.position.generation > newest:
            position = attrs.evolve(snapshot.position, offset=entry.offset)
            repair = entry, attrs.evolve(snapshot, position=position)
    return repair


def decode_snapshot(entry: log.Entry) -> model.Configuration | None:
    """Return a snapshot's configuration, ``None`` for other records."""
    try:
        record = records.decode(entry.payload)
        if record.kind is not records.Kind.SNAPSHOT:
            return None
        return apply.from_snapshot(record.body)
    except records.RecordError:
        return None


def _matches_history(
    entry: log.Entry,
    snapshot: model.Configuration,
    record_digest: int,
) -> bool:
    """Return whether a snapshot was taken of the history in the stream."""
    change_id = str(entry.payload.get('change_id', ''))
    parts = change_id.split('/')
    if len(parts) != _SNAPSHOT_PARTS or parts[0] != _SNAPSHOT_PREFIX:
        return True
    if not record_digest:
        # The stream no longer contains the record at the position.
        return True
    return change_id == snapshot_id(snapshot.position, record_digest)


def _earlier_snapshot(
    record: records.Record,
    offset: int,
) -> model.Configuration | None:
    """Return a snapshot of a position before ``offset``, else ``None``."""
    try:
        snapshot = apply.from_snapshot(record.body)
    except records.RecordError:
        return None
    if 0 <= snapshot.position.offset < offset:
        return snapshot
    return None


def _has_newer_generation(
    snapshot: model.Configuration,
    current: model.Configuration,
) -> bool:
    return snapshot.position.generation > current.position.generation
