"""Tests of requests through an entry and a fake agent."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import orjson
import pytest
import yarl
from opentelemetry.sdk import trace as sdk_trace

from yuccarouter.request_path import bills
from yuccarouter_common import model, telemetry
from yuccarouter_testkit import fake_agent as fake

_TEXT = ''.join(f'{word} ' for word in fake.WORDS)


async def _refusal(response: Any) -> tuple[int, str, str]:
    error = (await response.json())['error']
    return response.status, error['code'], error['outcome']


def _text_of(body: bytes) -> str:
    assert body.endswith(b'data: [DONE]\n\n'), body
    documents = [
        orjson.loads(event.removeprefix(b'data: '))
        for event in body.split(b'\n\n')[:-2]
    ]
    assert len({document['id'] for document in documents}) == 1
    deltas = [document['choices'][0]['delta'] for document in documents]
    assert sum('role' in delta for delta in deltas) == 1
    return ''.join(delta.get('content') or '' for delta in deltas)


async def test_answer_is_billed_and_settled(entry: Any) -> None:
    """Guards against an answer without exactly one bill row."""
    response = await entry.chat()
    assert response.status == 200
    assert await response.json() == {'answer': True}
    assert response.headers['X-Served-Version'] == 'clue@1'
    [row] = await entry.billed()
    assert row['request_id'] == response.headers['X-Request-Id']
    assert row['cost_microcents'] == 7 + 5 * 10
    await entry.shared.settlements.wait_until_sent()
    assert [
        (settled.attempt_id, settled.billed) for settled in entry.agent.settled
    ] == [(row['attempt_id'], True)]


@pytest.mark.parametrize('words', range(6))
async def test_broken_stream_is_resumed(entry: Any, words: int) -> None:
    """Guards against a gap, a repetition or a second bill after a break."""
    entry.agent.scripts = [fake.break_after(words), fake.answer]
    response = await entry.chat(stream=True)
    assert _text_of(await response.read()) == _TEXT
    assert len(entry.agent.requests) == 2
    sent = ' '.join(fake.WORDS[:words])
    assert entry.agent.requests[1].resume_text.strip() == sent
    assert {request.version for request in entry.agent.requests} == {'1'}
    [row] = await entry.billed()
    assert row['completion_tokens'] == len(fake.WORDS)


async def test_stream_that_stays_broken(entry: Any) -> None:
    """Guards against a cut stream that looks like a whole one."""
    entry.agent.scripts = [fake.break_after(2)]
    response = await entry.chat(stream=True)
    body = await response.read()
    assert b'[DONE]' not in body
    assert b'"outcome":"unknown"' in body
    assert await entry.billed() == []


@pytest.mark.parametrize(
    ('script', 'status', 'code', 'outcome'),
    [
        (fake.refuse('overloaded', 700), 503, 'overloaded', 'not_run'),
        (
            fake.refuse('version_not_allowed'),
            403,
            'version_not_allowed',
            'not_run',
        ),
        (fake.lose, 504, 'attempt_lost', 'unknown'),
        (fake.answer_another, 504, 'attempt_lost', 'unknown'),
    ],
)
async def test_truthful_refusal(
    entry: Any, script: Any, status: int, code: str, outcome: str
) -> None:
    """Guards against ``not_run`` for work that an endpoint may have done."""
    entry.agent.scripts = [script]
    response = await entry.chat()
    assert await _refusal(response) == (status, code, outcome)
    assert await entry.billed() == []


async def test_idempotent_attempt_is_retried(entry: Any) -> None:
    """Guards against giving up on an answer that another endpoint has."""
    entry.agent.scripts = [fake.lose, fake.refuse('overloaded'), fake.answer]
    response = await entry.chat()
    assert response.status == 200
    ids = {request.attempt_id for request in entry.agent.requests}
    assert len(ids) == 3
    assert len(await entry.billed()) == 1


@pytest.mark.parametrize('key', ['', 'k-1'])
async def test_lost_payment_is_not_repeated(entry: Any, key: str) -> None:
    """Guards against paying twice when an answer is lost."""
    entry.agent.scripts = [fake.lose, fake.answer]
    headers = {'Idempotency-Key': key} if key else {}
    response = await entry.send('/services/desk/payments', headers=headers)
    assert await _refusal(response) == (504, 'attempt_lost', 'unknown')
    assert len(entry.agent.requests) == 1
    if key:
        again = await entry.send('/services/desk/payments', headers=headers)
        assert (await _refusal(again))[2] == 'unknown'
        assert len(entry.agent.requests) == 1


async def test_refused_payment_moves_on(entry: Any) -> None:
    """Guards against giving up although the payment has certainly not run."""
    entry.agent.scripts = [fake.refuse('overloaded'), fake.answer]
    response = await entry.send(
        '/services/desk/payments', headers={'Idempotency-Key': 'k'}
    )
    assert response.status == 200
    assert len({r.attempt_id for r in entry.agent.requests}) == 1
    [row] = await entry.billed()
    assert row['cost_microcents'] == 500


async def test_refused_payment_releases_its_claim(entry: Any) -> None:
    """Guards against a payment that can never be made after a refusal."""
    entry.agent.scripts = [fake.refuse('version_not_allowed'), fake.answer]
    headers = {'Idempotency-Key': 'k'}
    refused = await entry.send('/services/desk/payments', headers=headers)
    assert (await _refusal(refused))[2] == 'not_run'
    assert [record.item for record in entry.agent.recorded] == ['release']
    again = await entry.send('/services/desk/payments', headers=headers)
    assert again.status == 200


async def test_payment_without_registry(entry: Any) -> None:
    """Guards against running a call that can't be claimed."""
    entry.agent.is_registry_down = True
    response = await entry.send(
        '/services/desk/payments', headers={'Idempotency-Key': 'k'}
    )
    assert await _refusal(response) == (503, 'log_unavailable', 'not_run')
    assert response.headers['Retry-After']
    assert entry.agent.requests == []


