"""Which daemons a process follows directly and how often they report."""

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

# 116 agents, the share of one of 7 data centres among 810, still fit.
MAX_LOCAL: Final = 160
# Agents of other data centres that are followed directly; a fleet with more
# of them uses digests.
_MAX_REMOTE: Final = 48
# Below this number digests end; the gap keeps a fleet from switching back and
# forth while single VMs come and go.
_MIN_DIGESTED: Final = 40
# Reports of all followed agents. 13 agents, the size of today's fleets, report
# every 250 ms within it; 116 agents report every 4 s.
_MAX_REPORTS_PER_S: Final = 56
_MS_PER_S: Final = 1000


@attrs.frozen
class FollowPlan:
    """What a process follows.

    ``sources`` are the addresses from which digests of a data centre come, the
    preferred one first.
    """

    agents: list[vms.Vm] = attrs.field(factory=list)
    sources: dict[str, list[str]] = attrs.field(factory=dict)

    @property
    def uses_digests(self) -> bool:
        """Whether other data centres are followed by digests."""
        return bool(self.sources)


def plan(
    name: str, data_centre: str, listed: list[vms.Vm], *, was_digesting: bool
) -> FollowPlan:
    """Return what the process ``name`` follows.

    Agents of other data centres are followed directly while they are few. A
    data centre that has agents and no live entry gives no digests, so a share
    of its agents is followed directly.
    """
    agents = one_per_endpoint(listed)
    remote = [vm for vm in agents if vm.data_centre != data_centre]
    bound = _MIN_DIGESTED if was_digesting else _MAX_REMOTE
    if len(remote) <= bound:
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


def one_per_endpoint(listed: list[vms.Vm]) -> list[vms.Vm]:
    """Return the agents, without those that a live one has replaced."""
    agents = [vm for vm in listed if vm.role == AGENT]
    live = {vm.endpoint for vm in agents if vm.state == vms.State.LIVE}
    return [
        vm
        for vm in agents
        if vm.state == vms.State.LIVE or vm.endpoint not in live
    ]


def report_interval_ms(shortest_ms: int, agents: int) -> int:
    """Return the interval at which that many agents report.

    It doubles, so that it seldom changes while the number of agents does.
    """
    interval_ms = shortest_ms
    while agents * _MS_PER_S > interval_ms * _MAX_REPORTS_PER_S:
        interval_ms *= 2
    return interval_ms


def ranked(name: str, members: Iterable[vms.Vm]) -> list[vms.Vm]:
    """Return VMs by their preference for ``name``, best first."""
    return rendezvous.ranked(name, members, lambda vm: vm.vm)


def select_daemons(
    name: str,
    data_centre: str,
    listed: list[vms.Vm],
    max_local: int = MAX_LOCAL,
    max_remote: int = _MAX_REMOTE,
) -> list[vms.Vm]:
    """Return the agents that the process ``name`` follows.

    The choice is stable: a VM that comes or goes changes at most one other
    member of the subset. So messages grow with the data centre and not with
    the fleet.
    """
    local = [vm for vm in listed if vm.data_centre == data_centre]
    remote = [vm for vm in listed if vm.data_centre != data_centre]
    return [
        *_best(name, local, max_local),
        *_best(name, remote, max_remote),
    ]


def _best(name: str, candidates: list[vms.Vm], count: int) -> list[vms.Vm]:
    if len(candidates) <= count:
        return candidates
    return ranked(name, candidates)[:count]
