"""Recent records, kept for peers that have not seen them."""

from __future__ import annotations

import collections
from typing import Any, Final

import attrs
import orjson

# A quarter of a day's 960 changes. A peer that missed more gets a snapshot.
_MAX_RECORDS: Final = 256
# Bounds memory when large records, such as snapshots, arrive often.
_MAX_BYTES: Final = 1_048_576


@attrs.frozen
class HeldRecord:
    """One record in its JSON form."""

    offset: int
    digest: int
    payload: bytes


class RecentRecords:
    """The newest records of one generation without gaps."""

    def __init__(self, max_records: int = _MAX_RECORDS) -> None:
        self._max_records = max_records
        self._records: collections.deque[HeldRecord] = collections.deque()
        self._bytes = 0

    def first_offset(self) -> int | None:
        """Return the oldest offset that is held."""
        return self._records[0].offset if self._records else None

    def after(self, offset: int) -> list[HeldRecord] | None:
        """Return the records after ``offset``; none if some are not held."""
        first = self.first_offset()
        if first is None or offset + 1 < first:
            return None
        return [record for record in self._records if record.offset > offset]

    def digest_at(self, offset: int) -> int:
        """Return the digest of the record at ``offset``, 0 if not held."""
        first = self.first_offset()
        if first is not None and 0 <= offset - first < len(self._records):
            return self._records[offset - first].digest
        return 0

    def add(self, offset: int, digest: int, payload: Any) -> None:
        """Hold the record that follows those held."""
        encoded = orjson.dumps(payload)
        self._records.append(HeldRecord(offset, digest, encoded))
        self._bytes += len(encoded)
        while self._over_limit():
            self._bytes -= len(self._records.popleft().payload)

    def clear(self) -> None:
        """Forget all records, because the next one does not follow them."""
        self._records.clear()
        self._bytes = 0

    def _over_limit(self) -> bool:
        too_many = len(self._records) > self._max_records
        return too_many or self._bytes > _MAX_BYTES
