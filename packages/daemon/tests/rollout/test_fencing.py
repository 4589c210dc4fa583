"""Tests of the fencing numbers that a restarted agent reads."""

from __future__ import annotations

from typing import Any

import pytest

from yuccarouter.rollout import fencing, lease_state
from yuccarouter_common.platform import errors
from yuccarouter_testkit import memory_log


def _record(action: lease_state.Action, holder: str, number: int) -> Any:
    return lease_state.encode(
        lease_state.LeaseRecord(
            action, 'rollouts', holder, 9000, fencing_number=number
        )
    )


async def test_number_after_restart() -> None:
    """Guards against executing orders of a controller without the lease.

    An agent that restarts must find the present holder's number among late
    and ineffective records of other controllers.
    """
    log: Any = memory_log.MemoryLog()
    for index, (action, holder, number) in enumerate(
        (
            (lease_state.Action.ACQUIRE, 'a', -1),
            (lease_state.Action.RENEW, 'a', 0),
            (lease_state.Action.ACQUIRE, 'b', -1),
            (lease_state.Action.RENEW, 'b', 2),
            # A delayed record of the earlier holder.
            (lease_state.Action.RENEW, 'a', 0),
            # Without effect, since the lease is held.
            (lease_state.Action.ACQUIRE, 'c', -1),
        )
    ):
        log.add(lease_state.STREAM, str(index), _record(action, holder, number))
    log.add(lease_state.STREAM, 'x', 'not a lease record')
    highest: dict[str, int] = {}

    def raise_to(lease: str, number: int) -> None:
        highest[lease] = max(highest.get(lease, 0), number)

    await fencing.FencingNumberReader(log, raise_to).read()
    assert highest == {'rollouts': 2}


async def test_log_down() -> None:
    """Guards against treating an outage as a stream without leases."""
    log: Any = memory_log.MemoryLog()
    log.down = True
    with pytest.raises(errors.PlatformError):
        await fencing.FencingNumberReader(log, lambda *_: None).read()
