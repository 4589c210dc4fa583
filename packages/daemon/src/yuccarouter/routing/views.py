"""The entry's view of endpoints: reports, load estimates and sampling."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Collection, Iterator
from typing import Final

import attrs

from yuccarouter.routing import _index, _members, _observations

READY: Final = 'ready'
COLD: Final = 'cold'
LEAVING: Final = 'leaving'
DOWN: Final = 'down'

_ROUTABLE: Final = frozenset((READY, COLD))

# A restarted agent starts its sequence at zero. A lower sequence counts as a
# restart if the previous report is older than this, otherwise as a late report.
_RESTART_AGE_MS: Final = 3000
# Time constant, as a share of the service time, with which a reported load
# decays to the pool's mean. A deviation shrinks faster than requests end,
# because all entries route against it. The criterion is the p99 time to first
# token, see docs/decisions/endpoint-choice.md.
_LOAD_DECAY_SHARE: Final = 0.25
# Replaces a service time that is not reported yet.
_DEFAULT_SERVICE_MS: Final = 2000


@attrs.frozen
class EndpointView:
    """A report on one endpoint, as received.

    ``versions`` are ``model@version`` names and empty for a plain service.
    ``age_ms`` is the age of the measurement when the report was received at
    ``received_ms`` of the entry's clock. ``prefixes`` are hashes of the prompt
    prefixes in the engine's cache.
    """

    endpoint: str
    vm: str
    data_centre: str
    pool: str
    address: str
    state: str = READY
    limit: int = 1
    in_flight: int = 0
    queued: int = 0
    versions: tuple[str, ...] = ()
    service_time_ms: float = 0
    first_token_ms: float = 0
    prefixes: frozenset[int] = frozenset()
    age_ms: float = 0
    received_ms: float = 0
    sequence: int = 0

    @property
    def load(self) -> int:
        """Number of requests at the endpoint and in its agent's queue."""
        return self.in_flight + self.queued

    @property
    def measured_ms(self) -> float:
        """Time of the measurement on the entry's clock."""
        return self.received_ms - self.age_ms

    @property
    def indexed_versions(self) -> tuple[str, ...]:
        """Versions in the index: ``('',)`` for a plain service."""
        return self.versions or ('',)

    @property
    def index_keys(self) -> _index.Keys:
        """Keys under which the endpoint is indexed."""
        return _index.Keys(
            self.endpoint,
            self.data_centre,
            self.pool,
            self.indexed_versions,
            self.prefixes,
        )


@attrs.define
class _PoolLoad:
    """Sums over the reports of a pool, in integers to avoid rounding errors."""

    load: int = 0
    limit: int = 0
    own_in_flight: int = 0

    def adjust(self, view: EndpointView, own: int, sign: int) -> None:
        """Add (1) or subtract (-1) a report and the entry's own requests."""
        self.own_in_flight += sign * own
        if view.state in _ROUTABLE:
            self.load += sign * view.load
            self.limit += sign * view.limit


