"""Gossip between daemons, and anti-entropy of the topics' records."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import functools
import math
import random
from typing import TYPE_CHECKING, Any, Final

import aiohttp
import attrs
import eliot
import orjson
from aiohttp import web

from yuccarouter.gateway import (
    addresses,
    call_failures,
    confirmations,
    digest_delays,
    digest_parts,
    hedged_calls,
    late_log,
    metrics,
    model,
    numbers,
    offsets,
    ports,
    received_digests,
    topics,
)
from yuccarouter_common import clocks, loop_threads, records, turn_timeouts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from yuccarouter.gateway import datagram_ports

_GOSSIP_INTERVAL_S: Final = 0.4
# News that come at the same time are sent together after this delay.
_NEWS_DELAY_S: Final = 0.03
# A digest that waited longer than the interval is older than the next one.
_LATE_DIGEST_MS: Final = 400.0
# Number of registered peers that get each digest, in turn.
_FANOUT: Final = 8
# Beyond the number of daemons, so that each peer may be the first.
_MAX_FIRST_INDEX: Final = 65_536
_LIVE_TIMEOUT_MS: Final = 2500.0
# A peer is presumed gone after this many rounds without a digest from it. In a
# round, each daemon sends its digest once to every member.
_EXPIRY_ROUNDS: Final = 2.5
# A peer keeps its share of limits for this time after its last digest, and
# longer than that where digests are rarer. It may be cut off from this daemon
# only, and still send to endpoints.
_SHARE_TIMEOUT_MS: Final = 10_000.0
# Number of daemons in a data centre that read a topic from the store; the
# others read it from them.
_READERS_PER_DATA_CENTRE: Final = 2
# The peer does not answer, or its answer is malformed.
_FETCH_ERRORS: Final = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    records.ShapeError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)
# The digest is malformed.
_DIGEST_ERRORS: Final = (
    records.ShapeError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)
# A store is restored less often.
_MAX_GENERATION: Final = 10**9
_RECORDS_PATH: Final = '/records'
_RECORDS_TIMEOUT_S: Final = 0.8
# Time that a record may take from the store to this daemon, beyond the poll
# interval of its topic. Records reach all daemons within a few hundred
# milliseconds.
_OVERDUE_MARGIN_MS: Final = 600.0
# The same while the store does not answer this daemon, or its readers are
# silent. A sound store answers within this time.
_UNANSWERED_MARGIN_MS: Final = 200.0
# Readers send every digest to their dependants. Two of them may be lost.
_READER_TIMEOUT_MS: Final = 1000.0
# The store may begin to fail for this daemon while records are missing.
_OVERDUE_CHECK_INTERVAL_MS: Final = 100.0
# Number of peers that are asked for the same records. They are in at least two
# data centres, where possible.
_MAX_FETCHES: Final = 3


@attrs.define
class Peer:
    """Another daemon, according to its latest digest.

    ``received_ms`` is when that digest would have come without a delay.
    ``newest`` holds the newest offset that it knows of each topic,
    ``confirmed_ms`` until when the store has shown it that there are no others,
    in times of ``clocks.boot_ms``, and ``reads`` the topics that it reads from
    the store itself without failure.
    """

    address: model.Address
    received_ms: float
    newest: dict[str, int]
    data_centre: str = ''
    reads: tuple[str, ...] = ()
    confirmed_ms: dict[str, float] = attrs.field(factory=dict)


def _peer(
    digest: dict[str, Any], sender: tuple[str | Any, int], delay_ms: float
) -> Peer:
    """Return what a digest tells of its sender; raises ``_DIGEST_ERRORS``."""
    sent_ms = clocks.boot_ms() - delay_ms
    return Peer(
        address=model.Address(sender[0], sender[1]),
        received_ms=clocks.monotonic_ms() - delay_ms,
        newest=_offsets(digest['newest'], digest.get('generations', {})),
        data_centre=str(digest.get('data_centre', '')),
        reads=tuple(digest.get('reads', ())),
        confirmed_ms={
            str(topic): sent_ms - numbers.number(age_ms)
            for topic, age_ms in digest.get('ages_ms', {}).items()
        },
    )


def _note_lags(replicas: list[topics.Topic], peer: Peer) -> None:
    """Note which records a peer has that lack here."""
    for topic in replicas:
        topics.schedule_note(topic, peer.newest.get(topic.name, -1))


def _no_readers(_: topics.Topic) -> list[Peer]:
    """Return that no peer reads a topic for this daemon."""
    return []


class Gossip(asyncio.DatagramProtocol):
    """Sends this daemon's digest to peers over UDP and receives theirs.

    A digest holds totals, so that the next one makes up for a lost datagram.
    ``members`` are the addresses of the registered peers by name, ``names``
    their sorted names, and ``known_peers`` the senders of digests by name.
    ``dependants`` returns the names of the peers that get every digest. While
    ``has_news`` is set, the next digest does not wait for its interval.
    ``receivers`` process messages that are no digests, by the field that tells
    them apart; ``transport`` sends such messages. The lag of ``replicas`` is
    kept by what digests tell. ``data_centre`` is that of this daemon.
    ``readers`` returns the peers that read a topic for this daemon.
    ``schedule`` calls a function in the event loop that sends digests.
    """

    def __init__(
        self,
        make_digest: Callable[[], dict[str, Any]],
        on_digest: Callable[[str, dict[str, Any]], None],
    ) -> None:
        self._make_digest = make_digest
        self.received = received_digests.ReceivedDigests(
            functools.partial(_apply, on_digest)
        )
        self.transport: datagram_ports.DatagramPort | None = None
        # Daemons that start together would otherwise all send to the same
        # peers, and these would hear nothing until the next round.
        self._next_index = random.randrange(_MAX_FIRST_INDEX)
        self._started_ms = clocks.monotonic_ms()
        self.members: dict[str, model.Address] = {}
        self.names: tuple[str, ...] = ()
        self.known_peers: dict[str, Peer] = {}
        self.dependants: Callable[[], list[str]] = list
        self.has_news = asyncio.Event()
        self.replicas: list[topics.Topic] = []
        self.schedule: Callable[..., None] = loop_threads.call_now
        self.data_centre = ''
        self._delays = digest_delays.DigestDelays()
        self._late_log = late_log.LateLog('digests_late', _LATE_DIGEST_MS)
        self.call_failures = call_failures.CallFailures()
        self.readers: Callable[[topics.Topic], list[Peer]] = _no_readers
        self.receivers: dict[
            str, Callable[[dict[str, Any], tuple[str | Any, int]], None]
        ] = {}

    def datagram_received(
        self, payload: bytes, sender: tuple[str | Any, int]
    ) -> None:
        """Process a peer's message; a malformed one is logged and ignored."""
        with _logged_faults(sender[0]):
            digest = records.loads(payload)
            for field, receive in self.receivers.items():
                if field in digest:
                    receive(digest, sender)
                    return
            self._note(digest, sender)

    def _note(
        self, digest: dict[str, Any], sender: tuple[str | Any, int]
    ) -> None:
        """Note a digest, unless a later one of its sender has come before.

        What it tells of replicas is known at once, the rest once all digests
        that waited are received.
        """
        name = str(digest['name'])
        delay_ms = self._delays.delay_ms(name, digest)
        if delay_ms is None:
            return
        metrics.observe_digest_delay(delay_ms)
        self._late_log.record(delay_ms, clocks.monotonic_ms())
        if digest_parts.tells_replicas(digest):
            peer = _peer(digest, sender, delay_ms)
            # Other threads may be reading the peers.
            self.known_peers = {**self.known_peers, name: peer}
            _note_lags(self.replicas, peer)
        self.received.add(name, digest)

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be sent."""
        eliot.log_message('digest_not_sent', reason=str(exc))

    def apply_member_record(self, name: str, value: bytes) -> None:
        """Register a peer by its record, or remove it if there is no address.

        A malformed record is logged.
        """
        try:
            address = _decode_address(value) if value else None
        except (records.ShapeError, TypeError, ValueError) as fault:
            eliot.log_message('bad_member', peer=name, reason=str(fault))
            address = None
        if address is None:
            self.remove_member(name)
        else:
            self.add_member(name, address)

    def add_member(self, name: str, address: model.Address) -> None:
        """Register a peer or update its address."""
        self.members[name] = address
        self.names = tuple(sorted(self.members))

    def remove_member(self, name: str) -> None:
        """Remove a peer that is no longer registered."""
        self.members.pop(name, None)
        self.names = tuple(sorted(self.members))

    def live_names(self) -> list[str]:
        """Return the names of the peers that sent a digest a moment ago."""
        return self._names_within(_LIVE_TIMEOUT_MS)

    def unexpired_names(self) -> list[str]:
        """Return the names of the peers that are not presumed gone.

        With many members, the digests of each of them arrive less often than
        those of this daemon's readers, so that the time limit is longer.
        """
        return self._names_within(self._expiry_ms())

    def sharing_names(self) -> tuple[str, ...]:
        """Return the sorted names of the peers that may use endpoints.

        These are the registered peers without those that have been silent for
        long. Peers that this process has not heard yet are included at first.
        """
        timeout_ms = max(_SHARE_TIMEOUT_MS, self._expiry_ms())
        now_ms = clocks.monotonic_ms()
        if now_ms - self._started_ms < timeout_ms:
            return self.names
        heard = frozenset(self._names_within(timeout_ms))
        return tuple(name for name in self.names if name in heard)

    def _expiry_ms(self) -> float:
        intervals = math.ceil(len(self.names) / _FANOUT)
        round_ms = intervals * _GOSSIP_INTERVAL_S * model.MS_PER_S
        return max(_LIVE_TIMEOUT_MS, _EXPIRY_ROUNDS * round_ms)

    def _names_within(self, age_ms: float) -> list[str]:
        since_ms = clocks.monotonic_ms() - age_ms
        return [
            name
            for name, peer in self.known_peers.items()
            if peer.received_ms >= since_ms
        ]

    def live_peers(self) -> list[Peer]:
        """Return the peers that sent a digest a moment ago."""
        return [self.known_peers[name] for name in self.live_names()]

    async def run(self) -> None:
        """Send digests until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_GOSSIP_INTERVAL_S):
                    await self.has_news.wait()
                    await asyncio.sleep(_NEWS_DELAY_S)
            self.has_news.clear()
            self.send()

    def send(self) -> None:
        """Send the digest to the next members in turn and to the dependants."""
        if self.transport is None or not self.members:
            return
        payloads = digest_parts.encode(
            {**self._make_digest(), 'sent_ms': clocks.boot_ms()}
        )
        count = len(self.names)
        next_members = [
            self.names[(self._next_index + step) % count]
            for step in range(min(_FANOUT, count))
        ]
        for name in {*next_members, *self.dependants()} & self.members.keys():
            address = self.members[name]
            for payload in payloads:
                self.transport.sendto(payload, (address.host, address.port))
        self._next_index += _FANOUT


