"""Holding a lease through the stream of leases."""

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

# A lost controller is replaced within 12 s and some jitter; three renewals
# may fail before the lease is lost.
_TTL_MS: Final = 12_000
_RENEW_EVERY_MS: Final = 3000
# Covers clocks that run at different rates and turns of the event loop; a
# pause longer than this counts as one.
_MARGIN_MS: Final = 2000
_JITTER_MS: Final = 3000
_WAIT_MS: Final = 1000
_TICK_S: Final = 0.2
# An append that was not read back by then is taken as lost.
_ANSWER_MS: Final = 4000
_BACKOFF_S: Final = 0.5


@attrs.frozen
class Terms:
    """Times of a lease in milliseconds; see the module's defaults."""

    ttl_ms: int = _TTL_MS
    renew_every_ms: int = _RENEW_EVERY_MS
    margin_ms: int = _MARGIN_MS
    jitter_ms: int = _JITTER_MS
    wait_ms: int = _WAIT_MS


class LeaseHolder(mode.Service):
    """Tries to hold a lease while it runs.

    The log's order and record times decide who holds the lease. The holder
    counts its term by its own clock from before it sent the record, less a
    margin, so it stops early. ``clock_ms`` goes on while the VM is suspended.
    """

    def __init__(
        self,
        client: history.LogClient,
        lease: str,
        terms: Terms | None = None,
        clock_ms: Callable[[], float] = clocks.boot_ms,
        seed: int | None = None,
    ) -> None:
        super().__init__()
        # One id for each run: a restarted process does not inherit a lease.
        self.holder = uuid.uuid4().hex
        self._client = client
        self._lease = lease
        self._terms = terms or Terms()
        self._clock_ms = clock_ms
        self._random = random.Random(seed)
        self._lease_state: lease_state.LeaseState | None = None
        # Cleared when the stream has lost records that others have seen.
        self._is_whole = True
        self._next_offset = 0
        self._sent: dict[str, float] = {}
        self._believed_until = float('-inf')
        self._renewed_at = float('-inf')
        self._try_at = float('-inf')
        self._busy_until = float('-inf')
        self._ticked_ms = clock_ms()
        self._pauses = 0
        self._read_pauses = -1

    async def on_started(self) -> None:
        """Start to read, acquire and renew."""
        self.add_future(self._tick_often())
        self.add_future(self._run())

    async def on_stop(self) -> None:
        """Release the lease."""
        number = self.fencing_number()
        self._believed_until = float('-inf')
        if number is None:
            return
        try:
            await self._send(lease_state.Action.RELEASE, number)
        except platform_errors.PlatformError as fault:
            eliot.log_message('lease_not_released', reason=fault.message)

    def fencing_number(self) -> int | None:
        """Return the number to send with orders, none when not the holder.

        To be called before each order: after a pause it is none until the
        stream has been read again.
        """
        self.tick()
        state = self._lease_state
        if state is None or state.grant is None:
            return None
        if state.grant.holder != self.holder:
            return None
        if self._read_pauses != self._pauses:
            return None
        if self._clock_ms() >= self._believed_until:
            return None
        return state.grant.fencing_number

    def tick(self) -> None:
        """Note that the event loop runs; a long gap counts as a pause."""
        now_ms = self._clock_ms()
        if now_ms - self._ticked_ms > self._terms.margin_ms:
            self._pauses += 1
            eliot.log_message('lease_holder_paused', lease=self._lease)
        self._ticked_ms = now_ms

    async def step(self) -> None:
        """Read the stream once, then renew or acquire if it is time.

        Raises a ``PlatformError`` when the log fails.
        """
        self.tick()
        await self._read()
        self.tick()
        await self._act()

    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self.step()
            except platform_errors.PlatformError:
                await asyncio.sleep(_BACKOFF_S)

    async def _tick_often(self) -> None:
        while not self.should_stop:
            self.tick()
            await asyncio.sleep(_TICK_S)

    async def _read(self) -> None:
        pauses = self._pauses
        if self._lease_state is None:
            await self._start()
        batch = await self._client.read(
            lease_state.STREAM,
            self._next_offset,
            wait_ms=self._wait_ms(),
        )
        dropped = batch.first_offset > self._next_offset
        if dropped or batch.end_offset < self._next_offset:
            # Rewound, or records were dropped unread: nothing is certain.
            self._lease_state = None
            self._is_whole = False
            self._believed_until = float('-inf')
            eliot.log_message('lease_stream_changed', lease=self._lease)
            return
        self._apply(batch.records)
        # More records may follow a full batch: only the end is up to date.
        if self._next_offset >= batch.end_offset:
            self._read_pauses = pauses

    async def _start(self) -> None:
        """Begin within the stream, where the lease's last records are."""
        head = await self._client.read(lease_state.STREAM, 0, limit=1)
        start = await start_offset(self._client, head)
        self._next_offset = start
        certain = self._is_whole and start == 0
        self._lease_state = lease_state.LeaseState(self._lease, certain=certain)

    def _apply(self, entries: list[log.Entry]) -> None:
        state = self._lease_state
        if state is None:
            return
        for entry in entries:
            has_effect = state.apply(entry)
            sent_at = self._sent.pop(entry.append_id, None)
            if sent_at is None:
                continue
            self._busy_until = float('-inf')
            if has_effect:
                until = sent_at + self._terms.ttl_ms - self._terms.margin_ms
                self._believed_until = max(self._believed_until, until)
                self._renewed_at = sent_at
        if entries:
            self._next_offset = entries[-1].offset + 1
            self._plan(state, entries[-1].time_ms)

    def _plan(self, state: lease_state.LeaseState, log_time_ms: int) -> None:
        """Choose when to try; too early a try only costs an append."""
        wait_ms = max(0, state.free_at_ms() - log_time_ms)
        jitter_ms = self._random.uniform(0, self._terms.jitter_ms)
        self._try_at = self._clock_ms() + wait_ms + jitter_ms

    async def _act(self) -> None:
        now_ms = self._clock_ms()
        state = self._lease_state
        if state is None or now_ms < self._busy_until:
            return
        number = self.fencing_number()
        if number is not None:
            if now_ms - self._renewed_at >= self._terms.renew_every_ms:
                await self._send(lease_state.Action.RENEW, number)
        elif now_ms >= self._try_at:
            await self._send(lease_state.Action.ACQUIRE, -1)

    async def _send(self, action: lease_state.Action, number: int) -> None:
        state = self._lease_state
        record = lease_state.LeaseRecord(
            action,
            self._lease,
            self.holder,
            self._terms.ttl_ms,
            -1 if state is None else state.last_offset,
            number,
        )
        append_id = uuid.uuid4().hex
        now_ms = self._clock_ms()
        # Lost answers need no search: the record is read back by its id.
        self._sent = {
            sent_id: sent_at
            for sent_id, sent_at in self._sent.items()
            if now_ms - sent_at < self._terms.ttl_ms
        }
        self._sent[append_id] = now_ms
        self._busy_until = now_ms + _ANSWER_MS
        payload = lease_state.encode(record)
        await self._client.append(lease_state.STREAM, append_id, payload)

    def _wait_ms(self) -> int:
        """Return how long a read may wait until there is something to do."""
        now_ms = self._clock_ms()
        due = self._try_at
        if self._believed_until > now_ms:
            due = self._renewed_at + self._terms.renew_every_ms
        left_ms = max(due, self._busy_until) - now_ms
        return int(min(self._terms.wait_ms, max(0, left_ms)))


async def start_offset(client: history.LogClient, head: log.Batch) -> int:
    """Return an offset older than the last records of a held lease."""
    if not head.records:
        return head.end_offset
    last = await client.read(lease_state.STREAM, head.end_offset - 1, limit=1)
    if not last.records:
        raise platform_errors.UnavailableError('stream of leases has changed')
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
