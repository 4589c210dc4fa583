"""Tests of publishing a configuration change."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from yuccarouter_common import history, publish, records, snapshots
from yuccarouter_testkit import memory_log, virtual_time


@pytest.fixture
def log() -> memory_log.MemoryLog:
    log_with_changes = memory_log.MemoryLog()
    for number in range(3):
        add(log_with_changes, change(f'old-{number}'))
    return log_with_changes


def change(
    change_id: str,
    state: str = 'in_service',
    condition: records.Condition = records.Condition(),
) -> records.Record:
    body = {'name': 'kochi', 'state': state}
    return records.Record(
        change_id, 'op', 0, records.Kind.DATA_CENTRE, body, condition
    )


def add(log: memory_log.MemoryLog, record: records.Record) -> None:
    payload = records.converter.unstructure(record)
    log.add(history.STREAM, record.change_id, payload)


def run(log: memory_log.MemoryLog, record: records.Record) -> Any:
    """Publish in virtual time and return the result or the error."""
    loop = virtual_time.VirtualTimeLoop()
    try:
        return loop.run_until_complete(publish.publish(log, record))
    except publish.PublishError as fault:
        return fault
    finally:
        loop.close()


def count_appends(log: memory_log.MemoryLog, change_id: str) -> int:
    entries = log.stream(history.STREAM).entries
    return sum(entry.append_id == change_id for entry in entries)


@pytest.mark.parametrize('lost_answers', [0, 1])
def test_published_once(log: memory_log.MemoryLog, lost_answers: int) -> None:
    """Guards against a change that is written twice after a lost answer."""
    log.lose_answers = lost_answers
    result = run(log, change('new'))
    assert isinstance(result, publish.Published)
    assert (result.offset, result.is_repeat) == (3, False)
    again = run(log, change('new'))
    assert isinstance(again, publish.Published)
    assert (again.offset, again.is_repeat) == (3, True)
    assert count_appends(log, 'new') == 1


def test_void_after_another_change(log: memory_log.MemoryLog) -> None:
    """Guards against a void change that is reported as published."""
    condition = records.Condition(expected_offset=1)
    result = run(log, change('new', condition=condition))
    assert isinstance(result, publish.Voided)
    assert result.void_change.winner_change_id == 'old-2'
    assert result.void_change.winner_offset == 2
    assert isinstance(
        run(log, change('new', condition=condition)), publish.Voided
    )
    assert count_appends(log, 'new') == 1


def test_append_that_arrives_late(log: memory_log.MemoryLog) -> None:
    """Guards against a second append of a change whose first is in flight."""
    log.delay_appends = 1
    result = run(log, change('new'))
    assert isinstance(result, publish.OutcomeUnknownError)
    log.deliver_late()
    again = run(log, change('new'))
    assert isinstance(again, publish.Published)
    assert count_appends(log, 'new') == 1


def test_log_down(log: memory_log.MemoryLog) -> None:
    """Guards against a change reported as written while the log is down."""
    log.down = True
    assert isinstance(run(log, change('new')), publish.NotPublishedError)
    log.down = False
    assert count_appends(log, 'new') == 0


def test_log_down_after_the_append(log: memory_log.MemoryLog) -> None:
    """Guards against a written change that is reported as not written.

    The answer to the append is lost, and the log is down during the look-up.
    """
    loop = virtual_time.VirtualTimeLoop()
    log.lose_answers = 1

    async def scenario() -> None:
        task = asyncio.create_task(publish.publish(log, change('new')))
        while not log.appends:
            await asyncio.sleep(0)
        log.down = True
        with pytest.raises(publish.OutcomeUnknownError):
            await task

    loop.run_until_complete(scenario())
    loop.close()
    log.down = False
    assert isinstance(run(log, change('new')), publish.Published)
    assert count_appends(log, 'new') == 1


@pytest.mark.parametrize('replaced', [False, True])
def test_repeat_after_a_snapshot(
    log: memory_log.MemoryLog, replaced: bool
) -> None:
    """Guards against a second append of a change that a snapshot covers."""
    assert isinstance(run(log, change('new')), publish.Published)
    if replaced:
        add(log, change('newer'))
    base = asyncio.run(history.load(log))
    configuration = base.configuration
    for entry in base.entries:
        configuration, _ = history.apply_payload(
            configuration, entry.offset, entry.payload
        )
    last = log.stream(history.STREAM).entries[-1]
    add(
        log,
        snapshots.snapshot_record(
            configuration, history.digest(last.payload), 'vm', 0
        ),
    )
    result = run(log, change('new'))
    expected = publish.OutcomeUnknownError if replaced else publish.Published
    assert isinstance(result, expected)
    assert count_appends(log, 'new') == 1


def test_log_drops_the_change(log: memory_log.MemoryLog) -> None:
    """Guards against a busy read loop that lasts until the timeout.

    The log is restored to older data right after the append, so the change
    never appears in the stream.
    """

    class RewindingLog(memory_log.MemoryLog):
        reads = 0

        async def append(self, *args: Any, **kwargs: Any) -> Any:
            appended = await super().append(*args, **kwargs)
            self.rewind(history.STREAM, appended.offset)
            return appended

        async def read(self, *args: Any, **kwargs: Any) -> Any:
            self.reads += 1
            return await super().read(*args, **kwargs)

    rewinding_log = RewindingLog()
    add(rewinding_log, change('old'))
    fault = run(rewinding_log, change('new'))
    assert isinstance(fault, publish.OutcomeUnknownError)
    assert 'does not hold it' in fault.message
    assert rewinding_log.reads < 20
