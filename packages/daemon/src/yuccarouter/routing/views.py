"""The entry's view of endpoints and the index that choices sample from."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Collection, Iterator
from typing import Final

import attrs

from yuccarouter.routing import _evidence, _index, _members

READY: Final = 'ready'
COLD: Final = 'cold'
LEAVING: Final = 'leaving'
DOWN: Final = 'down'

_ROUTABLE: Final = frozenset((READY, COLD))

# An agent restarts its sequence at zero. A lower sequence is taken for a
# restart once the held report is this old, and for a late report before that.
_RESTART_MS: Final = 3000
# A deviation from the pool's mean decays faster than requests end, because all
# entries steer against it. The share of the service time was chosen by p99 time
# to first token, see docs/decisions/endpoint-choice.md.
_TRUST_SHARE: Final = 0.25
# Used while no service time is reported.
_DEFAULT_SERVICE_MS: Final = 2000


@attrs.frozen
class EndpointView:
    """One report of an endpoint, as received.

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
        """Requests in the endpoint and in its agent's queue."""
        return self.in_flight + self.queued

    @property
    def measured_ms(self) -> float:
        """Time of the measurement on the entry's clock."""
        return self.received_ms - self.age_ms

    @property
    def served(self) -> tuple[str, ...]:
        """The index's versions: a plain service has the version ``''``."""
        return self.versions or ('',)

    @property
    def place(self) -> _index.Place:
        """Where the index holds the endpoint."""
        return _index.Place(
            self.endpoint,
            self.data_centre,
            self.pool,
            self.served,
            self.prefixes,
        )


@attrs.define
class _PoolLoad:
    """Sums over the reports of a pool; integers, so that they don't drift."""

    load: int = 0
    limit: int = 0
    # Own requests in flight.
    own: int = 0

    def count(self, view: EndpointView, own: int, sign: int) -> None:
        """Add (1) or subtract (-1) a report and the own requests."""
        self.own += sign * own
        if view.state in _ROUTABLE:
            self.load += sign * view.load
            self.limit += sign * view.limit