@contextlib.contextmanager
def _logged_faults(sender: object) -> Iterator[None]:
    """Log a malformed message of a peer."""
    try:
        yield
    except _DIGEST_ERRORS as fault:
        eliot.log_message('bad_digest', sender=sender, reason=str(fault))


def _apply(
    on_digest: Callable[[str, dict[str, Any]], None],
    name: str,
    digest: dict[str, Any],
) -> None:
    with _logged_faults(name):
        on_digest(name, digest)


def _decode_address(value: bytes) -> model.Address:
    host, port = records.loads(value)
    return addresses.remote(host, port)


def encode_newest(replicas: list[topics.Topic]) -> dict[str, dict[str, int]]:
    """Return the fields of a digest that tell the newest known records."""
    newest = {
        topic.name: _generation_and_number(topic.table.newest_offset)
        for topic in replicas
    }
    return {
        'newest': {name: number for name, (_, number) in newest.items()},
        'generations': {
            name: generation for name, (generation, _) in newest.items()
        },
    }


def encode_ages(replicas: list[topics.Topic]) -> dict[str, int]:
    """Return how long ago the store has confirmed each replica, by topic.

    What peers have told is left out: their word counts once, and expires.
    """
    return {
        topic.name: math.ceil(topic.confirmation.age_ms())
        for topic in replicas
        if math.isfinite(topic.confirmation.at_ms)
    }