async def test_repeat_gets_the_held_answer(entry: Any) -> None:
    """Guards against a second run, and against answering another request."""
    headers = {'Idempotency-Key': 'k'}
    first = await entry.chat(headers=headers)
    second = await entry.chat(headers=headers)
    assert second.headers['Idempotency-Replayed'] == 'true'
    assert await second.read() == await first.read()
    assert len(entry.agent.requests) == 1
    assert len(await entry.billed()) == 1
    other = await entry.chat(headers=headers, model='clue@1')
    assert await _refusal(other) == (409, 'idempotency_conflict', 'not_run')


async def test_session_keeps_its_version(entry: Any) -> None:
    """Guards against a session that changes its version."""
    first = await entry.chat(headers={'X-Session-Id': 'mine'})
    token = first.headers['X-Session-Id']
    current = entry.shared.store.current()
    organisation = attrs.evolve(
        current.organisations['o'], allowed=('clue@1', 'clue@2')
    )
    rollout = model.Rollout(
        'r', 'clue', '2', '1', state='finished', changed_offset=6
    )
    entry.shared.store.install(
        attrs.evolve(
            current,
            position=model.Position(0, 6),
            organisations={'o': organisation},
            rollouts={'r': rollout},
        ),
        0,
    )
    new = await entry.chat()
    assert new.headers['X-Served-Version'] == 'clue@2'
    for session in ('mine', token):
        kept = await entry.chat(headers={'X-Session-Id': session})
        assert kept.headers['X-Served-Version'] == 'clue@1'


async def test_limit_of_an_organisation(entry: Any) -> None:
    """Guards against one organisation that takes the whole entry."""
    entry.agent.scripts = [fake.hang]
    running = [asyncio.create_task(entry.chat()) for _ in range(3)]
    while len(entry.agent.requests) < 3:
        await asyncio.sleep(0.01)
    refused = await entry.chat()
    assert await _refusal(refused) == (429, 'organisation_limit', 'not_run')
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    while entry.shared.limiter.total or entry.agent.cancelled < 3:
        await asyncio.sleep(0.01)
    assert not entry.shared.limiter.by_organisation


async def test_deadline(entry: Any) -> None:
    """Guards against a caller who waits longer than the kind's bound."""
    entry.agent.scripts = [fake.hang]
    response = await entry.chat(headers={'X-Request-Kind': 'quick'})
    assert await _refusal(response) == (504, 'deadline_exceeded', 'unknown')
    while not entry.agent.cancelled:
        await asyncio.sleep(0.01)


async def test_silent_agent(entry: Any) -> None:
    """Guards against a frozen agent that holds a request to its deadline."""
    entry.agent.scripts = [fake.hang, fake.answer]
    sent = asyncio.create_task(entry.chat())
    while not entry.agent.requests:
        await asyncio.sleep(0.01)
    lost = sum(
        map(entry.shared.canceller.cancel_calls, ('e1', 'e2', 'e3', 'e4'))
    )
    assert lost == 1
    response = await sent
    assert response.status == 200
    assert len(entry.agent.requests) == 2