class Fleet:
    """Endpoints by pool, version and data centre.

    A report changes the index in time that depends only on the report's own
    size. Endpoints that are leaving, down or in backoff are not in the index.
    ``now_ms`` is a monotonic clock; ``rng`` spreads the ends of backoffs.
    """

    def __init__(self, now_ms: Callable[[], float], rng: _members.Rng) -> None:
        self._now_ms = now_ms
        self._rng = rng
        self._views: dict[str, EndpointView] = {}
        self._evidence: dict[str, _evidence.Evidence] = {}
        self._index = _index.Index()
        self._pools: dict[str, _PoolLoad] = {}
        self._returns: list[tuple[float, str]] = []

    def __iter__(self) -> Iterator[EndpointView]:
        return iter(self._views.values())

    def find(self, endpoint: str) -> EndpointView | None:
        """Return the newest report of an endpoint."""
        return self._views.get(endpoint)

    def update(self, view: EndpointView) -> bool:
        """Take over a report; return False for one older than the held one."""
        held = self._views.get(view.endpoint)
        if held is not None and not _is_newer(view, held):
            return False
        if held is not None:
            own = self._evidence[view.endpoint].in_flight
            self._pools[held.pool].count(held, own, -1)
            if held.vm != view.vm:
                # What is known of a replaced VM says nothing about the new one.
                self._evidence.pop(view.endpoint)
        evidence = self._evidence.setdefault(
            view.endpoint, _evidence.Evidence()
        )
        self._views[view.endpoint] = view
        evidence.reported(view.measured_ms)
        pool = self._pools.setdefault(view.pool, _PoolLoad())
        pool.count(view, evidence.in_flight, 1)
        self._reindex(held, view)
        return True

    def remove(self, endpoint: str, vm: str = '') -> bool:
        """Forget an endpoint and return whether it was held.

        With ``vm``, only an endpoint of that VM is forgotten: another one may
        have taken its place since.
        """
        held = self._views.get(endpoint)
        if held is None or vm not in {'', held.vm}:
            return False
        self._views.pop(endpoint)
        self._index.discard(held.place)
        own = self._evidence.pop(endpoint).in_flight
        self._pools[held.pool].count(held, own, -1)
        return True

    def record_start(self, endpoint: str) -> None:
        """Count an own request that is being sent to an endpoint."""
        evidence = self._evidence.get(endpoint)
        if evidence is not None:
            evidence.record_start(self._now_ms())
            self._pools[self._views[endpoint].pool].own += 1

    def record_end(self, endpoint: str, ok: bool) -> None:
        """Count the end of an own request, whatever its result."""
        evidence = self._evidence.get(endpoint)
        if evidence is not None:
            pool = self._pools[self._views[endpoint].pool]
            pool.own -= bool(evidence.in_flight)
            evidence.record_end(self._now_ms(), ok=ok)

    def record_failure(self, endpoint: str) -> None:
        """Leave an endpoint out for a backoff that grows with each failure.

        This is direct evidence, such as a refused connection, and takes
        precedence over reports.
        """
        evidence = self._evidence.get(endpoint)
        if evidence is None:
            return
        known_until_ms = evidence.backoff_until_ms
        until_ms = evidence.record_failure(self._now_ms(), self._rng())
        if until_ms == known_until_ms:
            return
        self._index.discard(self._views[endpoint].place)
        heapq.heappush(self._returns, (until_ms, endpoint))

    def evidence(self, endpoint: str) -> _evidence.Evidence:
        """Return what own requests say of a known endpoint."""
        return self._evidence[endpoint]

    def load(self, endpoint: str) -> float:
        """Estimate the requests at an endpoint now.

        Own requests are known exactly. Those of other entries are the report's
        load without the own requests at its measurement. They are moved
        towards the pool's mean with the report's age.
        """
        view = self._views[endpoint]
        evidence = self._evidence[endpoint]
        pool = self._pools[view.pool]
        own_at_report = evidence.in_flight - evidence.since_report
        others = max(0, view.load - own_at_report)
        mean = max(0, pool.load - pool.own) / max(1, pool.limit) * view.limit
        age_ms = max(0, self._now_ms() - view.measured_ms)
        service_ms = view.service_time_ms or _DEFAULT_SERVICE_MS
        trust = math.exp(-age_ms / (_TRUST_SHARE * service_ms))
        return evidence.in_flight + mean + (others - mean) * trust

    @property
    def index(self) -> _index.Index:
        """The routable endpoints at this time."""
        now_ms = self._now_ms()
        while self._returns and self._returns[0][0] <= now_ms:
            endpoint = heapq.heappop(self._returns)[1]
            view = self._views.get(endpoint)
            if view is not None:
                self._add(view)
        return self._index

    def sample(
        self,
        group: tuple[str, str],
        data_centres: Collection[str],
        count: int,
        skip: Collection[str],
        rng: _members.Rng,
    ) -> list[str]:
        """Return up to ``count`` random endpoints that are not in ``skip``.

        ``group`` is the pool and the version. The time depends on ``count``,
        ``skip`` and the number of data centres only.
        """
        wanted = count + len(skip)
        drawn = self.index.sample(group, data_centres, wanted, rng)
        return [name for name in drawn if name not in skip][:count]

    def is_routable(self, endpoint: str, pool: str, version: str) -> bool:
        """Return whether the index holds an endpoint for a version."""
        view = self._views.get(endpoint)
        if view is None:
            return False
        group = (pool, version)
        return self.index.contains(group, view.data_centre, endpoint)

    def retry_after_ms(self) -> float:
        """Return the time until the next endpoint leaves its backoff."""
        if not self._returns:
            return 0
        return max(0, self._returns[0][0] - self._now_ms())

    def _reindex(self, held: EndpointView | None, view: EndpointView) -> None:
        if held is None:
            self._add(view)
            return
        index = self.index
        served = held.served[0]
        group = (held.pool, served)
        was_in = index.contains(group, held.data_centre, held.endpoint)
        if was_in and view.state in _ROUTABLE:
            index.replace(held.place, view.place)
        else:
            index.discard(held.place)
            self._add(view)

    def _add(self, view: EndpointView) -> None:
        backoff_until_ms = self._evidence[view.endpoint].backoff_until_ms
        if view.state in _ROUTABLE and self._now_ms() >= backoff_until_ms:
            self._index.add(view.place)


def _is_newer(view: EndpointView, held: EndpointView) -> bool:
    if view.vm != held.vm:
        return view.measured_ms > held.measured_ms
    if view.sequence > held.sequence:
        return True
    return view.received_ms - held.received_ms > _RESTART_MS
