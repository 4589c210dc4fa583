"""Tests of what daemons tell each other."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import gateway_makers as make
import gateway_store
import orjson
import pytest
from aiohttp import web

from yuccarouter.gateway import endpoints, failure_reports, model, peers, topics


def topic(interval_ms: float = 0) -> topics.Topic:
    return topics.Topic(
        't',
        gateway_store.MemoryStore(),
        lambda entry: None,
        lambda away_ms: None,
        interval_ms=interval_ms,
    )


@pytest.mark.parametrize(
    ('interval_ms', 'read_at_ms', 'overdue_at_ms'),
    [
        # A call that waits is answered at once, one a second later.
        (0, None, 600),
        (900, None, 1500),
        (0, 300, None),
        (900, 900, None),
    ],
)
def test_overdue_records(
    interval_ms: float, read_at_ms: int | None, overdue_at_ms: int | None
) -> None:
    """Guards against a lost call that hides a change for seconds.

    Records that are only on their way are not asked of peers.
    """
    followed = topic(interval_ms)
    lack = peers.Lack()
    first = None
    for now_ms in range(0, 3000, 100):
        if now_ms == read_at_ms:
            followed.table.apply(make.entry('a', offset=5))
        newest = 5 if followed.table.newest_offset < 5 else -1
        if lack.is_overdue(followed, newest, now_ms) and first is None:
            first = now_ms
    assert first == overdue_at_ms


@pytest.mark.parametrize(
    ('is_failing', 'is_loaded', 'newest', 'overdue'),
    [
        (True, False, 5, True),
        (True, False, -1, False),
        (False, False, 5, False),
        (True, True, 5, False),
    ],
)
def test_start_without_the_store(
    is_failing: bool, is_loaded: bool, newest: int, overdue: bool
) -> None:
    """Guards against a started daemon that refuses what its peers serve.

    Its callers wait for a second at most; the store is away all the time.
    """
    followed = topic()
    followed.is_failing = is_failing
    followed.is_loaded = is_loaded
    assert peers.Lack().is_overdue(followed, newest, 0) is overdue


async def test_digests_reach_members() -> None:
    """Guards against daemons that never hear each other."""
    heard: list[tuple[str, Any]] = []
    exchanges = []
    loop = asyncio.get_running_loop()
    for name in ('d1', 'd2'):
        made = peers.Exchange(
            lambda name=name: {'name': name, 'newest': {'t': 7}},
            lambda name, digest: heard.append((name, digest['newest'])),
        )
        transport, _ = await loop.create_datagram_endpoint(
            lambda made=made: made, local_addr=('127.0.0.1', 0)
        )
        exchanges.append((made, transport))
    (first, first_transport), (second, second_transport) = exchanges
    port = second_transport.get_extra_info('sockname')[1]
    first.add_member('d2', model.Address('127.0.0.1', port))
    first.send()
    async with asyncio.timeout(5):
        while not heard:
            await asyncio.sleep(0.01)
    assert heard == [('d1', {'t': 7})]
    assert [peer.newest for peer in second.live_peers()] == [{'t': 7}]
    first_transport.close()
    second_transport.close()


@pytest.mark.parametrize(
    'payload', [b'', b'[]', b'{"name": 1}', b'\xff\xff', b'{"name": "d"}']
)
def test_foreign_datagrams(payload: bytes) -> None:
    """Guards against a datagram that ends the process."""
    made = peers.Exchange(dict, lambda name, digest: None)
    made.datagram_received(payload, ('127.0.0.1', 1))
    assert not made.live_peers()


async def test_records_of_a_peer() -> None:
    """Guards against a daemon that misses changes while the store is away."""
    given = topic()
    given.table.apply(make.entry('a', b'\x00old', 1))
    given.table.apply(make.entry('b', orjson.dumps({'x': 1}), 4))
    runner = web.AppRunner(peers.records_app([given]))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    lacking = topic()
    lacking.table.apply(make.entry('a', b'\x00old', 1))
    exchange = peers.Exchange(dict, lambda name, digest: None)
    exchange.datagram_received(
        orjson.dumps({'name': 'd2', 'newest': {'t': 4}}), ('127.0.0.1', port)
    )
    async with aiohttp.ClientSession() as session:
        task = asyncio.create_task(
            peers.fetch_missed(session, exchange, [lacking])
        )
        async with asyncio.timeout(10):
            while 'b' not in lacking.table.entries:
                exchange.datagram_received(
                    orjson.dumps({'name': 'd2', 'newest': {'t': 4}}),
                    ('127.0.0.1', port),
                )
                await asyncio.sleep(0.05)
        task.cancel()
    await runner.cleanup()
    assert lacking.table.entries['b'].value == b'{"x":1}'


@pytest.mark.parametrize(
    ('own', 'relying'),
    [
        ('a0', 12),
        ('a1', 12),
        ('a2', 0),
        ('a9', 0),
    ],
)
def test_readers_tell_their_data_centre(own: str, relying: int) -> None:
    """Guards against records and a reader's end that are learnt late.

    Of 68 daemons that each send to 12 at a time, two hear each other every
    2.3 s, within which an endpoint that leaves must get no more requests.
    """
    exchange = peers.Exchange(dict, lambda name, digest: None)
    for number in range(13):
        for zone in ('a', 'b'):
            name = f'{zone}{number:x}'
            if name != own:
                heard = {'name': name, 'newest': {}, 'data_centre': zone}
                exchange.datagram_received(orjson.dumps(heard), ('10.0.0.1', 1))
    duty = peers.ReadingDuty(own, 'a', exchange, None)  # type: ignore[arg-type]
    found = duty.relying()
    assert len(found) == relying
    assert all(name.startswith('a') for name in found)


def test_digest_of_a_large_deployment_fits() -> None:
    """Guards against daemons that fall silent because many endpoints work."""
    directory = endpoints.Directory()
    known = failure_reports.FailureReports('gateway-of-a-data-centre-1')
    for number in range(810):
        name = f'i-{number:010x}'
        directory.apply_announcement(make.announcement(name))
        directory.get(name).in_flight = 64
        directory.get(name).pending_prefill_ms = 99_999
        known.merge(
            {name: {f'gateway-of-a-data-centre-{n}': 1500 for n in (2, 3)}}, 0
        )
    told = {'work': directory.own_backlog(), 'lost': known.message(810, 0)}
    assert len(orjson.dumps(told)) < 7500
