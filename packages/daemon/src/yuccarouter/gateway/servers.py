"""HTTP servers of a gateway: callers, readiness probes and metrics."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

import prometheus_client
from aiohttp import web

from yuccarouter.gateway import (
    bootstrap,
    caller_connections,
    request_handler,
)

if TYPE_CHECKING:
    from yuccarouter.gateway import model, state

_MAX_HEADER_BYTES: Final = 65536
# The shortest header line has a name, a colon and its end.
_MIN_LINE_BYTES: Final = 4
# Idle timeout of callers' connections, longer than any idle timeout that is
# configured elsewhere.
_KEEPALIVE_TIMEOUT_S: Final = 75.0
_CANCEL_GRACE_S: Final = 0.2
_READY_STATUS: Final = 200
_NOT_READY_STATUS: Final = 503


class Server:
    """Serves an application at one address.

    ``listener`` is the descriptor of the listening socket if it is open
    already.
    """

    def __init__(
        self,
        runner: web.BaseRunner,
        address: model.Address,
        listener: int | None = None,
    ) -> None:
        self._runner = runner
        self._address = address
        self._listener = listener
        self._site: web.SockSite | None = None

    async def start(self) -> None:
        """Listen at the address; raises ``OSError``."""
        await self._runner.setup()
        descriptor = self._listener
        if descriptor is None:
            address = self._address
            descriptor = bootstrap.open_port(address.host, address.port)
        listener = socket.socket(fileno=descriptor)
        self._site = web.SockSite(
            self._runner, listener, backlog=bootstrap.BACKLOG
        )
        await self._site.start()

    async def close_port(self) -> None:
        """Accept no more connections; open ones stay open."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def stop(self) -> None:
        """Close the port and all connections."""
        await self._runner.cleanup()


def make_web_server(
    gateway: state.Gateway,
) -> caller_connections.CallersServer:
    """Return the HTTP server that handles callers' requests.

    When a caller disconnects, its handler is cancelled, and with it the call
    to the endpoint.
    """
    return caller_connections.CallersServer(
        request_handler.make_handler(gateway),
        request_factory=request_handler.make_request_factory(gateway),
        handler_cancellation=True,
        keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
        access_log=None,
        max_line_size=_MAX_HEADER_BYTES,
        max_field_size=_MAX_HEADER_BYTES,
        max_headers=_MAX_HEADER_BYTES // _MIN_LINE_BYTES,
    )


def callers_server(
    server: web.Server,
    address: model.Address,
    listener: int | None,
) -> Server:
    """Return the server that listens at the callers' address."""
    runner = web.ServerRunner(server, shutdown_timeout=_CANCEL_GRACE_S)
    return Server(runner, address, listener)


def app_server(app: web.Application, address: model.Address) -> Server:
    """Return a server for an internal application."""
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=_CANCEL_GRACE_S
    )
    return Server(runner, address)


def readiness_app(gateway: state.Gateway) -> web.Application:
    """Return the application that answers the balancer's readiness probes."""

    async def ready(request: web.Request) -> web.Response:
        return web.Response(
            status=_READY_STATUS if gateway.is_ready() else _NOT_READY_STATUS
        )

    app = web.Application()
    app.router.add_get('/{path:.*}', ready)
    return app


def metrics_app() -> web.Application:
    """Return the application that serves Prometheus metrics."""

    async def serve_metrics(request: web.Request) -> web.Response:
        return web.Response(body=prometheus_client.generate_latest())

    app = web.Application()
    app.router.add_get('/metrics', serve_metrics)
    return app
