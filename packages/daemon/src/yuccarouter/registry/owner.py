"""Owner of registry partitions: claims, session pins and outcomes."""

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
_DEFAULT_TIMEOUT_MS: Final = 2000
_IDLE_S: Final = 600
_JANITOR_S: Final = 60
_DRAIN_S: Final = 1
_MS: Final = 1000


class Owner(mode.Service):
    """Answers claims of any partition, whether preferred for it or not.

    Several owners of one partition are correct, because the stream's order
    decides. A partition is loaded at its first use and kept while in use.
    """

    def __init__(
        self,
        client: history.LogClient,
        window_ms: int = DEFAULT_WINDOW_MS,
        partition_count: int = settings.REGISTRY_PARTITIONS,
        min_interval_ms: float = writers.MIN_INTERVAL_MS,
        wait_ms: int = 5000,
        drain_s: float = _DRAIN_S,
    ) -> None:
        super().__init__()
        self.owner_id = uuid.uuid4().hex
        self._client = client
        self._window_ms = window_ms
        self._partition_count = partition_count
        self._min_interval_ms = min_interval_ms
        self._wait_ms = wait_ms
        self._drain_s = drain_s
        self._served: dict[int, served_partition.ServedPartition] = {}
        # Claims given up here whose release has not been read back.
        self._given_up: set[tuple[str, str]] = set()
        self._claiming: dict[tuple[str, str], asyncio.Event] = {}
        self._starting = asyncio.Lock()

    async def on_started(self) -> None:
        """Start to stop partitions that are no longer used."""
        self.add_future(self._stop_idle())

    async def on_stop(self) -> None:
        """Stop all partitions."""
        await asyncio.gather(*map(self._stop_served, tuple(self._served)))

    async def claim(
        self,
        request: router_pb2.ClaimRequest,
    ) -> router_pb2.ClaimReply:
        """Claim a key for an attempt.

        The caller runs the attempt only when the state is ``won``. After
        ``unavailable`` the claim of this call is never reported as won and
        is released if it may be in the log; another try needs a new attempt
        id.
        """
        timeout_ms = request.timeout_ms or _DEFAULT_TIMEOUT_MS
        deadline = asyncio.get_running_loop().time() + timeout_ms / _MS
        if not self._is_valid(request.key, request.partition):
            return replies.unavailable(request)
        try:
            async with asyncio.timeout_at(deadline):
                served = await self._partition(request.partition)
                await served.loaded.wait()
        except TimeoutError:
            return replies.unavailable(request)
        if not await self._first_call(served, request, deadline):
            return replies.unavailable(request)
        known = await self._known(served, request)
        if known is not None:
            return known
        claiming = request.key, request.attempt_id
        self._claiming[claiming] = asyncio.Event()
        try:
            return await self._write_claim(served, request, deadline)
        finally:
            self._claiming.pop(claiming).set()

    async def record(
        self,
        request: router_pb2.RecordRequest,
    ) -> router_pb2.RecordReply:
        """Record an attempt's outcome or its release.

        ``recorded`` is set once the stream shows it. Without it the item may
        still be written later: it stays queued while the log is down.
        """
        if not self._is_valid(request.key, request.partition):
            return router_pb2.RecordReply(recorded=False, offset=-1)
        item = replies.item_of(request)
        if item is None:
            return router_pb2.RecordReply(recorded=False, offset=-1)
        served = await self._partition(request.partition)
        try:
            if isinstance(item, items.Release):
                ticket = self._release(served, item)
            else:
                ticket = served.writer.add(item)
            async with asyncio.timeout(_RECORD_TIMEOUT_MS / _MS):
                offset = await asyncio.shield(ticket.read_back)
        except (TimeoutError, errors.RegistryError):
            return router_pb2.RecordReply(recorded=False, offset=-1)
        return router_pb2.RecordReply(
            recorded=replies.took_effect(served.keys, item),
            offset=offset,
        )

    async def _first_call(
        self,
        served: served_partition.ServedPartition,
        request: router_pb2.ClaimRequest,
        deadline: float,
    ) -> bool:
        """Wait for an earlier call of the same attempt that still runs.

        Otherwise this call could time out and release the claim that the
        earlier one reports as won. Returns false on time-out; the earlier
        call has not been answered then and will not be won either.
        """
        claiming = request.key, request.attempt_id
        try:
            async with asyncio.timeout_at(deadline):
                while claiming in self._claiming:
                    await self._claiming[claiming].wait()
        except TimeoutError:
            # The earlier call may have been answered as the time ran out.
            if claiming not in self._claiming:
                return True
            self._release(served, items.Release(*claiming, self.owner_id))
            return False
        return True

    def _is_valid(self, key: str, number: int) -> bool:
        return partitioning.partition_of(key, self._partition_count) == number

    async def _partition(
        self,
        number: int,
    ) -> served_partition.ServedPartition:
        async with self._starting:
            served = self._served.get(number)
            if served is None:
                served = served_partition.ServedPartition(
                    self._client,
                    partitioning.stream_of(number),
                    self._window_ms + 2 * partition.MARGIN_MS,
                    self._min_interval_ms,
                    self._wait_ms,
                )
                await served.start()
                self._served[number] = served
        served.used_at = time.monotonic()
        return served

    async def _known(
        self,
        served: served_partition.ServedPartition,
        request: router_pb2.ClaimRequest,
    ) -> router_pb2.ClaimReply | None:
        """Answer from what has been read, none when a claim is needed."""
        holder = served.keys.holder(request.key)
        window_ms = replies.window_ms(request, self._window_ms)
        now_ms = served.now_ms()
        if self._is_given_up(served, request):
            return replies.unavailable(request)
        if holder is None:
            too_old = 0 < request.key_time_ms < now_ms - window_ms
            if too_old or not served.covers(request.key_time_ms, window_ms):
                return replies.reply(request, replies.EXPIRED)
            return None
        if not (holder.has_outcome or served.fresh):
            return replies.unavailable(request)
        if now_ms - holder.time_ms > window_ms:
            return replies.reply(request, replies.EXPIRED)
        return await self._held(served, request, holder)

    async def _held(
        self,
        served: served_partition.ServedPartition,
        request: router_pb2.ClaimRequest,
        holder: partition.Holder,
    ) -> router_pb2.ClaimReply:
        """Answer for a key that an attempt holds."""
        reply = replies.reply(request, replies.LOST)
        reply.holder_attempt_id = holder.attempt_id
        reply.value = holder.claim_value
        reply.offset = holder.offset
        reply.age_ms = max(0, served.now_ms() - holder.time_ms)
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
        ticket: writers.Ticket | None = None
        try:
            async with asyncio.timeout_at(deadline):
                ticket = served.writer.add(claim)
                await asyncio.shield(ticket.read_back)
        except (TimeoutError, errors.RegistryError):
            self._give_up(served, claim, ticket)
            return replies.unavailable(request)
        except asyncio.CancelledError:
            self._give_up(served, claim, ticket)
            raise
        if self._is_given_up(served, request):
            return replies.unavailable(request)
        holder = served.keys.holder(request.key)
        if holder is None:
            return replies.unavailable(request)
        reply = await self._held(served, request, holder)
        window_ms = replies.window_ms(request, self._window_ms)
        covered = served.covers(request.key_time_ms, window_ms)
        in_time = replies.is_in_window(request, holder, window_ms)
        if reply.state == replies.WON and not (covered and in_time):
            self._give_up(served, claim, ticket)
            reply.state = replies.EXPIRED
        return reply

    def _give_up(
        self,
        served: served_partition.ServedPartition,
        claim: items.Claim,
        ticket: writers.Ticket | None,
    ) -> None:
        """Make sure that a claim is never reported as won; release it."""
        if ticket is None or served.writer.withdraw(ticket):
            return
        self._release(
            served,
            items.Release(claim.key, claim.attempt_id, self.owner_id),
        )

    def _release(
        self,
        served: served_partition.ServedPartition,
        release: items.Release,
    ) -> writers.Ticket:
        given_up = release.key, release.attempt_id
        self._given_up.add(given_up)
        ticket = served.writer.add_always(release)
        ticket.read_back.add_done_callback(
            lambda _: self._given_up.discard(given_up),
        )
        return ticket

    def _is_given_up(
        self,
        served: served_partition.ServedPartition,
        request: router_pb2.ClaimRequest,
    ) -> bool:
        if (request.key, request.attempt_id) in self._given_up:
            return True
        return served.keys.is_released(
            request.key,
            request.attempt_id,
            self.owner_id,
        )

    async def _stop_idle(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_JANITOR_S)
            oldest = time.monotonic() - _IDLE_S
            idle = [
                number
                for number, served in self._served.items()
                if served.used_at < oldest and not len(served.writer)
            ]
            await asyncio.gather(*map(self._stop_served, idle))

    async def _stop_served(self, number: int) -> None:
        served = self._served.pop(number)
        # Releases of claims that were given up should reach the log.
        await served.writer.drain(self._drain_s)
        await served.stop()
        eliot.log_message('registry_partition_stopped', number=number)
