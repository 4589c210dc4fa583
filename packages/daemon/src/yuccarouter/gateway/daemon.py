"""The gateway process: its servers and what runs beside them."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

import eliot

from yuccarouter.gateway import (
    connections,
    model,
    peers,
    ports,
    rollout_control,
    servers,
    state,
    topics,
)
from yuccarouter_common import clocks
from yuccarouter_common.platform import errors as platform_errors

if TYPE_CHECKING:
    import aiohttp

    from yuccarouter.gateway import settings

MakeStore = Callable[
    ['aiohttp.ClientSession', 'settings.GatewaySettings'], ports.Store
]

# Endpoints must be seen to leave within the drain bound; two readings within
# it leave time for a call that fails.
_DIRECTORY_READS_PER_BOUND: Final = 2.2
# Part of the grace that requests in progress get; the rest is for closing.
_DRAIN_PART: Final = 0.92
# The balancer sends new connections until it has missed two checks.
_BALANCER_S: Final = 2.6
_DRAIN_CHECK_S: Final = 0.05
_MEMBER_RETRY_S: Final = 1.0
# Longest wait for the first reading: callers leave a connection on which
# nothing is read for a second. A configuration of 1,000 routes takes a link of
# 5 Mbit/s half of that.
_FIRST_READING_MS: Final = 1000.0
_READY_CHECK_S: Final = 0.005


class Daemon:
    """Starts, watches and stops everything that a gateway consists of.

    The failure of any piece of work ends the process: the platform starts it
    again, with nothing left of a faulty state. ``crash_reason`` is that
    failure.
    """

    def __init__(
        self,
        conf: settings.GatewaySettings,
        platform: ports.Platform,
        make_store: MakeStore,
        listener: int | None = None,
    ) -> None:
        self._conf = conf
        self._make_store = make_store
        self._session = connections.make_session()
        self.gateway = _make_gateway(conf, platform, self._session)
        self._callers = servers.callers_server(self.gateway)
        self._front = servers.serve_callers(
            self._callers, conf.listen, listener
        )
        self._servers: list[servers.Server] = []
        self._work: list[asyncio.Task[None]] = []
        self.crash_reason: BaseException | None = None

    async def start(self) -> None:
        """Build the parts and start them, the callers' port last."""
        conf = self._conf
        session = self._session
        store = self._make_store(session, conf)
        followed = _follow(self.gateway, store)
        exchange = await _open_exchange(self.gateway, followed)
        _share_reading(self.gateway, exchange, followed, session)
        shared_state = followed[-1]
        work: list[Callable[[], Coroutine[Any, Any, None]]] = [
            *(topic.follow for topic in followed),
            exchange.run,
            functools.partial(peers.fetch_missed, session, exchange, followed),
            functools.partial(self.gateway.control.run, store, shared_state),
            functools.partial(_announce, self.gateway, store, shared_state),
        ]
        metrics_address = model.Address(conf.host, conf.metrics_port)
        for part in work:
            self.run(part)
        for server in (
            servers.serve_app(peers.records_app(followed), conf.peer),
            servers.serve_app(servers.metrics_app(), metrics_address),
            servers.serve_app(servers.ready_app(self.gateway), conf.ready),
        ):
            await self._start_server(server)
        await _wait_until_ready(self.gateway)
        await self._start_server(self._front)

    def run(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Begin a piece of work that lasts as long as it has to do."""
        self._work.append(asyncio.create_task(work()))

    async def wait_until_stopped(self) -> None:
        """Wait until a piece of work fails, and keep the reason."""
        ended, _ = await asyncio.wait(
            self._work, return_when=asyncio.FIRST_EXCEPTION
        )
        for task in ended:
            fault = task.exception()
            if fault is not None:
                self.crash_reason = fault
                eliot.write_traceback(
                    exc_info=(type(fault), fault, fault.__traceback__)
                )

    async def drain(self) -> None:
        """Let requests in progress finish and the balancer turn away."""
        gateway = self.gateway
        gateway.is_draining = True
        eliot.log_message('draining', in_progress=gateway.in_progress)
        started_ms = clocks.monotonic_ms()
        grace_ms = gateway.conf.bounds.grace_ms * _DRAIN_PART
        self._close_connections()
        await asyncio.sleep(_BALANCER_S)
        await self._front.close_port()
        self._close_connections()
        while (
            gateway.in_progress
            and clocks.monotonic_ms() - started_ms < grace_ms
        ):
            await asyncio.sleep(_DRAIN_CHECK_S)

    async def stop(self) -> None:
        """Close the servers, end the work and close the connections."""
        for server in reversed(self._servers):
            await server.stop()
        for task in self._work:
            task.cancel()
        await asyncio.gather(*self._work, return_exceptions=True)
        await self._session.close()

    async def _start_server(self, server: servers.Server) -> None:
        self._servers.append(server)
        await server.start()

    def _close_connections(self) -> None:
        """Close idle connections; the others close after their answer.

        A request on a kept connection could reach this daemon long after the
        balancer has turned away.
        """
        for connection in self._callers.connections:
            if connection not in self.gateway.busy_connections:
                connection.force_close()


async def _wait_until_ready(gateway: state.Gateway) -> None:
    """Let the first reading of the store end before callers are served.

    Callers who come earlier wait in the queue of the port. Once a call to the
    store has failed they are told when to come back instead.
    """
    until_ms = clocks.monotonic_ms() + _FIRST_READING_MS
    while not gateway.is_ready() and clocks.monotonic_ms() < until_ms:
        if gateway.orders_topic is None or gateway.orders_topic.is_failing:
            return
        await asyncio.sleep(_READY_CHECK_S)


def _make_gateway(
    conf: settings.GatewaySettings,
    platform: ports.Platform,
    session: aiohttp.ClientSession,
) -> state.Gateway:
    turn: Callable[[], int] = lambda: _turn(gateway)  # noqa: E731
    control = rollout_control.RolloutControl(
        platform.encode_rollout_status,
        conf.bounds.exposure_share,
        turn,
        conf.bounds.session_ms,
    )
    gateway = state.Gateway(conf, platform, session, control)
    return gateway


def _turn(gateway: state.Gateway) -> int:
    """Return this daemon's place among those that take steps."""
    if gateway.exchange is None:
        return 0
    live = gateway.exchange.present_names()
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
            gateway.directory.on_store_reconnected,
            interval_ms=interval_ms,
            first=orders,
        ),
        topics.Topic(
            names.state, store, gateway.state_changed, _ignore, first=orders
        ),
    ]


