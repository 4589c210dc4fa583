"""Directory of announced endpoints, with the load and health of each."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING, Any, Final

import attrs
import eliot

from yuccarouter.gateway import endpoint_notices, model, numbers
from yuccarouter_common import clocks

if TYPE_CHECKING:
    from collections.abc import Iterator

# Endpoints whose announcement expired during an outage of the store announce
# themselves again within about 2 s of its end; others are removed after this.
_REANNOUNCEMENT_GRACE_MS: Final = 2200.0
# Announcements do not expire during shorter outages of the store.
_MIN_OUTAGE_MS: Final = 1000.0
# Removed endpoints whose last incarnation is kept to reject older records.
_MAX_REMOVED: Final = 1000
_FAILURE_SMOOTHING_FACTOR: Final = 0.2
# Backoff after an attempt without an answer; doubles with each further one.
_MIN_BACKOFF_MS: Final = 500.0
_MAX_BACKOFF_MS: Final = 4000.0
_MAX_DOUBLINGS: Final = 8
# Older load reports are ignored; this daemon's own requests still count.
_MAX_LOAD_AGE_MS: Final = 1500.0
_MAX_CACHED_PARTS: Final = 4000
# A message to peers must fit a datagram.
_MAX_REPORTED_ENDPOINTS: Final = 128


@attrs.frozen
class PeerBacklog:
    """Requests of another daemon at an endpoint, and their prefill time."""

    in_flight: int
    pending_prefill_ms: float
    received_ms: float


@attrs.define
class EndpointView:
    """An endpoint's announcement, with its load and health.

    ``pending_prefill_ms`` is the prefill time of this daemon's requests that
    wait for an answer. ``load`` is the newest report of the endpoint and
    ``sent_since_load`` counts this daemon's requests since then.
    ``peer_backlog`` is by the daemon's name. ``cached`` holds, by model and
    prompt part, when the part was last prefilled, oldest first.
    ``last_sent_ms`` is when this daemon last sent it a request.
    """

    announced: model.Announcement
    cold_until_ms: float = -math.inf
    in_flight: int = 0
    pending_prefill_ms: float = 0
    load: model.Load | None = None
    load_received_ms: float = -math.inf
    sent_since_load: int = 0
    failure_share: float = 0
    consecutive_failures: int = 0
    avoid_until_ms: float = -math.inf
    paused_until_ms: float = -math.inf
    remove_at_ms: float = math.inf
    last_sent_ms: float = -math.inf
    peer_backlog: dict[str, PeerBacklog] = attrs.field(factory=dict)
    cold_send_times_ms: collections.deque[float] = attrs.field(
        factory=collections.deque
    )
    cached: collections.OrderedDict[tuple[str, str], float] = attrs.field(
        factory=collections.OrderedDict
    )

    @property
    def name(self) -> str:
        """The endpoint's id."""
        return self.announced.endpoint

    def is_cold(self, now_ms: float) -> bool:
        """Whether the endpoint is in its cold start."""
        return now_ms < self.cold_until_ms

    def occupancy(self, now_ms: float) -> int:
        """Return the known number of requests that run or wait."""
        known = self.in_flight + sum(
            backlog.in_flight for backlog in self._recent_peer_backlog(now_ms)
        )
        if (
            self.load is None
            or now_ms - self.load_received_ms > _MAX_LOAD_AGE_MS
        ):
            return known
        reported = self.load.running + self.load.waiting
        return max(known, reported + self.sent_since_load)

    def backlog_ms(self, now_ms: float) -> float:
        """Return the prefill time of all daemons' waiting requests."""
        peers_ms = sum(
            backlog.pending_prefill_ms
            for backlog in self._recent_peer_backlog(now_ms)
        )
        return self.pending_prefill_ms + peers_ms

    def occupancy_and_backlog_ms(self, now_ms: float) -> tuple[int, float]:
        """Return the occupancy and the backlog, in a single pass."""
        since_ms = now_ms - _MAX_LOAD_AGE_MS
        in_flight = self.in_flight
        backlog_ms = self.pending_prefill_ms
        for backlog in self.peer_backlog.values():
            if backlog.received_ms >= since_ms:
                in_flight += backlog.in_flight
                backlog_ms += backlog.pending_prefill_ms
        if self.load is not None and self.load_received_ms >= since_ms:
            reported = self.load.running + self.load.waiting
            in_flight = max(in_flight, reported + self.sent_since_load)
        return in_flight, backlog_ms

    def _recent_peer_backlog(self, now_ms: float) -> list[PeerBacklog]:
        since_ms = now_ms - _MAX_LOAD_AGE_MS
        return [
            backlog
            for backlog in self.peer_backlog.values()
            if backlog.received_ms >= since_ms
        ]

    def record_load(self, load: model.Load, now_ms: float) -> None:
        """Record the load that an answer reported."""
        self.load = load
        self.load_received_ms = now_ms
        self.sent_since_load = 0

    def sent_ms_ago(self) -> int | None:
        """Return the time since this daemon's last request, if any."""
        if math.isinf(self.last_sent_ms):
            return None
        return round(clocks.monotonic_ms() - self.last_sent_ms)

    def record_success(self) -> None:
        """Record a successful answer, which ends any backoff."""
        self.consecutive_failures = 0
        self.avoid_until_ms = -math.inf
        self.failure_share *= 1 - _FAILURE_SMOOTHING_FACTOR

    def record_failure(self) -> None:
        """Record a failed answer."""
        self.failure_share += _FAILURE_SMOOTHING_FACTOR * (
            1 - self.failure_share
        )

    def record_no_answer(self, now_ms: float) -> None:
        """Record an attempt without an answer and start a backoff."""
        self.record_failure()
        doublings = min(self.consecutive_failures, _MAX_DOUBLINGS)
        backoff_ms = min(
            _MAX_BACKOFF_MS, math.ldexp(_MIN_BACKOFF_MS, doublings)
        )
        self.consecutive_failures += 1
        self.avoid_until_ms = now_ms + backoff_ms

    def record_cached(
        self, model_name: str, parts: list[str], now_ms: float
    ) -> None:
        """Record prompt parts that the endpoint cached for a model."""
        for part in parts:
            self.cached[model_name, part] = now_ms
            self.cached.move_to_end((model_name, part))
        while len(self.cached) > _MAX_CACHED_PARTS:
            self.cached.popitem(last=False)


