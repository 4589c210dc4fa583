"""State of a gateway's request path and the look-ups in it."""

from __future__ import annotations

import functools
import math
import random
from typing import TYPE_CHECKING, Final

import attrs
import eliot
import orjson

from yuccarouter.gateway import (
    choice,
    cold_limit,
    crash_evidence,
    endpoints,
    failure_reports,
    model,
    prefill_speeds,
    process_memory,
    rate_limits,
    retry_budget,
    rollout_control,
    routes,
    stopping,
    stream_timeouts,
)
from yuccarouter.gateway.capacity import (
    observations,
    room,
    selection,
    service_index,
    speeds,
    work,
)
from yuccarouter.gateway.model_choice import bid_price, confidences
from yuccarouter.gateway.overload import admitted_shares
from yuccarouter.gateway.overload import current as overload
from yuccarouter.gateway.shares import demand, fleet_shares
from yuccarouter_common import clocks, loop_threads, records

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

    from yuccarouter.gateway import peers, ports, settings, topics
    from yuccarouter.gateway.sessions import exchange

MEMBER_PREFIX: Final = 'member/'
# Errors that a malformed record may raise in its decoder. All daemons read
# each record, and read it again at each start, so that it must not end them.
_DECODE_ERRORS: Final = (
    records.ShapeError,
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)
_PROCESS_ID_BITS: Final = 32
# Number of daemons that is assumed while no other one is registered.
_DEFAULT_DAEMON_COUNT: Final = 8


def _random_id() -> int:
    return random.getrandbits(_PROCESS_ID_BITS)


