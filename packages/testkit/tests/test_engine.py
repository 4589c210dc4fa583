"""Tests of the engine emulator."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import orjson
import pytest
from aiohttp import web

from yuccarouter_testkit.stand_ins import batch, engine, texts

_Serve = Callable[[web.Application], Awaitable[str]]
_MODEL = 'clue@1'
_PROMPT = 'Check 7 across.'
_WHOLE = ''.join(texts.answer_tokens(_PROMPT, _MODEL, 0.9))


def _settings(step_ms: float = 0.1, **given: Any) -> engine.Settings:
    timing = batch.Timing(step_ms, stream_step_ms=0.01, prefill_ms=0.1)
    return engine.Settings(versions={_MODEL: 0.9}, timing=timing, **given)


def _body(**given: Any) -> dict[str, Any]:
    messages = [{'role': 'user', 'content': _PROMPT}]
    return {'model': _MODEL, 'messages': messages, **given}


async def _call(
    session: aiohttp.ClientSession, url: str, **given: Any
) -> tuple[int, dict[str, Any]]:
    async with session.post(
        f'{url}/v1/chat/completions', json=_body(**given)
    ) as response:
        return response.status, await response.json()


async def _get(session: aiohttp.ClientSession, url: str) -> Any:
    async with session.get(url) as response:
        return await response.json()


async def _stream(
    session: aiohttp.ClientSession, url: str, **given: Any
) -> tuple[list[bytes], str]:
    """Return the events and the text of a stream, as far as it came."""
    events: list[bytes] = []
    try:
        async with session.post(
            f'{url}/v1/chat/completions', json=_body(stream=True, **given)
        ) as response:
            async for line in response.content:
                if line.strip():
                    events.append(line.strip().removeprefix(b'data: '))
    except aiohttp.ClientError:
        pass
    chunks = [orjson.loads(event) for event in events if event != b'[DONE]']
    deltas = [
        chunk['choices'][0]['delta'] for chunk in chunks if chunk['choices']
    ]
    return events, ''.join(delta.get('content', '') for delta in deltas)


async def test_json(serve: _Serve, session: aiohttp.ClientSession) -> None:
    """Guards against an answer without its text, version or usage."""
    url = await serve(engine.make_app(_settings()))
    status, answer = await _call(session, url)
    assert status == 200
    assert answer['model'] == _MODEL
    assert answer['choices'][0]['message']['content'] == _WHOLE
    assert answer['choices'][0]['finish_reason'] == 'stop'
    tokens = len(_WHOLE.split())
    assert answer['usage'] == {
        'prompt_tokens': 3,
        'completion_tokens': tokens,
        'total_tokens': tokens + 3,
    }


async def test_stream(serve: _Serve, session: aiohttp.ClientSession) -> None:
    """Guards against a stream without usage or without its end mark."""
    url = await serve(engine.make_app(_settings()))
    events, text = await _stream(session, url)
    assert text == _WHOLE
    assert events[-1] == b'[DONE]'
    last = orjson.loads(events[-2])
    assert last['choices'] == []
    assert last['usage']['completion_tokens'] == len(_WHOLE.split())
    served = await _get(session, f'{url}/served')
    assert [entry['state'] for entry in served['served']] == ['completed']


@pytest.mark.parametrize('tokens', [0, 1, 7, 15])
async def test_broken_stream_resumes(
    serve: _Serve, session: aiohttp.ClientSession, tokens: int
) -> None:
    """Guards against a resumed stream that differs from an unbroken one."""
    first = await serve(engine.make_app(_settings()))
    second = await serve(engine.make_app(_settings()))
    await session.post(f'{first}/faults', json={'die_after_tokens': tokens})
    events, so_far = await _stream(session, first)
    assert b'[DONE]' not in events
    assert len(so_far.split()) <= tokens
    events, rest = await _stream(session, second, resume_text=so_far)
    assert so_far + rest == _WHOLE
    assert events[-1] == b'[DONE]'
    served = await _get(session, f'{first}/served')
    assert [entry['state'] for entry in served['served']] == ['broken']


@pytest.mark.parametrize(
    ('given', 'status'),
    [
        ({'model': 'clue@2'}, 404),
        ({'messages': 'x'}, 400),
        ({'messages': [{'role': 'user'}]}, 400),
        ({'max_tokens': 'many'}, 400),
        ({'max_tokens': 0}, 400),
        ({'resume_text': 'not the start'}, 400),
    ],
)
async def test_rejected(
    serve: _Serve,
    session: aiohttp.ClientSession,
    given: dict[str, Any],
    status: int,
) -> None:
    """Guards against running a request that the engine can't understand."""
    url = await serve(engine.make_app(_settings()))
    assert (await _call(session, url, **given))[0] == status
    assert (await _get(session, f'{url}/served'))['served'] == []


