"""Connections to endpoints, to the store and to peers."""

from __future__ import annotations

import asyncio
import functools
import socket
from typing import TYPE_CHECKING, Final

import aiohttp
from aiohttp import client_proto, streams

if TYPE_CHECKING:
    from aiohappyeyeballs import AddrInfoType

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
# Bytes of the head, with interim answers and what arrives of the body at once.
MAX_HEAD_BYTES: Final = 524_288
# A peer that lost power or is cut off answers nothing, so that only probes
# show it: after two seconds of silence, the least that whole seconds allow.
_SOCKET_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000),
)


class _Connection(client_proto.ResponseHandler):
    """Marks an answer as broken when its connection is reset.

    The library takes an answer without a length as whole at any end of its
    connection. It also waits through interim answers without a bound, so that
    the bytes before an answer's body are counted here.
    """

    _head_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Take in bytes; too many before a body end the connection."""
        if self._payload is None or self._payload is streams.EMPTY_PAYLOAD:
            self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self.set_exception(
                aiohttp.ClientPayloadError('answer has no end of its head')
            )
            self.abort()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError('connection was reset')
            )
        super().connection_lost(exc)


def make_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket on which the silence of a lost peer is noticed."""
    family, kind, protocol, *_ = address
    made = socket.socket(family=family, type=kind, proto=protocol)
    for level, option, setting in _SOCKET_OPTIONS:
        made.setsockopt(level, option, setting)
    return made


def make_session() -> aiohttp.ClientSession:
    """Return a session that opens a connection for each request.

    What comes after the answer on a kept connection, a second answer or one
    that is late, would be taken for the answer to the next request, of the
    store and of peers as of endpoints. With a connection of its own, a request
    that could not be sent is also known not to have run.
    """
    connector = aiohttp.TCPConnector(
        force_close=True,
        limit=0,
        limit_per_host=0,
        use_dns_cache=False,
        happy_eyeballs_delay=None,
        socket_factory=make_socket,
    )
    factory = functools.partial(_Connection, loop=asyncio.get_running_loop())
    # The library has no public way to give its connections a subclass.
    connector._factory = factory  # type: ignore[assignment]  # noqa: WPS437
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