@attrs.define
class Gateway:
    """Shared state of a daemon's request path.

    ``process_id`` tells a restarted daemon from its earlier process.
    ``schedule`` calls functions in order in the event loop that serves callers.
    The route table and the data centres out of service are immutable, and
    replaced by the thread that follows the operators' orders; nothing else of
    this state is changed outside the callers' loop.
    """

    conf: settings.GatewaySettings
    platform: ports.Platform
    session: aiohttp.ClientSession
    control: rollout_control.RolloutControl
    directory: endpoints.Directory = attrs.field(factory=endpoints.Directory)
    table: routes.RouteTable | None = None
    evacuated_data_centres: frozenset[str] = frozenset()
    retry_budget: retry_budget.RetryBudget = attrs.field(init=False)
    failure_reports: failure_reports.FailureReports = attrs.field(init=False)
    rate_limits: rate_limits.RateLimits = attrs.field(init=False)
    crash_evidence: crash_evidence.CrashEvidence = attrs.field(init=False)
    memory: process_memory.ProcessMemory = attrs.field(init=False)
    session_exchange: exchange.SessionExchange = attrs.field(init=False)
    speeds: speeds.EndpointSpeeds = attrs.field(init=False)
    service_index: service_index.ServiceIndex = attrs.field(init=False)
    service_times: work.ServiceTimes = attrs.field(factory=work.ServiceTimes)
    read_news: observations.ReadNews = attrs.field(
        factory=observations.ReadNews
    )
    demand: demand.Demand = attrs.field(factory=demand.Demand)
    fleet_shares: fleet_shares.FleetShares = attrs.field(init=False)
    overload: overload.Overload = attrs.field(init=False)
    gossip: peers.Gossip | None = None
    orders_topic: topics.Topic | None = None
    endpoints_topic: topics.Topic | None = None
    process_id: int = attrs.field(factory=_random_id)
    schedule: Callable[..., None] = loop_threads.call_now
    stop: stopping.Stop = attrs.field(factory=stopping.Stop)
    prefill_speeds: prefill_speeds.PrefillSpeeds = attrs.field(
        factory=prefill_speeds.PrefillSpeeds
    )
    confidences: confidences.Confidences = attrs.field(
        factory=confidences.Confidences
    )
    bid_prices: bid_price.BidPrices = attrs.field(factory=bid_price.BidPrices)
    first_event_timeouts: dict[
        tuple[str, str], stream_timeouts.FirstEventTimeout
    ] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Build what depends on the settings."""

        def sharing_names() -> tuple[str, ...]:
            return self.gossip.sharing_names() if self.gossip else ()

        def service_of(endpoint: str) -> str | None:
            view = self.directory.get(endpoint)
            return view.announced.service if view else None

        def live_daemon_count() -> int:
            peer_names = self.gossip.unexpired_names() if self.gossip else ()
            return 1 + len(peer_names)

        def organisations() -> tuple[model.Organisation, ...]:
            return self.table.configuration.organisations if self.table else ()

        bounds = self.conf.bounds
        self.overload = overload.Overload(self.conf.memory_bytes)
        self.memory = process_memory.ProcessMemory(
            process_memory.limit_bytes(self.conf.memory_bytes)
        )
        self.speeds = speeds.EndpointSpeeds(service_of)
        self.service_index = service_index.ServiceIndex(
            self.directory, self.conf.data_centre
        )
        self.failure_reports = failure_reports.FailureReports(self.conf.name)
        self.rate_limits = rate_limits.RateLimits(
            self.conf.name, self.directory.started_ms, sharing_names
        )
        self.crash_evidence = crash_evidence.CrashEvidence(
            self.conf.name, sharing_names, self.directory.endpoint_count
        )
        self.fleet_shares = fleet_shares.FleetShares(
            self.demand, live_daemon_count, organisations
        )
        self.overload.admitted_share = admitted_shares.AdmittedShares(
            self.fleet_shares, functools.partial(service_room, self)
        ).admitted_share
        self.retry_budget = retry_budget.RetryBudget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_ms,
            slack_from_ms=(
                -math.inf
                if self.conf.is_first_start
                else clocks.monotonic_ms() + bounds.retry_window_ms
            ),
        )

    @property
    def daemon_count(self) -> int:
        """Number of daemons that share the limits, including this one."""
        if self.gossip is None or not self.gossip.members:
            return _DEFAULT_DAEMON_COUNT
        return 1 + len(self.gossip.members)

    @property
    def is_configuration_stale(self) -> bool:
        """Whether a newer configuration may be in force.

        Unknown keys and routes are then answered with a temporary error: the
        newer configuration may define them.
        """
        topic = self.orders_topic
        return topic is None or not topic.newest_confirmation().is_within(
            topic.max_age_ms
        )

    def is_ready(self) -> bool:
        """Return whether the balancer should send requests here.

        A daemon that knows no endpoint yet would refuse requests that other
        daemons can serve.
        """
        if self.table is None or self.stop.has_begun:
            return False
        return any(True for _ in self.directory)

    def apply_operator_record(self, entry: ports.Entry) -> None:
        """Apply a record that an operator wrote.

        This may be called in another thread than that of the callers.
        """
        platform = self.platform
        try:
            configuration = platform.decode_configuration(entry)
            order = platform.decode_order(entry)
            evacuation = platform.decode_evacuation(entry)
        except _DECODE_ERRORS as fault:
            eliot.log_message('bad_order', key=entry.key, reason=str(fault))
            return
        if configuration is not None:
            self._apply_configuration(configuration)
            self.schedule(_end_holds, self)
        if order is not None:
            self.schedule(self.control.apply_order, order)
        if evacuation is not None:
            self._apply_evacuation(evacuation)

    def apply_endpoint_record(self, entry: ports.Entry) -> None:
        """Apply the announcement of an endpoint, or its removal."""
        try:
            announced = self.platform.decode_announcement(entry)
        except _DECODE_ERRORS as fault:
            eliot.log_message(
                'bad_announcement', key=entry.key, reason=str(fault)
            )
            return
        view = self.directory.get(entry.key)
        was_in_use = view is not None and not view.announced.is_draining
        if announced is None:
            self.directory.remove(entry.key)
        else:
            self.directory.apply_announcement(announced)
            _end_holds(self)
        if view is not None and was_in_use:
            self._log_if_withdrawn(view)

    def _log_if_withdrawn(self, view: endpoints.EndpointView) -> None:
        """Log why an endpoint counted as in use until its newest record."""
        current = self.directory.get(view.name)
        is_in_use = current is not None and not current.announced.is_draining
        if is_in_use or self.endpoints_topic is None:
            return
        believed = self.endpoints_topic.confirmation_before
        eliot.log_message(
            'endpoint_withdrawn',
            endpoint=view.name,
            is_removed=current is None,
            in_flight=view.in_flight,
            sent_ms_ago=view.sent_ms_ago(),
            replica_age_ms=believed.rounded_age_ms(),
            confirmed_by=believed.source,
        )

    def apply_state_record(self, entry: ports.Entry) -> None:
        """Apply a record of the state that the daemons share."""
        if entry.key.startswith(MEMBER_PREFIX):
            self._apply_member_record(entry)
        else:
            self.control.state_changed(entry)

    def first_event_timeout_for(
        self, route: model.Route, model_name: str
    ) -> stream_timeouts.FirstEventTimeout:
        """Return the timeout of first events for a route and a model."""
        return self.first_event_timeouts.setdefault(
            (route.name, model_name), stream_timeouts.FirstEventTimeout()
        )

    def requirements(
        self,
        call: model.Call,
        route: model.Route,
        service: str,
        tried: frozenset[str],
        model_name: str,
    ) -> choice.Requirements:
        """Return the requirements on the endpoint of a call's next attempt."""
        table = self.table
        service_conf = (
            table.configuration.services.get(service) if table else None
        )
        generation = call.generation
        return choice.Requirements(
            service=service,
            objective_ms=route.objective_ms,
            versions=self.control.allowed_versions(
                service,
                call.session or call.request_id,
                self.service_index.of(service).every,
            ),
            tried=tried,
            out_of_service=self.evacuated_data_centres,
            local_data_centre=self.conf.data_centre,
            cold_share=self._cold_share(service_conf),
            daemon=self.conf.name,
            other_daemons=self.gossip.names if self.gossip else (),
            max_in_flight=(
                max(1, service_conf.max_connections // self.daemon_count)
                if service_conf and service_conf.max_connections
                else 0
            ),
            unreachable=self.failure_reports.unreachable(clocks.monotonic_ms()),
            rate_limited=self.rate_limits.exhausted(clocks.monotonic_ms()),
            model_name=model_name,
            prefill_ms_per_token=self.prefill_speeds.expected_ms(model_name, 1),
            model_cost=(
                service_conf.model_costs.get(model_name, 0)
                if service_conf
                else 0
            ),
            body_bytes=call.body_bytes,
            prompt_tokens=model.prompt_tokens(call),
            output_tokens=(
                generation.expected_output_tokens if generation else 0
            ),
            shared_parts=generation.parts[:-1] if generation else (),
            estimates=_estimates(self, route, service, model_name),
        )

    def _cold_share(
        self, service_conf: model.Service | None
    ) -> cold_limit.ColdShare | None:
        if service_conf is None or service_conf.cold_requests_per_s <= 0:
            return None
        bounds = self.conf.bounds
        share = cold_limit.share_per_daemon(
            service_conf.cold_requests_per_s,
            bounds.cold_overshoot,
            bounds.cold_slack,
            self.daemon_count,
        )
        return cold_limit.share_after_start(share, cold_limit.process_age_ms())

    def choose(
        self,
        call: model.Call,
        route: model.Route,
        service: str,
        tried: frozenset[str],
        model_name: str,
    ) -> choice.Choice | None:
        """Return the endpoint for the next attempt, if there is one."""
        now_ms = clocks.monotonic_ms()
        self.directory.expire()
        requirements = self.requirements(
            call, route, service, tried, model_name
        )
        chosen = _choose(self, requirements, now_ms)
        if chosen is None:
            versions = self.control.fallback_versions(service, call.request_id)
            if versions:
                requirements = attrs.evolve(requirements, versions=versions)
                chosen = _choose(self, requirements, now_ms)
        return chosen

    def endpoint_waits_ms(self, service: str) -> list[float]:
        """Return the time until each endpoint may get a request.

        It is 0 unless the endpoint has asked for a pause or states a rate
        limit. Endpoints that drain are left out.
        """
        now_ms = clocks.monotonic_ms()
        limits_ms = self.rate_limits.exhausted(now_ms)
        return [
            max(0, view.paused_until_ms - now_ms, limits_ms.get(view.name, 0))
            for view in self.directory
            if view.announced.service == service
            and not view.announced.is_draining
        ]

    def _apply_configuration(self, configuration: model.Configuration) -> None:
        current_version = configuration_version(self)
        if configuration.version <= current_version:
            return
        self.table = routes.RouteTable(configuration)
        eliot.log_message(
            'configuration_applied',
            version=configuration.version,
            before=current_version,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations),
        )

    def _apply_evacuation(self, evacuation: model.Evacuation) -> None:
        changed = {evacuation.data_centre}
        evacuated = self.evacuated_data_centres | changed
        if evacuation.is_over:
            evacuated = self.evacuated_data_centres - changed
        if evacuated != self.evacuated_data_centres:
            self.evacuated_data_centres = evacuated
            eliot.log_message(
                'data_centres_out_of_service', names=sorted(evacuated)
            )

    def _apply_member_record(self, entry: ports.Entry) -> None:
        if self.gossip is None:
            return
        name = entry.key.removeprefix(MEMBER_PREFIX)
        if name != self.conf.name:
            self.gossip.apply_member_record(name, entry.value)


