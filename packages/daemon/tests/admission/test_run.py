"""Tests of running attempts over gRPC and HTTP."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import orjson
import pytest

from yuccarouter_common import billing_rows, model, refusals
from yuccarouter_common.proto import router_pb2


def _kinds(events: list[Any]) -> list[str]:
    return [event.WhichOneof('event') for event in events]


def _body(events: list[Any]) -> bytes:
    chunks = [e.chunk for e in events if e.HasField('chunk')]
    assert [chunk.sequence for chunk in chunks] == list(range(len(chunks)))
    return b''.join(chunk.data for chunk in chunks)


async def test_engine_stream(
    agent: Any, endpoint: Any, parts: Any, engine_request: Any
) -> None:
    """Guards against lost, cut or unbilled events of a stream."""
    events = await agent.events(engine_request(stream=True, resume_text='x'))
    assert _kinds(events)[0] == 'accepted'
    assert _kinds(events)[-1] == 'done'
    texts = [
        orjson.loads(event.removeprefix(b'data: '))
        for event in _body(events).split(b'\n\n')[:-2]
    ]
    assert [text['choices'][0]['delta']['content'] for text in texts] == [
        't0 ',
        't1 ',
        't2 ',
    ]
    assert _body(events).endswith(b'data: [DONE]\n\n')
    assert parts.usages == [('a1', 5, 3, True)]
    assert events[-1].done.usage.completion_tokens == 3
    sent = endpoint.calls[0].headers
    assert (sent['X-Request-Id'], sent['traceparent']) == ('a1', '00-1-2-01')
    assert endpoint.bodies[0]['model'] == 'clue@1'
    assert endpoint.bodies[0]['resume_text'] == 'x'


async def test_engine_whole(
    agent: Any, parts: Any, engine_request: Any
) -> None:
    """Guards against an answer without usage or with a cut body."""
    events = await agent.events(engine_request())
    assert _kinds(events) == ['accepted', 'chunk', 'done']
    answer = orjson.loads(_body(events))
    assert answer['choices'][0]['message']['content'] == 'abc'
    assert events[-1].done.finish_reason == 'stop'
    assert parts.usages == [('a1', 5, 3, True)]


@pytest.mark.parametrize(
    ('fields', 'code'),
    [
        ({'version': '2'}, 'version_not_allowed'),
        ({'version': '3'}, 'version_not_allowed'),
        ({'organisation': 'other'}, 'version_not_allowed'),
        ({'body': b'no JSON'}, 'invalid_request'),
        ({'body': b'[]'}, 'invalid_request'),
        ({'deadline_ms': 0}, 'deadline_too_short'),
        (
            {'version': '9', 'position': router_pb2.Position(offset=11)},
            'configuration_stale',
        ),
    ],
)
async def test_refused(
    agent: Any,
    endpoint: Any,
    engine_request: Any,
    fields: dict[str, Any],
    code: str,
) -> None:
    """Guards against work that the configuration does not allow."""
    events = await agent.events(engine_request(**fields))
    assert _kinds(events) == ['refused']
    assert events[0].refused.code == code
    assert not endpoint.calls


async def test_data_centre_out(
    agent: Any, endpoint: Any, parts: Any, engine_request: Any
) -> None:
    """Guards against new work in a data centre that is out of service."""
    out = model.DataCentre('bamberg', state=model.OUT_OF_SERVICE)
    parts.configuration = attrs.evolve(
        parts.configuration, data_centres={'bamberg': out}
    )
    events = await agent.events(engine_request())
    assert events[0].refused.code == 'shutting_down'
    assert not endpoint.calls


async def test_catch_up(agent: Any, parts: Any, engine_request: Any) -> None:
    """Guards against an agent that runs a version withdrawn before."""
    withdrawn = model.ModelVersion('clue', '1', 'p', state=model.WITHDRAWN)
    parts.next_configuration = attrs.evolve(
        parts.configuration,
        position=model.Position(0, 12),
        versions={'clue@1': withdrawn},
    )
    position = router_pb2.Position(offset=12)
    events = await agent.events(engine_request(position=position))
    assert events[0].refused.code == 'version_not_allowed'
    assert parts.wanted == [model.Position(0, 12)]


@pytest.mark.parametrize('breaks', ['close', 'short'])
async def test_broken_stream(
    agent: Any,
    endpoint: Any,
    parts: Any,
    engine_request: Any,
    breaks: str,
) -> None:
    """Guards against a cut stream that passes for a complete answer."""
    endpoint.breaks = breaks
    events = await agent.events(engine_request(stream=True))
    assert _kinds(events)[-1] == 'failed'
    assert events[-1].failed.outcome == refusals.UNKNOWN
    assert parts.usages == [('a1', 0, 3, False)]
    await agent.runner.drained()
    assert endpoint.cancelled == ['a1']
    assert agent.in_flight == 0


def _flat(messages: list[Any]) -> list[Any]:
    parts = []
    for message in messages:
        parts += [message, *message.following]
    return [(p.attempt_id, p.WhichOneof('event')) for p in parts]


@pytest.mark.parametrize(
    ('stream', 'status', 'breaks'),
    [
        (False, 200, ''),
        (True, 200, ''),
        (True, 200, 'short'),
        (True, 500, ''),
        (False, 503, ''),
    ],
)
async def test_following(
    agent: Any,
    endpoint: Any,
    engine_request: Any,
    stream: bool,
    status: int,
    breaks: str,
) -> None:
    """Guards against events lost or moved when they share a message.

    An entry that does not read ``following`` must get none.
    """
    endpoint.status, endpoint.breaks = status, breaks
    found = {}
    for reads in (False, True):
        request = engine_request(stream=stream, reads_following=reads)
        found[reads] = await agent.events(request)
    assert not any(message.following for message in found[False])
    assert len(found[True]) < len(found[False])
    flat = {
        reads: [part for part in _flat(messages) if part[1] != 'chunk']
        for reads, messages in found.items()
    }
    assert flat[True] == flat[False]
    bodies = {
        reads: _body([e for m in messages for e in (m, *m.following)])
        for reads, messages in found.items()
    }
    assert bodies[True] == bodies[False]


@pytest.mark.parametrize('status', [429, 500, 503])
async def test_engine_error(
    agent: Any, endpoint: Any, engine_request: Any, status: int
) -> None:
    """Guards against an engine's failure passed off as its answer."""
    endpoint.status = status
    events = await agent.events(engine_request(stream=True))
    assert _kinds(events) == ['accepted', 'failed']
    assert events[-1].failed.outcome == refusals.UNKNOWN


