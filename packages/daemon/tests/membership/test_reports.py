"""Tests of following agents despite list faults and lost streams."""

from __future__ import annotations

from typing import Any

import pytest
from grpc import aio

from yuccarouter.membership import reports, streams


@pytest.mark.parametrize('fault', ['missing list', 'empty list', 'late list'])
async def test_list_faults_keep_agents_that_report(
    world: Any, fault: str
) -> None:
    """Guards against a wrong VM list that removes working endpoints."""
    await world.list(world.vm('x'), world.vm('y'))
    await world.daemons.send('x:1', world.report('x'))
    if fault == 'missing list':
        world.listed = None
        await world.vm_directory.refresh()
    else:
        await world.list(*([] if fault == 'empty list' else [world.vm('y')]))
    assert world.endpoints() == {'e-x': 'x:1'}
    if fault == 'missing list':
        assert len(world.vm_directory.live('agent')) == 2
    else:
        assert 'x:1' in world.daemons.kept_addresses
        await world.daemons.send('x:1', aio.EOF)
        assert world.endpoints() == {}
        await world.list(world.vm('x'))
        await world.daemons.send('x:1', world.report('x'))
        assert world.endpoints() == {'e-x': 'x:1'}
        assert len(world.daemons.calls['x:1']) == 2


@pytest.mark.parametrize('loss', ['silent', 'end', 'break'])
async def test_lost_stream_removes_the_endpoint(
    world: Any, monkeypatch: pytest.MonkeyPatch, loss: str
) -> None:
    """Guards against calls that wait for a lost agent."""
    logged = []
    monkeypatch.setattr(
        reports.eliot, 'log_message', lambda name, **_: logged.append(name)
    )
    messages = {'silent': None, 'end': aio.EOF, 'break': world.rpc_error()}
    await world.list(world.vm('x'))
    for earlier_losses in (0, 1):
        cancels: list[str] = []
        await world.daemons.send('x:1', world.report('x'))
        assert world.endpoints() == {'e-x': 'x:1'}
        with world.canceller.cancel_on_loss(
            'e-x', lambda: cancels.append('call')
        ):
            await world.daemons.send('x:1', messages[loss])
        assert world.endpoints() == {}
        assert cancels == ['call']
        # Each loss is logged once, whatever the number of reconnects.
        await world.daemons.send('x:1', messages[loss])
        assert logged == ['endpoint_lost'] * (earlier_losses + 1)


async def test_read_times_out(
    world: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a frozen agent that keeps its stream open."""
    monkeypatch.setattr(streams, '_GRACE_S', 0)
    call = world.daemons.at('x:1').stub.Reports(None)
    assert await streams.read(call, 0.001) is None
    await world.daemons.send('x:1', 'report')
    assert await streams.read(call, 60) == 'report'


async def test_replaced_agent_at_the_same_address(world: Any) -> None:
    """Guards against endpoints that stay in the fleet after a replacement.

    A new VM uses the address of the old one before the VM list shows it.
    """
    await world.list(world.vm('x'))
    await world.daemons.send('x:1', world.report('x', sequence=90))
    await world.daemons.send('x:1', aio.EOF)
    # The list still shows the old VM while the new one answers.
    await world.daemons.send('x:1', world.report('z'))
    assert world.endpoints() == {'e-z': 'x:1'}
    await world.list(world.vm('z', address='x:1'))
    assert world.endpoints() == {}
    await world.daemons.send('x:1', world.report('z'))
    assert world.endpoints() == {'e-z': 'x:1'}
    await world.daemons.send('x:1', aio.EOF)
    assert world.endpoints() == {}


async def test_endpoint_moves_to_another_vm(world: Any) -> None:
    """Guards against removing the new VM when the old one is lost."""
    old = world.vm('x', endpoint='e')
    new = world.vm('y', endpoint='e')
    await world.list(old)
    await world.daemons.send('x:1', world.report('x', endpoint='e'))
    await world.list(world.vm('x', endpoint='e', state='leaving'), new)
    await world.daemons.settle()
    assert world.daemons.calls['x:1'][0].cancelled
    await world.daemons.send('y:1', world.report('y', endpoint='e'))
    assert world.endpoints() == {'e': 'y:1'}
    # The VM keeps its name and gets another address.
    await world.list(world.vm('y', endpoint='e', address='w:1'))
    await world.daemons.send('w:1', world.report('y', endpoint='e'))
    assert world.endpoints() == {'e': 'w:1'}


async def test_changed_interval_keeps_the_endpoint(world: Any) -> None:
    """Guards against endpoints that are lost when the interval changes.

    The interval grows with the fleet, and each change opens a new stream.
    """
    few = [world.vm(f'x{number}') for number in range(14)]
    await world.list(*few)
    await world.daemons.send('x0:1', world.report('x0'))
    await world.list(*few, *[world.vm(f'y{number}') for number in range(20)])
    assert world.endpoints() == {'e-x0': 'x0:1'}
    await world.daemons.send('x0:1', world.report('x0', sequence=2))
    assert world.endpoints() == {'e-x0': 'x0:1'}
    requests = [call.request for call in world.daemons.calls['x0:1']]
    assert [request.interval_ms for request in requests] == [250, 1000]
    assert [request.max_prefixes for request in requests] == [64, 16]
