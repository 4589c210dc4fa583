"""Tests of writing bill rows."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yuccarouter.billing import errors, ledger, unsettled_usage
from yuccarouter_common import billing_rows, model
from yuccarouter_common.proto import router_pb2
from yuccarouter_testkit import memory_log


def _row(request_id: str) -> billing_rows.BillRow:
    return billing_rows.BillRow(
        request_id, 'o', 'm', '1', 'k', 1, 2, 3, 'e', f'a-{request_id}', 0
    )


class _Written:
    def __init__(self) -> None:
        self.rows: list[billing_rows.BillRow] = []

    async def __call__(self, rows: list[billing_rows.BillRow]) -> None:
        self.rows += rows


def _ledger(
    log: memory_log.MemoryLog,
    written: _Written | None = None,
    max_held_rows: int = 10_000,
) -> ledger.Ledger:
    client: Any = log
    return ledger.Ledger(client, 1, written or _Written(), max_held_rows)


def _payloads(log: memory_log.MemoryLog) -> list[Any]:
    return [entry.payload for entry in log.stream('billing').entries]


_STEP = st.sampled_from(('add', 'lose', 'delay', 'deliver', 'down', 'up'))


@settings(deadline=None, max_examples=60)
@given(steps=st.lists(_STEP, max_size=30))
def test_every_row_counts_once(steps: list[str]) -> None:
    """Guards against rows lost or doubled by lost answers and outages.

    The naive version is the list of added rows, each counted once.
    """
    added = asyncio.run(_play(steps))
    rows, counted, held = added
    assert held == 0
    assert sorted(counted) == sorted(rows)


async def _play(steps: list[str]) -> tuple[list[str], list[str], int]:
    log = memory_log.MemoryLog()
    written = _Written()
    rows = _ledger(log, written)
    rows.retry_delay_s = 0.001
    names: list[str] = []
    flushing = asyncio.create_task(_keep_flushing(rows))
    for step in steps:
        if step == 'add':
            names.append(f'r{len(names)}')
            rows.add(_row(names[-1]))
        elif step == 'lose':
            log.lose_answers += 1
        elif step == 'delay':
            log.delay_appends += 1
        elif step == 'deliver':
            log.deliver_late()
        else:
            log.down = step == 'down'
        await asyncio.sleep(0.002)
    log.down = False
    log.delay_appends = 0
    while rows.held_rows:
        await asyncio.sleep(0.002)
    log.deliver_late()
    flushing.cancel()
    counted = billing_rows.first_rows(_payloads(log))
    return names, list(counted), rows.held_rows


async def _keep_flushing(rows: ledger.Ledger) -> None:
    while True:
        await rows.flush()
        await asyncio.sleep(0.001)


async def test_batches() -> None:
    """Guards against one append for each row, which the log can't take."""
    log = memory_log.MemoryLog()
    written = _Written()
    rows = _ledger(log, written)
    for index in range(1200):
        rows.add(_row(f'r{index}'))
    await rows.flush()
    assert log.appends == 3
    assert len(written.rows) == 1200


async def test_flushes_at_once() -> None:
    """Guards against rows that one of two flushes drops without writing.

    A stop flushes while the regular flush may be on its way.
    """
    log = memory_log.MemoryLog()
    log.delay_s = 0.01
    written = _Written()
    rows = _ledger(log, written)
    rows.add(_row('a'))
    first = asyncio.create_task(rows.flush())
    second = asyncio.create_task(rows.flush())
    await asyncio.sleep(0.005)
    rows.add(_row('b'))
    await asyncio.gather(first, second)
    await rows.flush()
    counted = billing_rows.first_rows(_payloads(log))
    assert sorted(counted) == ['a', 'b']
    assert [row.request_id for row in written.rows] == ['a', 'b']


async def test_full() -> None:
    """Guards against unbounded memory while the log is down."""
    log = memory_log.MemoryLog()
    rows = _ledger(log, max_held_rows=2)
    rows.add(_row('a'))
    rows.add(_row('b'))
    assert rows.is_full
    with pytest.raises(errors.LedgerFullError):
        rows.add(_row('c'))


class _Clock:
    now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


@pytest.mark.parametrize(
    ('whole', 'settled', 'passed_s', 'covered'),
    [
        (True, False, 11, 1),
        (True, False, 9, 0),
        (True, True, 11, 0),
        (False, False, 11, 0),
    ],
)
async def test_cover(
    whole: bool, settled: bool, passed_s: float, covered: int
) -> None:
    """Guards against a request that is not billed when its entry dies."""
    log = memory_log.MemoryLog()
    rows = _ledger(log)
    clock = _Clock()
    price = model.ModelVersion('m', '1', 'p', 10, 100)
    usage = unsettled_usage.UnsettledUsage(
        rows,
        lambda: model.Configuration(versions={'m@1': price}),
        10_000,
        clock,
    )
    usage.record_usage(
        router_pb2.RunRequest(
            attempt_id='a', request_id='r', model='m', version='1'
        ),
        router_pb2.Usage(prompt_tokens=3, completion_tokens=2),
        whole,
    )
    if settled:
        usage.settle(
            router_pb2.SettleRequest(
                settlements=[router_pb2.Settlement(attempt_id='a', billed=True)]
            )
        )
    clock.now_s = passed_s
    assert usage.bill_overdue() == covered
    await rows.flush()
    counted = billing_rows.first_rows(_payloads(log))
    assert [row.cost_microcents for row in counted.values()] == [230] * covered


async def test_settled_before_the_answer_is_whole() -> None:
    """Guards against a second bill for an answer that the entry has dropped.

    An entry that stops reading settles the attempt while its agent still
    completes the answer.
    """
    log = memory_log.MemoryLog()
    rows = _ledger(log)
    clock = _Clock()
    usage = unsettled_usage.UnsettledUsage(
        rows, model.Configuration, 10_000, clock
    )
    usage.settle(
        router_pb2.SettleRequest(
            settlements=[router_pb2.Settlement(attempt_id='a')]
        )
    )
    usage.record_usage(
        router_pb2.RunRequest(attempt_id='a', request_id='r'),
        router_pb2.Usage(),
        is_complete=True,
    )
    clock.now_s = 60
    assert usage.bill_overdue() == 0


async def test_cover_at_a_stop() -> None:
    """Guards against usage that a stopping agent takes with it."""
    log = memory_log.MemoryLog()
    rows = _ledger(log, max_held_rows=2)
    usage = unsettled_usage.UnsettledUsage(rows, model.Configuration, 10_000)
    for name in ('a', 'b', 'c'):
        usage.record_usage(
            router_pb2.RunRequest(attempt_id=name, request_id=name),
            router_pb2.Usage(),
            is_complete=True,
        )
    assert usage.bill_all() == 2
    await rows.flush()
    assert usage.bill_all() == 1
    await rows.flush()
    counted = billing_rows.first_rows(_payloads(log))
    assert sorted(counted) == ['a', 'b', 'c']


@pytest.mark.parametrize(
    'payload', [None, [], {}, {'rows': 1}, {'rows': [{'request_id': 1}]}]
)
def test_bad_payload(payload: Any) -> None:
    """Guards against a foreign record that stops every reader of the bill."""
    with pytest.raises(billing_rows.BillRowError):
        billing_rows.decode_rows(payload)
