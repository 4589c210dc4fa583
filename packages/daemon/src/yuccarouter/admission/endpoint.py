"""The endpoint beside the agent: its load, state and cached prefixes."""

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
    counters,
    errors,
    request_tracker,
    ports,
    slots,
)
from yuccarouter.admission import limiter as limiters
from yuccarouter_common.proto import router_pb2

READY: Final = 'ready'
COLD: Final = 'cold'
LEAVING: Final = 'leaving'
DOWN: Final = 'down'

_POLL_TIMEOUT_S: Final = 1.0
# A report this old says too little about a cold start.
_STALE_S: Final = 1.5
_LEAVE_POLL_S: Final = 0.02
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
    """What the agent knows of its endpoint and tells entries."""

    place: ports.EndpointLocation
    configuration: ports.ConfigurationView
    admission: slots.SlotQueue
    session: aiohttp.ClientSession
    cache: cache.PrefixCache = attrs.field(factory=cache.PrefixCache)
    _last: LoadReport | None = None
    _measured: float = 0
    _unreachable: bool = False
    _state: str = DOWN
    _sequence: int = 0

    @property
    def limiter(self) -> limiters.ConcurrencyLimiter:
        """The gate of the endpoint."""
        return self.admission.limiter

    @property
    def age_s(self) -> float:
        """Seconds since the endpoint measured its newest report."""
        return self.limiter.clock() - self._measured

    @property
    def state(self) -> str:
        """``ready``, ``cold``, ``leaving`` or ``down``."""
        if self.admission.is_draining:
            return LEAVING
        if self._last is None or self._unreachable:
            return DOWN
        return COLD if self.limiter.cold else READY

    async def poll_load(self) -> None:
        """Read the endpoint's load once."""
        asked = self.limiter.clock()
        try:
            report = await self._read_load()
        except errors.AdmissionError as fault:
            counters.LOAD_POLLS.labels(fault.code).inc()
            self._note_failed_poll(fault)
        else:
            counters.LOAD_POLLS.labels('ok').inc()
            self._take(report, asked)
        self.limiter.check_first_tokens()
        self.admission.reevaluate_queue()
        self._note_state()

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
        """Return the report that entries get now."""
        self._sequence += 1
        last = self._last or LoadReport(0)
        position = self.configuration().position
        return router_pb2.EndpointReport(
            endpoint=self.place.endpoint,
            vm=self.place.vm,
            data_centre=self.place.data_centre,
            pool=self.place.pool,
            state=self.state,
            limit=self.limiter.limit,
            in_flight=self.limiter.in_flight,
            queued=self.admission.queued,
            age_ms=int(self.age_s * _MS),
            versions=last.versions,
            service_time_ms=self.limiter.service_times.overall_s() * _MS,
            first_token_ms=self.limiter.first_tokens.overall_s() * _MS,
            position=router_pb2.Position(
                generation=position.generation, offset=position.offset
            ),
            sequence=self._sequence,
            prefixes=self.cache.newest(),
            kv_used_ppm=int(last.kv_used * _PPM),
        )

    async def drain(self) -> None:
        """Announce leaving, refuse new work and wait for running work."""
        self.admission.start_draining()
        self._note_state()
        while self.limiter.own:
            await asyncio.sleep(_LEAVE_POLL_S)

    def _take(self, report: LoadReport, asked: float) -> None:
        age_s = report.age_ms / _MS
        answered = self.limiter.clock()
        self._last = report
        self._unreachable = False
        self._measured = asked - age_s
        self.limiter.apply_load(
            request_tracker.Load(
                in_flight=report.in_flight,
                capacity=report.capacity,
                cold=report.cold,
                earliest=asked - age_s,
                latest=answered - age_s,
            )
        )

    def _note_failed_poll(self, fault: errors.AdmissionError) -> None:
        # A refused connection is direct evidence; a late answer is not.
        refused = isinstance(fault, errors.NotConnectedError)
        if self._unreachable or not (refused or self.age_s > _STALE_S):
            return
        self._unreachable = True
        # An endpoint that comes back after this has most likely restarted.
        self.limiter.drop('unreachable')

    def _note_state(self) -> None:
        if self.state != self._state:
            eliot.log_message(
                'EndpointStateChanged',
                endpoint=self.place.endpoint,
                before=self._state,
                after=self.state,
            )
            self._state = self.state

    async def _read_load(self) -> LoadReport:
        document = await self._get('/load')
        try:
            return cattrs.structure(document, LoadReport)
        except (cattrs.BaseValidationError, ValueError, TypeError) as fault:
            raise errors.BadReportError('the load report is invalid') from fault

    async def _get(self, path: str) -> Any:
        try:
            async with self.session.get(
                f'{self.place.url}{path}',
                timeout=aiohttp.ClientTimeout(total=_POLL_TIMEOUT_S),
            ) as response:
                body = await response.read()
                if response.status != _OK:
                    raise errors.BadReportError(f'status {response.status}')
                return orjson.loads(body)
        except aiohttp.ClientConnectorError as fault:
            raise errors.NotConnectedError('no connection') from fault
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as fault:
            raise errors.BrokenCallError(f'poll broke: {fault}') from fault
        except orjson.JSONDecodeError as fault:
            raise errors.BadReportError('the answer is not JSON') from fault
