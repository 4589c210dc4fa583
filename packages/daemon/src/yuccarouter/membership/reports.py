"""Following the load reports of agents, one task for each agent."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Final

import eliot
import grpc
import mode
from grpc import aio

from yuccarouter.membership import subset
from yuccarouter.routing import views
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from yuccarouter.membership import channels, directory
    from yuccarouter.membership import watch as watches
    from yuccarouter_common import settings
    from yuccarouter_common.platform import vms

_RECONNECT_DELAY_S: Final = 0.25
# Reports stop for this many intervals before an agent is taken as down.
_MISSED_INTERVALS: Final = 4
_MIN_SILENCE_S: Final = 1.5
_GRACE_S: Final = 0.25
_MS_PER_S: Final = 1000


class Reports(mode.Service):
    """Feeds the reports of the followed agents into the fleet.

    Silence, a broken stream and a VM that is gone take the endpoint out of
    the fleet, whatever the VM list says.
    """

    def __init__(
        self,
        conf: settings.Settings,
        fleet: views.Fleet,
        known: directory.Directory,
        daemons: channels.Channels,
        watch: watches.EndpointWatch,
    ) -> None:
        super().__init__()
        self._conf = conf
        self._fleet = fleet
        self._daemons = daemons
        self._watch = watch
        self._followers: dict[str, asyncio.Task[None]] = {}
        known.subscribe(self.on_list)

    async def on_list(self, listed: list[vms.Vm]) -> None:
        """Start and stop followers so that they match the VM list."""
        agents = [vm for vm in listed if vm.role == 'agent']
        wanted = {
            vm.vm: vm
            for vm in subset.followed(
                self._conf.name, self._conf.data_centre, agents
            )
        }
        for name in self._followers.keys() - wanted.keys():
            await self._stop_following(name)
        for name, vm in wanted.items():
            if name not in self._followers:
                self._followers[name] = asyncio.create_task(self._follow(vm))
        await self._daemons.keep_only({known.address for known in listed})

    async def on_stop(self) -> None:
        """Stop all followers."""
        for name in list(self._followers):
            await self._stop_following(name)

    async def _stop_following(self, name: str) -> None:
        task = self._followers.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def _follow(self, vm: vms.Vm) -> None:
        """Follow one agent until cancelled."""
        endpoint = vm.endpoint
        is_up = True
        try:
            while not self.should_stop:
                reason = await self._read_reports(vm)
                self._fleet.remove(endpoint)
                cancelled = self._watch.lost(endpoint)
                if is_up:
                    eliot.log_message(
                        'endpoint_lost',
                        endpoint=endpoint,
                        reason=reason,
                        cancelled_calls=cancelled,
                    )
                is_up = False
                await asyncio.sleep(_RECONNECT_DELAY_S)
        finally:
            self._fleet.remove(endpoint)

    async def _read_reports(self, vm: vms.Vm) -> str:
        """Read reports until the stream ends; return why it ended."""
        interval_ms = self._conf.timing.report_interval_ms
        silence_s = max(
            _MIN_SILENCE_S, interval_ms * _MISSED_INTERVALS / _MS_PER_S
        )
        call = self._daemons.at(vm.address).stub.Reports(
            router_pb2.ReportsRequest(
                entry=self._conf.name, interval_ms=interval_ms
            ),
            metadata=self._daemons.metadata,
        )
        try:
            while True:
                report = await _read(call, silence_s)
                if report is None:
                    return 'no report in time'
                if report is aio.EOF:
                    return 'the agent ended the reports'
                self._fleet.update(view_of(report, vm.address))
        except aio.AioRpcError as fault:
            return _reason(fault)
        finally:
            call.cancel()


async def _read(call: Any, silence_s: float) -> Any:
    """Return the next report, or ``None`` when none comes in time.

    Two waits follow each other: when this process itself was paused, the
    first one ends at once although reports have arrived meanwhile.
    """
    reading = asyncio.ensure_future(call.read())
    try:
        for limit_s in (silence_s, _GRACE_S):
            done, _ = await asyncio.wait({reading}, timeout=limit_s)
            if done:
                return reading.result()
    finally:
        reading.cancel()
    return None


def view_of(
    report: router_pb2.EndpointReport, address: str
) -> views.EndpointView:
    """Return the fleet's view of a report that has just been received."""
    return views.EndpointView(
        endpoint=report.endpoint,
        vm=report.vm,
        data_centre=report.data_centre,
        pool=report.pool,
        address=address,
        state=report.state,
        limit=report.limit,
        in_flight=report.in_flight,
        queued=report.queued,
        versions=tuple(report.versions),
        service_time_ms=report.service_time_ms,
        first_token_ms=report.first_token_ms,
        prefixes=frozenset(report.prefixes),
        age_ms=report.age_ms,
        received_ms=time.monotonic() * _MS_PER_S,
        sequence=report.sequence,
    )


def _reason(fault: aio.AioRpcError) -> str:
    code: grpc.StatusCode = fault.code()
    return f'the report stream broke: {code.name}'
