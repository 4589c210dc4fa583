"""What daemons tell each other: evidence of roll-outs, and missed records."""

from __future__ import annotations

import asyncio
import base64
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
_FANOUT: Final = 12
_LIVE_MS: Final = 2500.0
_MAX_DATAGRAM: Final = 8000
_RECORDS_PATH: Final = '/records'
_RECORDS_TIMEOUT_S: Final = 0.8
# Records are asked of peers once the store has not answered for this long.
_STORE_AGE_MS: Final = 700.0
# A peer whose own contact to the store is older has nothing newer to tell.
_PEER_STORE_AGE_MS: Final = 1500.0


@attrs.define
class Peer:
    """Another daemon, as its newest message showed it."""

    address: model.Address
    heard_ms: float
    store_age_ms: float


class Exchange(asyncio.DatagramProtocol):
    """Sends this daemon's digest to peers and keeps theirs.

    A digest holds totals, so that a lost datagram costs nothing but time.
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
        self.heard: dict[str, Peer] = {}

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
                store_age_ms=float(digest['store_age_ms']),
            )
            self._receive(name, digest)
        except (records.ShapeError, LookupError, TypeError, ValueError) as bad:
            eliot.log_message('bad_digest', sender=sender[0], reason=str(bad))

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be sent; the peer stays silent."""
        eliot.log_message('digest_not_sent', reason=str(exc))

    def live_peers(self) -> list[Peer]:
        """Return the peers that were heard a moment ago."""
        since_ms = clocks.monotonic_ms() - _LIVE_MS
        return [
            peer for peer in self.heard.values() if peer.heard_ms >= since_ms
        ]

    async def run(self) -> None:
        """Send digests until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            self.send()

    def send(self) -> None:
        """Send the digest to the next few members."""
        if self._transport is None or not self.members:
            return
        payload = orjson.dumps(self._digest())
        if len(payload) > _MAX_DATAGRAM:
            eliot.log_message('digest_too_long', length=len(payload))
            return
        names = sorted(self.members)
        for step in range(min(_FANOUT, len(names))):
            address = self.members[names[(self._next + step) % len(names)]]
            self._transport.sendto(payload, (address.host, address.port))
        self._next += _FANOUT


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
        return web.Response(body=orjson.dumps(known))

    app = web.Application()
    app.router.add_get(_RECORDS_PATH, give)
    return app


async def fetch_missed(
    session: aiohttp.ClientSession,
    exchange: Exchange,
    followed: list[topics.Topic],
) -> None:
    """Fetch records from peers while the store does not answer."""
    turn = 0
    while True:
        await asyncio.sleep(_INTERVAL_S)
        fresh = [
            peer
            for peer in exchange.live_peers()
            if peer.store_age_ms < _PEER_STORE_AGE_MS
        ]
        if not fresh:
            continue
        turn += 1
        peer = fresh[turn % len(fresh)]
        for topic in followed:
            if topic.is_failing and topic.age_ms() > _STORE_AGE_MS:
                await _fetch(session, peer, topic)


async def _fetch(
    session: aiohttp.ClientSession, peer: Peer, topic: topics.Topic
) -> None:
    newest = max(
        (entry.offset + 1 for entry in topic.table.entries.values()), default=0
    )
    try:
        async with session.get(
            f'http://{peer.address}{_RECORDS_PATH}',
            params={'topic': topic.name, 'from': str(newest)},
            timeout=aiohttp.ClientTimeout(total=_RECORDS_TIMEOUT_S),
        ) as answer:
            rows = records.loads(await answer.read())
            found = [
                ports.Entry(key, base64.b64decode(value), offset)
                for key, value, offset in rows
            ]
    except (
        aiohttp.ClientError,
        asyncio.TimeoutError,
        records.ShapeError,
        TypeError,
        ValueError,
    ) as fault:
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
        topic.merge(sorted(found, key=lambda entry: entry.offset))
