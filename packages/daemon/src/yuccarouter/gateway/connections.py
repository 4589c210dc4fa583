"""Client connections to endpoints, to the store and to peers."""

from __future__ import annotations

import asyncio
import contextvars
import functools
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

import aiohttp
import attrs
import eliot

from yuccarouter import answer_connections, answer_ends
from yuccarouter.gateway import metrics
from yuccarouter_common import turn_timeouts

if TYPE_CHECKING:
    from aiohappyeyeballs import AddrInfoType
    from aiohttp import client_proto

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
_NO_FIELDS: Final[frozenset[bytes]] = frozenset()
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


# The request whose answer a connection receives, for log lines.
request_id: Final[contextvars.ContextVar[str]] = contextvars.ContextVar(
    'request_id', default=''
)


def make_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket with keep-alive probes that detect a lost host."""
    family, kind, protocol, *_ = address
    opened = socket.socket(family=family, type=kind, proto=protocol)
    for level, option, setting in _SOCKET_OPTIONS:
        opened.setsockopt(level, option, setting)
    return opened


def _send_anyway() -> None:
    """Let a request be sent."""


# Called once the connection of a request is open, which may have taken a while,
# and before the request is sent. An exception ends the request unsent.
check_before_send: Final[contextvars.ContextVar[Callable[[], None]]] = (
    contextvars.ContextVar('check_before_send', default=_send_anyway)
)


def _count_nothing(held_bytes: int, end: answer_connections.EndAnswer) -> None:
    """Count no memory."""


# Called with what the connection of a request holds of its answer's head and
# trailer, and with what ends the answer.
record_held: Final[contextvars.ContextVar[answer_connections.RecordHeld]] = (
    contextvars.ContextVar('record_held', default=_count_nothing)
)


class _Connector(aiohttp.TCPConnector):
    """Opens connections within a time that leaves them turns of the loop."""

    async def _wrap_create_connection(
        self, *args: Any, timeout: aiohttp.ClientTimeout, **kwargs: Any
    ) -> tuple[asyncio.Transport, client_proto.ResponseHandler]:
        # aiohttp has no other place for the time to open a connection.
        async with turn_timeouts.limit(timeout.sock_connect):
            opened = await super()._wrap_create_connection(
                *args,
                timeout=attrs.evolve(timeout, sock_connect=None),
                **kwargs,
            )
        try:
            check_before_send.get()()
        except BaseException:
            opened[0].abort()
            raise
        return opened


def make_session(
    extra_event_fields: frozenset[bytes] = _NO_FIELDS,
) -> aiohttp.ClientSession:
    """Return a session that sends each request once, on a new connection.

    ``extra_event_fields`` are names of fields that events of the endpoints'
    streams have besides the standard ones.

    On a reused connection, a second or late answer would be taken for the
    answer to the next request, be it from an endpoint, the store or a peer. If
    a request's own connection can't be opened, the request has certainly not
    run.
    """
    connector = _Connector(
        force_close=True,
        limit=0,
        limit_per_host=0,
        use_dns_cache=False,
        happy_eyeballs_delay=None,
        socket_factory=make_socket,
    )
    answer_connections.set_up(
        connector,
        functools.partial(answer_ends.StreamEnd, extra_event_fields),
        _record_surplus,
        _record_held,
    )
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


def _record_held(held_bytes: int, end: answer_connections.EndAnswer) -> None:
    record_held.get()(held_bytes, end)


def _record_surplus(surplus: answer_connections.Surplus) -> None:
    metrics.SURPLUS_ANSWERS.inc()
    eliot.log_message(
        'bytes_after_answer',
        request=request_id.get(),
        address=surplus.address,
        has_length=surplus.has_length,
        what=surplus.what,
    )