def _generation_and_number(offset: int) -> tuple[int, int]:
    """Return what peers are sent for an offset; -1 is before all records."""
    if offset < 0:
        return (0, -1)
    return (offsets.generation(offset), offsets.number(offset))


def _offsets(
    newest: dict[str, Any], generations: dict[str, Any]
) -> dict[str, int]:
    return {
        str(topic): _offset(generations.get(topic, 0), number)
        for topic, number in newest.items()
    }


def _offset(generation: Any, number: Any) -> int:
    """Return an offset of a message, -1 for one before all records.

    Raises ``ValueError``.
    """
    if number == -1:
        return -1
    return offsets.encode(
        numbers.integer(generation, _MAX_GENERATION),
        numbers.integer(number, offsets.MAX_NUMBER),
    )


def _entry(generation: Any, key: Any, value: Any, number: Any) -> ports.Entry:
    """Return a record of a message; raises ``TypeError`` or ``ValueError``."""
    if not isinstance(key, str):
        raise TypeError('a record without a key')
    return ports.Entry(
        key, base64.b64decode(value), _offset(generation, number)
    )


def records_app(replicas: list[topics.Topic]) -> web.Application:
    """Return the application that serves this daemon's records to peers."""
    by_name = {topic.name: topic for topic in replicas}

    async def serve_records(request: web.Request) -> web.Response:
        topic = by_name[request.query['topic']]
        generation = request.query.get('generation')
        document = records_document(
            topic,
            int(request.query['from']),
            None if generation is None else int(generation),
        )
        return web.Response(body=orjson.dumps(document))

    app = web.Application()
    app.router.add_get(_RECORDS_PATH, serve_records)
    return app


