"""Tests of gossip between daemons and of records that peers provide."""

from __future__ import annotations

import asyncio
import math
import types
from typing import Any, cast

import aiohttp
import gateway_makers as make
import gateway_store
import orjson
import pytest
from aiohttp import web

from yuccarouter.gateway import (
    datagram_ports,
    endpoints,
    failure_reports,
    model,
    offsets,
    peers,
    rate_limits,
    topics,
)


def topic(poll_interval_ms: float = 0) -> topics.Topic:
    return topics.Topic(
        't',
        gateway_store.MemoryStore(),
        lambda entry: None,
        lambda outage_ms: None,
        poll_interval_ms=poll_interval_ms,
    )


@pytest.mark.parametrize(
    ('poll_interval_ms', 'read_at_ms', 'overdue_at_ms'),
    [
        # A long poll returns at once, other polls after the interval.
        (0, None, 600),
        (900, None, 1500),
        (0, 300, None),
        (900, 900, None),
    ],
)
def test_overdue_records(
    clock: make.Clock,
    poll_interval_ms: float,
    read_at_ms: int | None,
    overdue_at_ms: int | None,
) -> None:
    """Guards against a lost call to the store that hides records for seconds.

    Records that the store may still return are not fetched from peers.
    """
    replica = topic(poll_interval_ms)
    gossip = peers.Gossip(dict, lambda name, digest: None)
    first = None
    for now_ms in range(0, 3000, 100):
        clock.now_ms = now_ms
        if now_ms == read_at_ms:
            replica.table.apply(make.entry('a', offset=5))
            replica.table.advance(6)
        own_offset = replica.table.newest_offset
        replica.lag.note(5, own_offset)
        remaining_ms = peers.overdue_in_ms(gossip, replica, [])
        is_overdue = own_offset < 5 and remaining_ms <= 0
        if is_overdue and first is None:
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
    clock: make.Clock,
    is_failing: bool,
    is_loaded: bool,
    newest: int,
    overdue: bool,
) -> None:
    """Guards against a new daemon that refuses calls which peers can serve.

    The store is unavailable, and callers wait for at most a second.
    """
    replica = topic()
    replica.is_failing = is_failing
    replica.is_loaded = is_loaded
    gossip = peers.Gossip(dict, lambda name, digest: None)
    gossip.replicas = [replica]
    gossip.datagram_received(
        orjson.dumps({'name': 'd2', 'newest': {'t': newest}}), ('127.0.0.1', 1)
    )
    ahead = peers.peers_ahead(gossip, replica)
    remaining_ms = peers.overdue_in_ms(gossip, replica, ahead)
    assert (bool(ahead) and remaining_ms <= 0) is overdue


async def test_digests_reach_members() -> None:
    """Guards against digests that do not reach registered peers."""
    received: list[tuple[str, Any]] = []
    gossips = []
    for name in ('d1', 'd2'):
        gossip = peers.Gossip(
            lambda name=name: {'name': name, 'newest': {'t': 7}},
            lambda name, digest: received.append((name, digest['newest'])),
        )
        gossip.transport = datagram_ports.open_port(
            gossip, model.Address('127.0.0.1', 0)
        )
        gossips.append((gossip, gossip.transport))
    (first, first_transport), (second, second_transport) = gossips
    port = second_transport.address[1]
    first.add_member('d2', model.Address('127.0.0.1', port))
    first.send()
    async with asyncio.timeout(5):
        while not received:
            await asyncio.sleep(0.01)
    assert received == [('d1', {'t': 7})]
    assert [peer.newest for peer in second.live_peers()] == [{'t': 7}]
    first_transport.close()
    second_transport.close()


@pytest.mark.parametrize(
    'payload', [b'', b'[]', b'{"name": 1}', b'\xff\xff', b'{"name": "d"}']
)
def test_foreign_datagrams(payload: bytes) -> None:
    """Guards against a foreign datagram that ends the process."""
    gossip = peers.Gossip(dict, lambda name, digest: None)
    gossip.datagram_received(payload, ('127.0.0.1', 1))
    assert not gossip.live_peers()


async def test_records_of_a_peer() -> None:
    """Guards against a daemon that misses changes during an outage."""
    source = topic()
    source.table.apply(make.entry('a', b'\x00old', 1))
    source.table.apply(make.entry('b', orjson.dumps({'x': 1}), 4))
    source.table.advance(5)
    runner = web.AppRunner(peers.records_app([source]))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    replica = topic()
    replica.table.apply(make.entry('a', b'\x00old', 1))
    replica.table.advance(2)
    gossip = peers.Gossip(dict, lambda name, digest: None)
    gossip.replicas = [replica]
    gossip.datagram_received(
        orjson.dumps({'name': 'd2', 'newest': {'t': 4}}), ('127.0.0.1', port)
    )
    async with aiohttp.ClientSession() as session:
        task = asyncio.create_task(
            peers.fetch_missing_records(session, gossip, [replica])
        )
        async with asyncio.timeout(10):
            while 'b' not in replica.table.entries:
                gossip.datagram_received(
                    orjson.dumps({'name': 'd2', 'newest': {'t': 4}}),
                    ('127.0.0.1', port),
                )
                await asyncio.sleep(0.05)
        task.cancel()
    await runner.cleanup()
    assert replica.table.entries['b'].value == b'{"x":1}'


