"""State of one lease, determined by the order and times of records."""

from __future__ import annotations

import enum
from typing import Any, Final

import attrs

from yuccarouter.rollout import errors
from yuccarouter_common import records
from yuccarouter_common.platform import log

STREAM: Final = 'leases'

# No record makes a lease valid for longer. A lease without a record for this
# time is therefore free, also for a reader that starts within the stream.
MAX_TTL_MS: Final = 30_000


class Action(enum.StrEnum):
    """Change of a lease that a record requests."""

    ACQUIRE = 'acquire'
    RENEW = 'renew'
    RELEASE = 'release'


@attrs.frozen
class LeaseRecord:
    """A record of the lease stream.

    ``after_offset`` is the offset of the lease's last record that the sender
    has read. An acquire has effect only if that is still the lease's last
    record, so that a delayed acquire has none. The last record may be one
    without effect, because readers that start within the stream can't
    recognise these.
    ``fencing_number`` is the offset of the acquire that is renewed or released.
    """

    action: Action
    lease: str
    holder: str
    ttl_ms: int = 0
    after_offset: int = -1
    fencing_number: int = -1


@attrs.frozen
class Grant:
    """The holder of a lease, and the log time at which the lease expires."""

    holder: str
    fencing_number: int
    valid_until_ms: int


def encode(record: LeaseRecord) -> dict[str, Any]:
    """Return the JSON form of a record."""
    return dict(records.converter.unstructure(record))


def decode(payload: Any) -> LeaseRecord:
    """Parse a record; raises ``LeaseRecordError`` for anything else."""
    try:
        return records.structure(payload, LeaseRecord)
    except records.ShapeError as fault:
        raise errors.LeaseRecordError(f'not a lease record: {fault}') from fault


class LeaseState:
    """Holder of one lease, computed from the lease's records in order.

    All readers that have read the lease's records since a time when it was
    free compute the same state. For a reader that starts within the stream,
    the state is not ``certain`` until a gap of ``MAX_TTL_MS`` between two
    records shows that the lease was free.
    """

    def __init__(self, lease: str, *, certain: bool) -> None:
        self.certain = certain
        self.grant: Grant | None = None
        self.last_offset = -1
        self.last_time_ms = -1
        self._lease = lease

    def apply(self, entry: log.Entry) -> bool:
        """Apply the next record; returns whether it had effect."""
        try:
            record = decode(entry.payload)
        except errors.LeaseRecordError:
            return False
        if record.lease != self._lease:
            return False
        # If the log's clock steps back, an expired lease must stay expired.
        time_ms = max(entry.time_ms, self.last_time_ms)
        gap_ms = time_ms - self.last_time_ms
        if self.last_offset >= 0 and gap_ms >= MAX_TTL_MS:
            self.certain = True
        has_read_last = record.after_offset == self.last_offset
        self.last_offset = entry.offset
        self.last_time_ms = time_ms
        if not self.certain:
            return False
        if record.action is Action.ACQUIRE and not has_read_last:
            return False
        return self._apply_action(record, entry.offset, time_ms)

    def free_at_ms(self) -> int:
        """Return the log time from which an acquire has effect."""
        if not self.certain:
            return self.last_time_ms + MAX_TTL_MS
        if self.grant is None:
            return self.last_time_ms
        return self.grant.valid_until_ms

    def _apply_action(
        self, record: LeaseRecord, offset: int, time_ms: int
    ) -> bool:
        grant = self.grant
        is_valid = grant is not None and time_ms < grant.valid_until_ms
        if record.action is Action.ACQUIRE:
            if is_valid:
                return False
            self.grant = _grant(record, offset, time_ms)
            return True
        if grant is None or not is_valid or not _is_from_holder(record, grant):
            return False
        if record.action is Action.RENEW:
            self.grant = _grant(record, grant.fencing_number, time_ms)
        else:
            self.grant = None
        return True


def _grant(record: LeaseRecord, number: int, time_ms: int) -> Grant:
    ttl_ms = max(0, min(record.ttl_ms, MAX_TTL_MS))
    return Grant(record.holder, number, time_ms + ttl_ms)


def _is_from_holder(record: LeaseRecord, grant: Grant) -> bool:
    return (record.holder, record.fencing_number) == (
        grant.holder,
        grant.fencing_number,
    )
