"""State of one registry partition, built from its stream alone."""

from __future__ import annotations

import collections
from typing import Final

import attrs
import xxhash

from yuccarouter.registry import errors, items
from yuccarouter_common.platform import log

# Clocks of callers and of the log may differ by this much; keys are kept for
# so long after the window in which they are answered.
MARGIN_MS: Final = 60_000
_MAX_KEYS: Final = 50_000
_MAX_BODY_BYTES: Final = 4_194_304

_KeyDigest = bytes


@attrs.define
class Holder:
    """The first claim of a key and its outcome.

    ``body`` is none while there is no outcome and also when it has been
    dropped from memory; it can then be read again at ``outcome_offset``.
    """

    attempt_id: str
    owner: str
    claim_value: str
    body_digest: str
    offset: int
    time_ms: int
    outcome_offset: int = -1
    status: int = 0
    content_type: str = ''
    body: bytes | None = None

    @property
    def has_outcome(self) -> bool:
        """Whether the attempt's outcome is recorded."""
        return self.outcome_offset >= 0


class Partition:
    """Keys claimed in the stream within ``retain_ms``.

    The decision for a key depends on the order and the times of the records
    only, so every process that has read as far decides alike.
    ``complete_since_ms`` is the log time from which on no claim is missing.
    """

    def __init__(
        self,
        retain_ms: int,
        max_keys: int = _MAX_KEYS,
        max_body_bytes: int = _MAX_BODY_BYTES,
    ) -> None:
        self.next_offset = 0
        self.last_time_ms = 0
        self.complete_since_ms = 0
        self.bad_records = 0
        self._retain_ms = retain_ms
        self._max_keys = max_keys
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0
        self._holders: collections.OrderedDict[_KeyDigest, Holder] = (
            collections.OrderedDict()
        )
        self._bodies: collections.deque[Holder] = collections.deque()
        self._released: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of keys held."""
        return len(self._holders)

    def apply(self, entry: log.Entry) -> None:
        """Apply the next record of the stream; earlier ones are skipped."""
        if entry.offset < self.next_offset:
            return
        self.next_offset = entry.offset + 1
        self.last_time_ms = max(self.last_time_ms, entry.time_ms)
        self._expire()
        try:
            batch = items.decode(entry.payload)
        except errors.ItemError:
            self.bad_records += 1
            return
        for item in batch:
            self._apply_item(item, entry)
        self._limit()

    def holder(self, key: str) -> Holder | None:
        """Return the claim that holds a key."""
        return self._holders.get(_digest(key))

    def is_released(self, key: str, attempt_id: str, owner: str) -> bool:
        """Whether an attempt's claim was released, now or in advance."""
        if _release_digest(key, attempt_id, '') in self._released:
            return True
        return _release_digest(key, attempt_id, owner) in self._released

    def covers(self, key_time_ms: int, oldest_ms: int) -> bool:
        """Whether a key that has no holder certainly was not claimed.

        ``key_time_ms`` is when the caller first used the key, 0 if that is
        not known, and ``oldest_ms`` the start of the window.
        """
        complete_since = self.complete_since_ms
        if complete_since <= max(oldest_ms, 0):
            return True
        return key_time_ms - MARGIN_MS >= complete_since

    def _apply_item(self, item: items.Item, entry: log.Entry) -> None:
        match item:
            case items.Claim():
                self._claim(item, entry)
            case items.Outcome():
                self._outcome(item, entry)
            case items.Release():
                self._release(item, entry)
            case items.Gap():
                self.complete_since_ms = entry.time_ms

    def _claim(self, item: items.Claim, entry: log.Entry) -> None:
        key = _digest(item.key)
        if key in self._holders:
            return
        # An append whose answer was lost may reach the log after the release
        # of its claims.
        if self.is_released(item.key, item.attempt_id, item.owner):
            return
        self._holders[key] = Holder(
            item.attempt_id,
            item.owner,
            item.value,
            item.body_digest,
            entry.offset,
            entry.time_ms,
        )

    def _outcome(self, item: items.Outcome, entry: log.Entry) -> None:
        holder = self._holders.get(_digest(item.key))
        if holder is None or holder.attempt_id != item.attempt_id:
            return
        if holder.has_outcome:
            return
        holder.outcome_offset = entry.offset
        holder.status = item.status
        holder.content_type = item.content_type
        holder.body = item.body
        self._bodies.append(holder)
        self._body_bytes += len(item.body)

    def _release(self, item: items.Release, entry: log.Entry) -> None:
        released = _release_digest(item.key, item.attempt_id, item.owner)
        self._released[released] = entry.time_ms
        self._released.move_to_end(released)
        key = _digest(item.key)
        holder = self._holders.get(key)
        if holder is None or holder.attempt_id != item.attempt_id:
            return
        if item.owner not in {'', holder.owner} or holder.has_outcome:
            return
        self._holders.pop(key)

    def _expire(self) -> None:
        oldest = self.last_time_ms - self._retain_ms
        while self._holders:
            if next(iter(self._holders.values())).time_ms >= oldest:
                break
            self._holders.popitem(last=False)
        while self._released:
            if next(iter(self._released.values())) >= oldest:
                break
            self._released.popitem(last=False)

    def _limit(self) -> None:
        """Keep memory bounded.

        A dropped key shortens the period for which claims are complete, so
        it is refused and not granted again.
        """
        while len(self._holders) > self._max_keys:
            _, holder = self._holders.popitem(last=False)
            since_ms = max(self.complete_since_ms, holder.time_ms + 1)
            self.complete_since_ms = since_ms
        while self._body_bytes > self._max_body_bytes:
            dropped = self._bodies.popleft()
            self._body_bytes -= len(dropped.body or b'')
            dropped.body = None


def read_outcome(entry: log.Entry, key: str) -> items.Outcome | None:
    """Return the outcome of a key from the record that holds it."""
    for item in items.decode(entry.payload):
        if isinstance(item, items.Outcome) and item.key == key:
            return item
    return None


def _digest(key: str) -> _KeyDigest:
    # 16 bytes for a key of any length; a collision would refuse a request.
    return xxhash.xxh3_128_digest(key.encode())


def _release_digest(key: str, attempt_id: str, owner: str) -> bytes:
    joined = '\0'.join((key, attempt_id, owner))
    return xxhash.xxh3_128_digest(joined.encode())
