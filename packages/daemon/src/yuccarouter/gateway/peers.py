"""What daemons tell each other: evidence of roll-outs, and missed records."""

from __future__ import annotations

import asyncio
import base64
import math
from typing import TYPE_CHECKING, Any, Final, cast

import aiohttp
import attrs
import eliot
import orjson
from aiohttp import web

from yuccarouter.gateway import model, ports
from yuccarouter_common import clocks, records

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter.gateway import topics

_INTERVAL_S: Final = 0.4
# Peers that get each message; all of them where there are few.
_FANOUT: Final = 8
_LIVE_MS: Final = 2500.0
# Rounds in which all members are told after which a silent one is gone.
_ROUNDS_TO_MISS: Final = 2.5
# Daemons of a data centre that read a topic from the store for all.
_READERS: Final = 2
_MAX_DATAGRAM: Final = 8000
# A peer that is gone, or that answers with something else than records.
_FETCH_FAULTS: Final = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    records.ShapeError,
    LookupError,
    TypeError,
    ValueError,
)
# A digest of another shape than expected.
_DIGEST_FAULTS: Final = (
    records.ShapeError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)
_RECORDS_PATH: Final = '/records'
_RECORDS_TIMEOUT_S: Final = 0.8
# Records reach all daemons within a few hundred milliseconds.
_OVERDUE_MS: Final = 600.0


@attrs.define
class Peer:
    """Another daemon, as its newest message showed it.

    ``newest`` is how far it has read each topic, and ``reads`` are the topics
    that it reads from the store itself, without failures.
    """

    address: model.Address
    heard_ms: float
    newest: dict[str, int]
    data_centre: str = ''
    reads: tuple[str, ...] = ()


