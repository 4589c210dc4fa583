"""Tests of what a connection holds of an answer beside its body."""

from __future__ import annotations

import asyncio
import tracemalloc
from collections.abc import Iterator
from unittest import mock

import aiohttp
import pytest
from aiohttp import client_proto

from yuccarouter import answer_connections
from yuccarouter.gateway import connections

READ_BYTES = 16_384
# Of a head: 512 KiB, and what was read with it.
MAX_HEAD_MEMORY_BYTES = 650_000
# Of 32 KiB of trailers, and of what was read with them.
MAX_FRAMING_MEMORY_BYTES = 6 * 60_000
CHUNKED_HEAD = b'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n'
BODY = b'5\r\nhello\r\n'
CHARACTERS = {
    'ascii': b'y',
    'latin': '\xe9'.encode(),
    'wide': '\U0001f600'.encode(),
    'invalid': b'\xff',
}
# By name, what precedes the lines.
PLACES = {
    'head': b'HTTP/1.1 200 X\r\n',
    'interim head': b'HTTP/1.1 103 X\r\n',
    'trailer': CHUNKED_HEAD + BODY + b'0\r\n',
    'trailer of a part': CHUNKED_HEAD + BODY + b'3\r\nab',
    'chunk extension': CHUNKED_HEAD + BODY + b'5;a=',
}


def make_lines(character: str, line_bytes: int, total_bytes: int) -> bytes:
    """Return header lines with one or only such characters."""
    text = CHARACTERS[character]
    line = b'X-1: ' + text + b'y' * (line_bytes - len(text)) + b'\r\n'
    return line * (total_bytes // len(line))


async def make_connection() -> client_proto.ResponseHandler:
    """Return a connection on which a request was sent."""
    session = connections.make_session()
    connection = session.connector._factory()
    connection.connection_made(mock.Mock())
    connection.set_response_params(
        read_until_eof=True,
        auto_decompress=False,
        max_line_size=65_536,
        max_field_size=65_536,
        max_headers=128,
    )
    await session.close()
    return connection


def feed(connection: client_proto.ResponseHandler, received: bytes) -> None:
    """Let a connection receive bytes, until it is closed."""
    for start in range(0, len(received), READ_BYTES):
        if connection.transport is not None:
            connection.data_received(received[start : start + READ_BYTES])


@pytest.fixture
def traced() -> Iterator[None]:
    """Trace the memory of a test."""
    tracemalloc.start()
    yield
    tracemalloc.stop()


@pytest.mark.usefixtures('traced')
@pytest.mark.parametrize('character', CHARACTERS)
@pytest.mark.parametrize('line_bytes', [10, 4000, 64_000])
@pytest.mark.parametrize('total_bytes', [100_000, 500_000, 8_000_000])
@pytest.mark.parametrize('place', PLACES)
async def test_memory_beside_the_body(
    place: str, total_bytes: int, line_bytes: int, character: str
) -> None:
    """Guards against heads and trailers that a parser keeps without end.

    A process that exceeds its memory is ended, with the requests of all.
    """
    connection = await make_connection()
    lines = make_lines(character, line_bytes, total_bytes)
    received = PLACES[place] + lines
    before_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.reset_peak()
    feed(connection, received)
    _, peak_bytes = tracemalloc.get_traced_memory()
    is_head = place.endswith('head')
    assert peak_bytes - before_bytes < (
        MAX_HEAD_MEMORY_BYTES if is_head else MAX_FRAMING_MEMORY_BYTES
    )
    connection.connection_lost(None)


@pytest.mark.usefixtures('traced')
@pytest.mark.parametrize('character', CHARACTERS)
@pytest.mark.parametrize('line_bytes', [10, 4000, 64_000])
@pytest.mark.parametrize(
    ('place', 'total_bytes'),
    [('head', 100_000), ('head', 500_000), ('trailer', 15_000)],
)
async def test_memory_that_is_counted(
    place: str, total_bytes: int, line_bytes: int, character: str
) -> None:
    """Guards against open answers that hold more than is counted of them."""
    counted_bytes = 0

    def record(held_bytes: int, end: answer_connections.EndAnswer) -> None:
        nonlocal counted_bytes
        counted_bytes = held_bytes

    connections.record_held.set(record)
    connection = await make_connection()
    lines = make_lines(character, line_bytes, total_bytes)[:total_bytes]
    received = PLACES[place] + lines
    feed(connection, PLACES[place])
    before_bytes, _ = tracemalloc.get_traced_memory()
    feed(connection, received[len(PLACES[place]) :])
    held_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    # A line that the parser refuses is held by the error as well.
    if connection.transport is not None and connection.exception() is None:
        assert held_bytes <= counted_bytes + READ_BYTES
    connection.connection_lost(None)


@pytest.mark.parametrize(
    ('received', 'body'),
    [
        (CHUNKED_HEAD + BODY + b'0\r\n\r\n', b'hello'),
        (CHUNKED_HEAD + BODY + b'0\r\nX-1: y\r\n\r\n', b'hello'),
        (
            CHUNKED_HEAD + BODY + b'0\r\nX-1: ' + b'y' * 9000 + b'\r\n\r\n',
            b'hello',
        ),
        (CHUNKED_HEAD + BODY * 20_000 + b'0\r\n\r\n', b'hello' * 20_000),
        (
            CHUNKED_HEAD
            + (b'1;' + b'e' * 9000 + b'\r\nx\r\n') * 50
            + b'0\r\n\r\n',
            b'x' * 50,
        ),
    ],
    ids=['none', 'short', 'long', 'small chunks', 'extensions'],
)
async def test_sound_trailers(received: bytes, body: bytes) -> None:
    """Guards against a limit that ends sound answers in chunks."""
    connection = await make_connection()
    feed(connection, received)
    _, content = await connection.read()
    assert await content.read() == body


@pytest.mark.parametrize('pieces', [1, 100])
async def test_error_of_an_endless_trailer(pieces: int) -> None:
    """Guards against an answer that is passed on as whole, or waited for."""
    connection = await make_connection()
    feed(connection, PLACES['trailer'])
    _, content = await connection.read()
    lines = make_lines('ascii', 1000, 40_000)
    size = len(lines) // pieces
    for start in range(0, len(lines), size):
        feed(connection, lines[start : start + size])
    connection.connection_lost(None)
    with pytest.raises(answer_connections.EndlessAnswerError):
        await content.read()


async def test_memory_error_of_a_head() -> None:
    """Guards against an ended answer whose reader goes on waiting."""

    def record(held_bytes: int, end: answer_connections.EndAnswer) -> None:
        if held_bytes > 100_000:
            end(aiohttp.ClientPayloadError('too much'))

    connections.record_held.set(record)
    connection = await make_connection()
    feed(connection, PLACES['head'] + make_lines('ascii', 1000, 200_000))
    connection.connection_lost(None)
    async with asyncio.timeout(1):
        with pytest.raises(aiohttp.ClientPayloadError, match='too much'):
            await connection.read()
