"""Tests of publishing a change."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from yuccarouter_common import history, publish, records, snapshots
from yuccarouter_testkit import memory_log, virtual_time


@pytest.fixture
def log() -> memory_log.MemoryLog:
    held = memory_log.MemoryLog()
    for number in range(3):
        add(held, change(f'old-{number}'))
    return held


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
    """Publish in virtual time; returns the result or the error."""
    loop = virtual_time.VirtualTimeLoop()
    try:
        return loop.run_until_complete(publish.publish(log, record))
    except publish.PublishError as fault:
        return fault
    finally:
        loop.close()


def count(log: memory_log.MemoryLog, change_id: str) -> int:
    entries = log.stream(history.STREAM).entries
    return sum(entry.append_id == change_id for entry in entries)


@pytest.mark.parametrize('lose', [0, 1])
def test_published_once(log: memory_log.MemoryLog, lose: int) -> None:
    """Guards against a change that is written twice after a lost answer."""
    log.lose_answers = lose
    result = run(log, change('new'))
    assert isinstance(result, publish.Published)
    assert (result.offset, result.is_repeat) == (3, False)
    again = run(log, change('new'))
    assert isinstance(again, publish.Published)
    assert (again.offset, again.is_repeat) == (3, True)
    assert count(log, 'new') == 1


def test_lost_to_another_change(log: memory_log.MemoryLog) -> None:
    """Guards against an operator who is not told that a change is void."""
    condition = records.Condition(expected_offset=1)
    result = run(log, change('new', condition=condition))
    assert isinstance(result, publish.Voided)
    assert result.void_change.winner_change_id == 'old-2'
    assert result.void_change.winner_offset == 2
    assert isinstance(
        run(log, change('new', condition=condition)), publish.Voided
    )
    assert count(log, 'new') == 1


def test_append_that_arrives_late(log: memory_log.MemoryLog) -> None:
    """Guards against a second append while the first is on its way."""
    log.delay_appends = 1
    result = run(log, change('new'))
    assert isinstance(result, publish.OutcomeUnknownError)
    log.deliver_late()
    again = run(log, change('new'))
    assert isinstance(again, publish.Published)
    assert count(log, 'new') == 1


def test_log_down(log: memory_log.MemoryLog) -> None:
    """Guards against a change reported as written while the log is down."""
    log.down = True
    assert isinstance(run(log, change('new')), publish.NotPublishedError)
    log.down = False
    assert count(log, 'new') == 0


def test_log_down_after_the_append(log: memory_log.MemoryLog) -> None:
    """Guards against a claim that nothing was written when it was."""
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
    assert count(log, 'new') == 1


@pytest.mark.parametrize('replaced', [False, True])
def test_repeat_after_a_snapshot(
    log: memory_log.MemoryLog, replaced: bool
) -> None:
    """Guards against writing a change again that a snapshot covers."""
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
    assert count(log, 'new') == 1


def test_log_drops_the_change(log: memory_log.MemoryLog) -> None:
    """Guards against reading without pause, and for the whole time-out."""

    class Rewinding(memory_log.MemoryLog):
        reads = 0

        async def append(self, *given: Any, **named: Any) -> Any:
            appended = await super().append(*given, **named)
            self.rewind(history.STREAM, appended.offset)
            return appended

        async def read(self, *given: Any, **named: Any) -> Any:
            self.reads += 1
            return await super().read(*given, **named)

    rewinding = Rewinding()
    add(rewinding, change('old'))
    fault = run(rewinding, change('new'))
    assert isinstance(fault, publish.OutcomeUnknownError)
    assert 'does not hold it' in fault.message
    assert rewinding.reads < 20
