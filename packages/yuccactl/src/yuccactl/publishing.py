"""Appending one record to the stream ``configuration``, at most once."""

from __future__ import annotations

import asyncio
import time
from typing import Final

from yuccactl import errors
from yuccarouter_common import records
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import log

_STREAM: Final = 'configuration'
_FIND_PAUSE_S: Final = 0.25


async def publish(
    client: log.Client,
    record: records.Record,
    start: int,
    wait_ms: int,
) -> int:
    """Append ``record`` and return its offset.

    When the answer is lost, the record is looked for from ``start`` on until
    ``wait_ms`` have passed. It is never appended again, because the first
    append may still take effect later.

    Raises ``errors.RejectedError`` when nothing took effect and
    ``errors.UnknownError`` when that is not known.
    """
    payload = records.converter.unstructure(record)
    try:
        appended = await client.append(_STREAM, record.change_id, payload)
    except platform_errors.UnavailableError as fault:
        raise errors.RejectedError(
            f'nothing was changed: {fault.message}'
        ) from fault
    except platform_errors.PlatformError:
        return await _find(client, record, start, wait_ms)
    return appended.offset


async def _find(
    client: log.Client,
    record: records.Record,
    start: int,
    wait_ms: int,
) -> int:
    deadline = time.monotonic() + wait_ms / 1000
    while True:
        try:
            found = await client.find(_STREAM, record.change_id, start)
        except platform_errors.PlatformError:
            found = None
        if found is not None:
            return found.offset
        if time.monotonic() >= deadline:
            raise errors.UnknownError(
                f'the answer to change {record.change_id} was lost and the '
                'record is not in the log so far; '
                'repeat the statement later: it changes nothing twice'
            )
        await asyncio.sleep(_FIND_PAUSE_S)
