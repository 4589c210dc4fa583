"""Tests of the client connections to endpoints."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from yuccarouter.gateway import connections


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
async def test_a_lost_request_is_not_sent_again(method: str) -> None:
    """Guards against a client library that repeats requests by their method.

    The endpoint may have run the first one. If it has crashed, the second one
    is reported as a connection that could not be opened, so that the request
    counts as not run.
    """
    received = 0

    async def close_without_answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal received
        await reader.readuntil(b'\r\n\r\n')
        received += 1
        writer.close()

    server = await asyncio.start_server(close_without_answer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    session = connections.make_session()
    with pytest.raises(aiohttp.ServerDisconnectedError):
        await session.request(method, f'http://127.0.0.1:{port}/')
    await session.close()
    server.close()
    assert received == 1
