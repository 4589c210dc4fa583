"""Choice of the daemons that a process follows and of the report interval."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter_common import rendezvous
from yuccarouter_common.platform import vms

if TYPE_CHECKING:
    from collections.abc import Iterable

ENTRY: Final = 'entry'
AGENT: Final = 'agent'

# Holds all 116 agents of one data centre in a fleet of 810 agents in 7.
MAX_LOCAL: Final = 160
# Maximum number of agents of other data centres that are followed directly.
# With more of them, a process uses digests.
_MAX_REMOTE: Final = 48
# With this number or fewer, a process stops using digests. The hysteresis
# avoids switching back and forth when single VMs come and go.
_MAX_REMOTE_AFTER_DIGESTS: Final = 40
# Total of all followed agents. Within this rate, 13 agents report every 250 ms
# and 116 agents every 4 s.
_MAX_REPORTS_PER_S: Final = 56
_MS_PER_S: Final = 1000


@attrs.frozen
class FollowPlan:
    """The agents and data centres that a process follows.

    ``sources`` are the addresses that send digests, by data centre, the
    preferred one first.
    """

    agents: list[vms.Vm] = attrs.field(factory=list)
    sources: dict[str, list[str]] = attrs.field(factory=dict)

    @property
    def uses_digests(self) -> bool:
        """Whether any data centre is followed by digests."""
        return bool(self.sources)


def plan(
    name: str, data_centre: str, listed: list[vms.Vm], *, was_digesting: bool
) -> FollowPlan:
    """Return the agents and data centres that the process ``name`` follows.

    Agents of other data centres are followed directly while they are few. A
    data centre without a live entry sends no digests, so a share of its agents
    is followed directly.
    """
    agents = without_replaced(listed)
    remote = [vm for vm in agents if vm.data_centre != data_centre]
    max_direct = _MAX_REMOTE_AFTER_DIGESTS if was_digesting else _MAX_REMOTE
    if len(remote) <= max_direct:
        return FollowPlan(select_daemons(name, data_centre, agents))
    centres = {vm.data_centre for vm in remote}
    entries = [
        vm
        for vm in listed
        if vm.role == ENTRY
        and vm.state == vms.State.LIVE
        and vm.data_centre in centres
    ]
    sources: dict[str, list[str]] = {vm.data_centre: [] for vm in entries}
    for entry in ranked(name, entries):
        sources[entry.data_centre].append(entry.address)
    if not sources:
        return FollowPlan(select_daemons(name, data_centre, agents))
    direct = [vm for vm in remote if vm.data_centre not in sources]
    max_remote = math.ceil(_MAX_REMOTE * len(direct) / len(remote))
    local = [vm for vm in agents if vm.data_centre == data_centre]
    return FollowPlan(
        select_daemons(
            name, data_centre, local + direct, max_remote=max_remote
        ),
        sources,
    )


def without_replaced(listed: list[vms.Vm]) -> list[vms.Vm]:
    """Return the agents except those that a live agent has replaced.

    A live agent replaces the others of its endpoint.
    """
    agents = [vm for vm in listed if vm.role == AGENT]
    live = {vm.endpoint for vm in agents if vm.state == vms.State.LIVE}
    return [
        vm
        for vm in agents
        if vm.state == vms.State.LIVE or vm.endpoint not in live
    ]


def report_interval_ms(shortest_ms: int, agents: int) -> int:
    """Return the report interval for a number of agents.

    It grows by doubling, so that it seldom changes with the number.
    """
    interval_ms = shortest_ms
    while agents * _MS_PER_S > interval_ms * _MAX_REPORTS_PER_S:
        interval_ms *= 2
    return interval_ms


def ranked(name: str, members: Iterable[vms.Vm]) -> list[vms.Vm]:
    """Return VMs by rendezvous hashing for ``name``, the preferred first."""
    return rendezvous.ranked(name, members, lambda vm: vm.vm)


def select_daemons(
    name: str,
    data_centre: str,
    listed: list[vms.Vm],
    max_local: int = MAX_LOCAL,
    max_remote: int = _MAX_REMOTE,
) -> list[vms.Vm]:
    """Return a bounded subset of the daemons for the process ``name``.

    The subset is stable: a VM that joins or leaves changes at most one other
    member. The bounds make the number of messages grow with the data centre
    and not with the fleet.
    """
    local = [vm for vm in listed if vm.data_centre == data_centre]
    remote = [vm for vm in listed if vm.data_centre != data_centre]
    return [
        *_first_ranked(name, local, max_local),
        *_first_ranked(name, remote, max_remote),
    ]


def _first_ranked(
    name: str, candidates: list[vms.Vm], count: int
) -> list[vms.Vm]:
    if len(candidates) <= count:
        return candidates
    return ranked(name, candidates)[:count]