def records_document(
    topic: topics.Topic, since: int, since_generation: int | None
) -> dict[str, Any]:
    """Return a topic's records from the number ``since`` of a generation on."""
    generation, newest = _generation_and_number(topic.table.newest_offset)
    if since_generation not in {None, generation}:
        since = 0
    oldest = offsets.encode(generation, since)
    # Another thread may be applying records.
    entries = tuple(topic.table.entries.values())
    return {
        'records': [
            [
                entry.key,
                base64.b64encode(entry.value).decode(),
                offsets.number(entry.offset),
            ]
            for entry in entries
            if entry.offset >= oldest
        ],
        'present': [entry.key for entry in entries if entry.value],
        'newest': newest,
        'generation': generation,
    }


async def fetch_missing_records(
    session: aiohttp.ClientSession,
    gossip: Gossip,
    replicas: list[topics.Topic],
) -> None:
    """Fetch records that peers have and this daemon lacks, until cancelled.

    Records can be missing because the store answers only other daemons, or
    because a pending long poll has lost its connection.
    """
    # A task group would go on without a task that was cancelled.
    await asyncio.gather(
        *(_fetch_overdue(session, gossip, topic) for topic in replicas)
    )


async def _fetch_overdue(
    session: aiohttp.ClientSession, gossip: Gossip, topic: topics.Topic
) -> None:
    """Fetch the missing records of a topic whenever they are overdue."""
    while True:
        await topic.lag.news.wait()
        topic.lag.news.clear()
        while ahead := peers_ahead(gossip, topic):
            remaining_ms = overdue_in_ms(gossip, topic, ahead)
            if remaining_ms > 0:
                delay_ms = min(remaining_ms, _OVERDUE_CHECK_INTERVAL_MS)
                await asyncio.sleep(delay_ms / model.MS_PER_S)
                continue
            known_offset = topic.table.newest_offset
            await _fetch_first(session, gossip, ahead, topic)
            if topic.table.newest_offset > known_offset:
                # Others may hear of the records from this daemon only.
                gossip.schedule(gossip.has_news.set)
            else:
                await asyncio.sleep(_GOSSIP_INTERVAL_S)


