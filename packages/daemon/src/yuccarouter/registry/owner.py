"""Serves claims, session pins and outcomes of registry partitions."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import Final

import eliot
import mode

from yuccarouter.registry import (
    errors,
    items,
    partition,
    partitioning,
    replies,
    served_partition,
)
from yuccarouter.registry import writer as writers
from yuccarouter_common import history, settings
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.proto import router_pb2

DEFAULT_WINDOW_MS: Final = 3_600_000
_RECORD_TIMEOUT_MS: Final = 5000
_DEFAULT_CLAIM_TIMEOUT_MS: Final = 2000
_IDLE_TIMEOUT_S: Final = 600
_IDLE_CHECK_INTERVAL_S: Final = 60
_DRAIN_TIMEOUT_S: Final = 1
_MS_PER_S: Final = 1000


class Owner(mode.Service):
    """Answers claims of any partition, also as an agent that is not preferred.

    A partition may have several owners at a time, because the order of the
    records in its stream decides which claim wins. An owner loads a partition
    at its first use and stops it when it has not been used for a while.
    """

    def __init__(
        self,
        client: history.LogClient,
        window_ms: int = DEFAULT_WINDOW_MS,
        partition_count: int = settings.REGISTRY_PARTITIONS,
        min_interval_ms: float = writers.MIN_INTERVAL_MS,
        wait_ms: int = 5000,
        drain_timeout_s: float = _DRAIN_TIMEOUT_S,
    ) -> None:
        super().__init__()
        self.owner_id = uuid.uuid4().hex
        self._client = client
        self._window_ms = window_ms
        self._partition_count = partition_count
        self._min_interval_ms = min_interval_ms
        self._wait_ms = wait_ms
        self._drain_timeout_s = drain_timeout_s
        self._served: dict[int, served_partition.ServedPartition] = {}
        # Keys and attempts whose release by this owner was not read back yet.
        self._abandoned: set[tuple[str, str]] = set()
        self._claims_in_progress: dict[tuple[str, str], asyncio.Event] = {}
        self._start_lock = asyncio.Lock()

    async def on_started(self) -> None:
        """Start the task that stops unused partitions."""
        self.add_future(self._stop_idle())

    async def on_stop(self) -> None:
        """Stop all partitions."""
        await asyncio.gather(*map(self._stop_served, tuple(self._served)))

    async def claim(
        self,
        request: router_pb2.ClaimRequest,
    ) -> router_pb2.ClaimReply:
        """Claim a key for an attempt.

        The caller may run the attempt only when the state is ``won``. After
        ``unavailable`` the claim of this call is never reported as won, and it
        is released if it may be in the log. A retry needs a new attempt id.
        """
        timeout_ms = request.timeout_ms or _DEFAULT_CLAIM_TIMEOUT_MS
        deadline = asyncio.get_running_loop().time() + timeout_ms / _MS_PER_S
        if not self._is_valid(request.key, request.partition):
            return replies.unavailable(request)
        try:
            async with asyncio.timeout_at(deadline):
                served = await self._open_partition(request.partition)
                await served.loaded.wait()
        except TimeoutError:
            return replies.unavailable(request)
        if not await self._wait_for_earlier_call(served, request, deadline):
            return replies.unavailable(request)
        reply = await self._reply_from_state(served, request)
        if reply is not None:
            return reply
        attempt = request.key, request.attempt_id
        self._claims_in_progress[attempt] = asyncio.Event()
        try:
            return await self._write_claim(served, request, deadline)
        finally:
            self._claims_in_progress.pop(attempt).set()

    async def record(
        self,
        request: router_pb2.RecordRequest,
    ) -> router_pb2.RecordReply:
        """Record an attempt's outcome or its release.

        ``recorded`` is set once the item has been read back from the stream.
        Otherwise it may still be written later: it stays queued while the log
        is down.
        """
        if not self._is_valid(request.key, request.partition):
            return router_pb2.RecordReply(recorded=False, offset=-1)
        item = replies.item_to_record(request)
        if item is None:
            return router_pb2.RecordReply(recorded=False, offset=-1)
        served = await self._open_partition(request.partition)
        try:
            if isinstance(item, items.Release):
                pending = self._release(served, item)
            else:
                pending = served.writer.add(item)
            async with asyncio.timeout(_RECORD_TIMEOUT_MS / _MS_PER_S):
                offset = await asyncio.shield(pending.read_back)
        except (TimeoutError, errors.RegistryError):
            return router_pb2.RecordReply(recorded=False, offset=-1)
        return router_pb2.RecordReply(
            recorded=replies.took_effect(served.claims, item),
            offset=offset,
        )

    async def _wait_for_earlier_call(
        self,
        served: served_partition.ServedPartition,
        request: router_pb2.ClaimRequest,
        deadline: float,
    ) -> bool:
        """Wait for a concurrent earlier call of the same attempt to end.

        Without the wait, this call could time out and release a claim that
        the earlier one reports as won. Returns false on time-out. The claim
        has been released then, and the earlier call won't report it as won.
        """
        attempt = request.key, request.attempt_id
        try:
            async with asyncio.timeout_at(deadline):
                while attempt in self._claims_in_progress:
                    await self._claims_in_progress[attempt].wait()
        except TimeoutError:
            # The earlier call may have ended just as the timeout expired.
            if attempt not in self._claims_in_progress:
                return True
            self._release(served, items.Release(*attempt, self.owner_id))
            return False
        return True

    def _is_valid(self, key: str, number: int) -> bool:
        return partitioning.partition_of(key, self._partition_count) == number

    async def _open_partition(
        self,
        number: int,
    ) -> served_partition.ServedPartition:
        async with self._start_lock:
            served = self._served.get(number)
            if served is None:
                served = served_partition.ServedPartition(
                    self._client,
                    partitioning.stream_of(number),
                    self._window_ms + 2 * partition.CLOCK_SKEW_MARGIN_MS,
                    self._min_interval_ms,
                    self._wait_ms,
                )
                await served.start()
                self._served[number] = served
        served.last_used_at = time.monotonic()
        return served

    async def _reply_from_state(
        self,
        served: served_partition.ServedPartition,
        request: router_pb2.ClaimRequest,
    ) -> router_pb2.ClaimReply | None:
        """Return the reply from memory, ``None`` if a claim must be written."""
        holder = served.claims.holder(request.key)
        window_ms = replies.window_ms(request, self._window_ms)
        log_time_ms = served.log_time_ms()
        if self._is_abandoned(served, request):
            return replies.unavailable(request)
        if holder is None:
            is_too_old = 0 < request.key_time_ms < log_time_ms - window_ms
            if is_too_old or not served.is_complete_for(
                request.key_time_ms, window_ms
            ):
                return replies.with_state(request, replies.EXPIRED)
            return None
        if not (holder.has_outcome or served.is_fresh):
            return replies.unavailable(request)
        if log_time_ms - holder.time_ms > window_ms:
            return replies.with_state(request, replies.EXPIRED)
        return await self._reply_for_holder(served, request, holder)

    async def _reply_for_holder(
        self,
        served: served_partition.ServedPartition,
        request: router_pb2.ClaimRequest,
        holder: partition.Holder,
    ) -> router_pb2.ClaimReply:
        """Return the reply for a key that is held by an attempt."""
        reply = replies.with_state(request, replies.LOST)
        reply.holder_attempt_id = holder.attempt_id
        reply.value = holder.claim_value
        reply.offset = holder.offset
        reply.age_ms = max(0, served.log_time_ms() - holder.time_ms)
        if holder.body_digest != request.body_digest:
            reply.state = replies.CONFLICT
        elif holder.has_outcome:
            try:
                reply.body = await served.outcome_body(request.key, holder)
            except platform_errors.PlatformError:
                return replies.unavailable(request)
            reply.has_outcome = True
            reply.status = holder.status
            reply.content_type = holder.content_type
        elif (holder.attempt_id, holder.owner) == (
            request.attempt_id,
            self.owner_id,
        ):
            reply.state = replies.WON
        return reply

    async def _write_claim(
        self,
        served: served_partition.ServedPartition,
        request: router_pb2.ClaimRequest,
        deadline: float,
    ) -> router_pb2.ClaimReply:
        claim = items.Claim(
            request.key,
            request.attempt_id,
            self.owner_id,
            request.value,
            request.body_digest,
        )
        pending: writers.PendingItem | None = None
        try:
            async with asyncio.timeout_at(deadline):
                pending = served.writer.add(claim)
                await asyncio.shield(pending.read_back)
        except (TimeoutError, errors.RegistryError):
            self._abandon(served, claim, pending)
            return replies.unavailable(request)
        except asyncio.CancelledError:
            self._abandon(served, claim, pending)
            raise
        if self._is_abandoned(served, request):
            return replies.unavailable(request)
        holder = served.claims.holder(request.key)
        if holder is None:
            return replies.unavailable(request)
        reply = await self._reply_for_holder(served, request, holder)
        window_ms = replies.window_ms(request, self._window_ms)
        is_complete = served.is_complete_for(request.key_time_ms, window_ms)
        is_in_window = replies.is_in_window(request, holder, window_ms)
        if reply.state == replies.WON and not (is_complete and is_in_window):
            self._abandon(served, claim, pending)
            reply.state = replies.EXPIRED
        return reply

    def _abandon(
        self,
        served: served_partition.ServedPartition,
        claim: items.Claim,
        pending: writers.PendingItem | None,
    ) -> None:
        """Withdraw a claim, or release it if it may be in the log.

        It is never reported as won afterwards.
        """
        if pending is None or served.writer.withdraw(pending):
            return
        self._release(
            served,
            items.Release(claim.key, claim.attempt_id, self.owner_id),
        )

    def _release(
        self,
        served: served_partition.ServedPartition,
        release: items.Release,
    ) -> writers.PendingItem:
        attempt = release.key, release.attempt_id
        self._abandoned.add(attempt)
        pending = served.writer.add_unbounded(release)
        pending.read_back.add_done_callback(
            lambda _: self._abandoned.discard(attempt),
        )
        return pending

    def _is_abandoned(
        self,
        served: served_partition.ServedPartition,
        request: router_pb2.ClaimRequest,
    ) -> bool:
        if (request.key, request.attempt_id) in self._abandoned:
            return True
        return served.claims.is_released(
            request.key,
            request.attempt_id,
            self.owner_id,
        )

    async def _stop_idle(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_IDLE_CHECK_INTERVAL_S)
            idle_since = time.monotonic() - _IDLE_TIMEOUT_S
            idle = [
                number
                for number, served in self._served.items()
                if served.last_used_at < idle_since and not len(served.writer)
            ]
            await asyncio.gather(*map(self._stop_served, idle))

    async def _stop_served(self, number: int) -> None:
        served = self._served.pop(number)
        # Gives the releases of abandoned claims time to be written to the log.
        await served.writer.drain(self._drain_timeout_s)
        await served.stop()
        eliot.log_message('registry_partition_stopped', number=number)
