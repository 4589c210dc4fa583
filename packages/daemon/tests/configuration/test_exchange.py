"""Tests of exchanging configuration between peers."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Any

import grpc
import hypothesis
import pytest
from hypothesis import strategies as st

from yuccarouter.configuration import (
    errors,
    exchange,
    peers,
    recent_records,
    snapshot_writer,
    staleness,
)
from yuccarouter.configuration import store as stores
from yuccarouter_common import history, model, records, snapshots
from yuccarouter_common.proto import router_pb2_grpc
from yuccarouter_testkit import memory_log


def change(number: int, size: int = 0) -> dict[str, Any]:
    record = records.Record(
        f'change-{number}',
        'operator',
        0,
        records.Kind.DATA_CENTRE,
        {'name': f'dc{number % 5}', 'region': f'{number}' + 'x' * size},
    )
    return dict(records.converter.unstructure(record))


def filled(count: int, start: int = 0, held: int = 256) -> stores.Store:
    store = stores.Store(recent=recent_records.RecentRecords(held))
    for number in range(count):
        store.apply(number, change(start + number))
    return store


def pull(asking: stores.Store, asked: stores.Store) -> exchange.Applied:
    delta = exchange.build_delta(asked, exchange.build_digest(asking, 'a'))
    return exchange.apply_delta(asking, delta, 'b')


@pytest.mark.parametrize(
    ('own', 'theirs', 'held', 'installed'),
    [
        (0, 5, 256, False),
        (3, 5, 256, False),
        (3, 20, 4, True),
        (0, 20, 4, True),
        (5, 5, 256, False),
        (9, 5, 256, False),
    ],
)
def test_pull(own: int, theirs: int, held: int, installed: bool) -> None:
    """Guards against a process that misses changes or goes back."""
    asking = filled(own)
    asked = filled(theirs, held=held)
    result = pull(asking, asked)
    assert result.installed is installed
    assert asking.position.offset == max(own, theirs) - 1
    assert asking.state_digest() == filled(max(own, theirs)).state_digest()


def test_delta_is_bounded() -> None:
    """Guards against one message that takes the whole budget."""
    asked = stores.Store()
    for number in range(40):
        asked.apply(number, change(number, size=5000))
    asking = stores.Store()
    pulls = 0
    while asking.position < asked.position:
        delta = exchange.build_delta(asked, exchange.build_digest(asking, 'a'))
        assert delta.ByteSize() < exchange.MAX_DELTA_BYTES + 1000
        exchange.apply_delta(asking, delta, 'b')
        pulls += 1
    assert pulls == 4
    assert asking.state_digest() == asked.state_digest()


@pytest.mark.parametrize('ahead', [0, 3])
def test_divergence_is_reported(ahead: int) -> None:
    """Guards against mixing two histories of a rewound log."""
    one = filled(5)
    two = filled(5 + ahead, start=50)
    before = one.state_digest()
    with pytest.raises(errors.DivergedError, match='record'):
        pull(one, two)
    assert one.state_digest() == before


def test_different_states_of_one_position_are_reported() -> None:
    """Guards against a fault that makes processes apply records unlike."""
    one = filled(5)
    two = filled(0)
    two.install(model.Configuration(position=one.position), one.digest_at(4))
    with pytest.raises(errors.DivergedError, match='state'):
        pull(one, two)


def test_repair_replaces_a_later_offset() -> None:
    """Guards against a process that stays on the history before a repair."""
    one = filled(9)
    two = filled(5)
    repair = snapshots.repair_record(two.current(), 'fix', 'operator', 0)
    two.apply(3, records.converter.unstructure(repair))
    assert two.position == model.Position(1, 3)
    one.rewound = True
    assert pull(one, two).installed
    assert one.position == two.position
    assert one.state_digest() == two.state_digest()
    assert not one.rewound


def test_rewound_process_takes_no_records_of_its_generation() -> None:
    """Guards against following a restored log through a peer."""
    one = filled(3)
    one.rewound = True
    pull(one, filled(8))
    assert one.position.offset == 2


def test_repair_between_question_and_answer() -> None:
    """Guards against applying records of the generation before a repair."""
    one = filled(5)
    delta = exchange.build_delta(filled(9), exchange.build_digest(one, 'a'))
    repair = snapshots.repair_record(one.current(), 'fix', 'operator', 0)
    one.apply(4, records.converter.unstructure(repair))
    exchange.apply_delta(one, delta, 'b')
    assert one.position == model.Position(1, 4)


def test_freshness_is_passed_on() -> None:
    """Guards against a cut-off group that keeps itself fresh."""
    now = [100.0]
    one = stores.Store(clock=lambda: now[0])
    two = stores.Store(clock=lambda: now[0])
    for store in (one, two):
        store.apply(0, change(0))
    two.freshness.confirm()
    now[0] += 7
    for _ in range(3):
        pull(one, two)
        pull(two, one)
    assert one.freshness.age_ms() == pytest.approx(7000)
    now[0] += 60
    pull(one, two)
    refuses = model.Organisation('a', stale_policy=model.REFUSE)
    serves = model.Organisation('b')
    age_ms = one.freshness.age_ms()
    assert staleness.is_refused(refuses, age_ms)
    assert not staleness.is_refused(refuses, 50_000)
    assert not staleness.is_refused(serves, age_ms)
    assert staleness.remaining_ms(refuses, 50_000) == 10_000


@hypothesis.given(
    st.lists(
        st.one_of(
            st.tuples(st.just('log'), st.integers(0, 3), st.integers(1, 9)),
            st.tuples(st.just('pull'), st.integers(0, 3), st.integers(0, 3)),
            st.tuples(st.just('restart'), st.integers(0, 3), st.just(0)),
        ),
        max_size=40,
    )
)
@hypothesis.settings(deadline=None, derandomize=True)
def test_interleaved_exchanges(steps: list[tuple[str, int, int]]) -> None:
    """Guards against a state that depends on how records arrived.

    Compared with a store that has applied every record in order.
    """
    states = [filled(count).state_digest() for count in range(61)]
    group = [filled(0, held=3) for _ in range(4)]
    for action, index, other in steps:
        store = group[index]
        before = store.position
        if action == 'log':
            for offset in range(max(0, before.offset - 2), 60)[:other]:
                store.apply(offset, change(offset))
        elif action == 'restart':
            group[index] = store = filled(0, held=3)
            before = store.position
        else:
            pull(store, group[other])
        assert store.position >= before
        assert store.state_digest() == states[store.position.offset + 1]


@contextlib.asynccontextmanager
async def serving(
    *served: stores.Store,
) -> AsyncIterator[dict[str, grpc.aio.Channel]]:
    servers = []
    channels = {}
    for store in served:
        server = grpc.aio.server()
        router_pb2_grpc.add_PeerServicer_to_server(
            peers.PeerService(store), server
        )
        port = server.add_insecure_port('127.0.0.1:0')
        await server.start()
        servers.append(server)
        address = f'127.0.0.1:{port}'
        channels[address] = grpc.aio.insecure_channel(address)
    yield channels
    for channel in channels.values():
        await channel.close()
    for server in servers:
        await server.stop(None)


async def test_start_while_the_log_is_down() -> None:
    """Guards against a process that can't start without the log."""
    async with serving(filled(300), filled(2, start=0)) as channels:
        store = stores.Store()
        client = peers.PeerClient(
            store, 'new', lambda: channels, interval_s=0.3
        )
        async with client:
            assert await store.wait_for(model.Position(0, 299), 10_000)
    assert store.state_digest() == filled(300).state_digest()


