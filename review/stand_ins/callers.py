"""Callers that send one request on a new connection and read its answer."""

from __future__ import annotations

import asyncio
import itertools
import os
import time
from typing import Any

from stand_ins import deployment as deployments
from stand_ins import record

_NUMBERS = itertools.count(1)
_LAST_CHUNK = b'\r\n0\r\n\r\n'


class Outcome:
    """What a caller saw.

    ``end`` is ``complete``, ``closed`` if the connection ended before the end
    of the answer, or ``gave_up`` if the caller's own time was over.
    """

    def __init__(self, request: str, sent_s: float) -> None:
        self.request = request
        self.sent_s = sent_s
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.body_bytes = 0
        self.end = ''
        self.elapsed_s = 0.0


async def call(
    log: record.Record,
    gateway: deployments.Gateway,
    method: str,
    target: str,
    *,
    deadline_ms: int,
    body: bytes = b'',
    extra: tuple[str, ...] = (),
    keeps_body: bool = True,
) -> Outcome:
    """Send a request and return its outcome after the answer or the deadline."""
    request = f'{os.getpid():x}{next(_NUMBERS):08x}'
    lines = [
        f'{method} {target} HTTP/1.1',
        'Host: desk.example',
        f'X-Yuccarouter-Request-Id: {request}',
        f'X-Yuccarouter-Deadline-Ms: {deadline_ms}',
        'Authorization: Token key-1',
        *extra,
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    started_s = time.monotonic()
    outcome = Outcome(
        request,
        log.write('sent', request=request, gateway=gateway.name, target=target),
    )
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(
                gateway.host, gateway.front
            )
            writer.write('\r\n'.join((*lines, '', '')).encode() + body)
            await _read_answer(reader, outcome, keeps_body)
            outcome.end = 'complete'
    except TimeoutError:
        outcome.end = 'gave_up'
    except (OSError, asyncio.IncompleteReadError, ValueError):
        outcome.end = 'closed'
    finally:
        if writer is not None:
            writer.transport.abort()
    outcome.elapsed_s = time.monotonic() - started_s
    log.write(
        'answered',
        request=request,
        status=outcome.status,
        end=outcome.end,
        elapsed_s=round(outcome.elapsed_s, 3),
        body_bytes=outcome.body_bytes,
    )
    return outcome


async def _read_answer(
    reader: asyncio.StreamReader, outcome: Outcome, keeps_body: bool
) -> None:
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    outcome.status = int(lines[0].split(' ')[1])
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            outcome.headers[name.strip().lower()] = text.strip()
    is_chunked = (
        outcome.headers.get('transfer-encoding', '').lower() == 'chunked'
    )
    if is_chunked and not keeps_body:
        await _skip_chunks(reader, outcome)
        return
    if is_chunked:
        while True:
            size = int((await reader.readuntil(b'\r\n')), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            _keep(outcome, data[:-2], keeps_body)
    length = int(outcome.headers.get('content-length', '0'))
    _keep(outcome, await reader.readexactly(length), keeps_body)


def _keep(outcome: Outcome, data: bytes, keeps_body: bool) -> None:
    outcome.body_bytes += len(data)
    if keeps_body:
        outcome.body += data


async def _skip_chunks(reader: asyncio.StreamReader, outcome: Outcome) -> None:
    """Read up to the last chunk and count the bytes, frames included."""
    tail = b''
    while not tail.endswith(_LAST_CHUNK):
        data = await reader.read(65536)
        if not data:
            raise asyncio.IncompleteReadError(b'', None)
        outcome.body_bytes += len(data)
        tail = (tail + data)[-len(_LAST_CHUNK) :]
