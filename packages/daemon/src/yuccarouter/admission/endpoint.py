"""Load, state and cached prefixes of the agent's endpoint."""

from __future__ import annotations

import asyncio
from typing import Any, Final

import aiohttp
import attrs
import cattrs
import eliot
import orjson

from yuccarouter.admission import (
    cache,
    calls,
    counters,
    errors,
    ports,
    request_tracker,
    slots,
)
from yuccarouter.admission import limiter as limiters
from yuccarouter_common.proto import router_pb2

READY: Final = 'ready'
COLD: Final = 'cold'
LEAVING: Final = 'leaving'
DOWN: Final = 'down'

_POLL_TIMEOUT_S: Final = 1.0
# An older report does not show whether the endpoint has restarted cold since.
_STALE_S: Final = 1.5
_DRAIN_POLL_S: Final = 0.02
_PPM: Final = 1_000_000
_MS: Final = 1000
_OK: Final = 200


@attrs.frozen
class LoadReport:
    """The answer to ``GET /load``; ``kv_used`` is a share from 0 to 1."""

    in_flight: int
    capacity: int = 0
    cold: bool = False
    kv_used: float = 0
    age_ms: float = 0
    versions: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class Endpoint:
    """State of the agent's endpoint, as it is reported to entries."""

    location: ports.EndpointLocation
    configuration: ports.ConfigurationView
    slot_queue: slots.SlotQueue
    session: aiohttp.ClientSession
    cache: cache.PrefixCache = attrs.field(factory=cache.PrefixCache)
    _last_report: LoadReport | None = None
    _measured_at: float = 0
    _unreachable: bool = False
    _logged_state: str = DOWN
    _sequence: int = 0

    @property
    def limiter(self) -> limiters.ConcurrencyLimiter:
        """Concurrency limiter of the endpoint."""
        return self.slot_queue.limiter

    @property
    def age_s(self) -> float:
        """Seconds since the endpoint measured its newest load report."""
        return self.limiter.clock() - self._measured_at

    @property
    def state(self) -> str:
        """``ready``, ``cold``, ``leaving`` (draining) or ``down``."""
        if self.slot_queue.is_draining:
            return LEAVING
        if self._last_report is None or self._unreachable:
            return DOWN
        return COLD if self.limiter.cold else READY

    async def poll_load(self) -> None:
        """Read the endpoint's load once."""
        requested_at = self.limiter.clock()
        try:
            report = await self._read_load()
        except errors.AdmissionError as fault:
            counters.LOAD_POLLS.labels(fault.code).inc()
            self._record_failed_poll(fault)
        else:
            counters.LOAD_POLLS.labels('ok').inc()
            self._apply_report(report, requested_at)
        self.limiter.check_overdue_first_tokens()
        self.slot_queue.reevaluate_queue()
        self._log_state_change()

    async def poll_cache(self) -> None:
        """Read the endpoint's new cache events once."""
        document = await self._get(
            f'/cache-events?from={self.cache.next_offset}'
        )
        try:
            batch = cattrs.structure(document, cache.Batch)
        except (cattrs.BaseValidationError, ValueError, TypeError) as fault:
            raise errors.BadReportError('cache events are invalid') from fault
        if not self.cache.apply(batch):
            counters.CACHE_GAPS.inc()

    def report(self) -> router_pb2.EndpointReport:
        """Return a current report for entries."""
        self._sequence += 1
        last_report = self._last_report or LoadReport(0)
        position = self.configuration().position
        return router_pb2.EndpointReport(
            endpoint=self.location.endpoint,
            vm=self.location.vm,
            data_centre=self.location.data_centre,
            pool=self.location.pool,
            state=self.state,
            limit=self.limiter.limit,
            in_flight=self.limiter.in_flight,
            queued=self.slot_queue.queued,
            age_ms=int(self.age_s * _MS),
            versions=last_report.versions,
            service_time_ms=self.limiter.service_times.overall_mean_s() * _MS,
            first_token_ms=self.limiter.first_token_times.overall_mean_s()
            * _MS,
            position=router_pb2.Position(
                generation=position.generation, offset=position.offset
            ),
            sequence=self._sequence,
            prefixes=self.cache.newest(),
            kv_used_ppm=int(last_report.kv_used * _PPM),
        )

    async def drain(self) -> None:
        """Report ``leaving``, refuse new requests, wait for running ones."""
        self.slot_queue.start_draining()
        self._log_state_change()
        while self.limiter.own_in_flight:
            await asyncio.sleep(_DRAIN_POLL_S)

    def _apply_report(self, report: LoadReport, requested_at: float) -> None:
        age_s = report.age_ms / _MS
        answered_at = self.limiter.clock()
        self._last_report = report
        self._unreachable = False
        self._measured_at = requested_at - age_s
        self.limiter.apply_load(
            request_tracker.Load(
                in_flight=report.in_flight,
                capacity=report.capacity,
                cold=report.cold,
                earliest=requested_at - age_s,
                latest=answered_at - age_s,
            )
        )

    def _record_failed_poll(self, fault: errors.AdmissionError) -> None:
        # A refused connection shows that the endpoint is down. After other
        # faults it counts as down only when its last report is stale.
        refused = isinstance(fault, errors.NotConnectedError)
        if self._unreachable or not (refused or self.age_s > _STALE_S):
            return
        self._unreachable = True
        # An endpoint that answers again later has most likely restarted cold.
        self.limiter.reset_to_cold_limit('unreachable')

    def _log_state_change(self) -> None:
        if self.state != self._logged_state:
            eliot.log_message(
                'EndpointStateChanged',
                endpoint=self.location.endpoint,
                before=self._logged_state,
                after=self.state,
            )
            self._logged_state = self.state

    async def _read_load(self) -> LoadReport:
        document = await self._get('/load')
        try:
            return cattrs.structure(document, LoadReport)
        except (cattrs.BaseValidationError, ValueError, TypeError) as fault:
            raise errors.BadReportError('the load report is invalid') from fault

    async def _get(self, path: str) -> Any:
        try:
            async with self.session.get(
                f'{self.location.url}{path}',
                timeout=aiohttp.ClientTimeout(total=_POLL_TIMEOUT_S),
            ) as response:
                body = await calls.read_body(response)
                if response.status != _OK:
                    raise errors.BadReportError(f'status {response.status}')
                return orjson.loads(body)
        except aiohttp.ClientConnectorError as fault:
            raise errors.NotConnectedError('no connection') from fault
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as fault:
            raise errors.BrokenCallError(f'poll failed: {fault}') from fault
        except orjson.JSONDecodeError as fault:
            raise errors.BadReportError('the answer is not JSON') from fault