async def test_unreachable_and_diverged_peers() -> None:
    """Guards against one bad peer that keeps the others from being asked."""
    good = filled(8)
    async with serving(good, filled(9, start=70)) as channels:
        channels['127.0.0.1:1'] = grpc.aio.insecure_channel('127.0.0.1:1')
        store = filled(3)
        client = peers.PeerClient(store, 'one', lambda: channels)
        await client.exchange_once()
        await channels['127.0.0.1:1'].close()
    assert store.state_digest() == good.state_digest()
    assert client.counters.failed == 2


async def test_snapshot_is_written_once_and_usable() -> None:
    """Guards against a log that drops records with no snapshot of them."""
    log = memory_log.MemoryLog()
    now = [0.0]
    group = []
    for number in range(30):
        store = stores.Store(clock=lambda: now[0])
        writer = snapshot_writer.SnapshotWriter(
            log, store, f'vm-{number}', lambda: 30, lambda: now[0]
        )
        group.append((store, writer))
    for offset in range(450):
        log.add(history.STREAM, f'{offset}', change(offset))
    for _ in range(150):
        now[0] += 1
        for store, writer in group:
            for entry in log.stream(history.STREAM).entries:
                store.apply(entry.offset, entry.payload)
            store.freshness.confirm()
            await writer.check()
    written = log.stream(history.STREAM).end_offset - 450
    assert 1 <= written <= 3
    log.truncate(history.STREAM, 449)
    base = await history.load(log)
    assert base.configuration.position == model.Position(0, 449)


def test_few_processes_write_a_snapshot() -> None:
    """Guards against hundreds of daemons that write one at the same time."""
    within_a_second = []
    for offset in range(0, 20_000, 400):
        delays = sorted(
            snapshot_writer.delay_s(f'vm-{number}', offset, 1210)
            for number in range(1210)
        )
        assert delays[-1] <= 121
        first = delays[0]
        within_a_second.append(sum(d <= first + 1 for d in delays))
    assert sum(within_a_second) / len(within_a_second) < 4
