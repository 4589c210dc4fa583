"""The steps of the demo; each raises ``calls.StepError`` if it fails.

Each step returns the text that the demo prints.
"""

from __future__ import annotations

import asyncio
import time
from typing import Final

from yuccarouter_testkit.demo import calls, fleet

_BILLING_DELAY_S: Final = 1.5
_OUT_OF_SERVICE_REQUESTS: Final = 20
_OK: Final = 200
_CREATED: Final = 201
_FORBIDDEN: Final = 403


async def stream_grid_critique(running: fleet.Fleet) -> str:
    """Stream a grid critique and return the spans of its trace."""
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
    for expected in ('entry.request', 'entry.attempt', 'agent.run', 'engine'):
        calls.check(expected in names, f'a span {expected}', names)
    lines = [f'  caller          {(ended_s - started_s) * 1000:8.1f} ms']
    lines += [
        f'  {span["name"]:<15} {span["duration_ms"]:8.1f} ms' for span in spans
    ]
    hops = '\n'.join(lines)
    return f'{len(reply.text)} characters streamed; trace {trace_id}:\n{hops}'


async def verify_answer(running: fleet.Fleet) -> str:
    """Send a request to a cascade whose first step is a cheap version."""
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
    """Check that a session keeps its version across two entries."""
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
    """Check that a handover repeated at another entry is replayed."""
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
    """Look up a certificate twice; the call is marked idempotent."""
    caller = calls.Caller(running, 'board')
    for _ in range(2):
        reply = await caller.send('GET', '/services/ledger/certificates/C-9')
        calls.check(reply.status == _OK, 'status 200', reply.body)
    return f'answered twice: {reply.document}'


async def withdraw_version(running: fleet.Fleet) -> str:
    """Withdraw a version and check that no request runs on it."""
    status, text = await calls.operate(running, 'withdraw clue-mini@1')
    calls.check(status == 0, 'yuccactl to exit 0', (status, text))
    caller = calls.Caller(running, 'ratsel-nord')
    refused = await caller.chat('clue-mini@1', 'Is it?')
    error = refused.document['error']
    calls.check(refused.status == _FORBIDDEN, 'status 403', refused.status)
    calls.check(error['outcome'] == 'not_run', 'not_run', error)
    rerouted = await caller.chat(
        'verify', 'Is it?', X_Request_Kind='answer-verification'
    )
    calls.check(rerouted.status == _OK, 'status 200', rerouted.body)
    served = rerouted.headers['X-Served-Version']
    calls.check(served == 'clue@1', 'the next step', served)
    return f'{error["code"]}, {error["outcome"]}; the cascade uses {served}'


async def take_out_data_centre(running: fleet.Fleet) -> str:
    """Check that a data centre out of service gets no requests.

    The data centre is brought back into service at the end.
    """
    status, text = await calls.operate(running, 'take out data_centre kochi')
    calls.check(status == 0, 'yuccactl to exit 0', (status, text))
    before = await calls.served_at(running, 'kochi')
    caller = calls.Caller(running, 'board', entry=1)
    for _ in range(_OUT_OF_SERVICE_REQUESTS):
        reply = await caller.chat('record', 'Summarise the service history.')
        calls.check(reply.status == _OK, 'status 200', reply.body)
    after = await calls.served_at(running, 'kochi')
    calls.check(before == after, 'no new work in kochi', after - before)
    status, text = await calls.operate(running, 'bring back data_centre kochi')
    calls.check(status == 0, 'yuccactl to exit 0', (status, text))
    return f'{_OUT_OF_SERVICE_REQUESTS} requests answered elsewhere, 0 in kochi'


async def check_bill(running: fleet.Fleet, expected_rows: int) -> str:
    """Check that the bill has ``expected_rows`` rows, one per request."""
    await asyncio.sleep(_BILLING_DELAY_S)
    rows = await calls.billed_rows(running)
    ids = {row.request_id for row in rows}
    calls.check(len(rows) == len(ids), 'one row per request', len(rows))
    calls.check(len(ids) == expected_rows, f'{expected_rows} rows', len(ids))
    cost = sum(row.cost_microcents for row in rows)
    row_lines = [
        f'  {row.request_id[:14]} {row.organisation:<13} '
        f'{row.model:<10} {row.version:<2} '
        f'{row.cost_microcents:>7} microcents'
        for row in rows
    ]
    table = '\n'.join(row_lines)
    return f'{len(rows)} rows, {cost} microcents:\n{table}'
