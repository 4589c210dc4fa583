"""The gateway process: its parts, start, reload and stop."""

from __future__ import annotations

import asyncio
import functools
import pathlib
import signal
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

import aiohttp
import attrs
import eliot
import prometheus_client
from aiohttp import web

from yuccarouter.gateway import (
    connections,
    front,
    logs,
    peers,
    ports,
    rollout_control,
    state,
    topics,
)
from yuccarouter_common import clocks, errors
from yuccarouter_common.platform import errors as platform_errors

if TYPE_CHECKING:
    from yuccarouter.gateway import settings

MakeStore = Callable[
    [aiohttp.ClientSession, 'settings.GatewaySettings'], ports.Store
]

_MS_PER_S: Final = 1000
_BACKLOG: Final = 1024
_HEADER_BYTES: Final = 65536
# Callers' connections may idle longer than any idle time that is configured.
_KEEPALIVE_S: Final = 75.0
# Endpoints must be seen to leave within the drain bound; a reading each fifth
# of it leaves time for a call that fails.
_DIRECTORY_READS_PER_BOUND: Final = 2.2
_SETTINGS_CHECK_S: Final = 1.0
# Part of the grace that requests in progress get; the rest is for closing.
_DRAIN_PART: Final = 0.92
# The balancer sends new connections until it has missed two checks.
_BALANCER_S: Final = 2.6
_DRAIN_CHECK_S: Final = 0.05
_MEMBER_RETRY_S: Final = 1.0
_CANCEL_GRACE_S: Final = 0.2
_READY: Final = 200
_NOT_READY: Final = 503


@attrs.define
class _Servers:
    callers: web.Server[web.BaseRequest]
    callers_site: web.TCPSite
    runners: list[Any]


async def serve(
    conf: settings.GatewaySettings,
    platform: ports.Platform,
    make_store: MakeStore,
    reload: Callable[[], settings.GatewaySettings],
    settings_path: str,
) -> int:
    """Run a gateway until SIGTERM and return its exit status."""
    log = logs.start(conf.name)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    eliot.log_message('started', name=conf.name, data_centre=conf.data_centre)
    async with connections.make_session() as session:
        async with _store_session() as store_session:
            store = make_store(store_session, conf)
            gateway = _make_gateway(conf, platform, session)
            followed = _follow(gateway, store)
            servers = await _listen(gateway, followed)
            tasks = _start_tasks(
                gateway, store, followed, store_session, log
            )
            reloading = _Reload(gateway, reload, settings_path)
            loop.add_signal_handler(signal.SIGHUP, reloading.apply)
            tasks.append(asyncio.create_task(reloading.run()))
            await stop.wait()
            await _drain(gateway, servers)
            for task in tasks:
                task.cancel()
            for runner in reversed(servers.runners):
                await runner.cleanup()
    eliot.log_message('stopped', name=conf.name)
    log.flush()
    return 0


def _store_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, happy_eyeballs_delay=None, keepalive_timeout=30
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=connections.CONNECT_TIMEOUT_S
        ),
    )


def _make_gateway(
    conf: settings.GatewaySettings,
    platform: ports.Platform,
    session: aiohttp.ClientSession,
) -> state.Gateway:
    turn: Callable[[], int] = lambda: _turn(gateway)  # noqa: E731
    control = rollout_control.RolloutControl(
        platform.encode_rollout_status, conf.bounds.exposure_share, turn
    )
    gateway = state.Gateway(conf, platform, session, control)
    return gateway


def _turn(gateway: state.Gateway) -> int:
    """Return this daemon's place among those that take steps."""
    if gateway.exchange is None:
        return 0
    live = {
        name
        for name, peer in gateway.exchange.heard.items()
        if peer in gateway.exchange.live_peers()
    }
    return sorted({*live, gateway.conf.name}).index(gateway.conf.name)


def _follow(
    gateway: state.Gateway, store: ports.Store
) -> list[topics.Topic]:
    names = gateway.platform.topics
    orders = topics.Topic(
        names.orders, store, gateway.order_changed, _ignore
    )
    gateway.orders_topic = orders
    interval_ms = gateway.conf.bounds.drain_ms / _DIRECTORY_READS_PER_BOUND
    return [
        orders,
        topics.Topic(
            names.endpoints,
            store,
            gateway.endpoint_changed,
            gateway.directory.store_regained,
            interval_ms=interval_ms,
        ),
        topics.Topic(names.state, store, gateway.state_changed, _ignore),
    ]


def _ignore(away_ms: float) -> None:
    """Do nothing when contact to the store is back."""