def _ignore(away_ms: float) -> None:
    """Do nothing when contact to the store is back."""


async def _open_exchange(
    gateway: state.Gateway, followed: list[topics.Topic]
) -> peers.Exchange:
    exchange = peers.Exchange(
        functools.partial(_digest, gateway, followed),
        functools.partial(receive_digest, gateway),
    )
    gateway.exchange = exchange
    address = gateway.conf.peer
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: exchange, local_addr=(address.host, address.port)
    )
    return exchange


def _share_reading(
    gateway: state.Gateway,
    exchange: peers.Exchange,
    followed: list[topics.Topic],
    session: aiohttp.ClientSession,
) -> None:
    """Let few daemons read what all need, but for orders.

    Each daemon reads the orders: they bind within seconds.
    """
    duty = peers.ReadingDuty(
        gateway.conf.name, gateway.conf.data_centre, exchange, session
    )
    exchange.relying = duty.relying
    for topic in followed[1:]:
        topic.read_elsewhere = duty.read_elsewhere


def receive_digest(
    gateway: state.Gateway, name: str, digest: dict[str, Any]
) -> None:
    """Take in what a peer tells.

    Raises ``LookupError``, ``AttributeError``, ``TypeError`` or ``ValueError``
    for what is no digest.
    """
    gateway.control.merge_peer_evidence(name, digest['rollouts'])
    gateway.directory.record_peer_backlog(name, digest['work'])
    gateway.failure_reports.merge(digest.get('lost', {}), clocks.monotonic_ms())


def _digest(
    gateway: state.Gateway, followed: list[topics.Topic]
) -> dict[str, Any]:
    return {
        'name': gateway.conf.name,
        'data_centre': gateway.conf.data_centre,
        'reads': [topic.name for topic in followed if topic.is_read_from_store],
        'newest': {topic.name: topic.table.newest_offset for topic in followed},
        'rollouts': gateway.control.own_evidence(),
        'work': gateway.directory.own_backlog(),
        'lost': gateway.failure_reports.message(
            len(gateway.directory), clocks.monotonic_ms()
        ),
    }


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
