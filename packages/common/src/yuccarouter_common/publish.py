"""Publishes configuration changes and determines whether they took effect."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from yuccarouter_common import errors, history, model, records
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import log

_RETRY_INTERVAL_S: Final = 0.5
# Covers an append that is still in flight and the lag of the log's replicas.
_SETTLE_S: Final = 2.0
_READ_LIMIT: Final = 500
_MS_PER_S: Final = 1000


class PublishError(errors.RouterError):
    """The change was not written, or its outcome is unknown."""

    code = 'publish_failed'


class NotPublishedError(PublishError):
    """Nothing was written; the same change may be published again."""

    code = 'not_published'


class OutcomeUnknownError(PublishError):
    """The change may be in the log now or later.

    Publishing it again with the same ``change_id`` is safe: the change is
    looked up before anything is appended.
    """

    code = 'publish_unknown'


@attrs.frozen
class Published:
    """The change is in effect from ``position`` on.

    ``is_repeat`` is true when the change was already in the log.
    """

    offset: int
    position: model.Position
    is_repeat: bool = False


@attrs.frozen
class Voided:
    """The change is in the log but has no effect.

    ``void_change`` holds the reason and, after a conflict, the other change.
    """

    offset: int
    void_change: model.VoidChange


Result = Published | Voided


@attrs.define
class _Attempt:
    """Progress of one publication."""

    record: records.Record
    sent: bool = False
    offset: int = -1
    is_repeat: bool = False

    def error(self, reason: str) -> PublishError:
        """Return the error for a publication that ends at this point."""
        change_id = self.record.change_id
        if self.offset >= 0:
            return OutcomeUnknownError(
                f'change {change_id} is at offset {self.offset}; '
                f'its effect could not be read {reason}',
            )
        if self.sent:
            return OutcomeUnknownError(
                f'change {change_id} may be in the log: no answer {reason}',
            )
        return NotPublishedError(f'log could not be read {reason}')


@attrs.define
class _Reader:
    """Replays the stream and finds the first record of one change."""

    change_id: str
    configuration: model.Configuration
    first_entry: log.Entry | None = None
    void: model.VoidChange | None = None

    def apply(self, entry: log.Entry) -> None:
        """Apply one record; only the first record of the change counts."""
        position = self.configuration.position
        updated, void = history.apply_payload(
            self.configuration,
            entry.offset,
            entry.payload,
        )
        is_repair = updated.position.generation > position.generation
        if is_repair or entry.offset == position.offset + 1:
            self.configuration = updated
            if self.first_entry is None and entry.append_id == self.change_id:
                self.first_entry = entry
                self.void = void


async def publish(
    client: history.LogClient,
    record: records.Record,
    timeout_s: float = 10,
) -> Result:
    """Append a change once and return whether it took effect.

    The change id is the append id. When the answer to the append is lost, the
    change is looked up in the stream and never appended again. Raises
    ``NotPublishedError`` when nothing was written, ``OutcomeUnknownError`` when
    that is not known in time and ``HistoryError`` when the stream can't be
    replayed.
    """
    attempt = _Attempt(record)
    try:
        async with asyncio.timeout(timeout_s):
            return await _publish(client, attempt)
    except TimeoutError as fault:
        raise attempt.error('in time') from fault
    except platform_errors.PlatformError as fault:
        raise attempt.error(f'because {fault}') from fault


async def _publish(client: history.LogClient, attempt: _Attempt) -> Result:
    record = attempt.record
    appended = await client.find(history.STREAM, record.change_id, 0)
    reader = await _replay(client, record.change_id)
    if appended is None and reader.first_entry is None:
        attempt.sent = True
        attempt.offset = await _append(client, record, reader)
        return await _read_result(client, reader, attempt)
    attempt.is_repeat = True
    attempt.offset = appended.offset if appended else -1
    if reader.first_entry is None and _is_last_change(reader, record.change_id):
        position = reader.configuration.position
        change_position = attrs.evolve(position, offset=attempt.offset)
        return Published(attempt.offset, change_position, is_repeat=True)
    return await _read_result(client, reader, attempt)


def _is_last_change(reader: _Reader, change_id: str) -> bool:
    return change_id in reader.configuration.last_changes.values()


async def _replay(client: history.LogClient, change_id: str) -> _Reader:
    """Return a reader that has applied the stream to its current end."""
    base = await history.load(client)
    reader = _Reader(change_id, base.configuration)
    for entry in base.entries:
        reader.apply(entry)
    return reader


async def _append(
    client: history.LogClient,
    record: records.Record,
    reader: _Reader,
) -> int:
    start = reader.configuration.position.offset + 1
    payload = records.converter.unstructure(record)
    try:
        appended = await client.append(
            history.STREAM,
            record.change_id,
            payload,
        )
    except platform_errors.UnavailableError as fault:
        raise NotPublishedError(f'log is unavailable: {fault}') from fault
    except platform_errors.PlatformError:
        return await _find_lost_append(client, record.change_id, start)
    return appended.offset


async def _find_lost_append(
    client: history.LogClient,
    change_id: str,
    start: int,
) -> int:
    """Return the offset of an append whose answer was lost."""
    remaining_s = _SETTLE_S
    while remaining_s > 0:
        await asyncio.sleep(_RETRY_INTERVAL_S)
        try:
            appended = await client.find(history.STREAM, change_id, start)
        except platform_errors.PlatformError:
            # An outage of the log also delays an append in flight, so the wait
            # starts anew.
            remaining_s = _SETTLE_S
            continue
        if appended is not None:
            return appended.offset
        remaining_s -= _RETRY_INTERVAL_S
    raise OutcomeUnknownError(
        f'change {change_id} is not in the log; '
        'publish it again to look it up once more',
    )


async def _read_result(
    client: history.LogClient,
    reader: _Reader,
    attempt: _Attempt,
) -> Result:
    remaining_s = _SETTLE_S
    while reader.first_entry is None:
        position = reader.configuration.position
        if position.offset >= attempt.offset:
            raise OutcomeUnknownError(
                f'change {reader.change_id} at offset {attempt.offset} is '
                'older than the newest snapshot and was replaced or void',
            )
        batch = await client.read(
            history.STREAM,
            position.offset + 1,
            limit=_READ_LIMIT,
            wait_ms=int(_RETRY_INTERVAL_S * _MS_PER_S),
        )
        for entry in batch.records:
            reader.apply(entry)
        if not batch.records:
            remaining_s = await _await_record(attempt, remaining_s)
    offset = reader.first_entry.offset
    if reader.void is not None:
        return Voided(offset, reader.void)
    change_position = attrs.evolve(reader.configuration.position, offset=offset)
    return Published(offset, change_position, attempt.is_repeat)


async def _await_record(attempt: _Attempt, remaining_s: float) -> float:
    """Pause before the next read and return the remaining wait time.

    The log answers a read past its end at once, so reading without a pause
    would overload it. Its replicas may lag, but only briefly; raises
    ``OutcomeUnknownError`` when the wait time is over.
    """
    if remaining_s <= 0:
        raise OutcomeUnknownError(
            f'change {attempt.record.change_id} was appended at offset '
            f'{attempt.offset}, but the log does not hold it now; '
            'it may have been restored to older data',
        )
    await asyncio.sleep(_RETRY_INTERVAL_S)
    return remaining_s - _RETRY_INTERVAL_S
