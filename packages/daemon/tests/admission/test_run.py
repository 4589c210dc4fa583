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
    agent: Any, endpoint: Any, dependencies: Any, engine_request: Any
) -> None:
    """Guards against lost or truncated events and unbilled usage of a stream.

    The fake engine splits each event over two writes.
    """
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
    assert dependencies.usages == [('a1', 5, 3, True)]
    assert events[-1].done.usage.completion_tokens == 3
    sent = endpoint.calls[0].headers
    assert (sent['X-Request-Id'], sent['traceparent']) == ('a1', '00-1-2-01')
    assert endpoint.bodies[0]['model'] == 'clue@1'
    assert endpoint.bodies[0]['resume_text'] == 'x'


async def test_answer_without_stream(
    agent: Any, dependencies: Any, engine_request: Any
) -> None:
    """Guards against missing usage or a truncated body without streaming."""
    events = await agent.events(engine_request())
    assert _kinds(events) == ['accepted', 'chunk', 'done']
    answer = orjson.loads(_body(events))
    assert answer['choices'][0]['message']['content'] == 'abc'
    assert events[-1].done.finish_reason == 'stop'
    assert dependencies.usages == [('a1', 5, 3, True)]


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
    """Guards against sending a request that must be refused."""
    events = await agent.events(engine_request(**fields))
    assert _kinds(events) == ['refused']
    assert events[0].refused.code == code
    assert not endpoint.calls


async def test_data_centre_out(
    agent: Any, endpoint: Any, dependencies: Any, engine_request: Any
) -> None:
    """Guards against new requests in a data centre that is out of service."""
    out = model.DataCentre('bamberg', state=model.OUT_OF_SERVICE)
    dependencies.configuration = attrs.evolve(
        dependencies.configuration, data_centres={'bamberg': out}
    )
    events = await agent.events(engine_request())
    assert events[0].refused.code == 'shutting_down'
    assert not endpoint.calls


async def test_catch_up(
    agent: Any, dependencies: Any, engine_request: Any
) -> None:
    """Guards against running a version that the entry knows is withdrawn.

    The entry's configuration is newer, so the agent must catch up first.
    """
    withdrawn = model.ModelVersion('clue', '1', 'p', state=model.WITHDRAWN)
    dependencies.next_configuration = attrs.evolve(
        dependencies.configuration,
        position=model.Position(0, 12),
        versions={'clue@1': withdrawn},
    )
    position = router_pb2.Position(offset=12)
    events = await agent.events(engine_request(position=position))
    assert events[0].refused.code == 'version_not_allowed'
    assert dependencies.requested_positions == [model.Position(0, 12)]


@pytest.mark.parametrize('break_mode', ['close', 'short'])
async def test_broken_stream(
    agent: Any,
    endpoint: Any,
    dependencies: Any,
    engine_request: Any,
    break_mode: str,
) -> None:
    """Guards against reporting a truncated stream as a complete answer."""
    endpoint.break_mode = break_mode
    events = await agent.events(engine_request(stream=True))
    assert _kinds(events)[-1] == 'failed'
    assert events[-1].failed.outcome == refusals.UNKNOWN
    assert dependencies.usages == [('a1', 0, 3, False)]
    await agent.runner.wait_until_done()
    assert endpoint.cancelled == ['a1']
    assert agent.in_flight == 0


def _flatten(messages: list[Any]) -> list[Any]:
    events = []
    for message in messages:
        events += [message, *message.following]
    return [(e.attempt_id, e.WhichOneof('event')) for e in events]


