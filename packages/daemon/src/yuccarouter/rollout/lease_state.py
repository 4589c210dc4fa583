"""State of one lease, decided by the log's order and record times."""

from __future__ import annotations

import enum
from typing import Any, Final

import attrs

from yuccarouter.rollout import errors
from yuccarouter_common import records
from yuccarouter_common.platform import log

STREAM: Final = 'leases'

# No record makes a lease valid for longer. A reader that starts within the
# stream may rely on it: after such a silence the lease is free.
MAX_TTL_MS: Final = 30_000


class Action(enum.StrEnum):
    """What a record asks for."""

    ACQUIRE = 'acquire'
    RENEW = 'renew'
    RELEASE = 'release'


@attrs.frozen
class LeaseRecord:
    """A record of the stream of leases.

    ``after_offset`` is the offset of the lease's last record that an acquirer
    has seen. An acquire has effect only if no other record of the lease came
    between, so that one which reaches the log late has none. All records
    count, also those without effect, because readers that start within the
    stream can't tell these apart. ``fencing_number`` names the acquire that is
    renewed or released.
    """

    action: Action
    lease: str
    holder: str
    ttl_ms: int = 0
    after_offset: int = -1
    fencing_number: int = -1


@attrs.frozen
class Grant:
    """The lease as held from an acquire on, up to a log time."""

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
    """Who holds one lease, built from its records in order.

    All readers that have seen a lease's records since it was free decide
    alike. A reader that starts within the stream is not ``certain`` until a
    silence of ``MAX_TTL_MS`` between two records shows that it was free.
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
        # A clock of the log that steps back must not revive a lease.
        time_ms = max(entry.time_ms, self.last_time_ms)
        silence_ms = time_ms - self.last_time_ms
        if self.last_offset >= 0 and silence_ms >= MAX_TTL_MS:
            self.certain = True
        follows = record.after_offset == self.last_offset
        self.last_offset = entry.offset
        self.last_time_ms = time_ms
        if not self.certain:
            return False
        if record.action is Action.ACQUIRE and not follows:
            return False
        return self._change(record, entry.offset, time_ms)

    def free_at_ms(self) -> int:
        """Return the log time from which an acquire has effect."""
        if not self.certain:
            return self.last_time_ms + MAX_TTL_MS
        if self.grant is None:
            return self.last_time_ms
        return self.grant.valid_until_ms

    def _change(self, record: LeaseRecord, offset: int, time_ms: int) -> bool:
        grant = self.grant
        is_valid = grant is not None and time_ms < grant.valid_until_ms
        if record.action is Action.ACQUIRE:
            if is_valid:
                return False
            self.grant = _granted(record, offset, time_ms)
            return True
        if grant is None or not is_valid or not _names(record, grant):
            return False
        if record.action is Action.RENEW:
            self.grant = _granted(record, grant.fencing_number, time_ms)
        else:
            self.grant = None
        return True


def _granted(record: LeaseRecord, number: int, time_ms: int) -> Grant:
    ttl_ms = max(0, min(record.ttl_ms, MAX_TTL_MS))
    return Grant(record.holder, number, time_ms + ttl_ms)


def _names(record: LeaseRecord, grant: Grant) -> bool:
    return (record.holder, record.fencing_number) == (
        grant.holder,
        grant.fencing_number,
    )