def configuration_version(gateway: Gateway) -> int:
    """Return the version of the configuration in force, -1 for none."""
    return gateway.table.configuration.version if gateway.table else -1


def _estimates(
    gateway: Gateway, route: model.Route, service: str, model_name: str
) -> work.Estimates | None:
    """Return the current expected times, if the load is controlled."""
    if not controls_load(gateway, service):
        return None
    return work.Estimates(
        gateway.speeds.time_factor,
        gateway.service_times.service_ms(
            service, route.name, route.objective_ms / 2
        ),
        functools.partial(gateway.service_times.read_ms, model_name),
    )


def _choose(
    gateway: Gateway, requirements: choice.Requirements, now_ms: float
) -> choice.Choice | None:
    estimates = requirements.estimates
    if estimates is None:
        return choice.choose(gateway.directory, requirements, now_ms)
    known = gateway.service_index.of(requirements.service)
    try:
        return selection.choose(known, requirements, estimates, now_ms)
    except Exception as fault:
        # A fault in these estimates must not fail the request as well.
        eliot.log_message(
            'choice_failed', service=requirements.service, reason=repr(fault)
        )
        return choice.choose(gateway.directory, requirements, now_ms)


def _end_holds(gateway: Gateway) -> None:
    """Let requests go on that came before the daemon was ready."""
    if gateway.overload.holds.is_starting and gateway.is_ready():
        gateway.overload.holds.end()


