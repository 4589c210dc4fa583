"""Tests of heads of callers' requests that don't end."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from aiohttp import web

from yuccarouter.gateway import caller_connections

MAX_LINE_BYTES = 1000


async def serve(request: web.BaseRequest) -> web.Response:
    await request.read()
    return web.Response(text='x')


async def send(pieces: list[bytes]) -> bytes:
    """Send bytes on a connection and return all that is received."""
    server = caller_connections.CallersServer(
        serve,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
        max_headers=500,
        keepalive_timeout=1,
    )
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(server, '127.0.0.1', 0)
    port = listening.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    received = bytearray()

    async def read() -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(4096):
                received.extend(data)

    reading = asyncio.create_task(read())
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0.01)
    async with asyncio.timeout(5):
        await reading
    writer.transport.abort()
    listening.close()
    await server.shutdown(0)
    return bytes(received)


HEAD = b'GET / HTTP/1.1\r\nHost: h\r\n'
LINE = b'X: ' + b'y' * 90 + b'\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
EXTENDED_CHUNK = b'5;' + b'e' * 500 + b'\r\nhello\r\n'


@pytest.mark.parametrize(
    ('pieces', 'answers'),
    [
        ([HEAD, b'\r\n'], 1),
        ([HEAD, *[LINE] * 15, b'\r\n'], 1),
        ([HEAD, *[10 * LINE] * 10, b'\r\n'], 0),
        ([HEAD + b'\r\n', HEAD, *[10 * LINE] * 10, b'\r\n'], 1),
        # Bodies and requests in succession are no head.
        ([HEAD + b'Content-Length: 6000\r\n\r\n', *[b'z' * 600] * 10], 1),
        ([HEAD + LINE * 8 + b'\r\n'] * 5, 5),
        # Trailers, one of them without end; chunk extensions.
        ([CHUNKED, b'0\r\n', LINE, b'\r\n', HEAD + b'\r\n'], 2),
        ([CHUNKED, b'0\r\n', *[LINE] * 50], 0),
        ([HEAD + b'\r\n', CHUNKED, b'0\r\n', *[LINE] * 50], 1),
        ([CHUNKED, *[EXTENDED_CHUNK] * 20, b'0\r\n\r\n'], 1),
        ([CHUNKED, b'5;a=', *[b'b' * 90] * 50], 0),
    ],
)
async def test_long_heads(pieces: list[bytes], answers: int) -> None:
    """Guards against a head of many lines that goes on without end.

    Each of its lines is within the limit on a line.
    """
    received = await send(pieces)
    assert received.count(b'HTTP/1.1 200') == answers