async def test_max_tokens(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against a resumed answer that is longer than was asked for."""
    url = await serve(engine.make_app(_settings()))
    _, answer = await _call(session, url, max_tokens=5)
    choice = answer['choices'][0]
    assert choice['finish_reason'] == 'length'
    text = choice['message']['content']
    assert text == ' '.join(_WHOLE.split()[:5])
    start = ' '.join(_WHOLE.split()[:2])
    _, answer = await _call(session, url, max_tokens=5, resume_text=start)
    assert start + answer['choices'][0]['message']['content'] == text


@pytest.mark.parametrize(
    ('given', 'status', 'started'),
    [
        ({'refuse': True}, 503, 0),
        ({'fail_share': 1}, 500, 0),
        ({'down': True}, None, 0),
        ({'lose_answers': 1}, None, 1),
        ({'die_after_tokens': 3}, None, 1),
        ({'hang': True}, None, 0),
        ({'slow_ms': 60_000}, None, 0),
    ],
)
@pytest.mark.parametrize('stream', [False, True])
async def test_fault(
    serve: _Serve,
    session: aiohttp.ClientSession,
    given: dict[str, Any],
    status: int | None,
    started: int,
    stream: bool,
) -> None:
    """Guards against a fault that is not seen or has the wrong effect."""
    url = await serve(engine.make_app(_settings()))
    await session.post(f'{url}/faults', json=given)
    seen = None
    try:
        async with session.post(
            f'{url}/v1/chat/completions',
            json=_body(stream=stream),
            timeout=aiohttp.ClientTimeout(total=0.3),
        ) as response:
            await response.read()
            seen = response.status
    except (aiohttp.ClientError, asyncio.TimeoutError):
        pass
    assert seen == status
    served = (await _get(session, f'{url}/served'))['served']
    assert len(served) == started


async def test_hang_mid_stream(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against a hung engine whose streams go on."""
    url = await serve(engine.make_app(_settings(step_ms=20)))
    async with session.post(
        f'{url}/v1/chat/completions', json=_body(stream=True)
    ) as response:
        await response.content.readline()
        await session.post(f'{url}/faults', json={'hang': True})
        with pytest.raises(asyncio.TimeoutError):
            await asyncio.wait_for(response.content.read(), 0.2)
        await session.delete(f'{url}/faults')
        assert (await response.content.read()).endswith(b'[DONE]\n\n')


async def test_cold_start(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against a cold engine that bears full load or never warms up."""
    url = await serve(
        engine.make_app(
            _settings(step_ms=3, cold=True, cold_limit=2, warm_after=3)
        )
    )
    answers = await asyncio.gather(*(_call(session, url) for _ in range(5)))
    assert sorted(status for status, _ in answers) == [200, 200, 500, 500, 500]
    served = await _get(session, f'{url}/served')
    assert served['cold_overloads'] == 3
    assert served['max_in_flight_cold'] == 2
    assert (await _get(session, f'{url}/load'))['cold']
    # Overload has set the warm-up back, so the two answers may not count.
    for _ in range(3):
        assert (await _call(session, url))[0] == 200
    assert not (await _get(session, f'{url}/load'))['cold']
    await session.post(f'{url}/faults', json={'cold': True})
    assert (await _get(session, f'{url}/load'))['cold']


async def test_full_queue(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against an engine that takes any load without failing."""
    url = await serve(
        engine.make_app(_settings(step_ms=5, capacity=2, max_queued=1))
    )
    answers = await asyncio.gather(*(_call(session, url) for _ in range(6)))
    assert sorted(status for status, _ in answers) == [200] * 3 + [503] * 3
    assert (await _get(session, f'{url}/served'))['max_in_flight'] == 3


async def test_cancel(serve: _Serve, session: aiohttp.ClientSession) -> None:
    """Guards against a cancelled stream that keeps its place."""
    url = await serve(engine.make_app(_settings(step_ms=20)))
    async with session.post(
        f'{url}/v1/chat/completions',
        json=_body(stream=True),
        headers={'X-Attempt-Id': 'a1'},
    ) as response:
        assert response.headers['X-Stream-Id'] == 'a1'
        async with session.post(f'{url}/streams/a1/cancel') as answer:
            assert answer.status == 200
        assert b'"finish_reason":"cancelled"' in await response.read()
    served = await _get(session, f'{url}/served')
    assert served['served'][0]['state'] == 'cancelled'
    assert (await _get(session, f'{url}/load'))['in_flight'] == 0
    async with session.post(f'{url}/streams/a1/cancel') as answer:
        assert answer.status == 404


async def test_same_attempt_id(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against a stream that hangs when another has its id."""
    url = await serve(engine.make_app(_settings()))

    async def call() -> str:
        async with session.post(
            f'{url}/v1/chat/completions',
            json=_body(),
            headers={'X-Attempt-Id': 'a1'},
        ) as response:
            answer = await response.json()
            return str(answer['choices'][0]['message']['content'])

    assert await asyncio.gather(call(), call()) == [_WHOLE, _WHOLE]


async def test_caller_leaves(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against work that goes on for a caller that has left."""
    url = await serve(engine.make_app(_settings(step_ms=10)))
    with pytest.raises(asyncio.TimeoutError):
        await asyncio.wait_for(_call(session, url), 0.1)
    while (await _get(session, f'{url}/load'))['in_flight']:
        await asyncio.sleep(0.01)
    served = (await _get(session, f'{url}/served'))['served']
    assert [entry['state'] for entry in served] == ['broken']


@pytest.mark.parametrize(
    ('checks', 'numbers', 'statuses'),
    [
        (True, [5, 4, 5, 6], [200, 409, 200, 200]),
        (False, [5, 4, 5, 6], [200, 200, 200, 200]),
    ],
)
async def test_fencing(
    serve: _Serve,
    session: aiohttp.ClientSession,
    checks: bool,
    numbers: list[int],
    statuses: list[int],
) -> None:
    """Guards against a fencing check where none is configured, or none."""
    url = await serve(
        engine.make_app(_settings(checks_fencing=checks, load_ms=0))
    )
    seen = []
    for number in numbers:
        order = {
            'order': 'load_version',
            'model': 'clue',
            'version': str(number),
            'fencing_number': number,
        }
        async with session.post(f'{url}/orders', json=order) as response:
            seen.append(response.status)
    assert seen == statuses
    orders = (await _get(session, f'{url}/served'))['orders']
    assert [order['accepted'] for order in orders] == [
        status == 200 for status in statuses
    ]
    loaded = (await _get(session, f'{url}/load'))['versions']
    assert ('clue@4' in loaded) is not checks


async def test_bad_version(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against a fault of quality that changes no answer, or breaks one.

    A stream that began before the fault must still be resumed.
    """
    url = await serve(engine.make_app(_settings()))
    await session.post(f'{url}/faults', json={'quality': {_MODEL: 0}})
    _, answer = await _call(session, url)
    text = answer['choices'][0]['message']['content']
    assert texts.is_complete(text, _PROMPT, _MODEL)
    assert texts.score(text) == 0
    _, answer = await _call(session, url, resume_text=_WHOLE[:60])
    assert _WHOLE[:60] + answer['choices'][0]['message']['content'] == _WHOLE


async def test_cache_events(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against cache events without lag, gaps or offsets."""
    url = await serve(engine.make_app(_settings(cache_blocks=2)))
    prompt = 'x' * texts.PREFIX_BLOCK_BYTES * 3
    messages = [{'role': 'user', 'content': prompt}]
    await _call(session, url, messages=messages)
    hashes = texts.prefix_hashes(prompt)
    seen = await _get(session, f'{url}/cache-events?from=0')
    assert [(event['kind'], event['prefix']) for event in seen['events']] == [
        ('stored', hashes[0]),
        ('stored', hashes[1]),
        ('stored', hashes[2]),
        ('evicted', hashes[0]),
    ]
    later = await _get(session, f'{url}/cache-events?from=2')
    assert later['events'] == seen['events'][2:]
    await session.post(f'{url}/faults', json={'lag_ms': 60_000})
    assert not (await _get(session, f'{url}/cache-events?from=0'))['events']
    await session.post(f'{url}/faults', json={'lag_ms': 0, 'gap_share': 1})
    await _call(session, url)
    await _call(session, url, messages=messages)
    assert await _get(session, f'{url}/cache-events?from=0') == seen


async def test_load_lag(serve: _Serve, session: aiohttp.ClientSession) -> None:
    """Guards against load reports that are always fresh."""
    url = await serve(engine.make_app(_settings()))
    await session.post(f'{url}/faults', json={'lag_ms': 60_000})
    await session.post(f'{url}/faults', json={'cold': True})
    report = await _get(session, f'{url}/load')
    assert (report['cold'], report['age_ms']) == (False, 60_000)
