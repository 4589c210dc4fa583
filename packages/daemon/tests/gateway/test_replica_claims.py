"""Tests of what a daemon claims to know, and of what peers conclude from it."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import attrs
import gateway_makers as make
import orjson
import pytest

from yuccarouter.gateway import datagram_ports, model, peers, ports, topics


@attrs.define
class PagedStore:
    """A store whose records change between the pages of a load.

    ``writes`` are the records that come after the first page was read; the
    page has the keys up to ``m``.
    """

    rows: list[ports.Entry]
    writes: list[ports.Entry]

    async def newest(self, topic: str) -> ports.Page:
        """Return two pages, of before and after the writes."""
        first = {row.key: row for row in self.rows if row.key <= 'm'}
        end_offset = len(self.rows)
        self.rows = [*self.rows, *self.writes]
        second = {row.key: row for row in self.rows if row.key > 'm'}
        return ports.Page((*first.values(), *second.values()), end_offset)

    async def read(self, topic: str, offset: int, wait_ms: int) -> ports.Page:
        """Return the records from ``offset`` on."""
        return ports.Page(tuple(self.rows[offset:]), len(self.rows))

    async def append(
        self,
        topic: str,
        entries: Sequence[tuple[str, bytes]],
        expected_offset: int | None,
    ) -> int:
        """Nothing is written here."""
        raise NotImplementedError


def make_topic(store: ports.Store) -> topics.Topic:
    return topics.Topic('t', store, lambda entry: None, lambda outage_ms: None)


def paged_store() -> PagedStore:
    return PagedStore(
        [make.entry('a', b'1', 0), make.entry('z', b'1', 1)],
        [make.entry('a', b'2', 2), make.entry('z', b'2', 3)],
    )


def contents(topic: topics.Topic) -> dict[str, bytes]:
    return {key: entry.value for key, entry in topic.table.entries.items()}


async def test_load_of_several_pages_claims_what_it_has() -> None:
    """Guards against a replica that lacks a record for good.

    The record is written between the pages of a load. Peers took the replica
    for complete, and confirmed it.
    """
    topic = make_topic(paged_store())
    await topic._load()
    assert contents(topic) == {'a': b'1', 'z': b'2'}
    assert topic.table.newest_offset == 1
    await topic._read_once()
    assert contents(topic) == {'a': b'2', 'z': b'2'}
    assert topic.table.newest_offset == 3


async def test_peer_of_a_daemon_that_has_loaded_several_pages() -> None:
    """Guards against a peer that goes on after a record that it never got."""
    store = paged_store()
    loaded = make_topic(store)
    await loaded._load()
    replica = make_topic(store)
    document = peers.records_document(loaded, 0, 0)
    replica.merge(
        [peers._entry(0, *row) for row in document['records']],
        frozenset(document['present']),
        document['newest'],
    )
    replica.is_loaded = True
    await replica._read_once()
    assert contents(replica)['a'] == b'2'


def digest_of(name: str, **fields: Any) -> dict[str, Any]:
    return {
        'name': name,
        'process': 1,
        'newest': {'t': 5},
        'reads': ['t'],
        'ages_ms': {'t': 100},
        **fields,
    }


@pytest.mark.parametrize(
    ('delay_ms', 'expected_age_ms'),
    [
        (0, 100),
        (400, 500),
        (3000, 3100),
    ],
)
def test_digest_that_has_waited(
    clock: make.Clock, delay_ms: float, expected_age_ms: float
) -> None:
    """Guards against old digests that count as new ones.

    They wait in the socket while the VM is suspended, or arrive out of order.
    """
    gossip = peers.Gossip(dict, lambda name, digest: None)
    replica = make_topic(paged_store())
    replica.table.advance(6)
    for sent_ms, waits_ms in ((1000, 0), (1400, 0), (1800, delay_ms)):
        clock.now_ms = sent_ms + waits_ms
        gossip.datagram_received(
            orjson.dumps(digest_of('d2', sent_ms=sent_ms)), ('127.0.0.1', 1)
        )
    assert peers.confirmation(gossip, replica).age_ms() == expected_age_ms


def test_digest_that_is_overtaken(clock: make.Clock) -> None:
    """Guards against an older digest that replaces what a newer one told."""
    gossip = peers.Gossip(dict, lambda name, digest: None)
    for sent_ms, newest in ((1000, 5), (1800, 7), (1400, 6)):
        clock.now_ms += 400
        digest = digest_of('d2', sent_ms=sent_ms, newest={'t': newest})
        gossip.datagram_received(orjson.dumps(digest), ('127.0.0.1', 1))
    assert gossip.known_peers['d2'].newest == {'t': 7}


async def test_digest_that_is_too_long() -> None:
    """Guards against a daemon that tells nothing as it has too much to tell.

    Its peers took it for dead, and did not ask it for records.
    """
    received: list[dict[str, Any]] = []
    gossips = []
    load = {f'endpoint-{number}': 0.5 for number in range(810)}
    for name in ('d1', 'd2'):
        gossip = peers.Gossip(
            lambda name=name: digest_of(name, demand=load, queues=load),
            lambda name, digest: received.append(digest),
        )
        gossip.transport = datagram_ports.open_port(
            gossip, model.Address('127.0.0.1', 0)
        )
        gossips.append((gossip, gossip.transport))
    (first, first_transport), (_, second_transport) = gossips
    port = second_transport.address[1]
    first.add_member('d2', model.Address('127.0.0.1', port))
    first.send()
    try:
        async with asyncio.timeout(5):
            while not received:
                await asyncio.sleep(0.01)
    finally:
        first_transport.close()
        second_transport.close()
    assert received[0]['newest'] == {'t': 5}
