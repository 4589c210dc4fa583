"""State of the engine emulator: versions, cold start, load, faults."""

from __future__ import annotations

import collections
import time
from typing import Any, Final

import attrs

from yuccarouter_common import clocks
from yuccarouter_testkit.stand_ins import batch, faults

_MAX_SERVED: Final = 200_000
_MAX_EVENTS: Final = 20_000

RUNNING: Final = 'running'
COMPLETED: Final = 'completed'
CANCELLED: Final = 'cancelled'
BROKEN: Final = 'broken'
FAILED: Final = 'failed'


@attrs.frozen
class Settings:
    """Versions and load limits of the engine.

    ``versions`` maps ``model@version`` names to their quality from 0 to 1.
    ``capacity`` is the largest batch; ``max_queued`` further requests wait and
    the next ones get 503. A cold engine accepts ``cold_limit`` concurrent
    requests and answers 500 above that. It is warm when ``warm_after``
    requests have completed since the last 500 of this kind. ``load_ms`` is the
    time to load a version.
    """

    versions: dict[str, float] = attrs.field(factory=dict)
    capacity: int = 16
    max_queued: int = 64
    cold: bool = False
    cold_limit: int = 1
    warm_after: int = 8
    checks_fencing: bool = False
    load_ms: float = 50
    cache_blocks: int = 1024
    timing: batch.Timing = batch.Timing()


@attrs.frozen
class EngineFaults(faults.Faults):
    """Faults of an engine.

    ``lag_ms`` is the age of load reports and cache events. ``gap_share`` is
    the share of cache events that are never published. ``die_after_tokens``
    closes the connection of each answer after that many tokens. ``quality``
    overrides the quality of versions. ``cold`` makes the engine cold or warm
    when the fault is injected.
    """

    lag_ms: float = 0
    gap_share: float = 0
    die_after_tokens: int | None = None
    quality: dict[str, float] = attrs.field(factory=dict)
    cold: bool | None = None


@attrs.define(eq=False)
class Served:
    """A request that the engine started, for tests to check."""

    stream_id: str
    attempt_id: str
    idempotency_key: str
    model: str
    stream: bool
    resumed: bool
    prompt_tokens: int
    time_ms: int
    state: str = RUNNING
    completion_tokens: int = 0
    over_cold_limit: bool = False


@attrs.frozen
class Order:
    """An order about versions, adapters or the role of the engine."""

    order: str
    model: str = ''
    version: str = ''
    adapter: str = ''
    role: str = ''
    fencing_number: int = 0


@attrs.frozen
class _Report:
    taken_s: float
    in_flight: int
    cold: bool
    kv_used: float
    versions: tuple[str, ...]


@attrs.frozen
class _CacheEvent:
    offset: int
    event: str
    prefix: int
    time_s: float


