"""Tests of sampling, digests between data centres and their failover."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest
from grpc import aio
from hypothesis import given, settings
from hypothesis import strategies as st

from yuccarouter.admission import servicer
from yuccarouter.membership import (
    channels,
    digests,
    peer_service,
    remote,
    reports,
    sampling,
    subset,
)
from yuccarouter.routing import views
from yuccarouter_common.platform import vms
from yuccarouter_common.proto import router_pb2, router_pb2_grpc


def _vm(name: str, zone: str, role: str = 'agent') -> vms.Vm:
    return vms.Vm(name, f'{name}:1', zone, vms.State.LIVE, role, f'e-{name}')


def _large_fleet() -> list[vms.Vm]:
    agents = [_vm(f'{zone}{n}', zone) for zone in 'abc' for n in range(30)]
    entries = [_vm(f'n{zone}{n}', zone, 'entry') for zone in 'ab' for n in '12']
    return agents + entries


@settings(deadline=None)
@given(
    endpoint=st.text(max_size=9),
    start_ms=st.integers(0, 2**41),
    halvings=st.integers(0, 6),
)
def test_every_endpoint_is_sampled_for_its_share_of_time(
    endpoint: str, start_ms: int, halvings: int
) -> None:
    """Guards against samples that favour endpoints or data centres."""
    share = sampling.ALL_PPM // 2**halvings
    period_ms = sampling._DWELL_MS * 2**halvings
    step_ms = sampling._DWELL_MS // 10
    times = range(start_ms, start_ms + period_ms, step_ms)
    hits = [sampling.is_sampled('me', endpoint, share, t) for t in times]
    assert abs(sum(hits) - len(hits) / 2**halvings) <= 1
    assert sum(a != b for a, b in zip(hits, hits[1:], strict=False)) <= 2


@pytest.mark.parametrize('endpoints', [1, 16, 31, 32, 100, 694, 10_000])
def test_sample_size_does_not_grow_with_the_fleet(endpoints: int) -> None:
    """Guards against digests that grow with the fleet or are too small."""
    expected = endpoints * sampling.share_ppm(endpoints) / sampling.ALL_PPM
    assert min(endpoints, 15.9) <= expected <= 32


_STEP = st.tuples(
    st.sampled_from(('report', 'lose', 'wait')),
    st.integers(0, 11),
    st.sampled_from(('ready', 'cold', 'leaving', 'down')),
)


@settings(deadline=None)
@given(steps=st.lists(_STEP, max_size=40), seed=st.integers(0, 99))
async def test_receiver_holds_the_same_as_a_naive_filter(
    steps: list[Any], seed: int
) -> None:
    """Guards against missing, stale or surplus endpoints at the receiver.

    The naive version applies the sampling rule directly to the sender's fleet.
    """
    now_ms = [seed * 1e6]
    sender = views.Fleet(lambda: now_ms[0], random.Random(seed).random)
    unused: Any = type('Unused', (), {'subscribe': lambda *_: None})()
    conf: Any = type('Conf', (), {'name': 'me', 'data_centre': 'a'})()
    receiver = views.Fleet(lambda: now_ms[0], random.Random(seed).random)
    following = remote.RemoteEndpoints(
        conf, receiver, unused, unused, unused, lambda: now_ms[0]
    )
    source = digests.Source(
        'b', sender, unused, lambda: now_ms[0], lambda: int(now_ms[0])
    )
    request = router_pb2.EndpointsRequest(entry='me', share_ppm=500_000)
    centre = remote._DataCentre([])
    sent_states: dict[str, str] = {}
    for sequence, (step, number, state) in enumerate(steps):
        now_ms[0] += 4000 if step == 'wait' else 100
        if step == 'report':
            sender.update(
                views.EndpointView(
                    f'e{number}',
                    f'v{number}',
                    'b',
                    f'p{number % 2}',
                    f'{number}:1',
                    state,
                    queued=sequence,
                    versions=('m@1',) * (number % 3 > 0),
                    received_ms=now_ms[0],
                    sequence=sequence + 1,
                )
            )
        elif step == 'lose':
            sender.remove(f'e{number}')
        digest = source.digest(request, sent_states)
        following._apply(centre, digest)
        naive = {
            view.endpoint: view
            for view in sender
            if sampling.is_sampled('me', view.endpoint, 500_000, int(now_ms[0]))
        }
        received = {view.endpoint: view for view in receiver}
        assert received.keys() == naive.keys()
        for endpoint, view in naive.items():
            for field in ('vm', 'pool', 'state', 'queued', 'versions'):
                assert getattr(received[endpoint], field) == getattr(
                    view, field
                )
        assert sum(centre.pool_sizes.values()) == len(list(sender))


def test_plan_of_small_and_large_fleets() -> None:
    """Guards against digests in small fleets and unbounded large ones.

    In a small fleet a process follows all agents directly, every 250 ms.
    """
    small = [_vm(f'{zone}{n}', zone) for zone in 'abc' for n in range(13)]
    small += [_vm('n1', 'b', 'entry')]
    planned = subset.plan('me', 'a', small, was_digesting=False)
    assert planned.sources == {}
    assert {vm.vm for vm in planned.agents} == {vm.vm for vm in small[:-1]}
    assert subset.report_interval_ms(250, 13) == 250
    large = subset.plan('me', 'a', _large_fleet(), was_digesting=False)
    assert set(large.sources) == {'b'}
    assert set(large.sources['b']) == {'nb1:1', 'nb2:1'}
    # A data centre without an entry can't send digests.
    direct = [vm.data_centre for vm in large.agents if vm.data_centre != 'a']
    assert direct == ['c'] * 24
    # The hysteresis avoids switching back and forth with single VMs.
    removed = {f'c{number}' for number in range(14)}
    fewer = [vm for vm in _large_fleet() if vm.vm not in removed]
    assert subset.plan('me', 'a', fewer, was_digesting=True).uses_digests
    assert not subset.plan('me', 'a', fewer, was_digesting=False).uses_digests


async def test_failover_to_another_source_and_end_of_digests(
    world: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against losing a data centre's endpoints when one entry fails."""
    monkeypatch.setattr(remote, '_RETRY_DELAY_S', 0)
    now_ms = [0.0]
    following = remote.RemoteEndpoints(
        world.conf,
        world.fleet,
        world.vm_directory,
        world.daemons,
        world.pauses,
        lambda: now_ms[0],
    )
    await world.list(*_large_fleet())
    digest = router_pb2.EndpointDigest(
        data_centre='b',
        pools=[router_pb2.PoolCount(pool='p', endpoints=1)],
        version_sets=[router_pb2.VersionSet()],
        endpoints=[
            router_pb2.DigestEndpoint(
                endpoint='e-b1', vm='b1', state='ready', is_sampled=True
            )
        ],
    )
    first, second = following._data_centres['b'].sources
    await world.daemons.send(first, digest)
    assert 'e-b1' in world.endpoints()
    await world.daemons.send(first, world.rpc_error())
    assert 'e-b1' in world.endpoints()
    # The other entry continues the digests.
    await world.daemons.send(second, digest)
    now_ms[0] += 5000
    await world.daemons.send(second, aio.EOF)
    assert world.endpoints() == {}
    await world.daemons.send(first, digest)
    assert 'e-b1' in world.endpoints()
    await world.list(*[vm for vm in _large_fleet() if vm.role == 'agent'])
    assert following._data_centres == {}
    assert world.endpoints() == {}
    await following.on_stop()