def overdue_in_ms(
    gossip: Gossip, topic: topics.Topic, ahead: list[Peer]
) -> float:
    """Return the time until missing records should have come another way.

    ``ahead`` are the peers that have them. A daemon that has never read the
    topic fetches records without delay, and so does one whose reader has them.
    """
    if topic.is_failing and not topic.is_loaded:
        return 0
    is_silent = topic.is_failing or (
        topic.pending.age_ms() >= _UNANSWERED_MARGIN_MS
    )
    if topic.is_read_from_peer:
        readers = gossip.readers(topic)
        if any(
            peer.address == each.address for peer in ahead for each in readers
        ):
            return 0
        is_silent = is_silent or all(
            clocks.monotonic_ms() - peer.received_ms > _READER_TIMEOUT_MS
            for peer in readers
        )
    timeout_ms = topic.poll_interval_ms + _OVERDUE_MARGIN_MS
    if is_silent:
        timeout_ms = _UNANSWERED_MARGIN_MS
    return timeout_ms - topics.behind_ms(topic)


@attrs.define
class ReaderElection:
    """Selects the daemons of a data centre that read topics from the store.

    The live daemons whose names sort first read from the store and the others
    read from them: calls to the store are limited and priced, those within a
    data centre are not.
    """

    name: str
    data_centre: str
    gossip: Gossip
    session: aiohttp.ClientSession

    async def read_from_peer(self, topic: topics.Topic) -> bool:
        """Read a topic from a reader; return whether there is one.

        A reader whose newer records can't be fetched counts as none.
        """
        readers = self.readers(topic)
        if not readers:
            return False
        ahead = _in_order(self.gossip, readers, topic)
        if not ahead:
            return True
        return await _fetch_first(self.session, self.gossip, ahead, topic)

    def dependants(self) -> list[str]:
        """Return the names of the peers that this daemon reads for.

        They get every digest, to learn of new records and of the reader's
        failure without delay. With many daemons, the regular digests come too
        seldom for that.
        """
        names = self._live_in_data_centre()
        readers = names[:_READERS_PER_DATA_CENTRE]
        if len(readers) == _READERS_PER_DATA_CENTRE and self.name > readers[-1]:
            return []
        return names

    def checks_first(self, topic: topics.Topic) -> bool:
        """Return whether this daemon checks reads that wait before others.

        It is the first by name of those that read the topic from the store and
        whose digests come in each interval. Of many daemons, these are the ones
        of one data centre.
        """
        if len(self.gossip.members) <= _FANOUT:
            names = self.gossip.live_names()
        else:
            names = self._live_in_data_centre()
        known_peers = self.gossip.known_peers
        return all(
            self.name < name
            for name in names
            if topic.name in known_peers[name].reads
        )

    def _live_in_data_centre(self) -> list[str]:
        """Return the sorted names of the live peers in this data centre."""
        known_peers = self.gossip.known_peers
        return sorted(
            name
            for name in self.gossip.live_names()
            if known_peers[name].data_centre == self.data_centre
        )

    def readers(self, topic: topics.Topic) -> list[Peer]:
        """Return the peers that read a topic for this daemon.

        The list is empty if this daemon is a reader itself.
        """
        readers = self._live_in_data_centre()[:_READERS_PER_DATA_CENTRE]
        if len(readers) < _READERS_PER_DATA_CENTRE or self.name < readers[-1]:
            return []
        peers = [self.gossip.known_peers[name] for name in readers]
        return [peer for peer in peers if topic.name in peer.reads]


