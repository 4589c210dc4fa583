"""Writing snapshots before the log drops what they replace."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from typing import Final

import eliot
import mode
import xxhash

from yuccarouter.configuration import store as stores
from yuccarouter_common import clocks, history, records, snapshots
from yuccarouter_common.platform import errors as platform_errors

# A start reads at most this many records, and a log that keeps a day's 960
# changes always holds a snapshot.
_EVERY_RECORDS: Final = 400
_EVERY_S: Final = 21_600
_CHECK_S: Final = 1.0
# The first writer is expected within this time of a snapshot being due.
_SPREAD_S: Final = 120.0
# A snapshot of a state that was not compared with the log recently could
# describe a history that the log has lost.
_FRESH_MS: Final = 15_000
_HASH_RANGE: Final = 2**64


def delay_s(name: str, offset: int, processes: int) -> float:
    """Return how long a process waits before it writes a due snapshot.

    The distribution is the truncated exponential one by which multicast
    receivers suppress feedback (RFC 5740): of any number of processes few
    have a delay close to the shortest, so few write before they see the
    first one's snapshot.
    """
    hashed = xxhash.xxh3_64_intdigest(f'{offset}/{name}'.encode())
    uniform = (hashed + 1) / _HASH_RANGE
    steepness = math.log(max(2, processes)) + 1
    scale = _SPREAD_S / steepness
    return scale * math.log(uniform * math.expm1(steepness) + 1)


class SnapshotWriter(mode.Service):
    """Writes a snapshot when one is due and no other process has.

    ``processes`` returns the number of processes that may write.
    """

    def __init__(
        self,
        client: history.LogClient,
        store: stores.Store,
        name: str,
        processes: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.written = 0
        self._client = client
        self._store = store
        self._name = name
        self._processes = processes
        self._clock = clock
        self._seen_offset = -1
        self._seen_at = clock()
        self._due_at = math.inf

    async def on_started(self) -> None:
        """Start to check."""
        self.add_future(self._check_often())

    async def check(self) -> None:
        """Write a snapshot if it is this process's turn."""
        now = self._clock()
        if self._store.snapshot_offset != self._seen_offset:
            self._seen_offset = self._store.snapshot_offset
            self._seen_at = now
            self._due_at = math.inf
        if not self._is_due(now):
            return
        if math.isinf(self._due_at):
            self._due_at = now + delay_s(
                self._name,
                self._seen_offset,
                self._processes(),
            )
        if now >= self._due_at and self._may_write():
            self._due_at = math.inf
            await self._write()

    def _is_due(self, now: float) -> bool:
        if not self._store.ready:
            return False
        distance = self._store.position.offset - self._seen_offset
        if distance >= _EVERY_RECORDS:
            return True
        return distance > 0 and now - self._seen_at >= _EVERY_S

    def _may_write(self) -> bool:
        store = self._store
        if store.rewound or store.freshness.age_ms() > _FRESH_MS:
            return False
        return store.digest_at(store.position.offset) != 0

    async def _write(self) -> None:
        store = self._store
        record = snapshots.snapshot_record(
            store.current(),
            store.digest_at(store.position.offset),
            self._name,
            clocks.wall_ms(),
        )
        payload = records.converter.unstructure(record)
        append_id = f'{record.change_id}/{self._name}'
        try:
            await self._client.append(history.STREAM, append_id, payload)
        except platform_errors.PlatformError as fault:
            # Another process writes one, or this one after a new delay; a
            # second snapshot does no harm.
            eliot.log_message('snapshot_failed', reason=fault.message)
            return
        self.written += 1
        eliot.log_message('snapshot_written', change_id=record.change_id)

    async def _check_often(self) -> None:
        while not self.should_stop:
            await self.check()
            await asyncio.sleep(_CHECK_S)
