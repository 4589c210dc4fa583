"""Tests of the load tool."""

from __future__ import annotations

import pathlib
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import attrs
import orjson
import pytest
from aiohttp import web

from yuccarouter_testkit import answers, load, load_report, load_run, mixes
from yuccarouter_testkit.stand_ins import batch, engine, plain_service, texts

_Serve = Callable[[web.Application], Awaitable[str]]
_MODEL = 'clue-checker@1'
_TEXT = ''.join(texts.answer_tokens('p', _MODEL))
_HEADERS = {'x-served-version': _MODEL}
_CHAT = mixes.Request('k', 1000, 'POST', '/v1', b'{}', prompt='p')
_EVENTS = attrs.evolve(_CHAT, stream=True)
_PAY = mixes.Request('k', 1000, 'POST', '/services/desk/payments', b'{"i":1}')
_GET = mixes.Request('k', 1000, 'GET', '/services/ledger/certificates/7', b'')


def _json(content: Any, status: int = 200, **headers: str) -> answers.Answer:
    return answers.Answer(status, headers, orjson.dumps(content))


def _chat(text: str, usage: Any = 1) -> answers.Answer:
    content = {'choices': [{'message': {'content': text}}], 'usage': usage}
    return attrs.evolve(_json(content), headers=_HEADERS)


def _events(text: str, *, usage: Any = 1, end: bool = True) -> answers.Answer:
    chunks = [{'choices': [{'delta': {'content': text}}]}]
    chunks.append({'choices': [], 'usage': usage})
    lines = [b'data: ' + orjson.dumps(chunk) for chunk in chunks]
    return answers.Answer(
        200, _HEADERS, lines=[*lines, *([b'data: [DONE]'] if end else [])]
    )


def _rejection(status: int, outcome: str, **headers: str) -> answers.Answer:
    error = {'code': 'overloaded', 'outcome': outcome}
    return _json({'error': error}, status, **headers)


_RETRY = {'retry-after': '1'}


@pytest.mark.parametrize(
    ('request_', 'answer', 'outcome'),
    [
        (_CHAT, _chat(_TEXT), 'complete'),
        (_CHAT, _chat(_TEXT[:-1]), 'wrong'),
        (_CHAT, _chat(_TEXT, usage=None), 'wrong'),
        (_CHAT, attrs.evolve(_chat(_TEXT), headers={}), 'wrong'),
        (attrs.evolve(_CHAT, prompt='q'), _chat(_TEXT), 'wrong'),
        (_CHAT, answers.Answer(200, _HEADERS, b'{'), 'wrong'),
        (_EVENTS, _events(_TEXT), 'complete'),
        (_EVENTS, _events(_TEXT, end=False), 'wrong'),
        (_EVENTS, _events(_TEXT, usage=None), 'wrong'),
        (_EVENTS, _events(_TEXT[5:]), 'wrong'),
        (_EVENTS, answers.Answer(200, _HEADERS), 'wrong'),
        (_PAY, _json({'echo': {'i': 1}}, 201), 'complete'),
        (_PAY, _json({'echo': {'i': 2}}, 201), 'wrong'),
        (_GET, _json({'certificate': '7'}), 'complete'),
        (_GET, _json({'certificate': '8'}), 'wrong'),
        (_PAY, _rejection(503, 'not_run', **_RETRY), 'rejected'),
        (_PAY, _rejection(409, 'unknown'), 'rejected'),
        (_PAY, _rejection(503, 'not_run'), 'wrong'),
        (_PAY, _rejection(503, 'maybe', **_RETRY), 'wrong'),
        (_PAY, answers.Answer(502, {}, b'Bad Gateway'), 'wrong'),
    ],
)
def test_check(
    request_: mixes.Request, answer: answers.Answer, outcome: str
) -> None:
    """Guards against a damaged, foreign or untruthful answer that passes."""
    assert answers.check(request_, answer).outcome == outcome


async def _state_version(_: web.Request, response: web.StreamResponse) -> None:
    response.headers['X-Served-Version'] = _MODEL


def _entry() -> web.Application:
    """An entry without routing: the doubles behind one address."""
    timing = batch.Timing(step_ms=0.1, stream_step_ms=0, prefill_ms=0.1)
    app = engine.make_app(engine.Settings({_MODEL: 1}, timing=timing))
    app.on_response_prepare.append(_state_version)
    desk = plain_service.make_app(plain_service.Settings())
    app.add_subapp('/services/desk', desk)
    ledger = plain_service.make_app(plain_service.Settings('ledger'))
    app.add_subapp('/services/ledger', ledger)
    return app


def _plan(url: str, mix: str = 'ratselwerk', **given: Any) -> load_run.Plan:
    plan = load_run.Plan(
        url=url,
        mix=mixes.MIXES[mix],
        model=_MODEL,
        organisation_key='k',
        run_id='run',
        rate=200,
        duration_s=0.3,
        max_open=100,
        seed=1,
    )
    return attrs.evolve(plan, **given)