@attrs.define(eq=False)
class Engine:
    """The state of one emulated engine."""

    settings: Settings
    versions: dict[str, float] = attrs.field(init=False)
    cold: bool = attrs.field(init=False)
    injector: faults.Injector = attrs.field(init=False)
    cache: batch.PrefixCache = attrs.field(init=False)
    served: collections.deque[Served] = attrs.field(init=False)
    batching: batch.Batch = attrs.field(init=False)
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    streams: dict[str, batch.Stream] = attrs.field(factory=dict)
    highest_fencing_number: int = -1
    role: str = ''
    cold_overloads: int = 0
    max_in_flight: int = 0
    max_in_flight_cold: int = 0
    # 0 while the engine is warm.
    cold_since_ms: int = 0
    _warm_progress: int = 0
    _reports: collections.deque[_Report] = attrs.field(
        factory=collections.deque
    )
    _events: collections.deque[_CacheEvent] = attrs.field(init=False)
    _next_event: int = 0

    def __attrs_post_init__(self) -> None:
        """Set the fields that depend on the settings."""
        self.versions = dict(self.settings.versions)
        self.switch_cold(self.settings.cold)
        self.served = collections.deque(maxlen=_MAX_SERVED)
        self._events = collections.deque(maxlen=_MAX_EVENTS)
        self.injector = faults.Injector(
            EngineFaults(),
            self._on_fault,
            frozenset(('/served',)),
        )
        self.batching = batch.Batch(
            self.settings.capacity,
            self.settings.timing,
            lambda: self.cold,
            lambda: self.injector.current.hang,
        )
        self.cache = batch.PrefixCache(
            self.settings.cache_blocks, self._on_cache_event
        )
        self.record_load()

    def qualities(self, version: str) -> tuple[float, float]:
        """Return a version's quality under faults, and its configured one."""
        configured = self.versions[version]
        override: dict[str, float] = self.injector.current.quality
        return override.get(version, configured), configured

    def is_cold_overloaded(self) -> bool:
        """Return whether a cold engine is at its limit; count the overload."""
        if not self.cold:
            return False
        if self.batching.in_flight < self.settings.cold_limit:
            return False
        self.cold_overloads += 1
        self._warm_progress = 0
        return True

    def complete(self) -> None:
        """Count a completed request towards the end of the cold start."""
        self._warm_progress += 1
        if self.cold and self._warm_progress >= self.settings.warm_after:
            self.switch_cold(False)

    def switch_cold(self, cold: bool) -> None:
        """Make the engine cold or warm."""
        self.cold = cold
        self.cold_since_ms = clocks.wall_ms() if cold else 0
        self._warm_progress = 0

    def record_load(self) -> None:
        """Record the current load for lagging reports."""
        in_flight = self.batching.in_flight
        self.max_in_flight = max(self.max_in_flight, in_flight)
        if self.cold:
            self.max_in_flight_cold = max(self.max_in_flight_cold, in_flight)
        self._reports.append(
            _Report(
                time.monotonic(),
                in_flight,
                self.cold,
                self.cache.used_share,
                tuple(sorted(self.versions)),
            )
        )
        self._drop_old_reports()

    def report(self) -> dict[str, Any]:
        """Return the load as it was ``lag_ms`` ago."""
        self._drop_old_reports()
        lagged = self._reports[0]
        return {
            'in_flight': lagged.in_flight,
            'capacity': self.settings.capacity,
            'cold': lagged.cold,
            'kv_used': lagged.kv_used,
            'age_ms': int(self.injector.current.lag_ms),
            'versions': list(lagged.versions),
        }

    def cache_events(self, start: int) -> dict[str, Any]:
        """Return the published cache events from an offset on."""
        lag_s = self.injector.current.lag_ms / 1000
        horizon_s = time.monotonic() - lag_s
        published = [
            event for event in self._events if event.time_s <= horizon_s
        ]
        end = published[-1].offset + 1 if published else 0
        return {
            'events': [
                {
                    'offset': event.offset,
                    'kind': event.event,
                    'prefix': event.prefix,
                }
                for event in published
                if event.offset >= start
            ],
            'first_offset': published[0].offset if published else end,
            'end_offset': end,
        }

    def _on_cache_event(self, event: str, prefix: int) -> None:
        offset = self._next_event
        self._next_event += 1
        if self.injector.chance(self.injector.current.gap_share):
            return
        self._events.append(
            _CacheEvent(offset, event, prefix, time.monotonic())
        )

    def _on_fault(self, changes: dict[str, Any]) -> None:
        if changes.get('cold') is not None:
            self.switch_cold(changes['cold'])
            self.record_load()

    def _drop_old_reports(self) -> None:
        # Keeps the newest report that is at least ``lag_ms`` old as the first.
        horizon_s = time.monotonic() - self.injector.current.lag_ms / 1000
        reports = self._reports
        while len(reports) > 1 and reports[1].taken_s <= horizon_s:
            reports.popleft()