class Exchange(asyncio.DatagramProtocol):
    """Sends this daemon's digest to peers and keeps theirs.

    A digest holds totals, so that a lost datagram costs nothing but time.
    ``members`` are the registered peers and ``names`` their names in order;
    ``relying`` returns those that need each digest.
    """

    def __init__(
        self,
        digest: Callable[[], dict[str, Any]],
        receive: Callable[[str, dict[str, Any]], None],
    ) -> None:
        self._digest = digest
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None
        self._next = 0
        self.members: dict[str, model.Address] = {}
        self.names: tuple[str, ...] = ()
        self.heard: dict[str, Peer] = {}
        self.relying: Callable[[], list[str]] = list

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to send with."""
        # The event loop's transport is not a subclass of the abstract one.
        self._transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(
        self, payload: bytes, sender: tuple[str | Any, int]
    ) -> None:
        """Take in a peer's digest; what can't be read is logged and left."""
        try:
            digest = records.loads(payload)
            name = str(digest['name'])
            self.heard[name] = Peer(
                address=model.Address(sender[0], sender[1]),
                heard_ms=clocks.monotonic_ms(),
                newest=_offsets(digest['newest']),
                data_centre=str(digest.get('data_centre', '')),
                reads=tuple(digest.get('reads', ())),
            )
            self._receive(name, digest)
        except _DIGEST_FAULTS as bad:
            eliot.log_message('bad_digest', sender=sender[0], reason=str(bad))

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be sent; the peer stays silent."""
        eliot.log_message('digest_not_sent', reason=str(exc))

    def add_member(self, name: str, address: model.Address) -> None:
        """Register a peer, or its new address."""
        self.members[name] = address
        self.names = tuple(sorted(self.members))

    def remove_member(self, name: str) -> None:
        """Forget a peer that is registered no more."""
        self.members.pop(name, None)
        self.names = tuple(sorted(self.members))

    def live_names(self) -> list[str]:
        """Return the names of peers that were heard a moment ago."""
        return self._heard_within(_LIVE_MS)

    def present_names(self) -> list[str]:
        """Return the names of peers that are there, as far as known.

        With many members a message of each comes more seldom than those of
        the few who read for this daemon.
        """
        turns = math.ceil(len(self.names) / _FANOUT)
        round_ms = turns * _INTERVAL_S * model.MS_PER_S
        return self._heard_within(max(_LIVE_MS, _ROUNDS_TO_MISS * round_ms))

    def _heard_within(self, age_ms: float) -> list[str]:
        since_ms = clocks.monotonic_ms() - age_ms
        return [
            name
            for name, peer in self.heard.items()
            if peer.heard_ms >= since_ms
        ]

    def live_peers(self) -> list[Peer]:
        """Return the peers that were heard a moment ago."""
        return [self.heard[name] for name in self.live_names()]

    def confirms(self, topic: topics.Topic) -> bool:
        """Return whether a peer that reads the topic knows nothing newer."""
        return any(
            topic.name in peer.reads
            and peer.newest.get(topic.name, -1) <= topic.table.newest_offset
            for peer in self.live_peers()
        )

    async def run(self) -> None:
        """Send digests until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            self.send()

    def send(self) -> None:
        """Send the digest to the next few members, and to those who rely."""
        if self._transport is None or not self.members:
            return
        payload = orjson.dumps(self._digest())
        if len(payload) > _MAX_DATAGRAM:
            eliot.log_message('digest_too_long', length=len(payload))
            return
        count = len(self.names)
        turn = [
            self.names[(self._next + step) % count]
            for step in range(min(_FANOUT, count))
        ]
        for name in {*turn, *self.relying()} & self.members.keys():
            address = self.members[name]
            self._transport.sendto(payload, (address.host, address.port))
        self._next += _FANOUT


def _offsets(newest: dict[str, Any]) -> dict[str, int]:
    return {str(topic): int(offset) for topic, offset in newest.items()}


def records_app(followed: list[topics.Topic]) -> web.Application:
    """Return the application that gives known records to peers."""
    by_name = {topic.name: topic for topic in followed}

    async def give(request: web.Request) -> web.Response:
        topic = by_name[request.query['topic']]
        since = int(request.query['from'])
        known = [
            [
                entry.key,
                base64.b64encode(entry.value).decode(),
                entry.offset,
            ]
            for entry in topic.table.entries.values()
            if entry.offset >= since
        ]
        present = [
            entry.key for entry in topic.table.entries.values() if entry.value
        ]
        document = {
            'records': known,
            'present': present,
            'newest': topic.table.newest_offset,
        }
        return web.Response(body=orjson.dumps(document))

    app = web.Application()
    app.router.add_get(_RECORDS_PATH, give)
    return app


async def fetch_missed(
    session: aiohttp.ClientSession,
    exchange: Exchange,
    followed: list[topics.Topic],
) -> None:
    """Fetch the records that peers have and this daemon lacks.

    The store may answer others only, and a call that waits for a record may
    have lost its connection.
    """
    lacks = {topic.name: Lack() for topic in followed}
    while True:
        await asyncio.sleep(_INTERVAL_S)
        for topic in followed:
            peer = peer_ahead(exchange, topic)
            newest = -1 if peer is None else peer.newest[topic.name]
            is_overdue = lacks[topic.name].is_overdue(
                topic, newest, clocks.monotonic_ms()
            )
            if peer is not None and is_overdue:
                await _fetch(session, peer, topic)


@attrs.define
class Lack:
    """A record that peers had first, and since when they are known to."""

    offset: int = -1
    since_ms: float = 0

    def is_overdue(
        self, topic: topics.Topic, newest: int, now_ms: float
    ) -> bool:
        """Return whether a record should have been read from the store.

        ``newest`` is the newest record of peers, -1 where none is ahead. A
        daemon that could not read the topic at all waits for nothing.
        """
        if topic.is_failing and not topic.is_loaded:
            return newest >= 0
        if topic.table.newest_offset >= self.offset:
            self.offset = newest
            self.since_ms = now_ms
        usual_ms = topic.interval_ms + _OVERDUE_MS
        return self.offset >= 0 and now_ms - self.since_ms >= usual_ms


@attrs.define
class ReadingDuty:
    """Shares the reading of a topic among the daemons of a data centre.

    Two of them ask the store, the others ask these two: calls to the store
    are limited and priced, those within a data centre are not.
    """

    name: str
    data_centre: str
    exchange: Exchange
    session: aiohttp.ClientSession

    async def read_elsewhere(self, topic: topics.Topic) -> bool:
        """Read from a peer; return whether there was one to read from."""
        readers = self._readers(topic)
        if not readers:
            return False
        best = max(readers, key=lambda peer: peer.newest.get(topic.name, -1))
        if best.newest.get(topic.name, -1) > topic.table.newest_offset:
            await _fetch(self.session, best, topic)
        return True

    def relying(self) -> list[str]:
        """Return the peers that this daemon reads for.

        With many daemons the digests that go round come seldom; these peers
        must learn of new records, and of a reader's end, at once.
        """
        near = self._near()
        first = near[:_READERS]
        if len(first) == _READERS and self.name > first[-1]:
            return []
        return near

    def _near(self) -> list[str]:
        """Return the live peers of this data centre, in order."""
        heard = self.exchange.heard
        return sorted(
            name
            for name in self.exchange.live_names()
            if heard[name].data_centre == self.data_centre
        )

    def _readers(self, topic: topics.Topic) -> list[Peer]:
        """Return the peers that read for this daemon, if it is none of them."""
        first = self._near()[:_READERS]
        if len(first) < _READERS or self.name < first[-1]:
            return []
        peers = [self.exchange.heard[name] for name in first]
        return [peer for peer in peers if topic.name in peer.reads]


def peer_ahead(exchange: Exchange, topic: topics.Topic) -> Peer | None:
    """Return the live peer that knows most, if it knows more."""
    best = max(
        exchange.live_peers(),
        key=lambda peer: peer.newest.get(topic.name, -1),
        default=None,
    )
    if best is None:
        return None
    newest = best.newest.get(topic.name, -1)
    return best if newest > topic.table.newest_offset else None


async def _fetch(
    session: aiohttp.ClientSession, peer: Peer, topic: topics.Topic
) -> None:
    since = topic.table.newest_offset + 1
    try:
        async with session.get(
            f'http://{peer.address}{_RECORDS_PATH}',
            params={'topic': topic.name, 'from': str(since)},
            timeout=aiohttp.ClientTimeout(total=_RECORDS_TIMEOUT_S),
        ) as answer:
            known = records.loads(await answer.read())
            found = [
                ports.Entry(key, base64.b64decode(value), offset)
                for key, value, offset in known['records']
            ]
            present = frozenset(known['present'])
            newest = int(known['newest'])
    except _FETCH_FAULTS as fault:
        eliot.log_message(
            'peer_fetch_failed', peer=str(peer.address), reason=str(fault)
        )
        return
    if found:
        eliot.log_message(
            'records_from_peer',
            topic=topic.name,
            peer=str(peer.address),
            count=len(found),
        )
        ordered = sorted(found, key=lambda entry: entry.offset)
        topic.merge(ordered, present, newest)