@pytest.mark.parametrize('mix', sorted(mixes.MIXES))
async def test_mix(serve: _Serve, mix: str) -> None:
    """Guards against a mix whose requests an entry does not answer."""
    url = await serve(_entry())
    report = load_report.summarise(await load_run.run(_plan(url, mix)))
    assert report.lines[0].outcomes['complete'] == 60
    assert report.is_good(allow_session_moves=False)
    assert {line.kind for line in report.lines[1:]} == {
        kind.name for kind in mixes.MIXES[mix].kinds
    }
    assert report.versions == {_MODEL: report.versions[_MODEL]}
    assert report.lines[0].total.count == 60


@pytest.mark.parametrize(
    ('given', 'outcome'),
    [
        ({'die_after_tokens': 3}, 'lost'),
        ({'lose_answers': -1}, 'lost'),
        # The engine's own errors have no outcome and must not be passed on.
        ({'refuse': True}, 'wrong'),
    ],
)
async def test_faults_show(
    serve: _Serve,
    session: aiohttp.ClientSession,
    given: dict[str, Any],
    outcome: str,
) -> None:
    """Guards against a load run that calls failures good."""
    url = await serve(_entry())
    await session.post(f'{url}/faults', json=given)
    report = load_report.summarise(await load_run.run(_plan(url)))
    assert report.lines[0].outcomes[outcome] > 30
    assert not report.is_good(allow_session_moves=True)


async def test_latency_from_schedule(serve: _Serve) -> None:
    """Guards against coordinated omission.

    While the process is blocked for 0.3 s nothing is sent; the requests that
    were due in that time must show their wait.
    """
    blocked: list[bool] = []

    async def block(_: web.Request) -> web.Response:
        if not blocked:
            blocked.append(True)
            time.sleep(0.3)
        return web.Response(status=500)

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', block)
    plan = _plan(await serve(app), rate=100, duration_s=0.5)
    results = await load_run.run(plan)
    assert len(results) == 50
    assert sum(entry.total_ms >= 100 for entry in results) >= 20
    assert load_report.summarise(results).max_send_lag_ms >= 200


async def test_open_limit(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against a run without a bound of open requests."""
    url = await serve(_entry())
    await session.post(f'{url}/faults', json={'slow_ms': 500})
    plan = _plan(url, max_open=5, duration_s=0.1)
    report = load_report.summarise(await load_run.run(plan))
    assert report.lines[0].outcomes['not_sent'] == 15
    assert report.lines[0].requests == 20


@pytest.mark.parametrize(
    ('versions', 'moves'),
    [(['1', '1'], 0), (['1', '2', '2', '1'], 2), (['1', '', '1'], 0)],
)
def test_session_moves(versions: list[str], moves: int) -> None:
    """Guards against a session that changes its version unnoticed."""
    complete = answers.Verdict(answers.Outcome.COMPLETE)
    results = [
        load_run.Result('k', complete, 1, 1, 0, False, 's', version)
        for version in versions
    ]
    report = load_report.summarise(results)
    assert report.session_moves == moves
    assert report.is_good(allow_session_moves=False) is (moves == 0)


def test_percentiles() -> None:
    """Guards against percentiles of another quantity, unit or outcome."""
    complete = answers.Verdict(answers.Outcome.COMPLETE)
    results = [
        load_run.Result('k', complete, time_ms, time_ms / 2, 0, False)
        for time_ms in range(1, 101)
    ]
    lost = answers.Verdict(answers.Outcome.LOST)
    results.append(load_run.Result('k', lost, 9999, 9999, 0, True))
    line = load_report.summarise(results).lines[0]
    total = line.total
    measured = (total.p50_ms, total.p95_ms, total.p99_ms, total.max_ms)
    assert measured == pytest.approx((50, 95, 99, 100), rel=0.002)
    assert line.first_token.p95_ms == pytest.approx(47.5, rel=0.002)
    assert (line.late, total.count) == (1, 100)


@pytest.mark.parametrize(
    'given',
    [
        [],
        ['--url=http://127.0.0.1:1', '--rate=0'],
        ['--url=http://127.0.0.1:1', '--rate=1e6'],
        ['--url=http://127.0.0.1:1', '--duration_s=1e6'],
        ['--url=http://127.0.0.1:1', '--mix=other'],
        ['--url=http://127.0.0.1:1', '--max_open=100000'],
        ['--unknown'],
    ],
)
def test_usage(given: list[str]) -> None:
    """Guards against a run without bounds."""
    assert load.main(['load', *given]) == 2


def test_output(tmp_path: pathlib.Path) -> None:
    """Guards against a run that fails with exit status 0 or writes no file."""
    out = tmp_path / 'new' / 'load.json'
    status = load.main(
        ['load', '--url=http://127.0.0.1:1', '--duration_s=0.5', f'--out={out}']
    )
    assert status == 1
    document = orjson.loads(out.read_bytes())
    assert document['lines'][0]['outcomes']['lost'] == 5