async def test_program_fault(
    entry: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a fault without a code, or with a false ``not_run``."""

    def broken(*_: Any) -> None:
        raise KeyError('caller-key')

    monkeypatch.setattr(bills, 'check_room', broken)
    response = await entry.chat()
    assert await _refusal(response) == (500, 'internal', 'unknown')
    assert 'caller-key' not in await response.text()
    assert entry.shared.limiter.total == 0


async def test_draining(entry: Any) -> None:
    """Guards against new work at a process that is about to stop."""
    entry.shared.limiter.is_draining = True
    response = await entry.chat()
    assert await _refusal(response) == (503, 'shutting_down', 'not_run')


@pytest.mark.parametrize(
    ('path', 'options', 'status', 'code'),
    [
        ('/v1/chat/completions', {'data': b'{'}, 400, 'invalid_request'),
        ('/v1/chat/completions', {'data': b'\xff\xfe'}, 400, 'invalid_request'),
        (
            '/v1/chat/completions',
            {'data': b'x' * 20_000},
            413,
            'body_too_large',
        ),
        ('/services/other/x', {}, 404, 'unknown_service'),
        ('/services/desk/a/%2e%2e/payments', {}, 400, 'invalid_request'),
        ('/services/desk/a%5cb', {}, 400, 'invalid_request'),
        ('/nothing', {}, 404, 'not_found'),
        (
            '/services/desk/x',
            {'headers': {'X-Deadline-Ms': '-1'}},
            400,
            'invalid_request',
        ),
        (
            '/services/desk/x',
            {'headers': {'X-Request-Kind': 'odd'}},
            400,
            'invalid_request',
        ),
        (
            '/services/desk/x',
            {'headers': {'Idempotency-Key': 'k' * 300}},
            400,
            'invalid_request',
        ),
        (
            '/services/desk/x',
            {'headers': {'Authorization': 'Bearer wrong'}},
            401,
            'unauthenticated',
        ),
    ],
)
async def test_bad_input(
    entry: Any, path: str, options: dict[str, Any], status: int, code: str
) -> None:
    """Guards against bad input that reaches an endpoint or a traceback."""
    base = str(entry.client.make_url('/')).rstrip('/')
    # The client library must not resolve dot segments before they are sent.
    url = yarl.URL(f'{base}{path}', encoded=True)
    response = await entry.send(url, **options)
    assert await _refusal(response) == (status, code, 'not_run')
    assert entry.agent.requests == []
    assert entry.shared.limiter.total == 0


async def test_slow_body(entry: Any) -> None:
    """Guards against a sender that holds a slot with a slow body."""

    async def slowly() -> Any:
        yield b'{'
        await asyncio.sleep(1)
        yield b'}'

    response = await entry.send(data=slowly())
    assert await _refusal(response) == (408, 'request_timeout', 'not_run')


@pytest.mark.parametrize(
    ('score', 'script', 'versions', 'cost'),
    [
        (1.0, fake.answer, ['mini@1'], 5),
        (0.0, fake.answer, ['mini@1', 'clue@1'], 57),
        # Without ratings and with nothing learned, the best step answers.
        (None, fake.answer, ['mini@1', 'clue@1'], 57),
        (1.0, fake.refuse('version_not_allowed'), ['mini@1', 'clue@1'], 57),
    ],
)
async def test_cascade(
    entry: Any, score: Any, script: Any, versions: list[str], cost: int
) -> None:
    """Guards against an answer below the target, and against two bills."""
    entry.scores.score = score
    entry.agent.scripts = [script, fake.answer]
    response = await entry.chat(model='cheap-first')
    assert response.status == 200
    assert response.headers['X-Served-Version'] == versions[-1]
    asked = [f'{run.model}@{run.version}' for run in entry.agent.requests]
    assert asked == versions
    [row] = await entry.billed()
    assert row['cost_microcents'] == cost
    # An attempt that is not settled is billed by its agent after a while.
    await entry.shared.settlements.wait_until_sent()
    settled = {settlement.attempt_id for settlement in entry.agent.settled}
    answered = entry.agent.requests
    if script is not fake.answer:
        answered = answered[1:]
    assert settled == {run.attempt_id for run in answered}


async def test_models(entry: Any) -> None:
    """Guards against showing versions that the organisation may not use."""
    response = await entry.send('/v1/models', method='GET')
    listed = (await response.json())['data']
    names = ['cheap-first', 'clue', 'clue@1', 'mini', 'mini@1']
    assert [shown['id'] for shown in listed] == names


async def test_trace(entry: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against attempts that are missing from their request's trace."""
    spans = telemetry.SpanStore()
    provider = sdk_trace.TracerProvider()
    provider.add_span_processor(spans)
    tracer = provider.get_tracer('test')
    monkeypatch.setattr(telemetry, 'tracer', lambda: tracer)
    reply = await entry.chat()
    assert reply.status == 200
    attempt, request = spans.spans_of(reply.headers['X-Trace-Id'])
    assert (attempt.name, request.name) == ('entry.attempt', 'entry.request')
    assert attempt.parent_id == request.span_id