class Fleet:
    """Endpoints by pool, version and data centre.

    The time of an update depends only on the size of the report. Endpoints
    that are leaving, down or in backoff are not in the index. ``now_ms`` is a
    monotonic clock; ``rng`` gives the jitter of backoffs.
    """

    def __init__(self, now_ms: Callable[[], float], rng: _members.Rng) -> None:
        self._now_ms = now_ms
        self._rng = rng
        self._views: dict[str, EndpointView] = {}
        self._observations: dict[str, _observations.Observations] = {}
        self._index = _index.Index()
        self._pools: dict[str, _PoolLoad] = {}
        self._backoff_ends: list[tuple[float, str]] = []

    def __iter__(self) -> Iterator[EndpointView]:
        return iter(self._views.values())

    def find(self, endpoint: str) -> EndpointView | None:
        """Return the newest report on an endpoint, or None."""
        return self._views.get(endpoint)

    def update(self, view: EndpointView) -> bool:
        """Apply a report and return whether it is newer than the last one."""
        previous = self._views.get(view.endpoint)
        if previous is not None and not _is_newer(view, previous):
            return False
        if previous is not None:
            own_in_flight = self._observations[view.endpoint].in_flight
            self._pools[previous.pool].adjust(previous, own_in_flight, -1)
            if previous.vm != view.vm:
                # Observations of the replaced VM don't apply to the new one.
                self._observations.pop(view.endpoint)
        observations = self._observations.setdefault(
            view.endpoint, _observations.Observations()
        )
        self._views[view.endpoint] = view
        observations.apply_report(view.measured_ms)
        pool = self._pools.setdefault(view.pool, _PoolLoad())
        pool.adjust(view, observations.in_flight, 1)
        self._reindex(previous, view)
        return True

    def remove(self, endpoint: str, vm: str = '') -> bool:
        """Remove an endpoint and return whether it was known.

        With ``vm``, the endpoint is removed only if it is on that VM: another
        VM may have replaced it.
        """
        view = self._views.get(endpoint)
        if view is None or vm not in {'', view.vm}:
            return False
        self._views.pop(endpoint)
        self._index.discard(view.index_keys)
        own_in_flight = self._observations.pop(endpoint).in_flight
        self._pools[view.pool].adjust(view, own_in_flight, -1)
        return True

    def record_start(self, endpoint: str) -> None:
        """Count a request that the entry sends to an endpoint."""
        observations = self._observations.get(endpoint)
        if observations is not None:
            observations.record_start(self._now_ms())
            self._pools[self._views[endpoint].pool].own_in_flight += 1

    def record_end(self, endpoint: str, ok: bool) -> None:
        """Count the end of one of the entry's requests, failed or not."""
        observations = self._observations.get(endpoint)
        if observations is not None:
            pool = self._pools[self._views[endpoint].pool]
            pool.own_in_flight -= bool(observations.in_flight)
            observations.record_end(self._now_ms(), ok=ok)

    def record_failure(self, endpoint: str) -> None:
        """Exclude an endpoint for a backoff that grows with each failure.

        The entry has observed the failure itself, such as a refused
        connection, so the backoff takes precedence over reports.
        """
        observations = self._observations.get(endpoint)
        if observations is None:
            return
        previous_until_ms = observations.backoff_until_ms
        until_ms = observations.record_failure(self._now_ms(), self._rng())
        if until_ms == previous_until_ms:
            return
        self._index.discard(self._views[endpoint].index_keys)
        heapq.heappush(self._backoff_ends, (until_ms, endpoint))

    def observations(self, endpoint: str) -> _observations.Observations:
        """Return the entry's own observations of a known endpoint."""
        return self._observations[endpoint]

    def load(self, endpoint: str) -> float:
        """Return the estimated number of requests at an endpoint now.

        The entry's own requests are known exactly. Those of other entries are
        the reported load minus the entry's requests at the measurement. With
        the report's age, this number decays to the pool's mean.
        """
        view = self._views[endpoint]
        observations = self._observations[endpoint]
        pool = self._pools[view.pool]
        own_at_report = (
            observations.in_flight - observations.change_since_report
        )
        others = max(0, view.load - own_at_report)
        mean = (
            max(0, pool.load - pool.own_in_flight)
            / max(1, pool.limit)
            * view.limit
        )
        age_ms = max(0, self._now_ms() - view.measured_ms)
        service_ms = view.service_time_ms or _DEFAULT_SERVICE_MS
        decay = math.exp(-age_ms / (_LOAD_DECAY_SHARE * service_ms))
        return observations.in_flight + mean + (others - mean) * decay

    @property
    def index(self) -> _index.Index:
        """Index of the endpoints that are routable now."""
        now_ms = self._now_ms()
        while self._backoff_ends and self._backoff_ends[0][0] <= now_ms:
            endpoint = heapq.heappop(self._backoff_ends)[1]
            view = self._views.get(endpoint)
            if view is not None:
                self._add_if_routable(view)
        return self._index

    def sample(
        self,
        group: tuple[str, str],
        data_centres: Collection[str],
        count: int,
        excluded: Collection[str],
        rng: _members.Rng,
    ) -> list[str]:
        """Return up to ``count`` random endpoints outside ``excluded``.

        ``group`` is the pool and the version. The time depends only on
        ``count``, ``excluded`` and the number of data centres.
        """
        wanted = count + len(excluded)
        sampled = self.index.sample(group, data_centres, wanted, rng)
        return [name for name in sampled if name not in excluded][:count]

    def is_routable(self, endpoint: str, pool: str, version: str) -> bool:
        """Return whether an endpoint is indexed for a pool and version."""
        view = self._views.get(endpoint)
        if view is None:
            return False
        group = (pool, version)
        return self.index.contains(group, view.data_centre, endpoint)

    def retry_after_ms(self) -> float:
        """Return the time until the next backoff ends; 0 without backoffs."""
        if not self._backoff_ends:
            return 0
        return max(0, self._backoff_ends[0][0] - self._now_ms())

    def _reindex(
        self, previous: EndpointView | None, view: EndpointView
    ) -> None:
        if previous is None:
            self._add_if_routable(view)
            return
        index = self.index
        version = previous.indexed_versions[0]
        group = (previous.pool, version)
        was_indexed = index.contains(
            group, previous.data_centre, previous.endpoint
        )
        if was_indexed and view.state in _ROUTABLE:
            index.replace(previous.index_keys, view.index_keys)
        else:
            index.discard(previous.index_keys)
            self._add_if_routable(view)

    def _add_if_routable(self, view: EndpointView) -> None:
        backoff_until_ms = self._observations[view.endpoint].backoff_until_ms
        if view.state in _ROUTABLE and self._now_ms() >= backoff_until_ms:
            self._index.add(view.index_keys)


def _is_newer(view: EndpointView, previous: EndpointView) -> bool:
    if view.vm != previous.vm:
        return view.measured_ms > previous.measured_ms
    if view.sequence > previous.sequence:
        return True
    return view.received_ms - previous.received_ms > _RESTART_AGE_MS