@pytest.mark.parametrize('is_plain', [False, True])
async def test_no_connection(
    agent: Any,
    engine_request: Any,
    plain_request: Any,
    is_plain: bool,
) -> None:
    """Guards against a request that never ran being reported as unknown."""
    place = attrs.evolve(agent.runner.caller.place, url='http://127.0.0.1:1')
    runner = attrs.evolve(
        agent.runner, caller=attrs.evolve(agent.runner.caller, place=place)
    )
    events: list[router_pb2.RunEvent] = []

    async def write(event: router_pb2.RunEvent) -> None:
        events.append(event)

    request = plain_request() if is_plain else engine_request()
    for _ in range(2):
        # The same attempt may be tried again after a refusal.
        events.clear()
        await runner.run(request, write)
        assert _kinds(events) == ['refused']
    assert events[0].refused.code == 'no_endpoint'
    assert agent.in_flight == 0


async def test_cancelled_stream(
    agent: Any,
    endpoint: Any,
    parts: Any,
    engine_request: Any,
    eventually: Any,
) -> None:
    """Guards against work that runs on for a caller who has left."""
    endpoint.gate.clear()
    call = agent.stub.Run(engine_request(stream=True))
    async for event in call:
        if event.HasField('chunk'):
            break
    call.cancel()
    await eventually(lambda: endpoint.cancelled == ['a1'])
    await eventually(lambda: agent.in_flight == 0)
    await eventually(lambda: endpoint.calls[0].transport is None)
    assert parts.usages[0][3] is False


async def test_many_entries_and_a_cold_engine(
    agent: Any, endpoint: Any, engine_request: Any
) -> None:
    """Guards against entries that together overload a cold engine."""
    endpoint.load = {'in_flight': 0, 'cold': True}
    await agent.components.endpoint.poll_load()
    endings = await asyncio.gather(
        *[
            agent.events(engine_request(attempt_id=f'a{number}'))
            for number in range(20)
        ]
    )
    last = [_kinds(events)[-1] for events in endings]
    # The pool's cold limit is 1 and its queue holds 4 requests.
    assert endpoint.most_in_flight == 1
    assert last.count('done') >= 5
    assert set(last) == {'done', 'refused'}


