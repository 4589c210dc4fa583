"""Tests of the platform's clients with services that answer twice."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import aiohttp
import orjson
import pytest

from yuccarouter_common.platform import (
    errors,
    exchanges,
    log,
    ratings,
    vms,
    weights,
)
from yuccarouter_testkit import raw_server

_LATE = raw_server.Timing.LATE
_NEXT = raw_server.Timing.NEXT
_ANSWER = ratings.Answer('r1', 'm', '1', 'k', 'prompt', 'answer')
_EMPTY = {'first_offset': 0, 'end_offset': 0}
_Call = Callable[[aiohttp.ClientSession, str], Awaitable[Any]]


def _append(session: aiohttp.ClientSession, url: str) -> Awaitable[Any]:
    return log.Client(session, url).append('s', 'a', 1)


def _read(session: aiohttp.ClientSession, url: str) -> Awaitable[Any]:
    return log.Client(session, url).read('s', 0)


def _list_vms(session: aiohttp.ClientSession, url: str) -> Awaitable[Any]:
    return vms.Client(session, url).fetch()


def _score(session: aiohttp.ClientSession, url: str) -> Awaitable[Any]:
    return ratings.Client(session, url).score(_ANSWER)


def _read_ratings(session: aiohttp.ClientSession, url: str) -> Awaitable[Any]:
    return ratings.Client(session, url).read(0)


def _load(session: aiohttp.ClientSession, url: str) -> Awaitable[Any]:
    return weights.Client(session, url).load('e', 'm', '1')


_CALLS: list[tuple[_Call, Any]] = [
    (_append, {'offset': 7, 'time_ms': 1}),
    (_read, {'records': [], **_EMPTY}),
    (_list_vms, []),
    (_score, {'score': 0.5}),
    (_read_ratings, {'ratings': [], **_EMPTY}),
    (_load, {}),
]


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with exchanges.new_session() as opened:
        yield opened


@pytest.mark.parametrize('timing', [_LATE, _NEXT])
@pytest.mark.parametrize(('call', 'document'), _CALLS)
async def test_late_second_answer(
    session: aiohttp.ClientSession,
    call: _Call,
    document: Any,
    timing: raw_server.Timing,
) -> None:
    """Guards against a refused call that takes an earlier call's answer.

    The service answers the first call twice and refuses the second one. An
    append would then count as written, and a read would return what another
    stream holds.
    """
    first = raw_server.framed(orjson.dumps(document))
    refusal = raw_server.framed(b'{}', status='503 Service Unavailable')
    answers = iter((first, refusal))
    surpluses = iter((first, b''))
    server = raw_server.RawServer(
        lambda _: next(answers), lambda _: next(surpluses), timing
    )
    async with raw_server.running(server):
        await call(session, server.url)
        await server.surplus_sent.wait()
        with pytest.raises(errors.UnavailableError):
            await call(session, server.url)
    assert len(server.requests) == 2