class Directory:
    """All endpoints in use, by id.

    ``changes`` counts the changes of which endpoints there are, and where.
    """

    def __init__(self) -> None:
        self._views: dict[str, EndpointView] = {}
        self._removed: collections.OrderedDict[str, model.Incarnation] = (
            collections.OrderedDict()
        )
        self._notices = endpoint_notices.EndpointNotices()
        self._reannouncement_grace_until_ms = -math.inf
        self._next_expiry_ms = math.inf
        self.changes = 0

    def __iter__(self) -> Iterator[EndpointView]:
        """Iterate over the endpoints that are not removed."""
        return iter(list(self._views.values()))

    def __len__(self) -> int:
        """Return the number of endpoints that are not removed."""
        return len(self._views)

    def get(self, endpoint: str) -> EndpointView | None:
        """Return an endpoint by id."""
        return self._views.get(endpoint)

    def started_ms(self, endpoint: str) -> int | None:
        """Return when an endpoint started, ``None`` if it is not in use."""
        view = self._views.get(endpoint)
        return None if view is None else view.announced.incarnation.started_ms

    def endpoint_count(self, service: str) -> int:
        """Return the number of endpoints of a service that do not drain."""
        return sum(
            view.announced.service == service and not view.announced.is_draining
            for view in self._views.values()
        )

    def own_backlog(self) -> dict[str, list[int]]:
        """Return this daemon's requests and their prefill time, for peers.

        Only the busiest endpoints are included, to bound the message size.
        """
        busy = [view for view in self._views.values() if view.in_flight]
        busy.sort(key=_backlog_size, reverse=True)
        return {
            view.name: [view.in_flight, round(view.pending_prefill_ms)]
            for view in busy[:_MAX_REPORTED_ENDPOINTS]
        }

    def record_peer_backlog(self, peer: str, backlog: dict[str, Any]) -> None:
        """Replace a peer's requests and prefill times at all endpoints.

        Raises ``AttributeError``, ``TypeError`` or ``ValueError`` for a
        malformed message, and changes nothing then.
        """
        now_ms = clocks.monotonic_ms()
        reported = {
            name: PeerBacklog(
                numbers.integer(in_flight),
                numbers.number(pending_prefill_ms),
                now_ms,
            )
            for name, (in_flight, pending_prefill_ms) in backlog.items()
        }
        for view in self._views.values():
            # Idle peers are left out: sums over hundreds of them at hundreds
            # of endpoints would take most of the time of a choice.
            view.peer_backlog.pop(peer, None)
            peer_backlog = reported.get(view.name)
            if peer_backlog is not None:
                view.peer_backlog[peer] = peer_backlog

    def on_store_reconnected(self, outage_ms: float) -> None:
        """Start a grace period for announcements that expired in an outage."""
        if outage_ms >= _MIN_OUTAGE_MS:
            self._reannouncement_grace_until_ms = (
                clocks.monotonic_ms() + _REANNOUNCEMENT_GRACE_MS
            )

    def apply_announcement(self, announced: model.Announcement) -> None:
        """Add or update an endpoint.

        Records may arrive late and out of order: those of an earlier start or
        an earlier heartbeat are ignored. An endpoint that drains keeps draining
        until its next start.
        """
        known = self._views.get(announced.endpoint)
        if known is None:
            self._add(announced)
            return
        newest = known.announced
        if announced.incarnation < newest.incarnation:
            return
        if announced.incarnation.started_ms > newest.incarnation.started_ms:
            self._add(announced)
            return
        known.remove_at_ms = math.inf
        self._update(known, announced)

    def record_notice(
        self, view: EndpointView, *, is_leaving: bool, paused_until_ms: float
    ) -> None:
        """Record that an endpoint wants no more requests, or none for a while.

        It holds until the endpoint starts again, whatever its record says.
        """
        self._notices.record(
            view.announced,
            is_leaving=is_leaving,
            paused_until_ms=paused_until_ms,
        )
        current = self._views.get(view.name)
        if current is not None:
            notice = self._notices.of(current.announced)
            current.paused_until_ms = notice.paused_until_ms
            _replace_announced(
                current, current.announced, is_leaving=notice.is_leaving
            )

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint, after the grace period if one is in effect."""
        view = self._views.get(endpoint)
        if view is None:
            return
        now_ms = clocks.monotonic_ms()
        if now_ms < self._reannouncement_grace_until_ms:
            view.remove_at_ms = min(
                view.remove_at_ms, self._reannouncement_grace_until_ms
            )
            self._next_expiry_ms = min(self._next_expiry_ms, view.remove_at_ms)
            return
        self._remove_view(view)

    def expire(self) -> None:
        """Remove endpoints whose grace period ended without announcement."""
        now_ms = clocks.monotonic_ms()
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = math.inf
        for view in list(self._views.values()):
            if now_ms >= view.remove_at_ms:
                self._remove_view(view)
            else:
                self._next_expiry_ms = min(
                    self._next_expiry_ms, view.remove_at_ms
                )

    def _add(self, announced: model.Announcement) -> None:
        last_incarnation = self._removed.get(announced.endpoint)
        if (
            last_incarnation is not None
            and announced.incarnation <= last_incarnation
        ):
            return
        notice = self._notices.of(announced)
        if notice.is_leaving:
            announced = attrs.evolve(announced, is_draining=True)
        cold_ms = announced.cold_remaining_ms
        self.changes += 1
        self._views[announced.endpoint] = EndpointView(
            announced,
            cold_until_ms=clocks.monotonic_ms() + cold_ms,
            paused_until_ms=notice.paused_until_ms,
        )
        eliot.log_message(
            'endpoint_added',
            endpoint=announced.endpoint,
            service=announced.service,
            version=announced.version,
            data_centre=announced.data_centre,
            is_draining=announced.is_draining,
            cold_ms=cold_ms,
        )

    def _update(
        self, view: EndpointView, announced: model.Announcement
    ) -> None:
        self.changes += _is_moved(view.announced, announced)
        _replace_announced(
            view, announced, is_leaving=self._notices.of(announced).is_leaving
        )
        cold_until_ms = clocks.monotonic_ms() + announced.cold_remaining_ms
        view.cold_until_ms = (
            cold_until_ms if announced.cold_remaining_ms else -math.inf
        )

    def _remove_view(self, view: EndpointView) -> None:
        self._views.pop(view.name, None)
        self.changes += 1
        self._removed[view.name] = view.announced.incarnation
        self._removed.move_to_end(view.name)
        if len(self._removed) > _MAX_REMOVED:
            self._removed.popitem(last=False)
        eliot.log_message('endpoint_removed', endpoint=view.name)


def _is_moved(announced: model.Announcement, other: model.Announcement) -> bool:
    """Return whether two records differ in what endpoints are indexed by."""
    return (
        announced.service != other.service
        or announced.data_centre != other.data_centre
        or announced.version != other.version
    )


def _replace_announced(
    view: EndpointView, announced: model.Announcement, *, is_leaving: bool
) -> None:
    """Replace a view's record; an endpoint that drains keeps draining."""
    was_draining = view.announced.is_draining
    if was_draining or is_leaving:
        announced = attrs.evolve(announced, is_draining=True)
    if announced.is_draining and not was_draining:
        eliot.log_message(
            'endpoint_draining',
            endpoint=announced.endpoint,
            sequence=announced.incarnation.sequence,
        )
    view.announced = announced


def _backlog_size(view: EndpointView) -> tuple[float, int]:
    return (view.pending_prefill_ms, view.in_flight)
