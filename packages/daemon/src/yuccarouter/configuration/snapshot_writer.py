"""Writes snapshots before the log drops the records that they replace."""

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

# A starting process reads at most about this many records. A log that keeps
# the 960 changes of a day always holds a snapshot.
_INTERVAL_RECORDS: Final = 400
_INTERVAL_S: Final = 21_600
_CHECK_INTERVAL_S: Final = 1.0
# A process that sees no other's snapshot writes its own within this time of a
# snapshot being due.
_MAX_DELAY_S: Final = 120.0
# Without a recent comparison with the log, a snapshot could describe a history
# that the log has lost.
_MAX_AGE_MS: Final = 15_000
_HASH_RANGE: Final = 2**64


def write_delay_s(name: str, offset: int, processes: int) -> float:
    """Return how long a process waits before it writes a due snapshot.

    Delays have the truncated exponential distribution that multicast
    receivers use for feedback suppression (RFC 5740). Few processes have a
    delay close to the shortest one, whatever their number, so few write
    before they see the first snapshot.
    """
    hashed = xxhash.xxh3_64_intdigest(f'{offset}/{name}'.encode())
    uniform = (hashed + 1) / _HASH_RANGE
    steepness = math.log(max(2, processes)) + 1
    scale = _MAX_DELAY_S / steepness
    return scale * math.log(uniform * math.expm1(steepness) + 1)


class SnapshotWriter(mode.Service):
    """Writes a snapshot when one is due and no other process has written it.

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
        self._last_snapshot_offset = -1
        self._last_snapshot_at = clock()
        self._write_at = math.inf

    async def on_started(self) -> None:
        """Start the task that checks whether a snapshot is due."""
        self.add_future(self._run_checks())

    async def check(self) -> None:
        """Write a snapshot if it is due and this process's delay has passed."""
        now = self._clock()
        if self._store.snapshot_offset != self._last_snapshot_offset:
            self._last_snapshot_offset = self._store.snapshot_offset
            self._last_snapshot_at = now
            self._write_at = math.inf
        if not self._is_due(now):
            return
        if math.isinf(self._write_at):
            self._write_at = now + write_delay_s(
                self._name,
                self._last_snapshot_offset,
                self._processes(),
            )
        if now >= self._write_at and self._may_write():
            self._write_at = math.inf
            await self._write()

    def _is_due(self, now: float) -> bool:
        if not self._store.ready:
            return False
        records_since = self._store.position.offset - self._last_snapshot_offset
        if records_since >= _INTERVAL_RECORDS:
            return True
        return records_since > 0 and now - self._last_snapshot_at >= _INTERVAL_S

    def _may_write(self) -> bool:
        store = self._store
        if store.rewound or store.freshness.age_ms() > _MAX_AGE_MS:
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
            # Another process writes the snapshot, or this one does after a new
            # delay. A second snapshot does no harm.
            eliot.log_message('snapshot_failed', reason=fault.message)
            return
        self.written += 1
        eliot.log_message('snapshot_written', change_id=record.change_id)

    async def _run_checks(self) -> None:
        while not self.should_stop:
            await self.check()
            await asyncio.sleep(_CHECK_INTERVAL_S)
