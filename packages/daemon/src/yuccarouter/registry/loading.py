"""Loads a registry partition from the start of its retention period."""

from __future__ import annotations

from typing import Final

import attrs

from yuccarouter.registry import partition
from yuccarouter_common import history
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import log

# The newest records are returned as well, so that the writer can confirm its
# own appends among them.
_TAIL_RECORDS: Final = 64


@attrs.frozen
class LoadedPartition:
    """A partition read up to the end of its stream.

    ``tail`` holds the newest records. ``all_dropped`` is set when the stream
    has had records and keeps none of them.
    """

    state: partition.Partition
    tail: list[log.Entry]
    all_dropped: bool


async def load(
    client: history.LogClient,
    stream: str,
    retain_ms: int,
) -> LoadedPartition:
    """Read a partition; raises ``PlatformError`` when that fails."""
    state = partition.Partition(retain_ms)
    head = await client.read(stream, 0, limit=1)
    if not head.records:
        state.next_offset = head.end_offset
        return LoadedPartition(state, [], all_dropped=head.end_offset > 0)
    newest = await _entry_at(client, stream, head.end_offset - 1)
    oldest_ms = newest.time_ms - retain_ms
    start_offset = await _first_since(client, stream, head, oldest_ms)
    state.next_offset = start_offset
    if start_offset == head.first_offset and start_offset > 0:
        state.complete_since_ms = head.records[0].time_ms
    tail: list[log.Entry] = []
    while state.next_offset < head.end_offset:
        batch = await client.read(stream, state.next_offset)
        if not batch.records or batch.first_offset > state.next_offset:
            raise platform_errors.UnavailableError(
                f'records of {stream} were dropped during the read'
            )
        for entry in batch.records:
            state.apply(entry)
        tail = (tail + batch.records)[-_TAIL_RECORDS:]
    return LoadedPartition(state, tail, all_dropped=False)


async def _first_since(
    client: history.LogClient,
    stream: str,
    head: log.Batch,
    oldest_ms: int,
) -> int:
    """Return the offset of the first record since ``oldest_ms``."""
    low = head.first_offset
    high = head.end_offset - 1
    while low < high:
        middle = (low + high) // 2
        entry = await _entry_at(client, stream, middle)
        if entry.time_ms < oldest_ms:
            low = middle + 1
        else:
            high = middle
    return low


async def _entry_at(
    client: history.LogClient,
    stream: str,
    offset: int,
) -> log.Entry:
    batch = await client.read(stream, offset, limit=1)
    if not batch.records or batch.records[0].offset != offset:
        raise platform_errors.UnavailableError(
            f'{stream} has no record at offset {offset}'
        )
    return batch.records[0]