async def _listen(
    gateway: state.Gateway, followed: list[topics.Topic]
) -> _Servers:
    conf = gateway.conf
    exchange = peers.Exchange(
        functools.partial(_digest, gateway, followed),
        lambda name, digest: gateway.control.receive(
            name, digest['rollouts']
        ),
    )
    gateway.exchange = exchange
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: exchange, local_addr=(conf.peer.host, conf.peer.port)
    )
    callers = web.Server(
        front.make_handler(gateway),
        request_factory=front.make_request_factory(gateway),
        handler_cancellation=True,
        keepalive_timeout=_KEEPALIVE_S,
        access_log=None,
        max_line_size=_HEADER_BYTES,
        max_field_size=_HEADER_BYTES,
    )
    runner = web.ServerRunner(callers, shutdown_timeout=_CANCEL_GRACE_S)
    await runner.setup()
    site = web.TCPSite(
        runner, conf.listen.host, conf.listen.port, backlog=_BACKLOG
    )
    runners = [
        runner,
        await _serve_app(_ready_app(gateway), conf.ready.host, conf.ready.port),
        await _serve_app(
            peers.records_app(followed), conf.peer.host, conf.peer.port
        ),
        await _serve_app(_metrics_app(), conf.host, conf.metrics_port),
    ]
    await site.start()
    return _Servers(callers, site, runners)


def _digest(
    gateway: state.Gateway, followed: list[topics.Topic]
) -> dict[str, Any]:
    return {
        'name': gateway.conf.name,
        'store_age_ms': min(
            1e9, max(topic.age_ms() for topic in followed)
        ),
        'rollouts': gateway.control.digest(),
    }


async def _serve_app(
    app: web.Application, host: str, port: int
) -> web.AppRunner:
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=_CANCEL_GRACE_S
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


def _ready_app(gateway: state.Gateway) -> web.Application:
    async def ready(request: web.Request) -> web.Response:
        return web.Response(
            status=_READY if gateway.is_ready() else _NOT_READY
        )

    app = web.Application()
    app.router.add_get('/{path:.*}', ready)
    return app


def _metrics_app() -> web.Application:
    async def show(request: web.Request) -> web.Response:
        return web.Response(body=prometheus_client.generate_latest())

    app = web.Application()
    app.router.add_get('/metrics', show)
    return app


def _start_tasks(
    gateway: state.Gateway,
    store: ports.Store,
    followed: list[topics.Topic],
    session: aiohttp.ClientSession,
    log: logs.LineLog,
) -> list[asyncio.Task[Any]]:
    exchange = gateway.exchange
    if exchange is None:
        return []
    state_topic = followed[-1]
    work = [
        *(topic.follow() for topic in followed),
        exchange.run(),
        peers.fetch_missed(session, exchange, followed),
        gateway.control.run(store, state_topic),
        _announce(gateway, store, state_topic),
        log.run(),
    ]
    return [asyncio.create_task(_supervised(part)) for part in work]


async def _supervised(part: Coroutine[Any, Any, None]) -> None:
    """Run a part of the process and end the process if the part fails.

    The platform starts it again, with nothing of a faulty state left.
    """
    try:
        await part
    except Exception:
        eliot.write_traceback()
        signal.raise_signal(signal.SIGTERM)
        raise


async def _announce(
    gateway: state.Gateway, store: ports.Store, topic: topics.Topic
) -> None:
    """Tell the other daemons where this one is, unless they know."""
    key, value = state.member_record(gateway.conf)
    while True:
        known = topic.table.entries.get(key)
        if topic.is_loaded and (known is None or known.value != value):
            try:
                await store.append(topic.name, [(key, value)], None)
            except platform_errors.PlatformError as fault:
                eliot.log_message('announcement_lost', code=fault.code)
        elif topic.is_loaded:
            return
        await asyncio.sleep(_MEMBER_RETRY_S)


async def _drain(gateway: state.Gateway, servers: _Servers) -> None:
    """Let requests in progress finish and the balancer turn away."""
    gateway.is_draining = True
    eliot.log_message('draining', in_progress=gateway.in_progress)
    started_ms = clocks.monotonic_ms()
    grace_ms = gateway.conf.bounds.grace_ms * _DRAIN_PART
    _close_connections(gateway, servers)
    await asyncio.sleep(_BALANCER_S)
    await servers.callers_site.stop()
    _close_connections(gateway, servers)
    while (
        gateway.in_progress and clocks.monotonic_ms() - started_ms < grace_ms
    ):
        await asyncio.sleep(_DRAIN_CHECK_S)


def _close_connections(gateway: state.Gateway, servers: _Servers) -> None:
    """Close idle connections now and the others after their answer.

    A request on a kept connection could reach this daemon long after the
    balancer has turned away.
    """
    for connection in servers.callers.connections:
        if connection in gateway.busy_connections:
            connection.close()
        else:
            connection.force_close()


@attrs.define
class _Reload:
    """Takes in settings that changed, told by a signal or by the file."""

    gateway: state.Gateway
    load: Callable[[], settings.GatewaySettings]
    path: str

    def apply(self) -> None:
        """Take in the settings, or keep the old ones if they are faulty."""
        try:
            conf = self.load()
        except errors.RouterError as fault:
            eliot.log_message('settings_rejected', reason=fault.message)
            return
        self.gateway.conf = conf
        eliot.log_message('settings_reloaded', name=conf.name)

    async def run(self) -> None:
        """Look for a change of the file, until cancelled."""
        seen = self._changed_ns()
        while True:
            await asyncio.sleep(_SETTINGS_CHECK_S)
            changed = self._changed_ns()
            if changed != seen:
                seen = changed
                self.apply()

    def _changed_ns(self) -> int:
        try:
            return pathlib.Path(self.path).stat().st_mtime_ns
        except OSError:
            return 0