def controls_load(gateway: Gateway, service: str) -> bool:
    """Return whether admission and choice of models follow the load.

    Other services are served without regard to organisations' shares.
    """
    return gateway.conf.controls_overload or gateway.speeds.reports_speed(
        service, clocks.monotonic_ms()
    )


def service_room(gateway: Gateway, service: str) -> room.Room:
    """Return the room of a service's endpoints, whatever their versions."""
    now_ms = clocks.monotonic_ms()
    table = gateway.table
    service_conf = table.configuration.services.get(service) if table else None
    requirements = choice.Requirements(
        service=service,
        objective_ms=0,
        versions=None,
        tried=frozenset(),
        out_of_service=gateway.evacuated_data_centres,
        local_data_centre=gateway.conf.data_centre,
        cold_share=None,
        max_in_flight=0,
        unreachable=gateway.failure_reports.unreachable(now_ms),
    )
    scope = room.Scope(
        requirements,
        is_engine=bool(service_conf and service_conf.model_costs),
        service_ms=gateway.service_times.service_ms(service, ''),
        time_factor=gateway.speeds.time_factor,
    )
    return room.service_room(
        gateway.service_index.of(service).every, scope, now_ms
    )


def member_record(conf: settings.GatewaySettings) -> tuple[str, bytes]:
    """Return the key and value that announce this daemon's peer address."""
    value = orjson.dumps([conf.peer.host, conf.peer.port])
    return f'{MEMBER_PREFIX}{conf.name}', value
