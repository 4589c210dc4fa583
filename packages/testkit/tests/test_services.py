"""Tests of the plain service and of the clients of the platform's services."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import pytest
from aiohttp import test_utils, web

from yuccarouter_common.platform import errors, log, ratings, vms, weights
from yuccarouter_testkit.stand_ins import plain_service
from yuccarouter_testkit.stand_ins import ratings as rating_double
from yuccarouter_testkit.stand_ins import vms as vm_double
from yuccarouter_testkit.stand_ins import weights as weight_double

_Serve = Callable[[web.Application], Awaitable[str]]
_VM = vms.Vm('vm-1', '10.0.0.1:7000', 'kochi', vms.State.LIVE, 'agent', 'e1')
_GOOD = ratings.Answer('r1', 'clue', '1', 'notes', 'p', 'anagram clear')
_POOR = ratings.Answer('r2', 'clue', '2', 'notes', 'p', 'unsure anagram')


async def _inject(
    session: aiohttp.ClientSession, url: str, **given: Any
) -> None:
    async with session.post(f'{url}/faults', json=given) as response:
        assert response.status == 200, await response.text()


async def _fetch_vms(session: aiohttp.ClientSession, url: str) -> None:
    await vms.Client(session, url).fetch(timeout_s=0.5)


async def _score(session: aiohttp.ClientSession, url: str) -> None:
    await ratings.Client(session, url).score(_GOOD, timeout_s=0.5)


async def _read_ratings(session: aiohttp.ClientSession, url: str) -> None:
    await ratings.Client(session, url).read(0, timeout_s=0.5)


async def _read_log(session: aiohttp.ClientSession, url: str) -> None:
    await log.Client(session, url).read('s', 0)


async def _load(session: aiohttp.ClientSession, url: str) -> None:
    await weights.Client(session, url).load('e', 'm', '1', timeout_s=0.5)


def _vm_app() -> web.Application:
    return vm_double.make_app(vm_double.Settings())


def _rating_app() -> web.Application:
    return rating_double.make_app(rating_double.Settings())


def _weight_app() -> web.Application:
    return weight_double.make_app(weight_double.Settings())


@pytest.mark.parametrize(
    ('make_app', 'call', 'lost'),
    [
        (_vm_app, _fetch_vms, errors.UnavailableError),
        (_rating_app, _score, errors.UnavailableError),
        (_rating_app, _read_ratings, errors.UnavailableError),
        # Only a load has an effect that a lost answer leaves open.
        (_weight_app, _load, errors.AnswerLostError),
    ],
)
@pytest.mark.parametrize(
    ('given', 'without_effect'),
    [
        ({'refuse': True}, True),
        ({'fail_share': 1}, False),
        ({'fail_after_effect': True}, False),
        ({'down': True}, False),
        # All, because aiohttp repeats a GET whose connection is closed.
        ({'lose_answers': -1}, False),
        ({'slow_ms': 60_000}, False),
        ({'hang': True}, False),
    ],
)
async def test_fault(
    serve: _Serve,
    session: aiohttp.ClientSession,
    make_app: Callable[[], web.Application],
    call: Callable[..., Awaitable[None]],
    lost: type[errors.PlatformError],
    given: dict[str, Any],
    without_effect: bool,
) -> None:
    """Guards against a library's error or a wrong claim of no effect."""
    url = await serve(make_app())
    await _inject(session, url, **given)
    expected = errors.UnavailableError if without_effect else lost
    with pytest.raises(expected):
        await call(session, url)
    await session.delete(f'{url}/faults')
    await call(session, url)


@pytest.mark.parametrize('call', [_fetch_vms, _score, _read_ratings, _load])
async def test_unreachable(
    session: aiohttp.ClientSession, call: Callable[..., Awaitable[None]]
) -> None:
    """Guards against a refused connection that counts as a lost answer."""
    url = f'http://127.0.0.1:{test_utils.unused_port()}'
    with pytest.raises(errors.UnavailableError):
        await call(session, url)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'null',
        b'[{"vm": "a"}]',
        b'{"score": "high"}',
        b'{"score": 1.5}',
        b'{"score": -0.1}',
    ],
)
@pytest.mark.parametrize('call', [_fetch_vms, _score, _read_ratings, _read_log])
async def test_bad_answer(
    serve: _Serve,
    session: aiohttp.ClientSession,
    body: bytes,
    call: Callable[..., Awaitable[None]],
) -> None:
    """Guards against an answer outside the interface that is believed."""

    async def answer(_: web.Request) -> web.Response:
        return web.Response(body=body)

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', answer)
    url = await serve(app)
    with pytest.raises(errors.BadAnswerError):
        await call(session, url)


async def test_vm_list(serve: _Serve, session: aiohttp.ClientSession) -> None:
    """Guards against a list without lag, or one that never catches up."""
    url = await serve(vm_double.make_app(vm_double.Settings([_VM])))
    client = vms.Client(session, url)
    assert await client.fetch() == [_VM]
    await _inject(session, url, lag_ms=60_000)
    leaving = {**_vm_fields(), 'state': 'leaving'}
    async with session.put(f'{url}/vms/vm-1', json=leaving) as response:
        assert response.status == 200
    assert await client.fetch() == [_VM]
    await _inject(session, url, frozen=True)
    await _inject(session, url, lag_ms=0)
    assert await client.fetch() == [_VM]
    await _inject(session, url, frozen=False)
    assert [vm.state for vm in await client.fetch()] == [vms.State.LEAVING]
    await _inject(session, url, missing=['vm-1'])
    assert await client.fetch() == []
    await session.delete(f'{url}/faults')
    await session.delete(f'{url}/vms/vm-1')
    assert await client.fetch() == []


