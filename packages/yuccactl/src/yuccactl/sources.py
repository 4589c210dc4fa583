"""Reading the log and the daemons, with the age of what was read."""

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

_STATUS_TIMEOUT_S: Final = 2.0
# Daemons asked at the same time; 400 daemons are asked in 7 rounds.
_MAX_REQUESTS: Final = 64
_HTTP_OK: Final = 200


@attrs.frozen
class Context:
    """What a statement needs to be carried out.

    ``progress`` gets lines about what is going on.
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
    """One record of the configuration stream and what became of it."""

    offset: int
    time_ms: int
    record: records.Record | None
    void: model.VoidChange | None = None
    fault: str = ''


@attrs.frozen
class Replay:
    """The configuration according to the log, and the changes that led to it.

    ``complete`` is false when the log gave only a part of the changes: the
    oldest are gone and there is no snapshot of them, or the newest are missing.
    """

    configuration: model.Configuration
    changes: list[Change]
    end_offset: int
    complete: bool = True


@attrs.frozen
class Answer:
    """What one daemon answered; ``fault`` is set when it did not."""

    url: str
    document: dict[str, Any] = attrs.field(factory=dict)
    fault: str = ''

    @property
    def daemon(self) -> str:
        """Name of the daemon, or its URL when it did not say."""
        return str(self.document.get('daemon') or self.url)

    @property
    def position(self) -> model.Position:
        """Position of the daemon's configuration; -1 when unknown."""
        held = self.document.get('position')
        if not isinstance(held, dict):
            return model.Position(-1, -1)
        return model.Position(
            _whole(held.get('generation'), 0), _whole(held.get('offset'), -1)
        )


async def replay(client: log.Client) -> Replay:
    """Read the stream ``configuration`` and apply it.

    When the oldest records are gone, the configuration is that of the newest
    usable snapshot and the records after it.

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
        base = await _from_snapshot(client)
        complete = base is not None
        configuration = base or configuration
    return Replay(
        configuration,
        changes,
        end_offset,
        complete=complete and configuration.position.offset + 1 >= end_offset,
    )


async def _from_snapshot(client: log.Client) -> model.Configuration | None:
    """Return what starting daemons read, none without a usable snapshot."""
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
    found: list[log.Entry] = []
    async for batch in _batches(client, stream):
        found.extend(batch.records)
    return found


async def statuses(context: Context) -> list[Answer]:
    """Ask every daemon for its status; unreachable ones have a fault."""
    return await ask(context, 'status')


async def ask(context: Context, path: str) -> list[Answer]:
    """Get ``path`` from the admin port of every daemon."""
    limit = asyncio.Semaphore(_MAX_REQUESTS)
    return await asyncio.gather(
        *(
            _ask_one(context, limit, url, path)
            for url in context.settings.daemons
        )
    )


def quote(part: str) -> str:
    """Return a path segment that stands for exactly ``part``."""
    return url_parse.quote(part, safe='')


async def _ask_one(
    context: Context,
    limit: asyncio.Semaphore,
    url: str,
    path: str,
) -> Answer:
    headers = {}
    if context.settings.operator_key:
        headers['Authorization'] = f'Bearer {context.settings.operator_key}'
    async with limit:
        try:
            async with context.session.get(
                f'{url.rstrip("/")}/{path}',
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=_STATUS_TIMEOUT_S),
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
        following = max(start, batch.first_offset)
        if batch.records:
            following = batch.records[-1].offset + 1
        # A log that gives nothing although it says that there is more would
        # keep the program reading for ever.
        if following >= batch.end_offset or following == start:
            return
        start = following


def _apply(
    configuration: model.Configuration,
    entry: log.Entry,
) -> tuple[model.Configuration, Change]:
    try:
        record = records.decode(entry.payload)
    except records.RecordError as fault:
        skipped = attrs.evolve(configuration.position, offset=entry.offset)
        return attrs.evolve(configuration, position=skipped), Change(
            entry.offset, entry.time_ms, None, fault=fault.message
        )
    applied, void = apply.apply_record(configuration, entry.offset, record)
    return applied, Change(entry.offset, entry.time_ms, record, void)


def _whole(found: Any, missing: int) -> int:
    return found if isinstance(found, int) else missing
