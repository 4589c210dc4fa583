"""Tests of claims, outcomes and releases through owners of a partition."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest

from yuccarouter.registry import (
    items,
    loading,
    owner,
    partitioning,
    replies,
    writer,
)
from yuccarouter_common import billing_rows
from yuccarouter_common.proto import router_pb2
from yuccarouter_testkit import memory_log

_KEY = 'thanupp/handover-7'
_NUMBER = partitioning.partition_of(_KEY)
_STREAM = partitioning.stream_of(_NUMBER)
_WINDOW_MS = 3_600_000


class _Clock:
    """Clock of the log."""

    now_ms = 10 * _WINDOW_MS

    def __call__(self) -> int:
        return self.now_ms


@pytest.fixture
def clock() -> _Clock:
    return _Clock()


@pytest.fixture
def log(clock: _Clock) -> memory_log.MemoryLog:
    return memory_log.MemoryLog(clock)


@contextlib.asynccontextmanager
async def running(
    log: memory_log.MemoryLog, count: int = 1
) -> AsyncIterator[list[owner.Owner]]:
    owners = [
        owner.Owner(log, _WINDOW_MS, min_interval_ms=1, wait_ms=5)
        for _ in range(count)
    ]
    async with contextlib.AsyncExitStack() as stack:
        for one in owners:
            await stack.enter_async_context(one)
        yield owners


_ROW = billing_rows.BillRow('r', 'o', '', '', 'k', 0, 0, 7, 'entry-1', 'a', 1)


def claim(attempt: str, **fields: Any) -> router_pb2.ClaimRequest:
    return router_pb2.ClaimRequest(
        key=_KEY,
        partition=_NUMBER,
        attempt_id=attempt,
        **{'value': attempt, 'timeout_ms': 2000, **fields},
    )


def record(attempt: str, item: str, **fields: Any) -> router_pb2.RecordRequest:
    return router_pb2.RecordRequest(
        key=_KEY, partition=_NUMBER, attempt_id=attempt, item=item, **fields
    )


async def test_one_winner(log: memory_log.MemoryLog) -> None:
    """Guards against a key that is won twice.

    Several owners of a partition claim it at the same time. The same key with
    another body must be a conflict.
    """
    async with running(log, 3) as owners:
        claimed = await asyncio.gather(
            *(
                one.claim(claim(f'{index}-{number}'))
                for index, one in enumerate(owners)
                for number in range(4)
            )
        )
        states = sorted(reply.state for reply in claimed)
        assert states == ['lost'] * 11 + ['won']
        assert len({reply.holder_attempt_id for reply in claimed}) == 1
        other = await owners[0].claim(claim('x', body_digest='other'))
        assert other.state == replies.CONFLICT


@pytest.mark.parametrize(
    ('encoded', 'expected'),
    [
        (billing_rows.encode_row(_ROW), _ROW),
        (b'{}', None),
        (b'not JSON', None),
        (None, None),
    ],
)
def test_bill_row_in_the_outcome(
    encoded: bytes | None, expected: billing_rows.BillRow | None
) -> None:
    """Guards against an outcome lost because its bill row is malformed."""
    item = replies.item_to_record(record('a', 'outcome', bill_row=encoded))
    assert item is not None
    [read] = items.decode(items.encode([item]))
    assert isinstance(read, items.Outcome)
    assert read.bill_row == expected


async def test_outcome_is_replayed(log: memory_log.MemoryLog) -> None:
    """Guards against a repeated request that runs again.

    After an owner restarts, the outcome must be read from the stream. Only
    the attempt that holds the key may record it.
    """
    async with running(log) as [first]:
        assert (await first.claim(claim('a'))).state == replies.WON
        assert (await first.claim(claim('a'))).state == replies.WON
        reply = await first.record(record('b', 'outcome', status=500))
        assert not reply.recorded
        reply = await first.record(
            record('a', 'outcome', status=201, body=b'\xff{}')
        )
        assert reply.recorded
        assert (await first.claim(claim('a'))).state == replies.LOST
        assert not (await first.record(record('a', 'release'))).recorded
    async with running(log) as [second]:
        reply = await second.claim(claim('c'))
    assert (reply.state, reply.has_outcome) == (replies.LOST, True)
    assert (reply.status, reply.body) == (201, b'\xff{}')


async def test_release(log: memory_log.MemoryLog) -> None:
    """Guards against a key that stays held by an attempt that never ran.

    A release must free the key at every owner, and only for its own attempt.
    """
    async with running(log, 2) as [one, two]:
        assert (await one.claim(claim('a'))).state == replies.WON
        await two.record(record('b', 'release'))
        assert (await two.claim(claim('c'))).state == replies.LOST
        assert (await two.record(record('a', 'release'))).recorded
        assert (await two.claim(claim('d'))).state == replies.WON
        assert (await one.claim(claim('a'))).state == replies.UNAVAILABLE


@pytest.mark.parametrize(
    ('lose', 'delay'), [(1, 0), (3, 0), (0, 1), (0, 3), (1, 1)]
)
async def test_lost_answers(
    log: memory_log.MemoryLog, lose: int, delay: int
) -> None:
    """Guards against a claim in the log that is reported as failed.

    The answers to some appends are lost. Delayed appends enter the log again
    after the release and must not hold the key.
    """
    async with running(log, 2) as [one, two]:
        log.lose_answers = lose
        log.delay_appends = delay
        assert (await one.claim(claim('a'))).state == replies.WON
        assert (await one.record(record('a', 'release'))).recorded
        log.deliver_late()
        assert (await two.claim(claim('b'))).state == replies.WON


@pytest.mark.parametrize('fault', ['late', 'lost', 'down'])
async def test_given_up(log: memory_log.MemoryLog, fault: str) -> None:
    """Guards against a claim that is won after its caller was refused.

    The append fails, takes effect without an answer, or takes effect late,
    and the call times out. Repeating the call must not win while the claim may
    be in the log, and the key must become free again.
    """
    async with running(log, 2) as [one, two]:
        assert (await one.claim(claim('warm-up'))).state == replies.WON
        assert (await one.record(record('warm-up', 'release'))).recorded
        log.delay_appends = int(fault == 'late')
        log.lose_answers = int(fault == 'lost')
        log.down = fault == 'down'
        log.fails_at_append = fault != 'down'
        reply = await one.claim(claim('a', timeout_ms=50))
        assert reply.state == replies.UNAVAILABLE
        assert log.down
        log.fails_at_append = False
        log.down = False
        log.deliver_late()
        if fault != 'down':
            again = await one.claim(claim('a', timeout_ms=2000))
            assert again.state == replies.UNAVAILABLE
        async with asyncio.timeout(5):
            number = 0
            while (await two.claim(claim(f'b{number}'))).state != replies.WON:
                number += 1
                await asyncio.sleep(0.01)


async def test_same_attempt_at_another_owner(
    log: memory_log.MemoryLog,
) -> None:
    """Guards against two owners that both report one claim as won.

    One of them could release the claim while the attempt runs.
    """
    async with running(log, 2) as [one, two]:
        assert (await one.claim(claim('a'))).state == replies.WON
        reply = await two.claim(claim('a'))
    assert (reply.state, reply.holder_attempt_id) == (replies.LOST, 'a')


async def test_cancelled_call(log: memory_log.MemoryLog) -> None:
    """Guards against a key that stays held for a cancelled call.

    The caller hangs up while its claim is being written.
    """
    async with running(log, 2) as [one, two]:
        log.delay_s = 0.02
        task = asyncio.create_task(one.claim(claim('a')))
        await asyncio.sleep(0.25)
        task = asyncio.create_task(two.claim(claim('x', timeout_ms=1)))
        assert (await task).state == replies.UNAVAILABLE
        log.delay_s = 0
        await one.record(record('a', 'release'))
        cancelled = asyncio.create_task(one.claim(claim('b')))
        await asyncio.sleep(0)
        cancelled.cancel()
        with pytest.raises(asyncio.CancelledError):
            await cancelled
        async with asyncio.timeout(5):
            number = 0
            while (await two.claim(claim(f'c{number}'))).state != replies.WON:
                number += 1
                await asyncio.sleep(0.01)


async def test_unavailable_log(log: memory_log.MemoryLog) -> None:
    """Guards against a claim that is won while the log is unavailable.

    A recorded outcome is still replayed from memory.
    """
    async with running(log) as [one]:
        assert (await one.claim(claim('a'))).state == replies.WON
        await one.record(record('a', 'outcome', status=200))
        log.down = True
        replay = await one.claim(claim('b'))
        assert replay.has_outcome
    async with running(log) as [late]:
        reply = await late.claim(claim('c', timeout_ms=20))
        assert reply.state == replies.UNAVAILABLE
        assert reply.retry_after_ms


@pytest.mark.parametrize(
    ('key_age_ms', 'state'),
    [
        (0, replies.WON),
        (_WINDOW_MS - 1000, replies.WON),
        (_WINDOW_MS + 1000, replies.EXPIRED),
        (-50_000, replies.WON),
        (-100_000, replies.EXPIRED),
    ],
)
async def test_key_time(
    log: memory_log.MemoryLog, clock: _Clock, key_age_ms: int, state: str
) -> None:
    """Guards against a key that runs again after its claim has expired.

    The time of the key must be within the window and not far in the future.
    """
    async with running(log) as [one]:
        key_time_ms = clock.now_ms - key_age_ms
        reply = await one.claim(claim('a', key_time_ms=key_time_ms))
        assert reply.state == state


async def test_expiry(log: memory_log.MemoryLog, clock: _Clock) -> None:
    """Guards against claims that stay in memory after their expiry.

    Their keys must be refused afterwards instead of running again.
    """
    key_time_ms = clock.now_ms
    async with running(log) as [one]:
        reply = await one.claim(claim('a', key_time_ms=key_time_ms))
        assert reply.state == replies.WON
        clock.now_ms += 3 * _WINDOW_MS
        log.add(_STREAM, 'x', items.encode([]))
        await asyncio.sleep(0.05)
        reply = await one.claim(claim('b', key_time_ms=key_time_ms))
        assert reply.state == replies.EXPIRED
    loaded = await loading.load(log, _STREAM, _WINDOW_MS)
    assert not len(loaded.state)


@pytest.mark.parametrize('dropped', ['some', 'all'])
async def test_truncated_history(
    log: memory_log.MemoryLog, clock: _Clock, dropped: str
) -> None:
    """Guards against a key that runs again after the log dropped its claim.

    Retention removes some or all records while no owner is running. Keys
    first used after the gap must be granted.
    """
    async with running(log) as [one]:
        assert (await one.claim(claim('a'))).state == replies.WON
    clock.now_ms += 1000
    log.add(_STREAM, 'x', items.encode([]))
    log.truncate(_STREAM, 1 if dropped == 'some' else 2)
    async with running(log) as [late]:
        assert (await late.claim(claim('b'))).state == replies.EXPIRED
        async with asyncio.timeout(5):
            while dropped == 'all' and log.stream(_STREAM).end_offset == 2:
                await asyncio.sleep(0.01)
        clock.now_ms += 70_000
        reply = await late.claim(claim('c', key_time_ms=clock.now_ms))
        assert reply.state == replies.WON


async def test_rewound_stream(log: memory_log.MemoryLog, clock: _Clock) -> None:
    """Guards against a key that runs again after the log lost its claim.

    The stream is rewound, as by a restore from a backup. Keys first used
    after the gap must be granted.
    """
    async with running(log, 2) as [one, two]:
        assert (await one.claim(claim('a'))).state == replies.WON
        assert (await two.claim(claim('b'))).state == replies.LOST
        log.rewind(_STREAM, 0)
        await asyncio.sleep(0.05)
        assert (await one.claim(claim('c'))).state == replies.EXPIRED
        assert (await two.claim(claim('d'))).state == replies.EXPIRED
    async with running(log) as [late]:
        assert (await late.claim(claim('e'))).state == replies.EXPIRED
        clock.now_ms += 70_000
        reply = await late.claim(claim('f', key_time_ms=clock.now_ms))
        assert reply.state == replies.WON


def test_partitions() -> None:
    """Guards against a leaving agent that moves partitions of other agents."""
    agents = [f'agent-{number}' for number in range(20)]
    before = [
        partitioning.preferred_agents(number, agents)[0] for number in range(32)
    ]
    after = [
        partitioning.preferred_agents(number, agents[1:])[0]
        for number in range(32)
    ]
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) <= {'agent-0'}
    assert len(set(before)) > 10


async def test_repeated_call_times_out_as_the_first_wins(
    log: memory_log.MemoryLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the release of a claim that was reported as won.

    Two calls for one attempt run at the same time. Blocking the event loop
    lets the second one time out after the first has been answered, but before
    the second one resumes.
    """
    add = writer.Writer.add

    def slow_add(queue: writer.Writer, item: items.Item) -> writer.PendingItem:
        pending = add(queue, item)
        pending.read_back.add_done_callback(lambda _: time.sleep(0.3))
        return pending

    async with running(log, 2) as [one, two]:
        assert (await one.claim(claim('a'))).state == replies.WON
        assert (await one.record(record('a', 'release'))).recorded
        monkeypatch.setattr(writer.Writer, 'add', slow_add)
        first = asyncio.create_task(one.claim(claim('b')))
        second = asyncio.create_task(one.claim(claim('b', timeout_ms=200)))
        states = {(await first).state, (await second).state}
        monkeypatch.undo()
        await asyncio.sleep(0.05)
        reply = await two.claim(claim('c'))
    assert replies.WON in states
    assert reply.state == replies.LOST
