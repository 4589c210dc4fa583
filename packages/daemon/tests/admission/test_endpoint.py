"""Tests of the endpoint's view, orders and the supervised service."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import pytest

from yuccarouter.admission import cache, ports, service
from yuccarouter_common import model, refusals
from yuccarouter_common.proto import router_pb2


def _events(*kinds: str, first: int = 0) -> list[cache.CacheEvent]:
    return [
        cache.CacheEvent(first + index, kind[:-1], int(kind[-1]))
        for index, kind in enumerate(kinds)
    ]


@pytest.mark.parametrize(
    ('batches', 'expected', 'is_whole'),
    [
        ([_events('stored1', 'stored2', 'evicted1')], [2], True),
        ([_events('stored1'), _events('stored2', first=1)], [1, 2], True),
        # Offset 1 is missing, so the eviction of 1 may be.
        ([_events('stored1'), _events('stored2', first=2)], [2], False),
        # Late events that were read before have no effect.
        ([_events('stored1', 'evicted1'), _events('stored1')], [], True),
        ([_events('stored1', 'cleared0', 'stored3')], [3], True),
    ],
)
def test_cache_events(
    batches: list[list[cache.CacheEvent]], expected: list[int], is_whole: bool
) -> None:
    """Guards against prefixes that the engine's cache no longer holds."""
    prefixes = cache.PrefixCache()
    seen_whole = True
    end = 0
    for events in batches:
        end = max(end, events[-1].offset + 1)
        batch = cache.Batch(events, events[0].offset, end)
        seen_whole = prefixes.apply(batch) and seen_whole
    assert prefixes.newest() == expected
    assert seen_whole is is_whole


def test_cache_of_a_restarted_engine() -> None:
    """Guards against keeping prefixes of an engine that has restarted."""
    prefixes = cache.PrefixCache()
    prefixes.apply(cache.Batch(_events('stored1', 'stored2'), 0, 2))
    assert not prefixes.apply(cache.Batch(_events('stored9'), 0, 1))
    assert not prefixes.newest()
    assert prefixes.apply(cache.Batch(_events('stored9'), 0, 1))
    assert prefixes.newest() == [9]


@pytest.mark.parametrize(
    ('load', 'state'),
    [
        ({'in_flight': 0}, 'ready'),
        ({'in_flight': 0, 'cold': True}, 'cold'),
    ],
)
async def test_state(
    agent: Any, endpoint: Any, load: dict[str, Any], state: str
) -> None:
    """Guards against reports that hide a cold endpoint from entries."""
    endpoint.load = {**load, 'age_ms': 0, 'kv_used': 0.5, 'versions': ['c@1']}
    endpoint.cache_events = {
        'events': [{'offset': 0, 'kind': 'stored', 'prefix': 2**63}],
        'first_offset': 0,
        'end_offset': 1,
    }
    await agent.components.endpoint.poll_load()
    await agent.components.endpoint.poll_cache()
    reports = agent.stub.Reports(router_pb2.ReportsRequest(interval_ms=50))
    first = await reports.read()
    second = await reports.read()
    reports.cancel()
    assert (first.state, first.endpoint, first.vm) == (state, 'e1', 'vm1')
    assert (first.pool, first.data_centre) == ('p', 'bamberg')
    assert (list(first.prefixes), first.kv_used_ppm) == ([2**63], 500_000)
    assert (list(first.versions), first.limit) == (['c@1'], 1)
    assert first.position.offset == 10
    assert second.sequence == first.sequence + 1


async def test_unreachable(agent: Any, endpoint: Any) -> None:
    """Guards against sending work to an endpoint that is down."""
    view = agent.components.endpoint
    there = view.place
    view.place = attrs.evolve(there, url='http://127.0.0.1:1')
    await view.poll_load()
    assert view.state == 'down'
    view.place = there
    endpoint.load = {'in_flight': 'many'}
    await view.poll_load()
    assert view.state == 'down'
    endpoint.load = {'in_flight': 0}
    await view.poll_load()
    assert view.state == 'ready'


def _order(number: int, lease: str = 'rollout') -> router_pb2.OrderRequest:
    return router_pb2.OrderRequest(
        order='load_version',
        model='clue',
        version='1',
        lease=lease,
        fencing_number=number,
    )


