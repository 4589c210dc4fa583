"""Tests of the log's client against the log's double."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import attrs
import hypothesis
import pytest
from aiohttp import test_utils, web
from hypothesis import strategies

from yuccarouter_common.platform import errors
from yuccarouter_common.platform import log as client
from yuccarouter_testkit.stand_ins import log, serving

_Serve = Callable[[web.Application], Awaitable[str]]


async def _inject(
    session: aiohttp.ClientSession, url: str, **given: Any
) -> None:
    async with session.post(f'{url}/faults', json=given) as response:
        assert response.status == 200, await response.text()


async def _append_once(
    writer: client.Client, append_id: str, payload: Any
) -> client.Appended:
    """Append as writers do: a lost answer is looked up by ``append_id``."""
    is_unknown = False
    while True:
        try:
            if is_unknown:
                found = await writer.find('s', append_id, 0)
                if found is not None:
                    return found
            is_unknown = False
            return await writer.append('s', append_id, payload)
        except errors.UnavailableError:
            continue
        except errors.AnswerLostError:
            is_unknown = True


@pytest.mark.parametrize(
    ('given', 'error', 'appended'),
    [
        ({}, None, 1),
        ({'refuse': True}, errors.UnavailableError, 0),
        ({'fail_share': 1}, errors.AnswerLostError, 0),
        ({'fail_after_effect': True}, errors.AnswerLostError, 1),
        ({'down': True}, errors.AnswerLostError, 0),
        ({'lose_answers': 1}, errors.AnswerLostError, 1),
        ({'lose_answers': -1}, errors.AnswerLostError, 1),
        ({'slow_ms': 60_000}, errors.AnswerLostError, 0),
    ],
)
async def test_append_fault(
    serve: _Serve,
    session: aiohttp.ClientSession,
    given: dict[str, Any],
    error: type[Exception] | None,
    appended: int,
) -> None:
    """Guards against an append reported as without effect that took effect."""
    url = await serve(log.make_app(log.Settings()))
    writer = client.Client(session, url)
    await _inject(session, url, **given)
    if error is None:
        await writer.append('s', 'a', 1)
    else:
        with pytest.raises(error):
            await writer.append('s', 'a', 1, timeout_s=0.5)
    await session.delete(f'{url}/faults')
    batch = await writer.read('s', 0)
    assert len(batch.records) == appended
    assert (await writer.find('s', 'a', 0) is not None) is bool(appended)


async def test_unreachable(session: aiohttp.ClientSession) -> None:
    """Guards against a refused connection counting as a lost answer."""
    writer = client.Client(
        session, f'http://127.0.0.1:{test_utils.unused_port()}'
    )
    with pytest.raises(errors.UnavailableError):
        await writer.append('s', 'a', 1)


@pytest.mark.parametrize('given', [{'slow_ms': 300}, {'hang': True}])
async def test_late_append(
    serve: _Serve, session: aiohttp.ClientSession, given: dict[str, Any]
) -> None:
    """Guards against a double that cancels an append with its connection.

    A real log may append after the writer has given up and has read the
    stream to its end, so a ``None`` of ``find`` holds only for that moment.
    """
    url = await serve(log.make_app(log.Settings()))
    writer = client.Client(session, url)
    await _inject(session, url, **given)
    with pytest.raises(errors.AnswerLostError):
        await writer.append('s', 'late', 1, timeout_s=0.05)
    await session.delete(f'{url}/faults')
    batch = await writer.read('s', 0, wait_ms=5000)
    assert [entry.append_id for entry in batch.records] == ['late']


async def test_find_far(serve: _Serve, session: aiohttp.ClientSession) -> None:
    """Guards against a search that ends after the first page of records."""
    url = await serve(log.make_app(log.Settings(appends_per_s=1e6)))
    writer = client.Client(session, url)
    for number in range(1001):
        last = await writer.append('s', str(number), number)
    assert await writer.find('s', '1000', 0) == last
    assert await writer.find('s', '1001', 0) is None


@pytest.mark.parametrize('body', [b'', b'[]', b'{"append_id": "a"}'])
async def test_bad_append(
    serve: _Serve, session: aiohttp.ClientSession, body: bytes
) -> None:
    """Guards against a double that accepts what the log would reject."""
    url = await serve(log.make_app(log.Settings()))
    async with session.post(f'{url}/streams/s/records', data=body) as answer:
        assert answer.status == 400


@pytest.mark.parametrize('given', [{'no_such': 1}, {'lose_answers': 'x'}, []])
async def test_unknown_fault(
    serve: _Serve, session: aiohttp.ClientSession, given: Any
) -> None:
    """Guards against a test that believes in a fault that has no effect."""
    url = await serve(log.make_app(log.Settings()))
    async with session.post(f'{url}/faults', json=given) as answer:
        assert answer.status == 400


async def test_long_poll(serve: _Serve, session: aiohttp.ClientSession) -> None:
    """Guards against a poll that misses an append or a rewind."""
    url = await serve(log.make_app(log.Settings()))
    reader = client.Client(session, url)
    await reader.append('s', 'a', 1)
    poll = asyncio.create_task(reader.read('s', 1, wait_ms=30_000))
    await reader.append('other', 'x', 0)
    await reader.append('s', 'b', 2)
    batch = await asyncio.wait_for(poll, 5)
    assert [entry.payload for entry in batch.records] == [2]
    poll = asyncio.create_task(reader.read('s', 2, wait_ms=30_000))
    await asyncio.sleep(0.02)
    await _inject(session, url, rewind_to=1, stream='s')
    batch = await asyncio.wait_for(poll, 5)
    assert (batch.records, batch.end_offset) == ([], 1)
    assert (await reader.read('other', 0)).end_offset == 1


async def test_lag(serve: _Serve, session: aiohttp.ClientSession) -> None:
    """Guards against a lag that hides a record forever or not at all."""
    url = await serve(log.make_app(log.Settings()))
    reader = client.Client(session, url)
    await _inject(session, url, lag_ms=60_000)
    await reader.append('s', 'a', 1)
    batch = await reader.read('s', 0)
    assert (batch.records, batch.end_offset) == ([], 0)
    await _inject(session, url, lag_ms=1)
    assert len((await reader.read('s', 0, wait_ms=5000)).records) == 1


async def test_limits(serve: _Serve, session: aiohttp.ClientSession) -> None:
    """Guards against a log without a rate or a retention limit."""
    settings = log.Settings(
        appends_per_s=50, max_queue_ms=100, retention_records=3
    )
    url = await serve(log.make_app(settings))
    writer = client.Client(session, url)
    results = await asyncio.gather(
        *(writer.append('s', str(number), number) for number in range(40)),
        return_exceptions=True,
    )
    refused = [entry for entry in results if isinstance(entry, Exception)]
    assert {type(entry) for entry in refused} == {errors.UnavailableError}
    batch = await writer.read('s', 0)
    assert batch.end_offset == 40 - len(refused)
    assert batch.first_offset == batch.end_offset - 3
    assert [entry.offset for entry in batch.records] == list(
        range(batch.first_offset, batch.end_offset)
    )


@attrs.define
class _NaiveLog:
    """A log as plain as can be, in memory."""

    entries: list[tuple[str, int]] = attrs.field(factory=list)
    first: int = 0

    def read(self, start: int, limit: int) -> tuple[Any, int, int]:
        found = [
            (offset, *self.entries[offset])
            for offset in range(len(self.entries))
            if offset >= max(start, self.first)
        ]
        return found[:limit], self.first, len(self.entries)


_FAULTS = strategies.sampled_from(
    [{}, {'lose_answers': 1}, {'lose_answers': 2}, {'fail_share': 0.5}]
)
_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('append'), _FAULTS, strategies.integers(1, 4)
        ),
        strategies.tuples(
            strategies.just('read'),
            strategies.integers(0, 12),
            strategies.integers(1, 5),
        ),
        strategies.tuples(
            strategies.sampled_from(['rewind_to', 'truncate_to']),
            strategies.integers(0, 12),
            strategies.just(0),
        ),
    ),
    max_size=12,
)


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
@hypothesis.given(steps=_STEPS)
def test_differential(steps: list[tuple[str, Any, int]]) -> None:
    """Guards against records lost, doubled or moved compared to a naive log.

    Appends meet lost answers and failures; the log is rewound and truncated.
    """
    asyncio.run(_run_steps(steps))


async def _run_steps(steps: list[tuple[str, Any, int]]) -> None:
    naive = _NaiveLog()
    runner = await serving.start(log.make_app(log.Settings(appends_per_s=1e6)))
    url = serving.url_of(runner)
    async with aiohttp.ClientSession() as session:
        writer = client.Client(session, url)
        for index, (kind, first, second) in enumerate(steps):
            if kind == 'append':
                await _inject(session, url, **first)
                appended = await asyncio.gather(
                    *(
                        _append_once(writer, f'{index}/{number}', number)
                        for number in range(second)
                    )
                )
                await session.delete(f'{url}/faults')
                # Concurrent appends have any order, but one offset each.
                order = sorted(
                    range(second), key=lambda number: appended[number].offset
                )
                assert [appended[number].offset for number in order] == list(
                    range(len(naive.entries), len(naive.entries) + second)
                )
                naive.entries += [(f'{index}/{n}', n) for n in order]
            elif kind == 'read':
                batch = await writer.read('s', first, limit=second)
                found = [
                    (entry.offset, entry.append_id, entry.payload)
                    for entry in batch.records
                ]
                assert (found, batch.first_offset, batch.end_offset) == (
                    naive.read(first, second)
                )
            else:
                await _inject(session, url, **{kind: first})
                if kind == 'rewind_to':
                    del naive.entries[first:]
                    naive.first = min(naive.first, len(naive.entries))
                else:
                    kept = min(first, len(naive.entries))
                    naive.first = max(naive.first, kept)
    await runner.cleanup()
