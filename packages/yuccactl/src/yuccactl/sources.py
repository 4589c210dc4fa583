"""Reading the log's streams and the daemons' admin ports."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any, Final
from urllib import parse as url_parse

import aiohttp
import attrs
import orjson

from yuccactl import errors
from yuccactl import settings as settings_module
from yuccarouter_common import apply, history, model, records
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import log

CONFIGURATION_STREAM: Final = 'configuration'
BILLING_STREAM: Final = 'billing'

_REQUEST_TIMEOUT_S: Final = 2.0
# Queries 400 daemons in 7 rounds.
_MAX_CONCURRENT_REQUESTS: Final = 64
_HTTP_OK: Final = 200


@attrs.frozen
class Context:
    """Settings, HTTP session and progress callback of a statement.

    ``progress`` is called with each line about the execution's progress.
    ``wait_ms`` limits the wait until a change is in effect at the daemons,
    which are polled every ``poll_ms``.
    """

    settings: settings_module.Settings
    session: aiohttp.ClientSession
    progress: Callable[[str], None]
    wait_ms: int = 13_000
    poll_ms: int = 250

    @property
    def log(self) -> log.Client:
        """Client of the platform's log."""
        return log.Client(self.session, self.settings.log_url)


@attrs.frozen
class Change:
    """One record of the configuration stream and its outcome.

    ``void`` is set when the record had no effect. ``record`` is ``None`` and
    ``fault`` is set when it can't be decoded.
    """

    offset: int
    time_ms: int
    record: records.Record | None
    void: model.VoidChange | None = None
    fault: str = ''


@attrs.frozen
class Replay:
    """The configuration according to the log, and the changes that led to it.

    ``complete`` is false when the log gave only a part of the changes: the
    oldest were dropped and no snapshot replaces them, or the newest are
    missing.
    """

    configuration: model.Configuration
    changes: list[Change]
    end_offset: int
    complete: bool = True


@attrs.frozen
class Answer:
    """Answer of one daemon; ``fault`` is set when there is no valid one."""

    url: str
    document: dict[str, Any] = attrs.field(factory=dict)
    fault: str = ''

    @property
    def daemon(self) -> str:
        """Name of the daemon, or its URL when the answer lacks a name."""
        return str(self.document.get('daemon') or self.url)

    @property
    def position(self) -> model.Position:
        """Position of the daemon's configuration; -1, -1 when unknown."""
        position = self.document.get('position')
        if not isinstance(position, dict):
            return model.Position(-1, -1)
        return model.Position(
            _int_or_default(position.get('generation'), 0),
            _int_or_default(position.get('offset'), -1),
        )


async def replay(client: log.Client) -> Replay:
    """Return the configuration that the stream ``configuration`` gives.

    When the oldest records were dropped, it results from the newest usable
    snapshot and the records after it.

    Raises ``errors.CommandError`` when the log can't be read.
    """
    configuration = model.Configuration()
    changes: list[Change] = []
    first_offset = 0
    end_offset = 0
    async for batch in _batches(client, CONFIGURATION_STREAM):
        first_offset = first_offset or batch.first_offset
        end_offset = batch.end_offset
        for entry in batch.records:
            configuration, change = _apply(configuration, entry)
            changes.append(change)
    complete = first_offset == 0
    if not complete:
        base = await _replay_from_snapshot(client)
        complete = base is not None
        configuration = base or configuration
    return Replay(
        configuration,
        changes,
        end_offset,
        complete=complete and configuration.position.offset + 1 >= end_offset,
    )


async def _replay_from_snapshot(
    client: log.Client,
) -> model.Configuration | None:
    """Return the configuration from the newest snapshot and later records.

    Starting daemons read the same. Returns ``None`` without a usable snapshot.
    """
    try:
        base = await history.load(client)
    except history.HistoryError:
        return None
    except platform_errors.PlatformError as fault:
        raise errors.CommandError(
            f'stream {CONFIGURATION_STREAM} can not be read: {fault.message}'
        ) from fault
    configuration = base.configuration
    for entry in base.entries:
        if entry.offset == configuration.position.offset + 1:
            configuration, _ = history.apply_payload(
                configuration, entry.offset, entry.payload
            )
    return configuration


async def entries(client: log.Client, stream: str) -> list[log.Entry]:
    """Return all records of a stream.

    Raises ``errors.CommandError`` when the log can't be read.
    """
    all_entries: list[log.Entry] = []
    async for batch in _batches(client, stream):
        all_entries.extend(batch.records)
    return all_entries


async def statuses(context: Context) -> list[Answer]:
    """Return the status of every daemon, with a fault if unreachable."""
    return await ask(context, 'status')


async def ask(context: Context, path: str) -> list[Answer]:
    """Return the answer to GET ``path`` from every daemon's admin port."""
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)
    return await asyncio.gather(
        *(
            _ask_daemon(context, semaphore, url, path)
            for url in context.settings.daemons
        )
    )


def quote(part: str) -> str:
    """Return ``part`` percent-encoded as one URL path segment."""
    return url_parse.quote(part, safe='')


async def _ask_daemon(
    context: Context,
    semaphore: asyncio.Semaphore,
    url: str,
    path: str,
) -> Answer:
    headers = {}
    if context.settings.operator_key:
        headers['Authorization'] = f'Bearer {context.settings.operator_key}'
    async with semaphore:
        try:
            async with context.session.get(
                f'{url.rstrip("/")}/{path}',
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S),
            ) as response:
                body = await response.read()
                status = response.status
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as fault:
            reason = str(fault) or type(fault).__name__
            return Answer(url, fault=f'unreachable: {reason}')
    if status != _HTTP_OK:
        return Answer(url, fault=f'answered {status}')
    return _decode(url, body)


def _decode(url: str, body: bytes) -> Answer:
    try:
        document = orjson.loads(body)
    except ValueError:
        return Answer(url, fault='answered something that is not JSON')
    if not isinstance(document, dict):
        return Answer(url, fault='answered JSON that is not an object')
    return Answer(url, document)


async def _batches(
    client: log.Client,
    stream: str,
) -> AsyncIterator[log.Batch]:
    start = 0
    while True:
        try:
            batch = await client.read(stream, start)
        except platform_errors.PlatformError as fault:
            raise errors.CommandError(
                f'stream {stream} can not be read: {fault.message}'
            ) from fault
        yield batch
        next_offset = max(start, batch.first_offset)
        if batch.records:
            next_offset = batch.records[-1].offset + 1
        # Without the second condition, a log that returns no records before its
        # end offset would be read in an endless loop.
        if next_offset >= batch.end_offset or next_offset == start:
            return
        start = next_offset


def _apply(
    configuration: model.Configuration,
    entry: log.Entry,
) -> tuple[model.Configuration, Change]:
    try:
        record = records.decode(entry.payload)
    except records.RecordError as fault:
        skipped_position = attrs.evolve(
            configuration.position, offset=entry.offset
        )
        return attrs.evolve(configuration, position=skipped_position), Change(
            entry.offset, entry.time_ms, None, fault=fault.message
        )
    applied, void = apply.apply_record(configuration, entry.offset, record)
    return applied, Change(entry.offset, entry.time_ms, record, void)


def _int_or_default(raw: Any, default: int) -> int:
    return raw if isinstance(raw, int) else default