@pytest.mark.parametrize('checks', [False, True])
async def test_fencing(
    agent: Any, endpoint: Any, parts: Any, checks: bool
) -> None:
    """Guards against orders of a controller that has lost its lease."""
    pool = attrs.evolve(parts.configuration.pools['p'], checks_fencing=checks)
    parts.configuration = attrs.evolve(parts.configuration, pools={'p': pool})
    replies = [
        await agent.stub.Order(_order(number, lease))
        for number, lease in [(5, 'a'), (3, 'a'), (5, 'a'), (1, 'b')]
    ]
    accepted = [reply.accepted for reply in replies]
    sent = [order['fencing_number'] for order in endpoint.orders]
    if checks:
        assert (accepted, sent) == ([True] * 4, [5, 3, 5, 1])
    else:
        assert (accepted, sent) == ([True, False, True, True], [5, 5, 1])
        assert replies[1].code == 'stale_fencing_number'


@pytest.mark.parametrize(
    ('status', 'code'),
    [(409, 'stale_fencing_number'), (429, 'rate_limited')],
)
async def test_rejected_order(
    agent: Any, endpoint: Any, status: int, code: str
) -> None:
    """Guards against a rejected order that passes for an accepted one."""
    endpoint.order_status = status
    reply = await agent.stub.Order(_order(1))
    assert (reply.accepted, reply.code) == (False, code)
    assert reply.retry_after_ms == 2000


async def test_registry_and_usage(agent: Any, parts: Any) -> None:
    """Guards against calls that don't reach the agent's other parts."""
    claim = await agent.stub.Claim(router_pb2.ClaimRequest(key='k'))
    assert (claim.state, claim.value) == ('won', 'k')
    record = await agent.stub.Record(router_pb2.RecordRequest(key='k'))
    assert record.recorded
    parts.record_fault = refusals.RefusalError('log_unavailable', 'down')
    record = await agent.stub.Record(router_pb2.RecordRequest(key='k'))
    assert not record.recorded
    claim = await agent.stub.Claim(router_pb2.ClaimRequest(key='k'))
    assert claim.state == 'unavailable'
    settlement = router_pb2.Settlement(attempt_id='a1', billed=True)
    await agent.stub.Settle(router_pb2.SettleRequest(settlements=[settlement]))
    assert (len(parts.recorded), parts.settled) == (1, ['a1'])


async def test_service_stops_gracefully(
    endpoint: Any, parts: Any, engine_request: Any, eventually: Any
) -> None:
    """Guards against a planned stop that interrupts a request."""
    place = ports.EndpointLocation('e1', 'vm1', 'bamberg', 'p', endpoint.url)
    admission = service.AdmissionService(
        place,
        ports.Dependencies(
            lambda: parts.configuration, parts.catch_up, parts, parts
        ),
    )
    events: list[router_pb2.RunEvent] = []

    async def write(event: router_pb2.RunEvent) -> None:
        events.append(event)

    await admission.start()
    runner = admission.components.runner
    await eventually(lambda: admission.components.endpoint.state == 'ready')
    endpoint.gate.clear()
    running = asyncio.create_task(
        runner.run(engine_request(stream=True), write)
    )
    await eventually(lambda: len(events) > 1)
    stopping = asyncio.create_task(admission.stop())
    await eventually(lambda: admission.components.endpoint.state == 'leaving')
    refused: list[router_pb2.RunEvent] = []

    async def write_refused(event: router_pb2.RunEvent) -> None:
        refused.append(event)

    await runner.run(engine_request(), write_refused)
    assert refused[0].refused.code == 'shutting_down'
    assert not stopping.done()
    endpoint.gate.set()
    await running
    await asyncio.wait_for(stopping, 5)
    assert events[-1].HasField('done')


async def test_withdrawn_while_queued(
    agent: Any, endpoint: Any, parts: Any, engine_request: Any, eventually: Any
) -> None:
    """Guards against queued work that starts after the withdrawal."""
    endpoint.gate.clear()
    first = asyncio.create_task(agent.events(engine_request()))
    await eventually(lambda: len(endpoint.calls) == 1)
    second = asyncio.create_task(agent.events(engine_request(attempt_id='a2')))
    await eventually(lambda: agent.components.endpoint.admission.queued == 1)
    withdrawn = model.ModelVersion('clue', '1', 'p', state=model.WITHDRAWN)
    parts.configuration = attrs.evolve(
        parts.configuration, versions={'clue@1': withdrawn}
    )
    endpoint.gate.set()
    assert (await first)[-1].HasField('done')
    assert (await second)[0].refused.code == 'version_not_allowed'
    assert len(endpoint.calls) == 1
