"""Everything that the request path of a gateway looks up."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final

import attrs
import eliot
import orjson

from yuccarouter.gateway import (
    choice,
    cold_limit,
    endpoints,
    failure_reports,
    metrics,
    model,
    stream_timeouts,
    ports,
    prefill_speeds,
    retry_budget,
    rollout_control,
    routes,
)
from yuccarouter_common import clocks, records

if TYPE_CHECKING:
    from collections.abc import Iterator

    import aiohttp

    from yuccarouter.gateway import peers, settings, topics

MEMBER_PREFIX: Final = 'member/'
# What a record raises that its decoder did not foresee. All daemons read it,
# and again at each start, so that none may end for it.
_UNREADABLE: Final = (
    records.ShapeError,
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)
# Daemons that are assumed while none is known.
_ASSUMED_DAEMONS: Final = 8
# A key or route that is unknown here may stand in a configuration that could
# not be read since; this old a view no longer says that it does not exist.
_STALE_VIEW_MS: Final = 1500.0


@attrs.define
class Gateway:
    """Shared state of a daemon's request path."""

    conf: settings.GatewaySettings
    platform: ports.Platform
    session: aiohttp.ClientSession
    control: rollout_control.RolloutControl
    directory: endpoints.Directory = attrs.field(factory=endpoints.Directory)
    table: routes.RouteTable | None = None
    evacuated: frozenset[str] = frozenset()
    retry_budget: retry_budget.RetryBudget = attrs.field(init=False)
    failure_reports: failure_reports.FailureReports = attrs.field(init=False)
    exchange: peers.Exchange | None = None
    orders_topic: topics.Topic | None = None
    is_draining: bool = False
    in_progress: int = 0
    prefill_speeds: prefill_speeds.PrefillSpeeds = attrs.field(
        factory=prefill_speeds.PrefillSpeeds
    )
    patiences: dict[tuple[str, str], stream_timeouts.FirstEventTimeout] = (
        attrs.field(factory=dict)
    )
    busy_connections: set[object] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Build what depends on the settings."""
        bounds = self.conf.bounds
        self.failure_reports = failure_reports.FailureReports(self.conf.name)
        self.retry_budget = retry_budget.RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_ms
        )

    @property
    def daemon_count(self) -> int:
        """Number of daemons that share the bounds, this one included."""
        if self.exchange is None or not self.exchange.members:
            return _ASSUMED_DAEMONS
        return 1 + len(self.exchange.members)

    @property
    def is_view_stale(self) -> bool:
        """Whether unknown names may exist in a configuration not yet read."""
        topic = self.orders_topic
        if topic is None:
            return True
        if not topic.is_failing or topic.age_ms() <= _STALE_VIEW_MS:
            return False
        return self.exchange is None or not self.exchange.confirms(topic)

    def is_ready(self) -> bool:
        """Whether callers should be sent here.

        A daemon that knows no endpoint yet would refuse what others can serve.
        """
        if self.table is None or self.is_draining:
            return False
        return any(True for _ in self.directory)

    @contextlib.contextmanager
    def serving(self, connection: object) -> Iterator[None]:
        """Count a request, and its connection as one that is in use."""
        self.in_progress += 1
        self.busy_connections.add(connection)
        try:
            with metrics.IN_PROGRESS.track_inprogress():
                yield
        finally:
            self.in_progress -= 1
            self.busy_connections.discard(connection)

    def order_changed(self, entry: ports.Entry) -> None:
        """Take in a record of the operators."""
        platform = self.platform
        try:
            configuration = platform.decode_configuration(entry)
            order = platform.decode_order(entry)
            evacuation = platform.decode_evacuation(entry)
        except _UNREADABLE as fault:
            eliot.log_message('bad_order', key=entry.key, reason=str(fault))
            return
        if configuration is not None:
            self._configure(configuration)
        if order is not None:
            self.control.apply_order(order)
        if evacuation is not None:
            self._evacuate(evacuation)

    def endpoint_changed(self, entry: ports.Entry) -> None:
        """Take in an announcement or its removal."""
        try:
            announced = self.platform.decode_announcement(entry)
        except _UNREADABLE as fault:
            eliot.log_message(
                'bad_announcement', key=entry.key, reason=str(fault)
            )
            return
        if announced is None:
            self.directory.remove(entry.key)
        else:
            self.directory.apply_announcement(announced)

    def state_changed(self, entry: ports.Entry) -> None:
        """Take in a record of the daemons' shared state."""
        if entry.key.startswith(MEMBER_PREFIX):
            self._member_changed(entry)
        else:
            self.control.state_changed(entry)

    def patience_for(
        self, route: model.Route, model_name: str
    ) -> stream_timeouts.FirstEventTimeout:
        """Return the usual times of a route's answers by a model."""
        return self.patiences.setdefault(
            (route.name, model_name), stream_timeouts.FirstEventTimeout()
        )

    def need(
        self,
        call: model.Call,
        route: model.Route,
        service: str,
        tried: frozenset[str],
        model_name: str,
    ) -> choice.Requirements:
        """Return what an endpoint must be for the next attempt of a call."""
        table = self.table
        kind = table.configuration.services.get(service) if table else None
        generation = call.generation
        return choice.Requirements(
            service=service,
            objective_ms=route.objective_ms,
            versions=self.control.allowed_versions(
                service, call.session or call.request_id, self.directory
            ),
            tried=tried,
            out_of_service=self.evacuated,
            local_data_centre=self.conf.data_centre,
            cold_share=self._cold_share(kind),
            daemon=self.conf.name,
            other_daemons=self.exchange.names if self.exchange else (),
            max_in_flight=(
                max(1, kind.max_connections // self.daemon_count)
                if kind and kind.max_connections
                else 0
            ),
            unreachable=self.failure_reports.unreachable(clocks.monotonic_ms()),
            model_name=model_name,
            prefill_ms_per_token=self.prefill_speeds.expected_ms(model_name, 1),
            model_cost=kind.model_costs.get(model_name, 0) if kind else 0,
            body_bytes=call.body_bytes,
            prompt_tokens=model.prompt_tokens(call),
            output_tokens=(
                generation.expected_output_tokens if generation else 0
            ),
            shared_parts=generation.parts[:-1] if generation else (),
        )

    def _cold_share(
        self, kind: model.Service | None
    ) -> cold_limit.ColdShare | None:
        if kind is None or kind.cold_requests_per_s <= 0:
            return None
        bounds = self.conf.bounds
        return cold_limit.share_per_daemon(
            kind.cold_requests_per_s,
            bounds.cold_overshoot,
            bounds.cold_slack,
            self.daemon_count,
        )

    def choose(
        self,
        call: model.Call,
        route: model.Route,
        service: str,
        tried: frozenset[str],
        model_name: str,
    ) -> choice.Choice | None:
        """Return the endpoint for the next attempt of a call."""
        now_ms = clocks.monotonic_ms()
        self.directory.expire()
        need = self.need(call, route, service, tried, model_name)
        chosen = choice.choose(self.directory, need, now_ms)
        if chosen is None:
            versions = self.control.fallback_versions(service, call.request_id)
            if versions:
                need = attrs.evolve(need, versions=versions)
                chosen = choice.choose(self.directory, need, now_ms)
        return chosen

    def _configure(self, configuration: model.Configuration) -> None:
        known = self.table.configuration.version if self.table else -1
        if configuration.version <= known:
            return
        self.table = routes.RouteTable(configuration)
        eliot.log_message(
            'configuration_applied',
            version=configuration.version,
            before=known,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations),
        )

    def _evacuate(self, evacuation: model.Evacuation) -> None:
        names = {evacuation.data_centre}
        evacuated = self.evacuated | names
        if evacuation.is_over:
            evacuated = self.evacuated - names
        if evacuated != self.evacuated:
            self.evacuated = evacuated
            eliot.log_message(
                'data_centres_out_of_service', names=sorted(evacuated)
            )

    def _member_changed(self, entry: ports.Entry) -> None:
        if self.exchange is None:
            return
        name = entry.key.removeprefix(MEMBER_PREFIX)
        if name == self.conf.name:
            return
        try:
            host, port = records.loads(entry.value)
            address = model.Address(str(host), int(port))
        except (records.ShapeError, TypeError, ValueError):
            self.exchange.remove_member(name)
            return
        self.exchange.add_member(name, address)


def member_record(conf: settings.GatewaySettings) -> tuple[str, bytes]:
    """Return the record that tells peers where this daemon is."""
    value = orjson.dumps([conf.peer.host, conf.peer.port])
    return f'{MEMBER_PREFIX}{conf.name}', value
