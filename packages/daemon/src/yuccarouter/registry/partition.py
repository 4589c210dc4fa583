"""State of one registry partition, derived from its stream only."""

from __future__ import annotations

import collections
from typing import Final

import attrs
import xxhash

from yuccarouter.registry import errors, items
from yuccarouter_common.platform import log

# Largest tolerated difference between the clocks of callers and of the log.
# Keys are retained longer than their window by twice this margin.
CLOCK_SKEW_MARGIN_MS: Final = 60_000
_MAX_KEYS: Final = 50_000
_MAX_BODY_BYTES: Final = 4_194_304

_KeyDigest = bytes


@attrs.define
class Holder:
    """The first claim of a key and its outcome.

    ``body`` is ``None`` while there is no outcome, and also after it has been
    evicted from memory. It can then be read again at ``outcome_offset``.
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
    """Keys claimed in the stream within the last ``retain_ms``.

    Which claim wins depends only on the order and the log times of the
    records. Processes that have read up to the same record therefore agree.
    ``complete_since_ms`` is the log time since which no claim is missing.
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
        self._with_body: collections.deque[Holder] = collections.deque()
        self._released: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of claimed keys."""
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
        self._enforce_limits()

    def holder(self, key: str) -> Holder | None:
        """Return the claim that holds a key, ``None`` if it is unclaimed."""
        return self._holders.get(_digest(key))

    def is_released(self, key: str, attempt_id: str, owner: str) -> bool:
        """Whether an attempt's claim was released, even if not read yet."""
        if _release_digest(key, attempt_id, '') in self._released:
            return True
        return _release_digest(key, attempt_id, owner) in self._released

    def is_complete_for(self, key_time_ms: int, oldest_ms: int) -> bool:
        """Whether no claim of a key can be missing.

        ``key_time_ms`` is when the caller first used the key, 0 if that is
        not known, and ``oldest_ms`` the start of the window.
        """
        complete_since = self.complete_since_ms
        if complete_since <= max(oldest_ms, 0):
            return True
        return key_time_ms - CLOCK_SKEW_MARGIN_MS >= complete_since

    def _apply_item(self, item: items.Item, entry: log.Entry) -> None:
        match item:
            case items.Claim():
                self._apply_claim(item, entry)
            case items.Outcome():
                self._apply_outcome(item, entry)
            case items.Release():
                self._apply_release(item, entry)
            case items.Gap():
                self.complete_since_ms = entry.time_ms

    def _apply_claim(self, item: items.Claim, entry: log.Entry) -> None:
        key = _digest(item.key)
        if key in self._holders:
            return
        # An append whose answer was lost may enter the log after the release
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

    def _apply_outcome(self, item: items.Outcome, entry: log.Entry) -> None:
        holder = self._holders.get(_digest(item.key))
        if holder is None or holder.attempt_id != item.attempt_id:
            return
        if holder.has_outcome:
            return
        holder.outcome_offset = entry.offset
        holder.status = item.status
        holder.content_type = item.content_type
        holder.body = item.body
        self._with_body.append(holder)
        self._body_bytes += len(item.body)

    def _apply_release(self, item: items.Release, entry: log.Entry) -> None:
        release = _release_digest(item.key, item.attempt_id, item.owner)
        self._released[release] = entry.time_ms
        self._released.move_to_end(release)
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

    def _enforce_limits(self) -> None:
        """Evict the oldest keys and bodies above the memory limits.

        Evicting a key moves ``complete_since_ms`` past its claim, so that the
        key is refused afterwards instead of being granted again.
        """
        while len(self._holders) > self._max_keys:
            _, holder = self._holders.popitem(last=False)
            since_ms = max(self.complete_since_ms, holder.time_ms + 1)
            self.complete_since_ms = since_ms
        while self._body_bytes > self._max_body_bytes:
            evicted = self._with_body.popleft()
            self._body_bytes -= len(evicted.body or b'')
            evicted.body = None


def read_outcome(entry: log.Entry, key: str) -> items.Outcome | None:
    """Return the outcome of a key in a record, ``None`` if there is none."""
    for item in items.decode(entry.payload):
        if isinstance(item, items.Outcome) and item.key == key:
            return item
    return None


def _digest(key: str) -> _KeyDigest:
    # Takes 16 bytes for a key of any length. A collision would only cause a
    # request to be refused.
    return xxhash.xxh3_128_digest(key.encode())


def _release_digest(key: str, attempt_id: str, owner: str) -> bytes:
    joined = '\0'.join((key, attempt_id, owner))
    return xxhash.xxh3_128_digest(joined.encode())
