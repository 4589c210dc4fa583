"""Reading the load reports of agents, one task per agent."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Final

import attrs
import eliot
import mode

from yuccarouter.membership import streams, subset
from yuccarouter.routing import views
from yuccarouter_common import clocks
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from yuccarouter.membership import cancellation, channels, directory, pause
    from yuccarouter_common import settings
    from yuccarouter_common.platform import vms

_RECONNECT_DELAY_S: Final = 0.25
# An agent counts as lost after this many intervals without a report.
_MISSED_INTERVALS: Final = 4
_MIN_TIMEOUT_S: Final = 1.5
# A long interval is not multiplied: the delay of a report by a busy event loop
# or a lost packet doesn't depend on the interval.
_MAX_DELAY_S: Final = 1.25
# Limit at the shortest report interval. A prefix hash has 8 bytes.
_MAX_PREFIXES: Final = 64
_MS_PER_S: Final = 1000


@attrs.define
class _Follower:
    """State of following one agent, with the endpoint that its reports name."""

    vm: vms.Vm
    task: asyncio.Task[None] | None = None
    is_listed: bool = True
    # The endpoint and VM that this follower has added to the fleet. The
    # endpoint is empty while the agent is lost.
    reported_endpoint: str = ''
    reported_vm: str = ''
    is_loss_logged: bool = False


class ReportReader(mode.Service):
    """Updates the fleet from the reports of the followed agents.

    An endpoint is removed from the fleet when its reports stop or its stream
    breaks, whatever the VM list says. An agent that disappears from the list
    is followed until its stream ends, since the list may be wrong.

    After a pause of this process the streams contain old reports that look
    new. The streams and these reports are dropped, and the missing reports do
    not count as a loss.
    """

    def __init__(
        self,
        conf: settings.Settings,
        fleet: views.Fleet,
        vm_directory: directory.Directory,
        daemons: channels.Channels,
        canceller: cancellation.CallCanceller,
        pauses: pause.PauseDetector,
    ) -> None:
        super().__init__()
        self._conf = conf
        self._fleet = fleet
        self._daemons = daemons
        self._canceller = canceller
        self._pauses = pauses
        self._followers: dict[str, _Follower] = {}
        self._uses_digests = False
        self._interval_ms = conf.timing.report_interval_ms
        vm_directory.subscribe(self.on_list)

    async def on_list(self, listed: list[vms.Vm]) -> None:
        """Start and stop followers to match the VM list."""
        agents = subset.without_replaced(listed)
        wanted = self._agents_to_follow(listed)
        assigned = {vm.endpoint for vm in agents} | {
            vm.address for vm in agents
        }
        for name, follower in tuple(self._followers.items()):
            vm = follower.vm
            follower.is_listed = name in wanted
            if follower.is_listed:
                is_kept = _is_same_agent(wanted[name], vm)
            else:
                is_replaced = bool(assigned & {vm.endpoint, vm.address})
                is_kept = bool(follower.reported_endpoint) and not is_replaced
            if not is_kept:
                await self._stop_following(name)
        for new_name, new_vm in wanted.items():
            if new_name not in self._followers:
                self._start_following(new_vm)
        in_use = {kept.vm.address for kept in self._followers.values()}
        await self._daemons.keep_only(in_use.union(vm.address for vm in listed))

    def _agents_to_follow(self, listed: list[vms.Vm]) -> dict[str, vms.Vm]:
        plan = subset.plan(
            self._conf.name,
            self._conf.data_centre,
            listed,
            was_digesting=self._uses_digests,
        )
        self._uses_digests = plan.uses_digests
        self._interval_ms = subset.report_interval_ms(
            self._conf.timing.report_interval_ms, len(plan.agents)
        )
        return {vm.vm: vm for vm in plan.agents}

    async def on_stop(self) -> None:
        """Stop all followers."""
        for name in tuple(self._followers):
            await self._stop_following(name)

    def _start_following(self, vm: vms.Vm) -> None:
        follower = _Follower(vm)
        self._followers[vm.vm] = follower
        follower.task = asyncio.create_task(self._follow(follower))

    async def _stop_following(self, name: str) -> None:
        task = self._followers.pop(name).task
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _follow(self, follower: _Follower) -> None:
        """Follow one agent until cancelled, or lost and no longer listed."""
        try:
            while not self.should_stop:
                reason = await self._read_reports(follower)
                if not reason:
                    continue
                self._on_loss(follower, reason)
                if not follower.is_listed:
                    self._followers.pop(follower.vm.vm)
                    return
                await asyncio.sleep(_RECONNECT_DELAY_S)
        finally:
            self._remove_from_fleet(follower)

    def _on_loss(self, follower: _Follower, reason: str) -> None:
        """Remove a lost endpoint from the fleet and cancel the calls to it."""
        endpoint = follower.reported_endpoint or follower.vm.endpoint
        cancelled = 0
        if self._remove_from_fleet(follower):
            cancelled = self._canceller.cancel_calls(endpoint)
        if not follower.is_loss_logged:
            follower.is_loss_logged = True
            eliot.log_message(
                'endpoint_lost',
                endpoint=endpoint,
                reason=reason,
                cancelled_calls=cancelled,
            )

    def _remove_from_fleet(self, follower: _Follower) -> bool:
        """Remove the follower's endpoint unless another VM now serves it.

        Returns whether it was removed.
        """
        endpoint, vm = follower.reported_endpoint, follower.reported_vm
        follower.reported_endpoint = ''
        return self._fleet.remove(endpoint, vm)

    async def _read_reports(self, follower: _Follower) -> str:
        """Read reports until the stream ends; return the reason.

        The reason is empty when a new stream is needed: for another interval
        or after a pause of this process.
        """
        interval_ms = self._interval_ms
        shortest_ms = self._conf.timing.report_interval_ms
        call = self._daemons.at(follower.vm.address).stub.Reports(
            router_pb2.ReportsRequest(
                entry=self._conf.name,
                interval_ms=interval_ms,
                max_prefixes=_MAX_PREFIXES * shortest_ms // interval_ms,
            ),
            metadata=self._daemons.metadata,
        )
        return await streams.follow(
            call,
            self._pauses,
            streams.Reading(
                timeout_s=_report_timeout_s(interval_ms),
                handle=functools.partial(self._update_fleet, follower),
                is_current=lambda: interval_ms == self._interval_ms,
            ),
        )

    def _update_fleet(
        self, follower: _Follower, report: router_pb2.EndpointReport
    ) -> None:
        # Another VM may use the address before the list shows it, so the
        # endpoint and VM come from the report.
        self._fleet.update(view_from_report(report, follower.vm.address))
        follower.reported_endpoint = report.endpoint
        follower.reported_vm = report.vm
        follower.is_loss_logged = False


def _report_timeout_s(interval_ms: int) -> float:
    interval_s = interval_ms / _MS_PER_S
    return max(
        _MIN_TIMEOUT_S,
        min(interval_s * _MISSED_INTERVALS, interval_s + _MAX_DELAY_S),
    )


def _is_same_agent(listed: vms.Vm, followed: vms.Vm) -> bool:
    return (listed.address, listed.endpoint) == (
        followed.address,
        followed.endpoint,
    )


def view_from_report(
    report: router_pb2.EndpointReport, address: str
) -> views.EndpointView:
    """Return the fleet's view of an endpoint from a report received now."""
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
        received_ms=clocks.monotonic_ms(),
        sequence=report.sequence,
    )
