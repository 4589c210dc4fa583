"""Tests of following the configuration stream."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from yuccarouter.configuration import follower as followers
from yuccarouter.configuration import store as stores
from yuccarouter_common import apply, errors, history, model, records
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_testkit import memory_log, virtual_time


def change(number: int, name: str = 'kochi') -> dict[str, Any]:
    """Return a change whose region identifies it."""
    record = records.Record(
        f'change-{number}',
        'operator',
        0,
        records.Kind.DATA_CENTRE,
        {'name': name, 'region': str(number)},
    )
    return dict(records.converter.unstructure(record))


def snapshot(
    configuration: model.Configuration, change_id: str
) -> dict[str, Any]:
    """Return a snapshot record of a configuration."""
    record = records.Record(
        change_id,
        'daemon',
        0,
        records.Kind.SNAPSHOT,
        apply.snapshot_body(configuration),
    )
    return dict(records.converter.unstructure(record))


def repair(configuration: model.Configuration, generation: int) -> Any:
    """Return the snapshot record that repairs a rewound log."""
    position = model.Position(generation, -1)
    state = model.Configuration(
        position=position, data_centres=configuration.data_centres
    )
    return snapshot(state, 'repair')


def filled(count: int) -> memory_log.MemoryLog:
    """Return a log with ``count`` changes."""
    log = memory_log.MemoryLog()
    for number in range(count):
        log.add(history.STREAM, f'a{number}', change(number))
    return log


def followed(
    log: memory_log.MemoryLog,
) -> tuple[followers.Follower, stores.Store]:
    """Return a follower with short waits, and its store."""
    store = stores.Store()
    return followers.Follower(log, store, wait_ms=1, min_interval_ms=1), store


def region(store: stores.Store) -> str:
    """Return the field that each change sets."""
    return store.current().data_centres['kochi'].region


async def test_follows_in_order() -> None:
    """Guards against a change that never reaches a running process."""
    log = filled(3)
    follower, store = followed(log)
    seen: list[int] = []
    store.subscribe(lambda event: seen.append(event.current.position.offset))
    async with follower:
        assert await store.wait_for(model.Position(0, 2), 2000)
        log.add(history.STREAM, 'later', change(3))
        assert await store.wait_for(model.Position(0, 3), 2000)
    assert seen == [0, 1, 2, 3]
    assert region(store) == '3'
    assert store.freshness.age_ms() < 2000


async def test_stops_during_a_long_poll() -> None:
    """Guards against a shutdown that waits for a long poll to end."""
    store = stores.Store()
    follower = followers.Follower(filled(1), store, wait_ms=60_000)
    await follower.start()
    assert await store.wait_for(model.Position(0, 0), 2000)
    async with asyncio.timeout(5):
        await follower.stop()


async def test_outage() -> None:
    """Guards against a follower that ends when the log is unavailable."""
    log = filled(1)
    log.down = True
    follower, store = followed(log)
    async with follower:
        assert not await store.wait_for(model.Position(0, 0), 20)
        assert follower.fault
        log.down = False
        assert await store.wait_for(model.Position(0, 0), 5000)
    assert not follower.fault


@pytest.mark.parametrize('end_offset', [5, 6, 8])
async def test_start_from_snapshot(end_offset: int) -> None:
    """Guards against losing changes between a position and its snapshot.

    Changes may enter the log after the position that a snapshot describes and
    before its record.
    """
    log = filled(5)
    follower, store = followed(log)
    await follower.poll()
    position_id = history.snapshot_id(store.position, store.digest_at(4))
    state = store.current()
    for number in range(5, end_offset):
        log.add(history.STREAM, f'b{number}', change(number, f'dc{number}'))
    log.add(history.STREAM, 's', snapshot(state, position_id))
    log.add(history.STREAM, 'c', change(99))
    log.truncate(history.STREAM, 5)
    late, late_store = followed(log)
    await late.poll()
    await follower.poll()
    assert late_store.position == model.Position(0, end_offset + 1)
    assert late_store.state_digest() == store.state_digest()


async def test_snapshot_of_another_history_is_ignored() -> None:
    """Guards against a start from a snapshot of another history.

    A process that followed the log before a rewind may have written it.
    """
    log = filled(3)
    follower, store = followed(log)
    await follower.poll()
    foreign = history.snapshot_id(store.position, 77)
    log.add(
        history.STREAM,
        's',
        snapshot(model.Configuration(position=store.position), foreign),
    )
    late, late_store = followed(log)
    await late.poll()
    assert region(late_store) == '2'


async def test_truncated_without_snapshot() -> None:
    """Guards against a configuration built from an incomplete history.

    The log has dropped its first records and has no snapshot.
    """
    log = filled(5)
    log.truncate(history.STREAM, 2)
    follower, store = followed(log)
    with pytest.raises(errors.RouterError, match='no usable snapshot'):
        await follower.poll()
    assert not store.ready


async def test_truncated_while_away() -> None:
    """Guards against skipping changes that the log has dropped.

    The log drops records before the follower has read them.
    """
    log = filled(3)
    follower, store = followed(log)
    await follower.poll()
    ahead, ahead_store = followed(log)
    for number in range(3, 9):
        log.add(history.STREAM, f'b{number}', change(number))
    await ahead.poll()
    position_id = history.snapshot_id(
        ahead_store.position, ahead_store.digest_at(8)
    )
    log.add(history.STREAM, 's', snapshot(ahead_store.current(), position_id))
    log.truncate(history.STREAM, 8)
    await follower.poll()
    await follower.poll()
    assert follower.counters.gaps == 1
    assert store.position == model.Position(0, 9)
    assert region(store) == '8'


@pytest.mark.parametrize('regrown', [0, 1, 4, 20])
async def test_rewound_log(regrown: int) -> None:
    """Guards against a restored log that undoes accepted changes.

    The rewound log may be shorter than before, of the same length or longer.
    The configuration stays until a repair starts a new generation.
    """
    log = filled(6)
    follower, store = followed(log)
    await follower.poll()
    log.rewind(history.STREAM, 2)
    for number in range(regrown):
        log.add(history.STREAM, f'r{number}', change(100 + number))
    for _ in range(8):
        await follower.poll()
    assert store.rewound
    assert follower.counters.rewinds == 1
    assert store.position == model.Position(0, 5)
    assert region(store) == '5'
    assert store.freshness.age_ms() < 1000

    log.add(history.STREAM, 'stale', snapshot(store.current(), 'plain'))
    log.add(history.STREAM, 'fix', repair(store.current(), 1))
    log.add(history.STREAM, 'fix2', repair(model.Configuration(), 1))
    for _ in range(4):
        await follower.poll()
    assert not store.rewound
    assert store.position == model.Position(1, 2 + regrown + 2)
    assert region(store) == '5'
    # A process that starts later uses the same one of the two repairs, also
    # when the log has dropped the records before them.
    for first in (0, 2 + regrown + 1):
        log.truncate(history.STREAM, first)
        late, late_store = followed(log)
        await late.poll()
        assert late_store.state_digest() == store.state_digest()


async def test_lagging_replica() -> None:
    """Guards against a short lag of the log that an operator must repair.

    A lagging replica of the log looks like a rewound log until it catches up.
    """
    log = filled(6)
    follower, store = followed(log)
    await follower.poll()
    kept = log.stream(history.STREAM).entries[3:]
    log.rewind(history.STREAM, 3)
    await follower.poll()
    assert store.rewound
    log.stream(history.STREAM).entries.extend(kept)
    log.add(history.STREAM, 'new', change(6))
    for _ in range(3):
        await follower.poll()
    assert not store.rewound
    assert region(store) == '6'


async def test_undecodable_record() -> None:
    """Guards against a malformed record that stops a follower."""
    log = filled(1)
    log.add(history.STREAM, 'x', {'unexpected': True})
    log.add(history.STREAM, 'y', change(7))
    follower, store = followed(log)
    await follower.poll()
    assert region(store) == '7'
    assert [void.offset for void in store.void_changes()] == [1]


# The users' limit on the time until a change is in effect everywhere.
EFFECT_S = 13.0
# A read that is never answered fails 2 s after it was to end; timeouts of more
# than 5 s end at the next full second.
SILENT_READ_S = 8.0


class SilentLog(memory_log.MemoryLog):
    """A log that never answers the reads that begin within a silence."""

    def __init__(self, from_s: float, until_s: float) -> None:
        super().__init__(lambda: 0)
        self._from_s = from_s
        self._until_s = until_s

    async def read(self, *arguments: Any, **options: Any) -> Any:
        """Read, or fail after the time for an answer."""
        now_s = asyncio.get_running_loop().time()
        if self._from_s <= now_s < self._until_s:
            wait_s = options.get('wait_ms', 0) / 1000
            await asyncio.sleep(SILENT_READ_S if wait_s else 2)
            raise platform_errors.UnavailableError('silent')
        return await super().read(*arguments, **options)


@pytest.mark.parametrize('silence_s', [0.3, 1.5, 6, 30])
@pytest.mark.parametrize('before_s', [0.0, 0.1, 0.3])
@pytest.mark.parametrize('after_s', [0.1, 2, 7])
def test_change_after_a_silence_of_the_log(
    silence_s: float, before_s: float, after_s: float
) -> None:
    """Guards against a change that waits for a read which is never answered.

    A change just before the silence lets the next read begin within it.
    """
    silent_from_s = 20 + before_s
    log = SilentLog(silent_from_s, silent_from_s + silence_s)
    log.add(history.STREAM, 'first', change(0))
    store = stores.Store()
    follower = followers.Follower(log, store)

    async def scenario() -> bool:
        async with follower:
            await asyncio.sleep(20)
            log.add(history.STREAM, 'before', change(1))
            await asyncio.sleep(before_s + silence_s + after_s)
            log.add(history.STREAM, 'after', change(2))
            await asyncio.sleep(EFFECT_S)
            return region(store) == '2'

    loop = virtual_time.VirtualTimeLoop()
    assert loop.run_until_complete(scenario())
    loop.close()
