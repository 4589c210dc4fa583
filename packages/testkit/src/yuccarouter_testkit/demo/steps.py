"""The steps of the demo; each raises ``StepError`` if something is wrong."""

from __future__ import annotations

import asyncio
import time
from typing import Final

from yuccarouter_testkit.demo import calls, fleet

_SETTLE_S: Final = 1.5
_REQUESTS_WHILE_OUT: Final = 20
_OK: Final = 200
_CREATED: Final = 201
_FORBIDDEN: Final = 403


async def stream_grid_critique(running: fleet.Fleet) -> str:
    """Stream a grid critique and show the trace of its hops."""
    caller = calls.Caller(running, 'ratsel-nord')
    started_s = time.time()
    parent = calls.traceparent()
    reply = await caller.chat(
        'clue',
        'Critique this 15 by 15 grid.',
        is_stream=True,
        X_Request_Kind='grid-critique',
        traceparent=parent,
    )
    ended_s = time.time()
    calls.check(reply.status == _OK, 'status 200', reply.body)
    calls.check(reply.is_whole, 'a stream with its last event')
    trace_id = parent.split('-')[1]
    await asyncio.sleep(0.2)
    spans = await calls.spans_of(running, trace_id)
    names = [span['name'] for span in spans]
    for wanted in ('entry.request', 'entry.attempt', 'agent.run', 'engine'):
        calls.check(wanted in names, f'a span {wanted}', names)
    lines = [f'  caller          {(ended_s - started_s) * 1000:8.1f} ms']
    lines += [
        f'  {span["name"]:<15} {span["duration_ms"]:8.1f} ms' for span in spans
    ]
    hops = '\n'.join(lines)
    return f'{len(reply.text)} characters streamed; trace {trace_id}:\n{hops}'


async def verify_answer(running: fleet.Fleet) -> str:
    """Verify an answer through a cascade that starts with a cheap version."""
    caller = calls.Caller(running, 'ratsel-nord', entry=1)
    reply = await caller.chat(
        'verify',
        'Is 5 across ALPENGLOW?',
        X_Request_Kind='answer-verification',
    )
    calls.check(reply.status == _OK, 'status 200', reply.body)
    version = reply.headers['X-Served-Version']
    calls.check(version in {'clue-mini@1', 'clue@1'}, 'a step', version)
    return f'answered by {version}'


async def keep_session(running: fleet.Fleet) -> str:
    """Keep the version of a session across two entries."""
    versions = set()
    session = 'setter-17'
    for entry in (0, 1, 0):
        caller = calls.Caller(running, 'ratsel-nord', entry)
        reply = await caller.chat(
            'clue', 'Note on 7 down.', X_Session_Id=session
        )
        calls.check(reply.status == _OK, 'status 200', reply.body)
        versions.add(reply.headers['X-Served-Version'])
        session = reply.headers['X-Session-Id']
    calls.check(len(versions) == 1, 'one version', versions)
    return f'three requests at two entries, all on {versions.pop()}'


async def hand_over_cylinder(running: fleet.Fleet) -> str:
    """Send a cylinder handover and repeat it through the other entry."""
    document = {'cylinder': 'KL-7-0042', 'kg': 9.5}
    replies = [
        await calls.Caller(running, 'malabar-cold', entry).send(
            'POST',
            '/services/ledger/handovers',
            document,
            Idempotency_Key='handover-0042',
        )
        for entry in (0, 1)
    ]
    for reply in replies:
        calls.check(reply.status == _CREATED, 'status 201', reply.body)
    calls.check(replies[0].body == replies[1].body, 'the same answer twice')
    is_replay = replies[1].headers.get('Idempotency-Replayed') == 'true'
    calls.check(is_replay, 'a replayed answer', replies[1].headers)
    return f'logged once: {replies[0].document["receipt"]}, then replayed'


async def look_up_certificate(running: fleet.Fleet) -> str:
    """Look a certificate up twice; the call is marked idempotent."""
    caller = calls.Caller(running, 'board')
    for _ in range(2):
        reply = await caller.send('GET', '/services/ledger/certificates/C-9')
        calls.check(reply.status == _OK, 'status 200', reply.body)
    return f'answered twice: {reply.document}'


async def withdraw_version(running: fleet.Fleet) -> str:
    """Withdraw a version and see that nothing runs on it any more."""
    status, text = await calls.operate(running, 'withdraw clue-mini@1')
    calls.check(status == 0, 'yuccactl to exit 0', (status, text))
    caller = calls.Caller(running, 'ratsel-nord')
    refused = await caller.chat('clue-mini@1', 'Is it?')
    error = refused.document['error']
    calls.check(refused.status == _FORBIDDEN, 'status 403', refused.status)
    calls.check(error['outcome'] == 'not_run', 'not_run', error)
    moved = await caller.chat(
        'verify', 'Is it?', X_Request_Kind='answer-verification'
    )
    calls.check(moved.status == _OK, 'status 200', moved.body)
    served = moved.headers['X-Served-Version']
    calls.check(served == 'clue@1', 'the next step', served)
    return f'{error["code"]}, {error["outcome"]}; the cascade uses {served}'


async def take_out_data_centre(running: fleet.Fleet) -> str:
    """Take a data centre out and bring it back under requests."""
    status, text = await calls.operate(running, 'take out data_centre kochi')
    calls.check(status == 0, 'yuccactl to exit 0', (status, text))
    before = await calls.served_at(running, 'kochi')
    caller = calls.Caller(running, 'board', entry=1)
    for _ in range(_REQUESTS_WHILE_OUT):
        reply = await caller.chat('record', 'Summarise the service history.')
        calls.check(reply.status == _OK, 'status 200', reply.body)
    after = await calls.served_at(running, 'kochi')
    calls.check(before == after, 'no new work in kochi', after - before)
    status, text = await calls.operate(running, 'bring back data_centre kochi')
    calls.check(status == 0, 'yuccactl to exit 0', (status, text))
    return f'{_REQUESTS_WHILE_OUT} requests answered elsewhere, 0 in kochi'


async def check_bill(running: fleet.Fleet, expected_rows: int) -> str:
    """Check that the bill has exactly one row for each request."""
    await asyncio.sleep(_SETTLE_S)
    rows = await calls.billed_rows(running)
    ids = {row.request_id for row in rows}
    calls.check(len(rows) == len(ids), 'one row a request', len(rows))
    calls.check(len(ids) == expected_rows, f'{expected_rows} rows', len(ids))
    cost = sum(row.cost_microcents for row in rows)
    lines = [
        f'  {row.request_id[:14]} {row.organisation:<13} '
        f'{row.model:<10} {row.version:<2} '
        f'{row.cost_microcents:>7} microcents'
        for row in rows
    ]
    listed = '\n'.join(lines)
    return f'{len(rows)} rows, {cost} microcents:\n{listed}'