@pytest.mark.parametrize(
    'changes',
    [
        None,
        {'records': None},
        {'records': [['k', 'eA==']]},
        {'records': [['k', 'a', 5]]},
        {'records': [['k', 'eA==', 1e300]]},
        {'records': [['k', 'eA==', 2**64 - 1]]},
        {'records': [['k', 'eA==', '5']]},
        {'records': [[5, 'eA==', 5]]},
        {'records': [[['k'], 'eA==', 5]]},
        {'present': [['k']]},
        {'present': None},
        {'newest': 1e300},
        {'generation': 1e300},
        {'generation': None},
        {'generation': 2**64 - 1},
    ],
)
async def test_malformed_records_of_a_peer(changes: Any) -> None:
    """Guards against a peer's answer that ends the process.

    A document that was no object raised an error that was not expected, and
    the offset of a record beyond 64 bits can't be sent on to peers.
    """
    sound = {
        'records': [['k', 'eA==', 5]],
        'present': ['k'],
        'newest': 5,
        'generation': 0,
    }
    document = [1] if changes is None else {**sound, **changes}
    documents = [document, sound]

    async def serve(request: web.Request) -> web.Response:
        return web.Response(body=orjson.dumps(documents.pop(0)))

    app = web.Application()
    app.router.add_get('/records', serve)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    address = model.Address('127.0.0.1', runner.addresses[0][1])
    replica = topic()
    async with aiohttp.ClientSession() as session:
        for is_known in (False, True):
            await peers._fetch(session, peers.Peer(address, 0, {}), replica)
            assert ('k' in replica.table.entries) is is_known
            orjson.dumps(peers.encode_newest([replica]))
    await runner.cleanup()


async def test_records_of_a_peer_after_a_restore() -> None:
    """Guards against a daemon that keeps records which a restore has undone.

    It can't reach the restored store, and its numbers are higher.
    """
    source = topic()
    source.table.apply(make.entry('a', b'new', offsets.encode(2, 3)))
    source.table.advance(offsets.encode(2, 4))
    runner = web.AppRunner(peers.records_app([source]))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    replica = topic()
    for key in ('a', 'b'):
        replica.table.apply(make.entry(key, b'old', offsets.encode(1, 90)))
    replica.table.advance(offsets.encode(1, 91))
    gossip = peers.Gossip(dict, lambda name, digest: None)
    digest = {'name': 'd2', **peers.encode_newest([source])}
    gossip.datagram_received(
        orjson.dumps(digest), ('127.0.0.1', runner.addresses[0][1])
    )
    (peer,) = peers.peers_ahead(gossip, replica)
    async with aiohttp.ClientSession() as session:
        await peers._fetch(session, peer, replica)
    await runner.cleanup()
    values = {key: entry.value for key, entry in replica.table.entries.items()}
    assert values == {'a': b'new', 'b': b''}
    assert not peers.peers_ahead(gossip, replica)


@pytest.mark.parametrize(
    ('own', 'dependants'),
    [
        ('a0', 12),
        ('a1', 12),
        ('a2', 0),
        ('a9', 0),
    ],
)
def test_readers_send_each_digest_to_dependants(
    own: str, dependants: int
) -> None:
    """Guards against dependants that learn late of records or a reader's end.

    With 68 daemons that send to 12 peers at a time, a peer's regular digests
    come every 2.3 s. Requests to an endpoint that drains must stop before that.
    """
    gossip = peers.Gossip(dict, lambda name, digest: None)
    for number in range(13):
        for zone in ('a', 'b'):
            name = f'{zone}{number:x}'
            if name != own:
                digest = {'name': name, 'newest': {}, 'data_centre': zone}
                gossip.datagram_received(orjson.dumps(digest), ('10.0.0.1', 1))
    readers = peers.ReaderElection(
        own,
        'a',
        gossip,
        None,  # type: ignore[arg-type]
    )
    names = readers.dependants()
    assert len(names) == dependants
    assert all(name.startswith('a') for name in names)


def test_silent_peers_give_up_their_share(clock: make.Clock) -> None:
    """Guards against shares of rate limits that removed daemons keep for good.

    A peer that is silent for a moment may only be cut off from this daemon. It
    keeps its share, and so does one that a restarted daemon has not heard yet.
    """
    gossip = peers.Gossip(dict, lambda name, digest: None)
    for name in ('d2', 'd3'):
        gossip.add_member(name, model.Address('10.0.0.1', 1))
    shares = []
    for _ in range(5):
        shares.append(gossip.sharing_names())
        digest = {'name': 'd2', 'newest': {}}
        gossip.datagram_received(orjson.dumps(digest), ('10.0.0.1', 1))
        clock.now_ms += 3000
    assert shares == [('d2', 'd3')] * 4 + [('d2',)]