@pytest.mark.parametrize(
    ('stream', 'status', 'break_mode'),
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
    break_mode: str,
) -> None:
    """Guards against lost or reordered events when they share a message.

    An entry that does not read ``following`` must get one event per message.
    """
    endpoint.status, endpoint.break_mode = status, break_mode
    messages_by_mode = {}
    for reads in (False, True):
        request = engine_request(stream=stream, reads_following=reads)
        messages_by_mode[reads] = await agent.events(request)
    assert not any(message.following for message in messages_by_mode[False])
    assert len(messages_by_mode[True]) < len(messages_by_mode[False])
    flat = {
        reads: [event for event in _flatten(messages) if event[1] != 'chunk']
        for reads, messages in messages_by_mode.items()
    }
    assert flat[True] == flat[False]
    bodies = {
        reads: _body([e for m in messages for e in (m, *m.following)])
        for reads, messages in messages_by_mode.items()
    }
    assert bodies[True] == bodies[False]


@pytest.mark.parametrize('status', [429, 500, 503])
async def test_engine_error(
    agent: Any, endpoint: Any, engine_request: Any, status: int
) -> None:
    """Guards against relaying an engine's error status as its answer."""
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
    """Guards against an unknown outcome for a request that was never sent."""
    location = attrs.evolve(
        agent.runner.client.location, url='http://127.0.0.1:1'
    )
    runner = attrs.evolve(
        agent.runner,
        client=attrs.evolve(agent.runner.client, location=location),
    )
    events: list[router_pb2.RunEvent] = []

    async def write(event: router_pb2.RunEvent) -> None:
        events.append(event)

    request = plain_request() if is_plain else engine_request()
    for _ in range(2):
        # The same attempt may be sent again after a refusal.
        events.clear()
        await runner.run(request, write)
        assert _kinds(events) == ['refused']
    assert events[0].refused.code == 'no_endpoint'
    assert agent.in_flight == 0


async def test_cancelled_stream(
    agent: Any,
    endpoint: Any,
    dependencies: Any,
    engine_request: Any,
    eventually: Any,
) -> None:
    """Guards against work that continues after its caller has cancelled."""
    endpoint.may_answer.clear()
    call = agent.stub.Run(engine_request(stream=True))
    async for event in call:
        if event.HasField('chunk'):
            break
    call.cancel()
    await eventually(lambda: endpoint.cancelled == ['a1'])
    await eventually(lambda: agent.in_flight == 0)
    await eventually(lambda: endpoint.calls[0].transport is None)
    assert dependencies.usages[0][3] is False


async def test_many_entries_and_a_cold_engine(
    agent: Any, endpoint: Any, engine_request: Any
) -> None:
    """Guards against a cold engine overloaded by many entries together."""
    endpoint.load = {'in_flight': 0, 'cold': True}
    await agent.components.endpoint.poll_load()
    runs = await asyncio.gather(
        *[
            agent.events(engine_request(attempt_id=f'a{number}'))
            for number in range(20)
        ]
    )
    last = [_kinds(events)[-1] for events in runs]
    # The pool's cold limit is 1 and its queue holds 4 requests.
    assert endpoint.max_in_flight == 1
    assert last.count('done') >= 5
    assert set(last) == {'done', 'refused'}


async def test_deadline_at_engine(
    agent: Any, endpoint: Any, engine_request: Any
) -> None:
    """Guards against an attempt that runs on after its deadline."""
    endpoint.may_answer.clear()
    events = await agent.events(engine_request(deadline_ms=100))
    assert events[-1].failed.code == 'deadline_exceeded'
    await agent.runner.wait_until_done()
    assert endpoint.cancelled == ['a1']


async def test_plain_outcome_recorded(
    agent: Any, endpoint: Any, dependencies: Any, plain_request: Any
) -> None:
    """Guards against an answer sent before its outcome is recorded."""
    endpoint.answer = b'x' * 200_000
    events = await agent.events(plain_request())
    assert _kinds(events)[0] == 'accepted'
    assert _kinds(events)[-1] == 'done'
    assert _body(events) == endpoint.answer
    assert max(len(e.chunk.data) for e in events) <= 64 * 1024
    record = dependencies.recorded[0]
    assert (record.item, record.partition, record.body) == (
        'outcome',
        3,
        endpoint.answer,
    )
    assert endpoint.calls[0].headers['Idempotency-Key'] == 'k1'


