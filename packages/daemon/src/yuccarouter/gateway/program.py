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
class _Running:
    """The servers and tasks of a process."""

    callers: web.Server
    callers_site: web.TCPSite
    runners: list[Any]
    tasks: list[asyncio.Task[Any]] = attrs.field(factory=list)

    def add(self, part: Coroutine[Any, Any, None]) -> None:
        """Run a part until the process stops."""
        self.tasks.append(asyncio.create_task(_supervised(part)))

    async def stop(self) -> None:
        """End the tasks, and the servers that were started last first."""
        for task in self.tasks:
            task.cancel()
        for runner in reversed(self.runners):
            await runner.cleanup()


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
    async with (
        connections.make_session() as session,
        connections.make_store_session() as store_session,
    ):
        gateway = _make_gateway(conf, platform, session)
        reloading = _Reload(gateway, reload, settings_path)
        loop.add_signal_handler(signal.SIGHUP, reloading.apply)
        store = make_store(store_session, conf)
        running = await _start(gateway, store, store_session)
        running.add(reloading.run())
        running.add(log.run())
        await stop.wait()
        await _drain(gateway, running)
        await running.stop()
    eliot.log_message('stopped', name=conf.name)
    log.flush()
    return 0


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
    live = gateway.exchange.live_names()
    return sorted({*live, gateway.conf.name}).index(gateway.conf.name)


def _follow(gateway: state.Gateway, store: ports.Store) -> list[topics.Topic]:
    names = gateway.platform.topics
    orders = topics.Topic(names.orders, store, gateway.order_changed, _ignore)
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


async def _open_exchange(
    gateway: state.Gateway, followed: list[topics.Topic]
) -> peers.Exchange:
    exchange = peers.Exchange(
        functools.partial(_digest, gateway, followed),
        functools.partial(_receive, gateway),
    )
    gateway.exchange = exchange
    address = gateway.conf.peer
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: exchange, local_addr=(address.host, address.port)
    )
    return exchange


async def _listen(
    gateway: state.Gateway, followed: list[topics.Topic]
) -> _Running:
    conf = gateway.conf
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
    return _Running(callers, site, runners)


def _receive(gateway: state.Gateway, name: str, digest: dict[str, Any]) -> None:
    gateway.control.receive(name, digest['rollouts'])
    gateway.directory.note_peer_work(name, digest['work'])


def _digest(
    gateway: state.Gateway, followed: list[topics.Topic]
) -> dict[str, Any]:
    return {
        'name': gateway.conf.name,
        'data_centre': gateway.conf.data_centre,
        'reads': [topic.name for topic in followed if topic.is_read_from_store],
        'newest': {topic.name: topic.table.newest_offset for topic in followed},
        'rollouts': gateway.control.digest(),
        'work': gateway.directory.work(),
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
        return web.Response(status=_READY if gateway.is_ready() else _NOT_READY)

    app = web.Application()
    app.router.add_get('/{path:.*}', ready)
    return app


def _metrics_app() -> web.Application:
    async def show(request: web.Request) -> web.Response:
        return web.Response(body=prometheus_client.generate_latest())

    app = web.Application()
    app.router.add_get('/metrics', show)
    return app


async def _start(
    gateway: state.Gateway,
    store: ports.Store,
    session: aiohttp.ClientSession,
) -> _Running:
    followed = _follow(gateway, store)
    exchange = await _open_exchange(gateway, followed)
    running = await _listen(gateway, followed)
    state_topic = followed[-1]
    duty = peers.ReadingDuty(
        gateway.conf.name, gateway.conf.data_centre, exchange, session
    )
    # Orders are read by each daemon: they bind within seconds.
    for shared in followed[1:]:
        shared.read_elsewhere = duty.read_elsewhere
    for topic in followed:
        running.add(topic.follow())
    running.add(exchange.run())
    running.add(peers.fetch_missed(session, exchange, followed))
    running.add(gateway.control.run(store, state_topic))
    running.add(_announce(gateway, store, state_topic))
    return running


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


async def _drain(gateway: state.Gateway, running: _Running) -> None:
    """Let requests in progress finish and the balancer turn away."""
    gateway.is_draining = True
    eliot.log_message('draining', in_progress=gateway.in_progress)
    started_ms = clocks.monotonic_ms()
    grace_ms = gateway.conf.bounds.grace_ms * _DRAIN_PART
    _close_connections(gateway, running)
    await asyncio.sleep(_BALANCER_S)
    await running.callers_site.stop()
    _close_connections(gateway, running)
    while gateway.in_progress and clocks.monotonic_ms() - started_ms < grace_ms:
        await asyncio.sleep(_DRAIN_CHECK_S)


def _close_connections(gateway: state.Gateway, running: _Running) -> None:
    """Close idle connections now and the others after their answer.

    A request on a kept connection could reach this daemon long after the
    balancer has turned away.
    """
    for connection in running.callers.connections:
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
