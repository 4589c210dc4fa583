"""Following the load reports of agents, one task for each agent."""

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
    from yuccarouter.membership import channels, directory, pause
    from yuccarouter.membership import cancellation
    from yuccarouter_common import settings
    from yuccarouter_common.platform import vms

_RECONNECT_DELAY_S: Final = 0.25
# Reports stop for this many intervals before an agent is taken as down.
_MISSED_INTERVALS: Final = 4
_MIN_SILENCE_S: Final = 1.5
# A long interval is not multiplied: reports are late by what a busy event loop
# and a lost packet cost, whatever the interval.
_MAX_DELAY_S: Final = 1.25
# A report at the shortest interval has up to 64 prefixes of 8 bytes each.
_MAX_PREFIXES: Final = 64
_MS_PER_S: Final = 1000


@attrs.define
class _Follower:
    """One followed agent and the endpoint that its reports have named."""

    vm: vms.Vm
    task: asyncio.Task[None] | None = None
    is_listed: bool = True
    # What the fleet holds from this follower; empty while it is down.
    fed_endpoint: str = ''
    fed_vm: str = ''
    is_loss_logged: bool = False


class Reports(mode.Service):
    """Feeds the reports of the followed agents into the fleet.

    Silence and a broken stream take the endpoint out of the fleet, whatever
    the VM list says. An agent that is missing from the list is followed until
    its stream ends, since the list may be wrong.

    After a pause of this process the streams hold reports that look new, so
    they are dropped with their streams, and silence before it does not count.
    """

    def __init__(
        self,
        conf: settings.Settings,
        fleet: views.Fleet,
        known: directory.Directory,
        daemons: channels.Channels,
        canceller: cancellation.CallCanceller,
        pauses: pause.PauseWatch,
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
        known.subscribe(self.on_list)

    async def on_list(self, listed: list[vms.Vm]) -> None:
        """Start and stop followers so that they match the VM list."""
        agents = subset.one_per_endpoint(listed)
        wanted = self._wanted(listed)
        places = {vm.endpoint for vm in agents} | {vm.address for vm in agents}
        for name, follower in tuple(self._followers.items()):
            vm = follower.vm
            follower.is_listed = name in wanted
            if follower.is_listed:
                is_kept = _same_place(wanted[name], vm)
            else:
                is_replaced = bool(places & {vm.endpoint, vm.address})
                is_kept = bool(follower.fed_endpoint) and not is_replaced
            if not is_kept:
                await self._stop_following(name)
        for new_name, new_vm in wanted.items():
            if new_name not in self._followers:
                self._start_following(new_vm)
        in_use = {held.vm.address for held in self._followers.values()}
        await self._daemons.keep_only(
            in_use.union(known.address for known in listed)
        )

    def _wanted(self, listed: list[vms.Vm]) -> dict[str, vms.Vm]:
        following = subset.plan(
            self._conf.name,
            self._conf.data_centre,
            listed,
            was_digesting=self._uses_digests,
        )
        self._uses_digests = following.uses_digests
        self._interval_ms = subset.report_interval_ms(
            self._conf.timing.report_interval_ms, len(following.agents)
        )
        return {vm.vm: vm for vm in following.agents}

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
        """Follow one agent until cancelled, or lost and not listed."""
        try:
            while not self.should_stop:
                reason = await self._read_reports(follower)
                if not reason:
                    continue
                self._lose(follower, reason)
                if not follower.is_listed:
                    self._followers.pop(follower.vm.vm)
                    return
                await asyncio.sleep(_RECONNECT_DELAY_S)
        finally:
            self._forget(follower)

    def _lose(self, follower: _Follower, reason: str) -> None:
        """Take a lost endpoint out and cancel the calls to it."""
        endpoint = follower.fed_endpoint or follower.vm.endpoint
        cancelled = 0
        if self._forget(follower):
            cancelled = self._canceller.cancel_calls(endpoint)
        if not follower.is_loss_logged:
            follower.is_loss_logged = True
            eliot.log_message(
                'endpoint_lost',
                endpoint=endpoint,
                reason=reason,
                cancelled_calls=cancelled,
            )

    def _forget(self, follower: _Follower) -> bool:
        """Remove what the follower has fed, unless another VM has taken over.

        Returns whether it was removed.
        """
        endpoint, vm = follower.fed_endpoint, follower.fed_vm
        follower.fed_endpoint = ''
        return self._fleet.remove(endpoint, vm)

    async def _read_reports(self, follower: _Follower) -> str:
        """Read reports until the stream ends; return why it ended.

        The text is empty when another stream is wanted: for another interval
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
                silence_s=_silence_s(interval_ms),
                take=functools.partial(self._feed, follower),
                is_wanted=lambda: interval_ms == self._interval_ms,
            ),
        )

    def _feed(
        self, follower: _Follower, report: router_pb2.EndpointReport
    ) -> None:
        # Another VM may have taken the address before the list shows it, so
        # the report tells which endpoint is there.
        self._fleet.update(view_from_report(report, follower.vm.address))
        follower.fed_endpoint = report.endpoint
        follower.fed_vm = report.vm
        follower.is_loss_logged = False


def _silence_s(interval_ms: int) -> float:
    interval_s = interval_ms / _MS_PER_S
    return max(
        _MIN_SILENCE_S,
        min(interval_s * _MISSED_INTERVALS, interval_s + _MAX_DELAY_S),
    )


def _same_place(listed: vms.Vm, followed: vms.Vm) -> bool:
    return (listed.address, listed.endpoint) == (
        followed.address,
        followed.endpoint,
    )


def view_from_report(
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
        received_ms=clocks.monotonic_ms(),
        sequence=report.sequence,
    )
