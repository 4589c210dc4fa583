"""Loading a registry partition from the start of its window."""

from __future__ import annotations

from typing import Final

import attrs

from yuccarouter.registry import partition
from yuccarouter_common import history
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import log

# The newest records are kept, so that a writer finds its own among them.
_TAIL_RECORDS: Final = 64


@attrs.frozen
class Loaded:
    """A partition read up to the end of its stream.

    ``lost_all`` says that the stream had records and keeps none of them.
    """

    state: partition.Partition
    tail: list[log.Entry]
    lost_all: bool


async def load(
    client: history.LogClient,
    stream: str,
    retain_ms: int,
) -> Loaded:
    """Read a partition; raises a ``PlatformError`` when that fails."""
    state = partition.Partition(retain_ms)
    head = await client.read(stream, 0, limit=1)
    if not head.records:
        state.next_offset = head.end_offset
        return Loaded(state, [], lost_all=head.end_offset > 0)
    last = await _entry_at(client, stream, head.end_offset - 1)
    oldest_ms = last.time_ms - retain_ms
    start = await _first_since(client, stream, head, oldest_ms)
    state.next_offset = start
    if start == head.first_offset and start > 0:
        state.complete_since_ms = head.records[0].time_ms
    tail: list[log.Entry] = []
    while state.next_offset < head.end_offset:
        batch = await client.read(stream, state.next_offset)
        if not batch.records or batch.first_offset > state.next_offset:
            raise platform_errors.UnavailableError(f'{stream} has changed')
        for entry in batch.records:
            state.apply(entry)
        tail = (tail + batch.records)[-_TAIL_RECORDS:]
    return Loaded(state, tail, lost_all=False)


async def _first_since(
    client: history.LogClient,
    stream: str,
    head: log.Batch,
    oldest_ms: int,
) -> int:
    """Return the first offset whose record is not older than a time."""
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
        raise platform_errors.UnavailableError(f'{stream} has changed')
    return batch.records[0]
