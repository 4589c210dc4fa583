"""Client connections to endpoints, to the store and to peers."""

from __future__ import annotations

import asyncio
import functools
import socket
from typing import TYPE_CHECKING, Final

import aiohttp
from aiohttp import client_proto, streams

if TYPE_CHECKING:
    from aiohappyeyeballs import AddrInfoType

# Endpoints are a few milliseconds away. A lost SYN packet is sent again only
# after a second, which is too long to wait for.
CONNECT_TIMEOUT_S: Final = 0.4
_SKIPPED_HEADERS: Final = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)
_MAX_LINE_BYTES: Final = 65536
# Limit on the bytes before an answer's body. They include interim answers and
# the part of the body that arrives together with the head.
MAX_HEAD_BYTES: Final = 524_288
# A host that lost power or its network sends no reset, so that only keep-alive
# probes detect it. Two seconds are the shortest time that these options, which
# take whole seconds, allow.
_SOCKET_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000),
)


class _Connection(client_proto.ResponseHandler):
    """Reports reset connections and limits the size of an answer's head.

    aiohttp treats an answer without a length as complete when its connection
    ends, even by a reset. It also accepts any number of interim answers, so
    that the bytes before an answer's body are counted here.
    """

    _head_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Process received bytes; abort if the head is too long."""
        if self._payload is None or self._payload is streams.EMPTY_PAYLOAD:
            self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self.set_exception(
                aiohttp.ClientPayloadError(
                    f'answer head exceeds {MAX_HEAD_BYTES} bytes'
                )
            )
            self.abort()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(
                    'connection was reset before the end of the answer'
                )
            )
        super().connection_lost(exc)


def make_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket with keep-alive probes that detect a lost host."""
    family, kind, protocol, *_ = address
    opened = socket.socket(family=family, type=kind, proto=protocol)
    for level, option, setting in _SOCKET_OPTIONS:
        opened.setsockopt(level, option, setting)
    return opened


def make_session() -> aiohttp.ClientSession:
    """Return a session that sends each request once, on a new connection.

    On a reused connection, a second or late answer would be taken for the
    answer to the next request, be it from an endpoint, the store or a peer. If
    a request's own connection can't be opened, the request has certainly not
    run.
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
    # aiohttp has no public way to set the class of its connections.
    connector._factory = factory  # type: ignore[assignment]  # noqa: WPS437
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_SKIPPED_HEADERS,
        max_line_size=_MAX_LINE_BYTES,
        max_field_size=_MAX_LINE_BYTES,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
    )
    # aiohttp sends requests with idempotent methods again if their connection
    # is lost, and then reports only that the second one could not be opened.
    session._retry_connection = False  # noqa: WPS437
    return session
