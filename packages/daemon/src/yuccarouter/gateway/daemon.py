"""The gateway daemon: its servers and background tasks."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

import attrs
import eliot

from yuccarouter.gateway import (
    connections,
    crash_evidence,
    crash_records,
    datagram_ports,
    loop_delays,
    model,
    peers,
    ports,
    rate_limit_records,
    rollout_control,
    servers,
    state,
    topics,
)
from yuccarouter.gateway.sessions import exchange, messages
from yuccarouter_common import clocks, errors, loop_threads
from yuccarouter_common.platform import errors as platform_errors

if TYPE_CHECKING:
    import aiohttp

    from yuccarouter.gateway import settings

MakeStore = Callable[
    ['aiohttp.ClientSession', 'settings.GatewaySettings'], ports.Store
]

# Time in which operators and endpoints write the records again that a restore
# has lost. Endpoints announce themselves within about two seconds.
_REWRITE_GRACE_MS: Final = 2200.0
# Number of reads of the endpoints' topic within the limit on the time to drain
# an endpoint. With two, the limit holds although one call fails.
_ENDPOINT_READS_PER_DRAIN: Final = 2.2
# The balancer sends new connections until two readiness checks have failed.
_BALANCER_DELAY_S: Final = 2.6
_DRAIN_CHECK_INTERVAL_S: Final = 0.05
_ANNOUNCE_INTERVAL_S: Final = 1.0
# Longest wait for the first load of the topics: callers give up a connection on
# which nothing is read for a second. A configuration of 1,000 routes takes half
# a second over a link of 5 Mbit/s.
_FIRST_LOAD_TIMEOUT_MS: Final = 1000.0
_READY_CHECK_INTERVAL_S: Final = 0.005
# Malformed fields of digests that are remembered as logged.
_MAX_LOGGED_FIELDS: Final = 512


class WorkCancelledError(errors.RouterError):
    """Background work was cancelled from within, and does not go on."""

    code = 'work_cancelled'


class Daemon:
    """Starts, supervises and stops the servers and tasks of a gateway.

    The failure of any task ends the process, and the platform restarts it with
    a clean state. ``crash_reason`` is the exception of the failed task.
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
        self._session = connections.make_session(platform.event_fields)
        self.gateway = _make_gateway(conf, platform, self._session)
        self._web_server = servers.make_web_server(self.gateway)
        self._callers_server = servers.callers_server(
            self._web_server, conf.listen, listener
        )
        self._servers: list[servers.Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._control_thread = loop_threads.LoopThread('control')
        self._control_session: aiohttp.ClientSession | None = None
        self.crash_reason: BaseException | None = None

    async def start(self) -> None:
        """Start the tasks and the servers, the one for callers last."""
        session = self._session
        store = self._make_store(session, self._conf)
        handover = loop_threads.Handover(
            asyncio.get_running_loop().call_soon_threadsafe
        )
        self.gateway.schedule = handover.add
        replicas = make_replicas(self.gateway, store)
        gossip = _open_gossip(self.gateway, replicas)
        gossip.schedule = self.gateway.schedule
        election = share_reads(self.gateway, gossip, replicas, session)
        *read_in_thread, shared_state = replicas
        stored_limits = rate_limit_records.RateLimitRecords(
            self.gateway.rate_limits,
            store,
            shared_state,
            functools.partial(_rank, self.gateway),
        )
        stored_crashes = crash_records.CrashRecords(
            self.gateway.crash_evidence,
            store,
            shared_state,
            functools.partial(_rank, self.gateway),
        )
        background: list[Callable[[], Coroutine[Any, Any, None]]] = [
            *await self._start_thread(read_in_thread, election),
            shared_state.follow,
            handover.run,
            gossip.run,
            loop_delays.LoopDelays('callers').run,
            self.gateway.session_exchange.run,
            functools.partial(
                peers.fetch_missing_records, session, gossip, [shared_state]
            ),
            functools.partial(self.gateway.control.run, store, shared_state),
            functools.partial(_register, self.gateway, store, shared_state),
            stored_limits.run,
            stored_crashes.run,
        ]
        for function in background:
            self.run(function)
        await self._start_inner_servers(replicas)
        await _wait_until_ready(self.gateway, shared_state)
        stored_limits.read()
        stored_crashes.read()
        await self._start_server(self._callers_server)

    async def _start_thread(
        self, replicas: list[topics.Topic], election: peers.ReaderElection
    ) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return the work that follows topics in a thread of their own."""
        thread = self._control_thread
        thread.start()
        session = await thread.run(
            functools.partial(_make_session, self.gateway.platform)
        )
        self._control_session = session
        store = self._make_store(session, self._conf)
        election = attrs.evolve(election, session=session)
        for topic in replicas:
            topic.store = store
            topic.schedule = thread.schedule
            if topic.read_from_peer is not None:
                topic.read_from_peer = election.read_from_peer
        background: list[Callable[[], Coroutine[Any, Any, None]]] = [
            *(each.follow for each in replicas),
            functools.partial(
                peers.fetch_missing_records, session, election.gossip, replicas
            ),
            loop_delays.LoopDelays('control').run,
        ]
        return [functools.partial(thread.run, work) for work in background]

    def run(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start background work as a supervised task."""
        self._tasks.append(asyncio.create_task(_supervise(work)))

    async def wait_until_stopped(self) -> None:
        """Wait until a task fails, and set ``crash_reason``."""
        ended, _ = await asyncio.wait(
            self._tasks, return_when=asyncio.FIRST_EXCEPTION
        )
        for task in ended:
            fault = task.exception()
            if fault is not None:
                self.crash_reason = fault
                eliot.write_traceback(
                    exc_info=(type(fault), fault, fault.__traceback__)
                )

    async def drain(self) -> None:
        """Refuse new connections and let requests in progress finish.

        The port stays open until the balancer has noticed that this daemon is
        not ready. Requests that don't finish within the grace period are
        answered as unfinished.
        """
        gateway = self.gateway
        gateway.stop.begin(gateway.conf.bounds.grace_ms)
        eliot.log_message('draining', in_progress=gateway.stop.in_progress)
        # A kept-alive connection could bring requests long after the balancer
        # has stopped sending new connections. Busy ones close after their
        # answer.
        self._web_server.close_idle_connections()
        await asyncio.sleep(_BALANCER_DELAY_S)
        await self._callers_server.close_port()
        gateway.stop.is_port_closed = True
        while (
            self._web_server.connections
            and clocks.monotonic_ms() < gateway.stop.answers_end_ms
        ):
            self._web_server.close_idle_connections()
            await asyncio.sleep(_DRAIN_CHECK_INTERVAL_S)
        self._web_server.abort_connections()

    async def stop(self) -> None:
        """Stop the servers, cancel the tasks and close the client session."""
        for server in reversed(self._servers):
            await server.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        gossip = self.gateway.gossip
        if gossip is not None and gossip.transport is not None:
            gossip.transport.close()
            gossip.transport = None
        if self._control_session is not None:
            await self._control_thread.run(self._control_session.close)
        await self._control_thread.stop()
        await self._session.close()

    async def _start_inner_servers(self, replicas: list[topics.Topic]) -> None:
        """Start the servers for peers, for metrics and for the balancer."""
        conf = self._conf
        metrics_address = model.Address(conf.host, conf.metrics_port)
        for server in (
            servers.app_server(peers.records_app(replicas), conf.peer),
            servers.app_server(servers.metrics_app(), metrics_address),
            servers.app_server(servers.readiness_app(self.gateway), conf.ready),
        ):
            await self._start_server(server)

    async def _start_server(self, server: servers.Server) -> None:
        self._servers.append(server)
        await server.start()


async def _make_session(platform: ports.Platform) -> aiohttp.ClientSession:
    """Return a client session of the running event loop."""
    return connections.make_session(platform.event_fields)


async def _supervise(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run work; raises ``WorkCancelledError`` if nobody has cancelled it.

    A task that ends as cancelled does not count as failed, and the daemon would
    go on without it.
    """
    try:
        await work()
    except asyncio.CancelledError as fault:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        raise WorkCancelledError(
            'work ended by a stray cancellation'
        ) from fault


async def _wait_until_ready(
    gateway: state.Gateway, shared_state: topics.Topic
) -> None:
    """Wait for the first load of the store before serving callers.

    The shared state tells which daemons share limits and which endpoints state
    one.

    Until then, callers wait in the backlog of the listening socket. After a
    failed call to the store, they are refused with a time to retry instead.
    """
    deadline_ms = clocks.monotonic_ms() + _FIRST_LOAD_TIMEOUT_MS
    while clocks.monotonic_ms() < deadline_ms:
        is_state_known = shared_state.is_loaded or shared_state.is_failing
        if gateway.is_ready() and is_state_known:
            return
        if gateway.stop.has_begun:
            return
        if gateway.orders_topic is None or gateway.orders_topic.is_failing:
            return
        await asyncio.sleep(_READY_CHECK_INTERVAL_S)


def _make_gateway(
    conf: settings.GatewaySettings,
    platform: ports.Platform,
    session: aiohttp.ClientSession,
) -> state.Gateway:
    rank: Callable[[], int] = lambda: _rank(gateway)  # noqa: E731
    control = rollout_control.RolloutControl(
        platform.encode_rollout_status,
        conf.bounds.exposure_share,
        rank,
        conf.bounds.session_ms,
    )
    gateway = state.Gateway(conf, platform, session, control)
    gateway.session_exchange = exchange.make_exchange(gateway)
    control.on_order = gateway.session_exchange.on_order
    return gateway


def _rank(gateway: state.Gateway) -> int:
    """Return this daemon's index in the sorted names of present daemons.

    It determines the order in which daemons take the steps of a roll-out.
    """
    if gateway.gossip is None:
        return 0
    present = gateway.gossip.unexpired_names()
    return sorted({*present, gateway.conf.name}).index(gateway.conf.name)


def make_replicas(
    gateway: state.Gateway, store: ports.Store
) -> list[topics.Topic]:
    """Return replicas of the topics of orders, endpoints and shared state."""
    names = gateway.platform.topics
    bounds = gateway.conf.bounds
    orders = topics.Topic(
        names.orders,
        store,
        gateway.apply_operator_record,
        _ignore,
        rewrite_grace_ms=_REWRITE_GRACE_MS,
        logs_changes=True,
        max_age_ms=bounds.orders_age_ms,
    )
    gateway.orders_topic = orders
    poll_interval_ms = bounds.drain_ms / _ENDPOINT_READS_PER_DRAIN
    others = [
        topics.Topic(
            names.endpoints,
            store,
            functools.partial(gateway.schedule, gateway.apply_endpoint_record),
            functools.partial(
                gateway.schedule, gateway.directory.on_store_reconnected
            ),
            poll_interval_ms=poll_interval_ms,
            probe=orders,
            rewrite_grace_ms=_REWRITE_GRACE_MS,
            max_age_ms=bounds.drain_ms,
        ),
        topics.Topic(
            names.state,
            store,
            gateway.apply_state_record,
            functools.partial(_tell_peers, gateway),
            probe=orders,
            max_age_ms=bounds.rollback_ms,
        ),
    ]
    gateway.endpoints_topic = others[0]
    # Calls for the other topics wait until this one's has succeeded.
    orders.on_reconnected = functools.partial(
        _schedule_regained, gateway, others
    )
    for topic in others:
        # A waiting call for orders may not notice the restore.
        topic.on_restored = functools.partial(topics.schedule_reload, orders)
    return [orders, *others]


def _ignore(outage_ms: float) -> None:
    """Ignore the end of an outage of the store."""


def _schedule_regained(
    gateway: state.Gateway, others: list[topics.Topic], outage_ms: float
) -> None:
    """Let the callers' loop learn that the store answers again."""
    gateway.schedule(_on_orders_regained, gateway, others, outage_ms)


def _on_orders_regained(
    gateway: state.Gateway, others: list[topics.Topic], outage_ms: float
) -> None:
    """Read the other topics as well, and tell peers that the store answers."""
    for topic in others:
        topic.schedule(topic.pause.end)
    _tell_peers(gateway, outage_ms)


def _tell_peers(gateway: state.Gateway, outage_ms: float) -> None:
    """Tell peers that the store answers, so that they call it, too.

    Peers are known once the shared state was read.
    """
    if gateway.gossip is not None:
        gateway.gossip.has_news.set()


def _open_gossip(
    gateway: state.Gateway, replicas: list[topics.Topic]
) -> peers.Gossip:
    gossip = peers.Gossip(
        functools.partial(_make_digest, gateway, replicas),
        functools.partial(apply_digest, gateway),
    )
    gateway.gossip = gossip
    gossip.receivers[messages.FIELD] = gateway.session_exchange.receive
    gossip.received.schedule = asyncio.get_running_loop().call_soon
    gossip.transport = datagram_ports.open_port(gossip, gateway.conf.peer)
    return gossip


def share_reads(
    gateway: state.Gateway,
    gossip: peers.Gossip,
    replicas: list[topics.Topic],
    session: aiohttp.ClientSession,
) -> peers.ReaderElection:
    """Let a few daemons of a data centre read the topics for the others.

    Each daemon reads the operators' orders itself, since they must take effect
    within seconds. Of reads that wait, one daemon checks whether they miss
    records, and tells the others.
    """
    election = peers.ReaderElection(
        gateway.conf.name, gateway.conf.data_centre, gossip, session
    )
    gossip.dependants = election.dependants
    gossip.readers = election.readers
    gossip.replicas = replicas
    gossip.data_centre = gateway.conf.data_centre
    for topic in replicas:
        topic.checks_first = election.checks_first
        topic.confirmed_by_peers = functools.partial(peers.confirmation, gossip)
    for topic in replicas[1:]:
        topic.read_from_peer = election.read_from_peer
    return election


def apply_digest(
    gateway: state.Gateway, name: str, digest: dict[str, Any]
) -> None:
    """Apply a peer's digest, or a part of a long one.

    Raises ``LookupError``, ``AttributeError``, ``TypeError`` or ``ValueError``
    if it is malformed.
    """
    process = f'{name}/{digest.get("process", 0)}'
    now_ms = clocks.monotonic_ms()
    merges: dict[str, Callable[[Any], None]] = {
        'rollouts': functools.partial(
            gateway.control.merge_peer_evidence, process
        ),
        'work': functools.partial(gateway.directory.record_peer_backlog, name),
        'lost': lambda field: gateway.failure_reports.merge(field, now_ms),
        'rate_limits': lambda field: gateway.rate_limits.merge(field, now_ms),
        'crashes': lambda field: gateway.crash_evidence.merge(field, now_ms),
        'demand': lambda field: gateway.demand.merge(name, field, now_ms),
        'confidences': lambda field: gateway.confidences.merge(
            name, field, now_ms
        ),
    }
    # What a part of a digest leaves out is as it was.
    for field, merge in merges.items():
        told = digest.get(field)
        if told is not None:
            merge(told)
    _merge_field(
        name, digest, crash_evidence.LATE_CRASHES, gateway.crash_evidence.merge
    )
    _merge_field(name, digest, 'speeds', gateway.speeds.merge)
    _merge_field(name, digest, 'queues', gateway.overload.loads.merge)
    if gateway.orders_topic and gateway.orders_topic.name in digest.get(
        'reads', ()
    ):
        gateway.orders_topic.schedule(
            gateway.orders_topic.pause.end_on_news, now_ms
        )


def _merge_field(
    name: str,
    digest: dict[str, Any],
    field: str,
    merge: Callable[[Any, float], None],
) -> None:
    """Merge a field that older peers lack; a malformed one is left out.

    The other fields of the digest still count.
    """
    if field not in digest:
        return
    try:
        merge(digest[field], clocks.monotonic_ms())
    except (AttributeError, LookupError, TypeError, ValueError) as fault:
        _log_bad_field(name, field, str(fault))


@functools.lru_cache(maxsize=_MAX_LOGGED_FIELDS)
def _log_bad_field(name: str, field: str, reason: str) -> None:
    """Log a malformed field once for each peer and reason.

    A peer of another release sends it with every digest.
    """
    eliot.log_message('bad_digest_field', peer=name, field=field, reason=reason)


def _make_digest(
    gateway: state.Gateway, replicas: list[topics.Topic]
) -> dict[str, Any]:
    return {
        'name': gateway.conf.name,
        'process': gateway.process_id,
        'data_centre': gateway.conf.data_centre,
        'reads': [topic.name for topic in replicas if topic.is_read_from_store],
        **peers.encode_newest(replicas),
        'ages_ms': peers.encode_ages(replicas),
        'rollouts': gateway.control.own_evidence(),
        'work': gateway.directory.own_backlog(),
        'lost': gateway.failure_reports.message(
            len(gateway.directory), clocks.monotonic_ms()
        ),
        'rate_limits': gateway.rate_limits.message(),
        **crash_evidence.digest_fields(
            gateway.crash_evidence.message(clocks.monotonic_ms())
        ),
        'speeds': gateway.speeds.message(clocks.monotonic_ms()),
        'demand': gateway.demand.message(clocks.monotonic_ms()),
        'confidences': gateway.confidences.message(clocks.monotonic_ms()),
        'queues': gateway.overload.loads.message(clocks.monotonic_ms()),
    }


async def _register(
    gateway: state.Gateway, store: ports.Store, topic: topics.Topic
) -> None:
    """Publish this daemon's peer address whenever the store lacks it.

    A restore of the store may lose the record.
    """
    key, value = state.member_record(gateway.conf)
    while True:
        stored = topic.table.entries.get(key)
        is_known = stored is not None and stored.value == value
        if topic.is_loaded and not topic.is_failing and not is_known:
            try:
                await store.append(topic.name, [(key, value)], None)
            except platform_errors.PlatformError as fault:
                eliot.log_message('announcement_lost', code=fault.code)
        await asyncio.sleep(_ANNOUNCE_INTERVAL_S)