def test_digest_of_a_large_deployment_fits() -> None:
    """Guards against digests that are too long for a datagram.

    They are not sent. Their length grows with the number of busy endpoints.
    """
    directory = endpoints.Directory()
    reports = failure_reports.FailureReports('gateway-of-a-data-centre-1')
    limits = rate_limits.RateLimits('d1', directory.started_ms, tuple)
    started = model.Incarnation(1_796_000_000_000, 1)
    for number in range(810):
        name = f'i-{number:010x}'
        directory.apply_announcement(
            make.announcement(name, incarnation=started)
        )
        directory.get(name).in_flight = 64
        directory.get(name).pending_prefill_ms = 99_999
        reports.merge(
            {name: {f'gateway-of-a-data-centre-{n}': 1500 for n in (2, 3)}}, 0
        )
        limits.record_answer(name, per_s=810 / 7, sent_ms=0, now_ms=number)
    digest = {
        'work': directory.own_backlog(),
        'lost': reports.message(810, 0),
        'rate_limits': limits.message(),
    }
    assert len(orjson.dumps(digest)) < 7500


@pytest.mark.parametrize(
    ('digest', 'confirmed_ms'),
    [
        ({'newest': {'t': 5}, 'ages_ms': {'t': 300}}, 999_700),
        ({'newest': {'t': 3}, 'ages_ms': {'t': 300}}, 999_700),
        # The peer has a record that is missing here.
        ({'newest': {'t': 6}, 'ages_ms': {'t': 300}}, -math.inf),
        # It has never read the topic, or is an older program.
        ({'newest': {'t': -1}, 'ages_ms': {}}, -math.inf),
        ({'newest': {'t': 5}}, -math.inf),
        # Malformed digests are ignored.
        ({'newest': {'t': 5}, 'ages_ms': {'t': -1}}, -math.inf),
        ({'newest': {'t': 5}, 'ages_ms': {'t': 'x'}}, -math.inf),
        ({'newest': {'t': 5}, 'ages_ms': []}, -math.inf),
    ],
)
def test_replicas_that_peers_confirm(
    clock: make.Clock, digest: dict[str, Any], confirmed_ms: float
) -> None:
    """Guards against a replica that counts as current though records lack.

    A daemon does not ask the store while a peer confirms its replica.
    """
    replica = topic()
    replica.table.apply(make.entry('a', offset=5))
    replica.table.advance(6)
    gossip = peers.Gossip(dict, lambda name, digest: None)
    gossip.datagram_received(
        orjson.dumps({'name': 'd2', **digest}), ('127.0.0.1', 1)
    )
    clock.now_ms += 100
    assert peers.confirmation(gossip, replica).at_ms == confirmed_ms


@pytest.mark.parametrize(
    ('peer_count', 'data_centre', 'reads', 'age_ms', 'checks_first'),
    [
        (0, 'a', ['t'], 0, True),
        (1, 'a', ['t'], 0, False),
        (1, 'b', ['t'], 0, False),
        # Peers of another data centre are heard too seldom in a large fleet.
        (20, 'a', ['t'], 0, False),
        (20, 'b', ['t'], 0, True),
        # The first one has not been heard for seconds.
        (1, 'a', ['t'], 3000, True),
        # It can't read the topic, and so can't check anything.
        (1, 'a', ['other'], 0, True),
    ],
)
def test_who_checks_reads_first(
    clock: make.Clock,
    peer_count: int,
    data_centre: str,
    reads: list[str],
    age_ms: float,
    checks_first: bool,
) -> None:
    """Guards against calls of all daemons for what one of them can tell.

    That one must be able to tell it.
    """
    gossip = peers.Gossip(dict, lambda name, digest: None)
    for number in range(peer_count):
        name = f'd1{number:02}'
        gossip.add_member(name, model.Address('127.0.0.1', 1))
        digest = {
            'name': name,
            'newest': {},
            'data_centre': data_centre,
            'reads': reads,
        }
        gossip.datagram_received(orjson.dumps(digest), ('127.0.0.1', 1))
    clock.now_ms += age_ms
    election = peers.ReaderElection(
        'd2', 'a', gossip, cast('aiohttp.ClientSession', None)
    )
    assert election.checks_first(topic()) is checks_first


def test_first_receivers_of_digests() -> None:
    """Guards against daemons that start together and send to the same peers.

    Each would then hear all others at once, and nothing until the next round.
    """
    receivers: set[Any] = set()
    for _ in range(50):
        gossip = peers.Gossip(lambda: {}, lambda name, digest: None)
        gossip.transport = cast(
            'Any',
            types.SimpleNamespace(
                sendto=lambda payload, address: receivers.add(address)
            ),
        )
        for number in range(100):
            address = model.Address(f'10.0.0.{number}', 7300)
            gossip.add_member(f'd{number}', address)
        gossip.send()
    assert len(receivers) > 50