async def test_digests_over_grpc(world: Any) -> None:
    """Guards against an entry without reports that empties other fleets."""
    source = digests.Source('a', world.fleet, world.vm_directory, lambda: 0)
    unused: Any = None
    server = aio.server()
    router_pb2_grpc.add_PeerServicer_to_server(
        peer_service.MembershipServicer(source, unused), server
    )
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    daemons = channels.Channels('k')
    request = router_pb2.EndpointsRequest(entry='me', share_ppm=1_000_000)
    stub = daemons.at(f'127.0.0.1:{port}').peer
    for listed in ([], [world.vm('x')]):
        await world.list(*listed)
        with pytest.raises(aio.AioRpcError):
            await stub.Endpoints(request).read()
    world.fleet.update(reports.view_from_report(world.report('x'), 'x:1'))
    reply = await stub.Append(router_pb2.AppendRequest(stream='leases'))
    assert reply.state == 'unavailable'
    call = stub.Endpoints(request)
    digest = await call.read()
    assert [shown.address for shown in digest.endpoints] == ['x:1']
    call.cancel()
    await daemons.close()
    await server.stop(None)


async def test_change_of_state_is_reported_at_once() -> None:
    """Guards against requests to a leaving endpoint until its next report."""
    unused: Any = None
    states = ['ready']
    agent = servicer.AgentServicer(
        unused, unused, unused, unused, lambda: states[0]
    )
    report = router_pb2.EndpointReport(endpoint='e', state='ready')
    waiting = asyncio.create_task(agent._until_due(86_400_000, report))
    await asyncio.sleep(0)
    assert not waiting.done()
    states[0] = 'leaving'
    await asyncio.wait_for(waiting, 60)
