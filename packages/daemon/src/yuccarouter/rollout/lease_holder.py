"""Acquires, renews and releases a lease through the lease stream."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Callable
from typing import Final

import attrs
import eliot
import mode

from yuccarouter.rollout import lease_state
from yuccarouter_common import clocks, history
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import log

# A failed controller is replaced within 12 s plus jitter. Three renewals may
# fail before the lease expires.
_TTL_MS: Final = 12_000
_RENEW_INTERVAL_MS: Final = 3000
# Covers clocks that run at different rates and delays of the event loop. A
# longer gap between two ticks counts as a pause of the process.
_SAFETY_MARGIN_MS: Final = 2000
_MAX_JITTER_MS: Final = 3000
_READ_WAIT_MS: Final = 1000
_TICK_INTERVAL_S: Final = 0.2
# An append that is not read back within this time is taken as lost.
_READ_BACK_TIMEOUT_MS: Final = 4000
_RETRY_DELAY_S: Final = 0.5


@attrs.frozen
class LeaseTiming:
    """Intervals and limits of a lease holder."""

    ttl_ms: int = _TTL_MS
    renew_interval_ms: int = _RENEW_INTERVAL_MS
    safety_margin_ms: int = _SAFETY_MARGIN_MS
    max_jitter_ms: int = _MAX_JITTER_MS
    read_wait_ms: int = _READ_WAIT_MS


class LeaseHolder(mode.Service):
    """Acquires a lease when it is free, and renews it while the service runs.

    The order and the times of the log's records decide who holds the lease.
    The holder measures the validity with its own clock from before it sent the
    record, less a safety margin, so that it stops before the lease expires.
    ``clock_ms`` must include the time in which the VM is suspended.
    """

    def __init__(
        self,
        client: history.LogClient,
        lease: str,
        timing: LeaseTiming | None = None,
        clock_ms: Callable[[], float] = clocks.boot_ms,
        seed: int | None = None,
    ) -> None:
        super().__init__()
        # A new id for each run: a restarted process does not keep its lease.
        self.holder = uuid.uuid4().hex
        self._client = client
        self._lease = lease
        self._timing = timing or LeaseTiming()
        self._clock_ms = clock_ms
        self._random = random.Random(seed)
        self._lease_state: lease_state.LeaseState | None = None
        # False once the stream has lost records that others may have read.
        self._is_history_complete = True
        self._next_offset = 0
        self._sent_ms: dict[str, float] = {}
        self._valid_until_ms = float('-inf')
        self._renewed_ms = float('-inf')
        self._next_acquire_ms = float('-inf')
        self._append_deadline_ms = float('-inf')
        self._last_tick_ms = clock_ms()
        self._pause_count = 0
        self._pause_count_at_read = -1

    async def on_started(self) -> None:
        """Start to tick, and to read the stream, acquire and renew."""
        self.add_future(self._tick_regularly())
        self.add_future(self._run())

    async def on_stop(self) -> None:
        """Release the lease."""
        number = self.fencing_number()
        self._valid_until_ms = float('-inf')
        if number is None:
            return
        try:
            await self._send(lease_state.Action.RELEASE, number)
        except platform_errors.PlatformError as fault:
            eliot.log_message('lease_not_released', reason=fault.message)

    def fencing_number(self) -> int | None:
        """Return the fencing number for orders; none if the lease is not held.

        To be called before each order: after a pause it returns none until
        the stream has been read again.
        """
        self.tick()
        state = self._lease_state
        if state is None or state.grant is None:
            return None
        if state.grant.holder != self.holder:
            return None
        if self._pause_count_at_read != self._pause_count:
            return None
        if self._clock_ms() >= self._valid_until_ms:
            return None
        return state.grant.fencing_number

    def tick(self) -> None:
        """Record that the event loop runs; a long gap counts as a pause."""
        now_ms = self._clock_ms()
        if now_ms - self._last_tick_ms > self._timing.safety_margin_ms:
            self._pause_count += 1
            eliot.log_message('lease_holder_paused', lease=self._lease)
        self._last_tick_ms = now_ms

    async def step(self) -> None:
        """Read the stream once, then renew or acquire if due.

        Raises a ``PlatformError`` when the log fails.
        """
        self.tick()
        await self._read()
        self.tick()
        await self._renew_or_acquire()

    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self.step()
            except platform_errors.PlatformError:
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _tick_regularly(self) -> None:
        while not self.should_stop:
            self.tick()
            await asyncio.sleep(_TICK_INTERVAL_S)

    async def _read(self) -> None:
        pause_count = self._pause_count
        if self._lease_state is None:
            await self._start()
        batch = await self._client.read(
            lease_state.STREAM,
            self._next_offset,
            wait_ms=self._read_wait_ms(),
        )
        dropped = batch.first_offset > self._next_offset
        if dropped or batch.end_offset < self._next_offset:
            # The stream was rewound, or truncated before all was read: the
            # holder of the lease is unknown.
            self._lease_state = None
            self._is_history_complete = False
            self._valid_until_ms = float('-inf')
            eliot.log_message('lease_stream_changed', lease=self._lease)
            return
        self._apply(batch.records)
        # A full batch may not reach the end; the state is current only there.
        if self._next_offset >= batch.end_offset:
            self._pause_count_at_read = pause_count

    async def _start(self) -> None:
        """Start to read shortly before the lease's last records."""
        head = await self._client.read(lease_state.STREAM, 0, limit=1)
        start = await start_offset(self._client, head)
        self._next_offset = start
        certain = self._is_history_complete and start == 0
        self._lease_state = lease_state.LeaseState(self._lease, certain=certain)

    def _apply(self, entries: list[log.Entry]) -> None:
        state = self._lease_state
        if state is None:
            return
        for entry in entries:
            has_effect = state.apply(entry)
            sent_ms = self._sent_ms.pop(entry.append_id, None)
            if sent_ms is None:
                continue
            self._append_deadline_ms = float('-inf')
            if has_effect:
                valid_until_ms = (
                    sent_ms
                    + self._timing.ttl_ms
                    - self._timing.safety_margin_ms
                )
                self._valid_until_ms = max(self._valid_until_ms, valid_until_ms)
                self._renewed_ms = sent_ms
        if entries:
            self._next_offset = entries[-1].offset + 1
            self._schedule_acquire(state, entries[-1].time_ms)

    def _schedule_acquire(
        self, state: lease_state.LeaseState, log_time_ms: int
    ) -> None:
        """Schedule the next acquire; one that is too early costs an append."""
        wait_ms = max(0, state.free_at_ms() - log_time_ms)
        jitter_ms = self._random.uniform(0, self._timing.max_jitter_ms)
        self._next_acquire_ms = self._clock_ms() + wait_ms + jitter_ms

    async def _renew_or_acquire(self) -> None:
        now_ms = self._clock_ms()
        state = self._lease_state
        if state is None or now_ms < self._append_deadline_ms:
            return
        number = self.fencing_number()
        if number is not None:
            if now_ms - self._renewed_ms >= self._timing.renew_interval_ms:
                await self._send(lease_state.Action.RENEW, number)
        elif now_ms >= self._next_acquire_ms:
            await self._send(lease_state.Action.ACQUIRE, -1)

    async def _send(self, action: lease_state.Action, number: int) -> None:
        state = self._lease_state
        record = lease_state.LeaseRecord(
            action,
            self._lease,
            self.holder,
            self._timing.ttl_ms,
            -1 if state is None else state.last_offset,
            number,
        )
        append_id = uuid.uuid4().hex
        now_ms = self._clock_ms()
        # An append whose answer was lost is found when its id is read back.
        self._sent_ms = {
            sent_id: sent_ms
            for sent_id, sent_ms in self._sent_ms.items()
            if now_ms - sent_ms < self._timing.ttl_ms
        }
        self._sent_ms[append_id] = now_ms
        self._append_deadline_ms = now_ms + _READ_BACK_TIMEOUT_MS
        payload = lease_state.encode(record)
        await self._client.append(lease_state.STREAM, append_id, payload)

    def _read_wait_ms(self) -> int:
        """Return how long a read may wait before the next append is due."""
        now_ms = self._clock_ms()
        due_ms = self._next_acquire_ms
        if self._valid_until_ms > now_ms:
            due_ms = self._renewed_ms + self._timing.renew_interval_ms
        remaining_ms = max(due_ms, self._append_deadline_ms) - now_ms
        return int(min(self._timing.read_wait_ms, max(0, remaining_ms)))


async def start_offset(client: history.LogClient, head: log.Batch) -> int:
    """Return the offset of the first record of the last 60 s of the stream.

    A held lease has records in this time, which is twice the longest validity.
    Raises a ``PlatformError`` when the log fails.
    """
    if not head.records:
        return head.end_offset
    last = await client.read(lease_state.STREAM, head.end_offset - 1, limit=1)
    if not last.records:
        raise platform_errors.UnavailableError(
            'the end of the lease stream was removed while it was read'
        )
    oldest_ms = last.records[0].time_ms - 2 * lease_state.MAX_TTL_MS
    low = head.first_offset
    high = head.end_offset - 1
    while low < high:
        middle = (low + high) // 2
        batch = await client.read(lease_state.STREAM, middle, limit=1)
        if not batch.records or batch.records[0].time_ms < oldest_ms:
            low = middle + 1
        else:
            high = middle
    return low
