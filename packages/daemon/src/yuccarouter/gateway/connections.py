"""Connections to endpoints."""

from __future__ import annotations

import asyncio
import functools
from typing import Final

import aiohttp
from aiohttp import client_proto

# Endpoints are a few milliseconds away; a lost opening packet is sent again
# only after a second.
CONNECT_TIMEOUT_S: Final = 0.4
_SKIPPED_HEADERS: Final = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)
_MAX_LINE: Final = 65536


class _Connection(client_proto.ResponseHandler):
    """Marks an answer as broken when its connection is reset.

    The library takes an answer without a length as whole at any end of its
    connection.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError('connection was reset')
            )
        super().connection_lost(exc)


def make_session() -> aiohttp.ClientSession:
    """Return a session that opens a connection for each attempt.

    What comes after the answer on a kept connection, a second answer or one
    that is late, would be taken for the answer to the next request. With a
    connection of its own, a request that could not be sent is also known not
    to have run.
    """
    connector = aiohttp.TCPConnector(
        force_close=True,
        limit=0,
        limit_per_host=0,
        use_dns_cache=False,
        happy_eyeballs_delay=None,
    )
    connector._factory = functools.partial(  # noqa: SLF001
        _Connection, loop=asyncio.get_running_loop()
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_SKIPPED_HEADERS,
        max_line_size=_MAX_LINE,
        max_field_size=_MAX_LINE,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
    )
