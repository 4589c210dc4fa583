"""Which agents a process follows directly."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from yuccarouter_common.platform import vms

# 116 agents, the share of one of 7 data centres among 810, still fit.
_MAX_LOCAL: Final = 160
# Agents of other data centres that are followed; digests cover the rest.
_MAX_REMOTE: Final = 48


def rendezvous_score(name: str, member: str) -> int:
    """Return the weight of ``member`` for ``name``; the highest one wins."""
    return xxhash.xxh3_64_intdigest(f'{name}/{member}'.encode())


def followed(
    name: str,
    data_centre: str,
    listed: list[vms.Vm],
    max_local: int = _MAX_LOCAL,
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
    ranked = sorted(
        candidates,
        key=lambda vm: rendezvous_score(name, vm.vm),
        reverse=True,
    )
    return ranked[:count]