async def test_outcome_holds_the_bill_row(
    agent: Any, dependencies: Any, plain_request: Any
) -> None:
    """Guards against an unbilled call when both entry and agent VMs are lost.

    The bill row is then only in the registry's outcome.
    """
    request = plain_request(price_microcents=40, entry='entry-1')
    await agent.events(request)
    row = billing_rows.decode_row(dependencies.recorded[0].bill_row)
    assert (row.request_id, row.attempt_id, row.cost_microcents) == (
        request.request_id,
        request.attempt_id,
        40,
    )
    assert (row.organisation, row.entry) == (request.organisation, 'entry-1')


async def test_recording_fails(
    agent: Any, dependencies: Any, plain_request: Any
) -> None:
    """Guards against withholding an answer because the log is down."""
    dependencies.record_fault = refusals.RefusalError('log_unavailable', 'down')
    events = await agent.events(plain_request())
    assert _kinds(events)[-1] == 'done'


@pytest.mark.parametrize('trigger', ['cancel', 'deadline'])
async def test_plain_call_finishes(
    agent: Any,
    endpoint: Any,
    dependencies: Any,
    plain_request: Any,
    eventually: Any,
    trigger: str,
) -> None:
    """Guards against losing the outcome of a non-idempotent call.

    The caller cancels, or the deadline passes, while the call is running.
    """
    endpoint.may_answer.clear()
    deadline_ms = 5000 if trigger == 'cancel' else 200
    call = agent.stub.Run(plain_request(deadline_ms=deadline_ms))
    await eventually(lambda: len(endpoint.calls) == 1)
    if trigger == 'cancel':
        call.cancel()
    else:
        events = [event async for event in call]
        assert events[-1].failed.code == 'deadline_exceeded'
        assert events[-1].failed.outcome == refusals.UNKNOWN
    endpoint.may_answer.set()
    await eventually(lambda: bool(dependencies.recorded))
    assert dependencies.recorded[0].item == 'outcome'
    assert endpoint.finished == 1
    await agent.runner.wait_until_done()
    assert agent.in_flight == 0


async def test_repeated_attempt(
    agent: Any, endpoint: Any, plain_request: Any
) -> None:
    """Guards against running an attempt twice when it is received twice."""
    await agent.events(plain_request())
    events = await agent.events(plain_request())
    assert _kinds(events) == ['failed']
    assert events[0].failed.outcome == refusals.UNKNOWN
    assert endpoint.finished == 1


async def test_cancelled_in_queue(
    agent: Any,
    endpoint: Any,
    dependencies: Any,
    plain_request: Any,
    eventually: Any,
) -> None:
    """Guards against a claim that is never released by a cancelled request."""
    endpoint.may_answer.clear()
    first = asyncio.create_task(agent.events(plain_request()))
    await eventually(lambda: len(endpoint.calls) == 1)
    second = agent.stub.Run(plain_request(attempt_id='a2', request_id='r2'))
    await eventually(lambda: agent.components.endpoint.slot_queue.queued == 1)
    second.cancel()
    await eventually(lambda: bool(dependencies.recorded))
    released = dependencies.recorded[0]
    assert (released.item, released.key) == ('release', 'r2')
    endpoint.may_answer.set()
    await first
    assert endpoint.finished == 1


@pytest.mark.parametrize(
    'method', ['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST']
)
async def test_broken_connection_is_not_repeated(
    agent: Any, endpoint: Any, plain_request: Any, method: str
) -> None:
    """Guards against the HTTP client repeating a call on a new connection.

    The connection closes after the call was sent.
    """
    await agent.events(plain_request(method=method))
    endpoint.break_mode = 'close'
    events = await agent.events(plain_request(method=method, attempt_id='a2'))
    assert _kinds(events) == ['accepted', 'failed']
    assert endpoint.finished == 2