def confirmation(
    gossip: Gossip, topic: topics.Topic
) -> confirmations.Confirmation:
    """Return the newest confirmation by a peer that no record is missing here.

    Its replica held no newer record when the store confirmed it.
    """
    newest = confirmations.NEVER
    for name, peer in gossip.known_peers.items():
        at_ms = peer.confirmed_ms.get(topic.name, -math.inf)
        is_newer = peer.newest.get(topic.name, -1) > topic.table.newest_offset
        if at_ms > newest.at_ms and not is_newer:
            newest = confirmations.Confirmation(at_ms, name)
    return newest


def peers_ahead(gossip: Gossip, topic: topics.Topic) -> list[Peer]:
    """Return the live peers with records that are missing here.

    They are in the order in which they should be asked.
    """
    return _in_order(gossip, gossip.live_peers(), topic)


def _in_order(
    gossip: Gossip, candidates: list[Peer], topic: topics.Topic
) -> list[Peer]:
    """Return the candidates that have missing records, the best one first.

    That is one with the newest records that has answered its last call, if
    possible of this data centre. The next ones are in others, since a whole
    data centre may be lost.
    """
    own_offset = topic.table.newest_offset

    def newest(peer: Peer) -> int:
        return peer.newest.get(topic.name, -1)

    ahead = sorted(
        (peer for peer in candidates if newest(peer) > own_offset),
        key=lambda peer: (
            gossip.call_failures.has_failed(peer.address),
            -newest(peer),
            peer.data_centre != gossip.data_centre,
            -peer.received_ms,
        ),
    )
    return ahead[:1] + sorted(
        ahead[1:],
        key=lambda peer: (
            gossip.call_failures.has_failed(peer.address),
            peer.data_centre == ahead[0].data_centre,
        ),
    )


async def _fetch_first(
    session: aiohttp.ClientSession,
    gossip: Gossip,
    ahead: list[Peer],
    topic: topics.Topic,
) -> bool:
    """Fetch missing records from the first peer that answers.

    Returns whether one has answered.
    """

    async def fetch(peer: Peer) -> bool:
        is_answered = False
        try:
            is_answered = await _fetch(session, peer, topic)
        finally:
            gossip.call_failures.note(peer.address, is_answered=is_answered)
        return is_answered

    return await hedged_calls.first_answer(ahead[:_MAX_FETCHES], fetch)


async def _fetch(
    session: aiohttp.ClientSession, peer: Peer, topic: topics.Topic
) -> bool:
    """Fetch the records that a peer has and this daemon lacks.

    Returns whether the peer has answered.
    """
    known_generation, number = _generation_and_number(topic.table.newest_offset)
    began_ms = clocks.monotonic_ms()
    try:
        async with (
            turn_timeouts.limit(_RECORDS_TIMEOUT_S),
            session.get(
                f'http://{peer.address}{_RECORDS_PATH}',
                params={
                    'topic': topic.name,
                    'from': str(number + 1),
                    'generation': str(known_generation),
                },
                timeout=aiohttp.ClientTimeout(total=None),
            ) as answer,
        ):
            document = records.loads(await answer.read())
            generation = document.get('generation', known_generation)
            missing = [
                _entry(generation, key, value, number)
                for key, value, number in document['records']
            ]
            present = frozenset(document['present'])
            newest = _offset(generation, document['newest'])
    except _FETCH_ERRORS as fault:
        metrics.PEER_FETCHES.labels(topic.name, 'failed').inc()
        eliot.log_message(
            'peer_fetch_failed',
            topic=topic.name,
            peer=str(peer.address),
            reason=str(fault) or type(fault).__name__,
            waited_ms=round(clocks.monotonic_ms() - began_ms),
            behind_ms=round(topics.behind_ms(topic)),
        )
        return False
    metrics.PEER_FETCHES.labels(topic.name, 'answered').inc()
    if missing:
        eliot.log_message(
            'records_from_peer',
            topic=topic.name,
            peer=str(peer.address),
            count=len(missing),
        )
    ordered = sorted(missing, key=lambda entry: entry.offset)
    topic.merge(ordered, present, newest)
    return True
