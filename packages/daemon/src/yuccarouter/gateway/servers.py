"""Servers of a gateway as supervised services."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

import prometheus_client
from aiohttp import web

from yuccarouter.gateway import bootstrap, request_handler

if TYPE_CHECKING:
    from yuccarouter.gateway import model, state

_HEADER_BYTES: Final = 65536
# Callers' connections may idle longer than any idle time that is configured.
_KEEPALIVE_S: Final = 75.0
_CANCEL_GRACE_S: Final = 0.2
_READY: Final = 200
_NOT_READY: Final = 503


class Server:
    """Serves an application at one address.

    ``listener`` is the descriptor of that address where it is open already.
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
        """Listen before anything else relies on the address."""
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
        """Take no new connections; the open ones go on."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def stop(self) -> None:
        """Close the port and the connections."""
        await self._runner.cleanup()


def callers_server(gateway: state.Gateway) -> web.Server:
    """Return the server of callers' requests.

    A caller that leaves cancels its handler, so that the work is cancelled
    down to the endpoint.
    """
    return web.Server(
        request_handler.make_handler(gateway),
        request_factory=request_handler.make_request_factory(gateway),
        handler_cancellation=True,
        keepalive_timeout=_KEEPALIVE_S,
        access_log=None,
        max_line_size=_HEADER_BYTES,
        max_field_size=_HEADER_BYTES,
    )


def serve_callers(
    server: web.Server,
    address: model.Address,
    listener: int | None,
) -> Server:
    """Return the service of the callers' address."""
    runner = web.ServerRunner(server, shutdown_timeout=_CANCEL_GRACE_S)
    return Server(runner, address, listener)


def serve_app(app: web.Application, address: model.Address) -> Server:
    """Return a service of an application that is no callers' one."""
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=_CANCEL_GRACE_S
    )
    return Server(runner, address)


def ready_app(gateway: state.Gateway) -> web.Application:
    """Return the application that tells the balancer whether to send."""

    async def ready(request: web.Request) -> web.Response:
        return web.Response(status=_READY if gateway.is_ready() else _NOT_READY)

    app = web.Application()
    app.router.add_get('/{path:.*}', ready)
    return app


def metrics_app() -> web.Application:
    """Return the application that shows counters and histograms."""

    async def show(request: web.Request) -> web.Response:
        return web.Response(body=prometheus_client.generate_latest())

    app = web.Application()
    app.router.add_get('/metrics', show)
    return app
