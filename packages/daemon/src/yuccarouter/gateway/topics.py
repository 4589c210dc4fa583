"""Replicas of the store's keyed topics, with reconnection after outages."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING, Final

import attrs
import eliot

from yuccarouter.gateway import (
    checked_reads,
    confirmations,
    metrics,
    offsets,
    pending_calls,
    ports,
    record_lags,
    retry_pauses,
)
from yuccarouter_common import clocks, loop_threads
from yuccarouter_common.platform import errors

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

_MS_PER_S: Final = 1000
# Delay after a failed call. It doubles with each further one, since refused
# calls cost as much as others, and has jitter to spread daemons' calls. With
# a longest delay of 1,200 ms, an outage's end was noticed up to 1.1 s late.
_RETRY_DELAY_MS: Final = 300.0
_MAX_RETRY_DELAY_MS: Final = 700.0
_MAX_DOUBLINGS: Final = 4
# Delay after a call that failed only after a longer time than the delay.
_MIN_RETRY_DELAY_MS: Final = 50.0
# Longest time without a call while the probe topic fails. The store may answer
# for this topic all the same: perhaps only the probe topic can't be decoded.
_MAX_PROBE_WAIT_MS: Final = 5000.0
# Shortest time between two pages with records, so that a burst is read with few
# calls.
_PAGE_INTERVAL_MS: Final = 200.0
# Interval of reading from peers.
_PEER_READ_INTERVAL_MS: Final = 400.0
# Share of the age limit in which peers must have confirmed a replica that they
# read for this daemon, before it calls the store itself. It is more than their
# interval and that of their digests together. The rest is for the call and for
# requests whose endpoint was chosen before it.
_PEER_CONFIRMATION_SHARE: Final = 0.75
# Length of an outage after which the newest records are loaded anew: a long
# poll would not show that the store has lost records.
_RELOAD_AFTER_MS: Final = 1000.0
# Where a record came from, in logs and metrics.
_FROM_READ: Final = 'read'
_FROM_CHECK: Final = 'check'
_FROM_LOAD: Final = 'load'
_FROM_PEER: Final = 'peer'
# Shares of the age limit at which a daemon checks a read that waits: the first
# daemon tells the others the outcome, and they check only if they don't hear
# of it. The rest of the limit is for the answer and for applying the records.
_FIRST_CHECK_SHARE: Final = 0.5
_OTHER_CHECK_SHARE: Final = 0.8
_MIN_CHECK_INTERVAL_MS: Final = 200.0


def _ignore() -> None:
    """Ignore a restore."""


def _checks_first(_: Topic) -> bool:
    """Return that there is no peer that checks first."""
    return True


def _never_confirmed(_: Topic) -> confirmations.Confirmation:
    """Return that no peer has confirmed the replica."""
    return confirmations.NEVER


@attrs.define
class Table:
    """The newest record of each key, by offset.

    A record that is not newer than the stored one of its key is ignored, so
    that pages and peers may repeat records. ``newest_offset`` is that up to
    which all records were read, also those that the store has dropped since.
    Single newer ones may be stored: the pages of a load are not one snapshot.
    """

    entries: dict[str, ports.Entry] = attrs.field(factory=dict)
    next_offset: int = 0
    newest_offset: int = -1

    def apply(self, entry: ports.Entry) -> bool:
        """Store a record if it is newer; return whether it was stored."""
        current = self.entries.get(entry.key)
        if current is not None and current.offset >= entry.offset:
            return False
        self.entries[entry.key] = entry
        return True

    def has_dropped(self, entry: ports.Entry) -> bool:
        """Return whether a record's key was removed after it, as known here.

        An answer of a peer may be older than what was read meanwhile.
        """
        current = self.entries.get(entry.key)
        is_present = current is not None and bool(current.value)
        return entry.offset <= self.newest_offset and not is_present

    def advance(self, next_offset: int) -> None:
        """Record that all records before ``next_offset`` were read."""
        self.next_offset = max(self.next_offset, next_offset)
        if offsets.number(next_offset):
            self.newest_offset = max(self.newest_offset, next_offset - 1)

    def removals(
        self, present: frozenset[str], end_offset: int
    ) -> list[ports.Entry]:
        """Return tombstones for the stored keys that are not in ``present``.

        These are the keys of an answer that holds the records before
        ``end_offset``. It tells nothing about records that are newer.
        """
        # The offset is one lower, so that the record counts as new when it is
        # read again: the answer that lacked it may have been stale.
        return [
            ports.Entry(key, b'', entry.offset - 1)
            for key, entry in self.entries.items()
            if entry.value and key not in present and entry.offset < end_offset
        ]


@attrs.define
class Topic:
    """Follows a topic of the store and keeps a replica of it in ``table``.

    ``poll_interval_ms`` is the time between calls; with 0, each call is a long
    poll of up to ``long_poll_ms``. ``on_record`` gets each new record, in
    order. ``on_reconnected`` gets the length of an outage in ms once the store
    answers again. The store is not called if ``read_from_peer`` returns true:
    a peer reads the topic for this daemon. ``probe`` is another topic: while
    calls for both fail, only ``probe`` is retried, for a few seconds. Records
    that a restored store lacks are kept for ``rewrite_grace_ms``, in which
    their writers may write them again. ``on_restored`` is called once for each
    restore that this topic learns of. New records of a topic with
    ``logs_changes`` are logged with their source and age.

    A long poll may never be answered, so that the replica is confirmed in other
    ways before it is older than ``max_age_ms``: by further calls to the store,
    or by a peer, whose newest one ``confirmed_by_peers`` returns. The daemon
    for which ``checks_first`` is true calls the store before the others.
    ``confirmation`` is that by the store's answers to this daemon itself, and
    ``lag`` tells for how long peers have had records that lack here, and
    ``pending`` for how long a call that does not wait has had no answer.

    Other threads may read the replica, and change it only by functions that
    ``schedule`` calls in the event loop that follows the topic.
    """

    name: str
    store: ports.Store
    on_record: Callable[[ports.Entry], None]
    on_reconnected: Callable[[float], None]
    poll_interval_ms: float = 0
    long_poll_ms: int = 8000
    read_from_peer: Callable[[Topic], Awaitable[bool]] | None = None
    probe: Topic | None = None
    rewrite_grace_ms: float = 0
    on_restored: Callable[[], None] = _ignore
    logs_changes: bool = False
    max_age_ms: float = math.inf
    checks_first: Callable[[Topic], bool] = _checks_first
    confirmed_by_peers: Callable[[Topic], confirmations.Confirmation] = (
        _never_confirmed
    )
    schedule: Callable[..., None] = loop_threads.call_now
    confirmation: confirmations.Confirmation = confirmations.NEVER
    # The newest one before the records that are being applied.
    confirmation_before: confirmations.Confirmation = confirmations.NEVER
    table: Table = attrs.field(factory=Table)
    lag: record_lags.RecordLag = attrs.field(factory=record_lags.RecordLag)
    pending: pending_calls.PendingCall = attrs.field(
        factory=pending_calls.PendingCall
    )
    pause: retry_pauses.RetryPause = attrs.field(
        factory=retry_pauses.RetryPause
    )
    started_ms: float = attrs.field(factory=clocks.monotonic_ms)
    last_answer_ms: float = -math.inf
    is_loaded: bool = False
    is_failing: bool = False
    is_read_from_peer: bool = False
    consecutive_failures: int = 0
    last_failure_ms: float = -math.inf
    grace_end_ms: float | None = None
    read_began_ms: float = -math.inf
    last_page_ms: float = -math.inf
    call_began_ms: float = -math.inf
    _call: asyncio.Timeout | None = None

    @property
    def is_read_from_store(self) -> bool:
        """Whether this daemon reads the topic from the store successfully."""
        return (
            self.is_loaded
            and not self.is_failing
            and not self.is_read_from_peer
        )

    def newest_confirmation(self) -> confirmations.Confirmation:
        """Return the newest confirmation, by the store or by a peer."""
        by_peers = self.confirmed_by_peers(self)
        return max(self.confirmation, by_peers, key=lambda each: each.at_ms)

    async def follow(self) -> None:
        """Read the topic until the task is cancelled."""
        while True:
            if _is_waiting_for_probe(self):
                await self.pause.sleep(_RETRY_DELAY_MS)
                continue
            try:
                delay_ms = await self._read_once()
            except ports.CompactedError:
                eliot.log_message('topic_compacted', topic=self.name)
                self.is_loaded = False
            except errors.PlatformError as fault:
                self._record_failure(fault)
                delay_ms = _retry_delay_ms(
                    self.consecutive_failures, self.call_began_ms
                )
                await self.pause.sleep(delay_ms)
            else:
                await asyncio.sleep(delay_ms / _MS_PER_S)

    def merge(
        self,
        entries: list[ports.Entry],
        present: frozenset[str] | None = None,
        newest_offset: int = -1,
    ) -> None:
        """Apply records of a peer; records that are not newer are ignored.

        ``present`` are all keys that exist for the peer, and ``newest_offset``
        is the newest offset that it has read. Keys that are not in ``present``
        are removed unless their record is newer than ``newest_offset``.
        """
        self._note_generation(newest_offset + 1)
        if present is not None:
            self._remove_absent(present, newest_offset + 1)
        self._apply_all(
            [entry for entry in entries if not self.table.has_dropped(entry)],
            _FROM_PEER,
            self.newest_confirmation(),
        )
        self.table.advance(newest_offset + 1)

    async def _read_once(self) -> float:
        """Read new records once and return the delay before the next call."""
        if not self.is_loaded or self._grace_remaining_ms() == 0:
            await self._load()
            return self.poll_interval_ms
        delay_ms = await self._read_from_peer()
        self.is_read_from_peer = delay_ms > 0
        if self.is_read_from_peer:
            return delay_ms

        call_began_ms = clocks.boot_ms()

        async def begin_read(wait_ms: int) -> ports.Page:
            nonlocal call_began_ms  # noqa: WPS420
            call_began_ms = clocks.boot_ms()
            self.call_began_ms = clocks.monotonic_ms()
            reading = self.store.read(
                self.name, self.table.next_offset, wait_ms
            )
            if wait_ms:
                return await reading
            return await self.pending.answer(reading)

        call = asyncio.timeout(None)
        self._call = call
        wait_ms = self._wait_ms()
        self.read_began_ms = clocks.monotonic_ms()
        waits_from_ms = clocks.boot_ms()
        try:
            async with call:
                page, is_from_check = await checked_reads.read(
                    begin_read,
                    wait_ms,
                    self._check_delay_ms,
                    lambda: self._record_success(call_began_ms, _FROM_CHECK),
                )
        except TimeoutError:
            return 0
        finally:
            self._call = None
        confirmed_before = self.newest_confirmation()
        source = _FROM_CHECK if is_from_check else _FROM_READ
        if is_from_check:
            confirmed_ms = call_began_ms
        elif page.entries:
            # It may have been answered at any time since it began.
            confirmed_ms = waits_from_ms
        else:
            confirmed_ms = _empty_until_ms(waits_from_ms, wait_ms)
        self._record_success(confirmed_ms, source)
        self._apply_all(page.entries, source, confirmed_before)
        self.table.advance(page.next_offset)
        return _delay_after_ms(self, page)

    async def _read_from_peer(self) -> float:
        """Read the topic from a peer and return the delay before the next read.

        It is 0 if the store must be called: no peer reads the topic for this
        daemon, or none has confirmed the replica in time. A peer that has died
        or is cut off tells nothing, and its silence confirms nothing.
        """
        remaining_ms = _peer_confirmation_remaining_ms(self)
        if self.read_from_peer is None or self.is_failing or remaining_ms <= 0:
            return 0
        limit_s = None
        if math.isfinite(remaining_ms):
            limit_s = remaining_ms / _MS_PER_S
        try:
            async with asyncio.timeout(limit_s):
                is_read = await self.read_from_peer(self)
        except TimeoutError:
            return 0
        if not is_read:
            return 0
        remaining_ms = _peer_confirmation_remaining_ms(self)
        return max(0, min(_PEER_READ_INTERVAL_MS, remaining_ms))

    def reload(self) -> None:
        """Load the topic anew, also if a call waits for the next record.

        A call from before a restore may wait for a record of the lost ones.
        """
        self.is_loaded = False
        if self._call is not None and not self._call.expired():
            self._call.reschedule(asyncio.get_running_loop().time())

    async def _load(self) -> None:
        self.read_began_ms = clocks.monotonic_ms()
        self.call_began_ms = self.read_began_ms
        began_ms = clocks.boot_ms()
        page = await self.pending.answer(self.store.newest(self.name))
        confirmed_before = self.newest_confirmation()
        self._record_success(began_ms, _FROM_LOAD)
        self._note_generation(page.next_offset)
        present = frozenset(entry.key for entry in page.entries)
        self._remove_absent(present, page.next_offset)
        ordered = sorted(page.entries, key=lambda item: item.offset)
        self._apply_all(ordered, _FROM_LOAD, confirmed_before)
        self.table.next_offset = page.next_offset
        self.table.advance(page.next_offset)
        self.is_loaded = True

    def _apply_all(
        self,
        entries: Iterable[ports.Entry],
        source: str,
        confirmed_before: confirmations.Confirmation,
    ) -> None:
        """Apply records, and report how old the new ones may be.

        That is the time since the newest confirmation of a replica without
        them. How long peers have had them is reported as well.
        """
        self.confirmation_before = confirmed_before
        lag_ms = behind_ms(self)
        count = 0
        for entry in entries:
            if self.table.apply(entry):
                count += 1
                self.on_record(entry)
            else:
                _log_ignored(self.name, entry, self.table.entries[entry.key])
        if not count:
            return
        metrics.observe_record_lag(self.name, source, lag_ms)
        if math.isinf(confirmed_before.at_ms):
            return
        age_ms = round(confirmed_before.age_ms())
        metrics.observe_record_age(self.name, source, age_ms)
        if self.logs_changes:
            eliot.log_message(
                'records_applied',
                topic=self.name,
                source=source,
                count=count,
                pending_ms=_elapsed_ms(self.read_began_ms),
                age_ms=age_ms,
                behind_ms=round(lag_ms),
                confirmed_by=confirmed_before.source,
            )

    def _wait_ms(self) -> int:
        """Return how long a call may wait for the next record.

        After a failure it does not wait, since its answer shows that the store
        is back.
        """
        if self.poll_interval_ms or self.is_failing:
            return 0
        return math.ceil(min(self.long_poll_ms, self._grace_remaining_ms()))

    def _check_delay_ms(self) -> float:
        """Return the time until the store is asked for missed records.

        It is infinite for a call that does not wait.
        """
        does_wait = not self.poll_interval_ms and not self.is_failing
        if not does_wait or math.isinf(self.max_age_ms):
            return math.inf
        share = _OTHER_CHECK_SHARE
        if self.checks_first(self):
            share = _FIRST_CHECK_SHARE
        interval_ms = max(_MIN_CHECK_INTERVAL_MS, share * self.max_age_ms)
        return interval_ms - self.newest_confirmation().age_ms()

    def _grace_remaining_ms(self) -> float:
        """Return the time until records are removed that a restore has lost.

        It is infinite if there was no restore since the last load.
        """
        if self.grace_end_ms is None:
            return math.inf
        return max(0, self.grace_end_ms - clocks.monotonic_ms())

    def _remove_absent(self, present: frozenset[str], end_offset: int) -> None:
        """Remove the records that an answer lacks, as ``Table.removals``."""
        if self.grace_end_ms is not None and self._grace_remaining_ms():
            return
        self.grace_end_ms = None
        for removal in self.table.removals(present, end_offset):
            self.table.entries[removal.key] = removal
            self.on_record(removal)

    def _note_generation(self, next_offset: int) -> None:
        """Start the grace period if the store was restored."""
        known = max(self.table.next_offset - 1, self.table.newest_offset)
        generation = offsets.generation(next_offset)
        if 0 <= offsets.generation(known) < generation:
            eliot.log_message(
                'store_restored',
                topic=self.name,
                generation=generation,
                newest_known=offsets.number(known),
                next_offset=offsets.number(next_offset),
            )
            self.on_restored()
            if self.rewrite_grace_ms:
                self.grace_end_ms = (
                    clocks.monotonic_ms() + self.rewrite_grace_ms
                )

    def _record_success(self, confirmed_ms: float, source: str) -> None:
        """Record an answer of the store to a call of the kind ``source``.

        It had no other records than those of the answer at ``confirmed_ms``.
        """
        metrics.CONFIRMATIONS.labels(self.name, source).inc()
        self.consecutive_failures = 0
        if confirmed_ms > self.confirmation.at_ms:
            self.confirmation = confirmations.Confirmation(confirmed_ms)
        now_ms = clocks.monotonic_ms()
        if self.is_failing:
            self.is_failing = False
            outage_ms = min(
                now_ms - self.last_answer_ms, now_ms - self.started_ms
            )
            eliot.log_message(
                'store_regained', topic=self.name, away_ms=round(outage_ms)
            )
            self.on_reconnected(outage_ms)
        self.last_answer_ms = now_ms

    def _record_failure(self, fault: errors.PlatformError) -> None:
        self.consecutive_failures += 1
        self.last_failure_ms = clocks.monotonic_ms()
        if not self.is_failing:
            self.is_failing = True
            eliot.log_message(
                'store_lost',
                topic=self.name,
                code=fault.code,
                reason=fault.message,
                pending_ms=_elapsed_ms(self.read_began_ms),
                answered_ms_ago=_elapsed_ms(self.last_answer_ms),
            )
        if clocks.monotonic_ms() - self.last_answer_ms > _RELOAD_AFTER_MS:
            self.is_loaded = False


def schedule_note(topic: Topic, peer_offset: int) -> None:
    """Let a replica note the newest record of which a peer has told."""
    if peer_offset > topic.table.newest_offset:
        topic.schedule(_note, topic, peer_offset)


def _note(topic: Topic, peer_offset: int) -> None:
    topic.lag.note(peer_offset, topic.table.newest_offset)


def schedule_reload(topic: Topic) -> None:
    """Let a replica load its topic anew."""
    topic.schedule(topic.reload)


def behind_ms(topic: Topic) -> float:
    """Return for how long peers have had records that a replica lacks."""
    return topic.lag.age_ms(topic.table.newest_offset)


def _is_waiting_for_probe(topic: Topic) -> bool:
    if topic.probe is None or not topic.probe.is_failing:
        return False
    waited_ms = clocks.monotonic_ms() - topic.last_failure_ms
    return topic.is_failing and waited_ms < _MAX_PROBE_WAIT_MS


def _peer_confirmation_remaining_ms(topic: Topic) -> float:
    """Return the time until peers have to confirm a replica anew."""
    if math.isinf(topic.max_age_ms):
        return math.inf
    limit_ms = _PEER_CONFIRMATION_SHARE * topic.max_age_ms
    return limit_ms - topic.newest_confirmation().age_ms()


def _delay_after_ms(topic: Topic, page: ports.Page) -> float:
    """Return the delay of the next call after a page."""
    if not page.entries:
        return topic.poll_interval_ms
    now_ms = clocks.monotonic_ms()
    pause_ms = _PAGE_INTERVAL_MS - (now_ms - topic.last_page_ms)
    topic.last_page_ms = now_ms
    return max(topic.poll_interval_ms, pause_ms, 0)


def _empty_until_ms(began_ms: float, wait_ms: float) -> float:
    """Return until when the store certainly had no record for a waiting read.

    If it has ended the read early, it may have done so at any time since the
    beginning: the answer may have been held back on its way.
    """
    end_ms = began_ms + wait_ms
    return end_ms if clocks.boot_ms() >= end_ms else began_ms


def _retry_delay_ms(failures: int, began_ms: float) -> float:
    """Return the delay before the next call, after one that has failed.

    The delay counts from the beginning of that call. A silent store thus gets
    a call at least as often as one that refuses calls at once, and its return
    is noticed as early.
    """
    doublings = min(failures - 1, _MAX_DOUBLINGS)
    interval_ms = min(
        _MAX_RETRY_DELAY_MS, math.ldexp(_RETRY_DELAY_MS, doublings)
    )
    jitter = 0.5 + random.random()
    return max(
        jitter * _MIN_RETRY_DELAY_MS,
        jitter * interval_ms - (clocks.monotonic_ms() - began_ms),
    )


def _elapsed_ms(since_ms: float) -> int | None:
    """Return the time since an event, ``None`` if it never happened."""
    if not math.isfinite(since_ms):
        return None
    return round(clocks.monotonic_ms() - since_ms)


def _log_ignored(topic: str, entry: ports.Entry, known: ports.Entry) -> None:
    """Log a record that is older than the known one and differs from it."""
    if known.value != entry.value:
        eliot.log_message(
            'record_ignored',
            topic=topic,
            key=entry.key,
            offset=entry.offset,
            known_offset=known.offset,
        )