async def test_deadline_at_engine(
    agent: Any, endpoint: Any, engine_request: Any
) -> None:
    """Guards against an answer held back until long after the deadline."""
    endpoint.gate.clear()
    events = await agent.events(engine_request(deadline_ms=100))
    assert events[-1].failed.code == 'deadline_exceeded'
    await agent.runner.drained()
    assert endpoint.cancelled == ['a1']


async def test_plain_outcome_recorded(
    agent: Any, endpoint: Any, parts: Any, plain_request: Any
) -> None:
    """Guards against an answer given before its outcome is recorded."""
    endpoint.answer = b'x' * 200_000
    events = await agent.events(plain_request())
    assert _kinds(events)[0] == 'accepted'
    assert _kinds(events)[-1] == 'done'
    assert _body(events) == endpoint.answer
    assert max(len(e.chunk.data) for e in events) <= 64 * 1024
    record = parts.recorded[0]
    assert (record.item, record.partition, record.body) == (
        'outcome',
        3,
        endpoint.answer,
    )
    assert endpoint.calls[0].headers['Idempotency-Key'] == 'k1'


async def test_outcome_holds_the_bill_row(
    agent: Any, parts: Any, plain_request: Any
) -> None:
    """Guards against a call that nobody can bill when two VMs are lost."""
    request = plain_request(price_microcents=40, entry='entry-1')
    await agent.events(request)
    row = billing_rows.decode_row(parts.recorded[0].bill_row)
    assert (row.request_id, row.attempt_id, row.cost_microcents) == (
        request.request_id,
        request.attempt_id,
        40,
    )
    assert (row.organisation, row.entry) == (request.organisation, 'entry-1')


async def test_recording_fails(
    agent: Any, parts: Any, plain_request: Any
) -> None:
    """Guards against an answer lost because the log is down."""
    parts.record_fault = refusals.RefusalError('log_unavailable', 'down')
    events = await agent.events(plain_request())
    assert _kinds(events)[-1] == 'done'


@pytest.mark.parametrize('by', ['cancel', 'deadline'])
async def test_plain_call_finishes(
    agent: Any,
    endpoint: Any,
    parts: Any,
    plain_request: Any,
    eventually: Any,
    by: str,
) -> None:
    """Guards against a payment whose outcome is lost with its caller."""
    endpoint.gate.clear()
    deadline_ms = 5000 if by == 'cancel' else 200
    call = agent.stub.Run(plain_request(deadline_ms=deadline_ms))
    await eventually(lambda: len(endpoint.calls) == 1)
    if by == 'cancel':
        call.cancel()
    else:
        events = [event async for event in call]
        assert events[-1].failed.code == 'deadline_exceeded'
        assert events[-1].failed.outcome == refusals.UNKNOWN
    endpoint.gate.set()
    await eventually(lambda: bool(parts.recorded))
    assert parts.recorded[0].item == 'outcome'
    assert endpoint.finished == 1
    await agent.runner.drained()
    assert agent.in_flight == 0


async def test_repeated_attempt(
    agent: Any, endpoint: Any, plain_request: Any
) -> None:
    """Guards against an attempt that runs twice when it is sent twice."""
    await agent.events(plain_request())
    events = await agent.events(plain_request())
    assert _kinds(events) == ['failed']
    assert events[0].failed.outcome == refusals.UNKNOWN
    assert endpoint.finished == 1


async def test_cancelled_in_queue(
    agent: Any,
    endpoint: Any,
    parts: Any,
    plain_request: Any,
    eventually: Any,
) -> None:
    """Guards against a claim that stays taken by a request that never ran."""
    endpoint.gate.clear()
    first = asyncio.create_task(agent.events(plain_request()))
    await eventually(lambda: len(endpoint.calls) == 1)
    second = agent.stub.Run(plain_request(attempt_id='a2', request_id='r2'))
    await eventually(lambda: agent.components.endpoint.admission.queued == 1)
    second.cancel()
    await eventually(lambda: bool(parts.recorded))
    released = parts.recorded[0]
    assert (released.item, released.key) == ('release', 'r2')
    endpoint.gate.set()
    await first
    assert endpoint.finished == 1


@pytest.mark.parametrize('method', ['GET', 'PUT', 'POST'])
async def test_broken_connection_is_not_repeated(
    agent: Any, endpoint: Any, plain_request: Any, method: str
) -> None:
    """Guards against the HTTP client repeating a call on a new connection."""
    await agent.events(plain_request(method=method))
    endpoint.breaks = 'close'
    events = await agent.events(plain_request(method=method, attempt_id='a2'))
    assert _kinds(events) == ['accepted', 'failed']
    assert endpoint.finished == 2
