"""Publishing a configuration change and learning whether it had effect."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from yuccarouter_common import errors, history, model, records
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import log

_RETRY_S: Final = 0.5
# Long enough for an append that is still on its way to reach the log.
_SETTLE_S: Final = 2.0
_READ_LIMIT: Final = 500
_MS: Final = 1000


class PublishError(errors.RouterError):
    """The change was not written, or that is not known."""

    code = 'publish_failed'


class NotPublishedError(PublishError):
    """Nothing was written; the same change may be published again."""

    code = 'not_published'


class OutcomeUnknownError(PublishError):
    """The change may be in the log now or later.

    Publishing it again with the same ``change_id`` is safe: it is looked up
    first.
    """

    code = 'publish_unknown'


@attrs.frozen
class Published:
    """The change is in effect from ``position`` on."""

    offset: int
    position: model.Position
    is_repeat: bool = False


@attrs.frozen
class Voided:
    """The change is in the log and has no effect.

    ``winner`` says why and, where another change was first, which one.
    """

    offset: int
    void_change: model.VoidChange


Result = Published | Voided


@attrs.define
class _Attempt:
    """How far the publication has come."""

    record: records.Record
    sent: bool = False
    offset: int = -1
    is_repeat: bool = False

    def unknown(self, reason: str) -> PublishError:
        """Return the error that says what is known."""
        change_id = self.record.change_id
        if self.offset >= 0:
            return OutcomeUnknownError(
                f'change {change_id} is at offset {self.offset}; '
                f'whether it has effect could not be read {reason}',
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
    first: log.Entry | None = None
    void: model.VoidChange | None = None

    def apply(self, entry: log.Entry) -> None:
        """Apply one record; a repeated record counts at its first place."""
        position = self.configuration.position
        stepped, void = history.apply_payload(
            self.configuration,
            entry.offset,
            entry.payload,
        )
        repaired = stepped.position.generation > position.generation
        if repaired or entry.offset == position.offset + 1:
            self.configuration = stepped
            if self.first is None and entry.append_id == self.change_id:
                self.first = entry
                self.void = void


async def publish(
    client: history.LogClient,
    record: records.Record,
    timeout_s: float = 10,
) -> Result:
    """Append a change once and return what became of it.

    The change id is the append id. A lost answer is looked up in the stream
    and never answered by a second append. Raises ``NotPublishedError`` when
    nothing was written, ``OutcomeUnknownError`` when that is not known in
    time and ``HistoryError`` when the stream can't be replayed.
    """
    attempt = _Attempt(record)
    try:
        async with asyncio.timeout(timeout_s):
            return await _publish(client, attempt)
    except TimeoutError as fault:
        raise attempt.unknown('in time') from fault
    except platform_errors.PlatformError as fault:
        raise attempt.unknown(f'because {fault}') from fault


async def _publish(client: history.LogClient, attempt: _Attempt) -> Result:
    record = attempt.record
    earlier = await client.find(history.STREAM, record.change_id, 0)
    reader = await _replay(client, record.change_id)
    if earlier is None and reader.first is None:
        attempt.sent = True
        attempt.offset = await _append(client, record, reader)
        return await _read_result(client, reader, attempt)
    attempt.is_repeat = True
    attempt.offset = earlier.offset if earlier else -1
    if reader.first is None and _is_last_change(reader, record.change_id):
        position = reader.configuration.position
        shown = attrs.evolve(position, offset=attempt.offset)
        return Published(attempt.offset, shown, is_repeat=True)
    return await _read_result(client, reader, attempt)


def _is_last_change(reader: _Reader, change_id: str) -> bool:
    return change_id in reader.configuration.last_changes.values()


async def _replay(client: history.LogClient, change_id: str) -> _Reader:
    """Return a reader at the end of the stream as it is now."""
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
        return await _find(client, record.change_id, start)
    return appended.offset


async def _find(
    client: history.LogClient,
    change_id: str,
    start: int,
) -> int:
    """Look for an append whose answer was lost until it has settled."""
    left_s = _SETTLE_S
    while left_s > 0:
        await asyncio.sleep(_RETRY_S)
        try:
            found = await client.find(history.STREAM, change_id, start)
        except platform_errors.PlatformError:
            # The log's outage also holds up an append on its way.
            left_s = _SETTLE_S
            continue
        if found is not None:
            return found.offset
        left_s -= _RETRY_S
    raise OutcomeUnknownError(
        f'change {change_id} is not in the log; '
        'publish it again to look once more',
    )


async def _read_result(
    client: history.LogClient,
    reader: _Reader,
    attempt: _Attempt,
) -> Result:
    left_s = _SETTLE_S
    while reader.first is None:
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
            wait_ms=int(_RETRY_S * _MS),
        )
        for entry in batch.records:
            reader.apply(entry)
        if not batch.records:
            left_s = await _await_record(attempt, left_s)
    offset = reader.first.offset
    if reader.void is not None:
        return Voided(offset, reader.void)
    shown = attrs.evolve(reader.configuration.position, offset=offset)
    return Published(offset, shown, attempt.is_repeat)


async def _await_record(attempt: _Attempt, left_s: float) -> float:
    """Pause before the next read; return how long to go on.

    A log answers a read past its end at once, so that reading again without
    a pause would load it. Replicas of the log may lag, but not for long.
    """
    if left_s <= 0:
        raise OutcomeUnknownError(
            f'change {attempt.record.change_id} was put at offset '
            f'{attempt.offset}, but the log does not hold it now; '
            'it may have been restored to older data',
        )
    await asyncio.sleep(_RETRY_S)
    return left_s - _RETRY_S
