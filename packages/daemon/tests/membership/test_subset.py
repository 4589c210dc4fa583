"""Tests of the subset of followed agents and of closing channels."""

from __future__ import annotations

import asyncio
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from yuccarouter.membership import channels, subset
from yuccarouter_common.platform import vms

_ZONES = ('a', 'b')


def _vms(names: set[int]) -> list[vms.Vm]:
    return [
        vms.Vm(
            f'v{name}', f'{name}:1', _ZONES[name % 2], vms.State.LIVE, 'agent'
        )
        for name in sorted(names)
    ]


@settings(deadline=None)
@given(
    names=st.sets(st.integers(0, 60), max_size=40),
    change=st.integers(0, 60),
    bounds=st.tuples(st.integers(0, 8), st.integers(0, 8)),
    order=st.randoms(use_true_random=False),
)
def test_subset_is_stable_and_bounded(
    names: set[int], change: int, bounds: tuple[int, int], order: Any
) -> None:
    """Guards against streams that move when one VM joins or leaves."""
    listed = _vms(names)
    before = {vm.vm for vm in subset.select_daemons('me', 'a', listed, *bounds)}
    for zone, bound in zip(_ZONES, bounds, strict=True):
        in_zone = {vm.vm for vm in listed if vm.data_centre == zone}
        assert len(before & in_zone) == min(bound, len(in_zone))
    order.shuffle(listed)
    again = {vm.vm for vm in subset.select_daemons('me', 'a', listed, *bounds)}
    assert again == before
    changed = _vms(names ^ {change})
    after = {vm.vm for vm in subset.select_daemons('me', 'a', changed, *bounds)}
    others = (before ^ after) - {f'v{change}'}
    assert len(others) <= 1


async def test_unlisted_channels_close_with_a_grace_period() -> None:
    """Guards against calls cut when their VM disappears from the list."""
    opened = channels.Channels('k')
    closed_after: list[float | None] = []

    class _Channel:
        async def close(self, grace: float | None = None) -> None:
            closed_after.append(grace)

    channel: Any = _Channel()
    stub: Any = None
    opened._clients['x:1'] = channels.DaemonClient('x:1', channel, stub, stub)
    client = opened.at('y:1')
    await opened.keep_only({'y:1'})
    await asyncio.sleep(0)
    assert closed_after == [channels._CLOSE_GRACE_S]
    assert opened.at('y:1') is client
    await opened.close()
    assert opened.at('y:1') is not client
    await opened.close()
