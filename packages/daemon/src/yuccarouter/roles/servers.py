"""HTTP and gRPC servers of a daemon as supervised services."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

import mode
from aiohttp import web
from grpc import aio

from yuccarouter_common import peer_auth

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter_common import settings

_MAX_PENDING_CONNECTIONS: Final = 1024
_CANCEL_GRACE_S: Final = 1.0
_GRPC_OPTIONS: Final = (
    ('grpc.max_receive_message_length', 16_777_216),
    ('grpc.keepalive_time_ms', 10_000),
    ('grpc.keepalive_timeout_ms', 3000),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.min_recv_ping_interval_without_data_ms', 5000),
    ('grpc.so_reuseport', 0),
)


class HttpServer(mode.Service):
    """Serves an aiohttp application at one address.

    When a caller disconnects, its handler is cancelled. The cancellation
    propagates to the engine.
    """

    def __init__(
        self,
        app: web.Application,
        address: settings.Address,
        max_header_bytes: int,
    ) -> None:
        super().__init__()
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=max_header_bytes,
            max_field_size=max_header_bytes,
            shutdown_timeout=_CANCEL_GRACE_S,
        )
        self._address = address

    async def on_start(self) -> None:
        """Listen before anything else relies on the address."""
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self._address.host,
            self._address.port,
            backlog=_MAX_PENDING_CONNECTIONS,
        )
        await site.start()

    async def on_stop(self) -> None:
        """Close the listening socket and the connections."""
        await self._runner.cleanup()


class GrpcServer(mode.Service):
    """Serves gRPC servicers at one address to callers with the peer key."""

    def __init__(
        self,
        address: settings.Address,
        peer_key: str,
        add_servicers: Callable[[aio.Server], None],
    ) -> None:
        super().__init__()
        self._server = aio.server(
            interceptors=[peer_auth.PeerKeyInterceptor(peer_key)],
            options=_GRPC_OPTIONS,
        )
        add_servicers(self._server)
        self._address = address

    async def on_start(self) -> None:
        """Listen before anything else relies on the address."""
        _check_available(self._address)
        self._server.add_insecure_port(str(self._address))
        await self._server.start()

    async def on_stop(self) -> None:
        """Close the server; drained calls have ended by now.

        Remaining calls are cancelled after a grace period.
        """
        await self._server.stop(_CANCEL_GRACE_S)


def _check_available(address: settings.Address) -> None:
    """Raise ``OSError`` with a clear message if the address is in use."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    with socket.socket(family) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((address.host, address.port))