def _vm_fields() -> dict[str, str]:
    return {
        'vm': _VM.vm,
        'address': _VM.address,
        'data_centre': _VM.data_centre,
        'role': _VM.role,
        'endpoint': _VM.endpoint,
    }


@pytest.mark.parametrize(
    ('given', 'scores'),
    [
        ({}, (1, 0.5)),
        ({'bias': -0.25}, (0.75, 0.25)),
        ({'bias': 0.25}, (1, 0.75)),
        ({'version_bias': {'clue@2': 0.5}}, (1, 1)),
    ],
)
async def test_bias(
    serve: _Serve,
    session: aiohttp.ClientSession,
    given: dict[str, Any],
    scores: tuple[float, float],
) -> None:
    """Guards against a bias without effect and against scores beyond 0..1."""
    url = await serve(_rating_app())
    await _inject(session, url, **given)
    client = ratings.Client(session, url)
    assert (await client.score(_GOOD), await client.score(_POOR)) == scores


async def test_published_ratings(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against a rating that is published twice, early or never."""
    url = await serve(_rating_app())
    client = ratings.Client(session, url)
    await _inject(session, url, lag_ms=60_000)
    for answer in (_GOOD, _POOR, _GOOD):
        await client.score(answer)
    assert await client.read(0) == ratings.Batch([], 0, 0)
    await _inject(session, url, lag_ms=0)
    batch = await client.read(0)
    assert [rating.request_id for rating in batch.ratings] == ['r1', 'r2']
    assert [rating.offset for rating in batch.ratings] == [0, 1]
    assert (await client.read(1)).ratings == batch.ratings[1:]
    assert (batch.first_offset, batch.end_offset) == (0, 2)


async def test_rate_limit(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against a store without a limit, or a lost time to wait."""
    settings = weight_double.Settings(loads_per_s=0.25, burst=2)
    url = await serve(weight_double.make_app(settings))
    client = weights.Client(session, url)
    results = await asyncio.gather(
        *(client.load(f'e{number}', 'm', '1') for number in range(5)),
        return_exceptions=True,
    )
    limited = [entry for entry in results if entry is not None]
    assert len(limited) == 3
    for error in limited:
        assert isinstance(error, errors.RateLimitedError)
        assert error.retry_after_ms == 4000
    async with session.get(f'{url}/loads/granted') as response:
        shown = await response.json()
    assert (len(shown['granted']), shown['refused']) == (2, 3)


async def _pay(session: aiohttp.ClientSession, url: str, key: str) -> int:
    async with session.post(
        f'{url}/payments',
        json={'setter': 'x'},
        headers={'Idempotency-Key': key},
        timeout=aiohttp.ClientTimeout(total=0.3),
    ) as response:
        await response.read()
        return response.status


async def _count(session: aiohttp.ClientSession, url: str) -> dict[str, int]:
    async with session.get(f'{url}/calls') as response:
        calls = (await response.json())['calls']
    return {call['key']: call['count'] for call in calls}


@pytest.mark.parametrize(
    ('given', 'status', 'runs'),
    [
        ({}, 201, 1),
        ({'refuse': True}, 503, 0),
        ({'fail_share': 1}, 500, 0),
        ({'fail_after_effect': True}, 500, 1),
        ({'down': True}, None, 0),
        ({'lose_answers': 1}, None, 1),
        ({'hang': True}, None, 0),
        ({'slow_ms': 60_000}, None, 0),
    ],
)
async def test_payment_fault(
    serve: _Serve,
    session: aiohttp.ClientSession,
    given: dict[str, Any],
    status: int | None,
    runs: int,
) -> None:
    """Guards against a miscounted effect, which would hide a double payment."""
    url = await serve(plain_service.make_app(plain_service.Settings()))
    await _inject(session, url, **given)
    seen = None
    try:
        seen = await _pay(session, url, 'k1')
    except (aiohttp.ClientError, asyncio.TimeoutError):
        pass
    assert seen == status
    assert (await _count(session, url)).get('k1', 0) == runs


async def test_double_payment(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against a double that hides a request that is run twice."""
    url = await serve(plain_service.make_app(plain_service.Settings()))
    for key in ('k1', 'k2', 'k1'):
        assert await _pay(session, url, key) == 201
    assert await _count(session, url) == {'k1': 2, 'k2': 1}
    for method in ('PUT', 'DELETE'):
        async with session.request(
            method,
            f'{url}/payments/7',
            headers={'Idempotency-Key': method},
        ) as response:
            assert response.status == 201
    assert await _count(session, url) == {
        'k1': 2,
        'k2': 1,
        'PUT': 1,
        'DELETE': 1,
    }


async def test_cold_service(
    serve: _Serve, session: aiohttp.ClientSession
) -> None:
    """Guards against a cold service that bears full load or never warms up."""
    settings = plain_service.Settings(
        cold=True, cold_limit=1, warm_after=2, work_ms=20
    )
    url = await serve(plain_service.make_app(settings))
    statuses = await asyncio.gather(
        *(_pay(session, url, str(number)) for number in range(3))
    )
    assert sorted(statuses) == [201, 500, 500]
    assert sum((await _count(session, url)).values()) == 1
    for number in range(2):
        await _pay(session, url, f'later-{number}')
    async with session.get(f'{url}/load') as response:
        assert not (await response.json())['cold']
