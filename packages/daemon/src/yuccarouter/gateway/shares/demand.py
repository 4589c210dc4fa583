"""The demand of organisations and their keys, as known to one daemon.

Each daemon counts what arrives here and tells its peers the rates:

    demand.record_arrival('lookup', 'acme', 'key-1', work_ms=75, now_ms=0)
    demand.merge('gateway-2', message_of_gateway_2, now_ms=100)
    demand.samples('lookup', daemon_count=2, now_ms=200)
"""

from __future__ import annotations

import functools
import heapq
import math
from typing import Any, Final

import attrs
import xxhash

from yuccarouter.gateway import model
from yuccarouter.gateway.shares import figures

# Time constant of the decay of rates. Shorter ones are noisy where an
# organisation sends few requests, and with longer ones a flood of six times the
# usual is cut seconds later.
_DECAY_MS: Final = 1000.0
# Peers' figures expire at this age, that of a daemon without contact.
_EXPIRY_MS: Final = 2500.0
# Rates in milliseconds a second below which an entry is removed: less than one
# plain request in an hour.
_MIN_MS_PER_S: Final = 0.02
# Services in a message, the busiest first, and those of them with all listed
# organisations, so that a digest has a fixed upper bound.
_MAX_SERVICES: Final = 8
_MAX_DETAILED_SERVICES: Final = 3
# Organisations whose keys are listed, and keys of each of them: keys matter
# only where an organisation is above its share.
_ORGANISATIONS_WITH_KEYS: Final = 2
_MAX_KEYS: Final = 3
# Organisations that are listed while the service has room for all. A flood
# shows among the heaviest ones before it fills the service.
_BRIEF_ORGANISATIONS: Final = 2
# Keys that are counted separately; callers without a known key can't use up
# memory with random ones.
_MAX_COUNTED_KEYS: Final = 64
_OTHER_KEYS: Final = ''
_ORGANISATION_DIGITS: Final = 6
_KEY_DIGITS: Final = 4
_CACHED_HASHES: Final = 8192
# Endpoint time until it is measured: the middle of the observed times of plain
# requests, and of engines' read times with the models that are asked in turn.
_PLAIN_WORK_MS: Final = 75.0
_STREAM_BASE_MS: Final = 25.0
_READ_MS_PER_TOKEN: Final = 0.02

# Encoded figures by service.
Message = dict[str, Any]


def estimated_work_ms(kind: model.Kind, prompt_tokens: int) -> float:
    """Return the endpoint time that a request is expected to take."""
    if kind is not model.Kind.STREAM:
        return _PLAIN_WORK_MS
    return _STREAM_BASE_MS + prompt_tokens * _READ_MS_PER_TOKEN


@functools.lru_cache(maxsize=_CACHED_HASHES)
def organisation_hash(organisation: str) -> str:
    """Return the short name of an organisation in messages."""
    return _hex_digits(organisation)[:_ORGANISATION_DIGITS]


@functools.lru_cache(maxsize=_CACHED_HASHES)
def key_hash(key: str) -> str:
    """Return the short name of a key in messages, which doesn't reveal it."""
    return _hex_digits(key)[:_KEY_DIGITS]


def _hex_digits(name: str) -> str:
    """Return a hash; bytes of a header that are no text are surrogates."""
    return xxhash.xxh3_64_hexdigest(name.encode(errors='surrogatepass'))


@attrs.define
class _Rate:
    """An exponentially decayed sum of endpoint time."""

    sum_ms: float = 0
    updated_ms: float = 0

    def add(self, work_ms: float, now_ms: float) -> None:
        self.sum_ms = max(0, self._sum_ms(now_ms) + work_ms)
        self.updated_ms = max(self.updated_ms, now_ms)

    def ms_per_s(self, now_ms: float) -> float:
        return self._sum_ms(now_ms) * model.MS_PER_S / _DECAY_MS

    def _sum_ms(self, now_ms: float) -> float:
        return self.sum_ms * _decay(now_ms - self.updated_ms)


@attrs.frozen
class _PeerFigures:
    """The services' demand at a peer, by its latest message."""

    received_ms: float
    services: dict[str, figures.Figures]


@attrs.define
class Demand:
    """Rates of endpoint time that callers ask for, here and at the peers.

    ``_own`` holds rates by service, organisation and key; ``_peers`` the peers'
    figures by name. Organisations and keys are named by hashes. Until
    ``_brief_until_ms`` a service has room for all its requests, and only its
    heaviest organisations are listed for peers.
    """

    _own: dict[str, dict[str, dict[str, _Rate]]] = attrs.field(factory=dict)
    _peers: dict[str, _PeerFigures] = attrs.field(factory=dict)
    _brief_until_ms: dict[str, float] = attrs.field(factory=dict)

    def record_arrival(
        self,
        service: str,
        organisation: str,
        key: str,
        work_ms: float,
        now_ms: float,
    ) -> None:
        """Count a request that takes ``work_ms`` of an endpoint's time."""
        organisations = self._own.setdefault(service, {})
        keys = organisations.setdefault(organisation_hash(organisation), {})
        rate = keys.setdefault(_counted_key(keys, key), _Rate())
        rate.add(work_ms, now_ms)

    def record_departure(
        self,
        service: str,
        organisation: str,
        key: str,
        work_ms: float,
        *,
        arrived_ms: float,
        now_ms: float,
    ) -> None:
        """Take back what is left of a request whose caller has left."""
        organisations = self._own.get(service, {})
        keys = organisations.get(organisation_hash(organisation), {})
        rate = keys.get(_counted_key(keys, key))
        if rate is not None:
            rate.add(-work_ms * _decay(now_ms - arrived_ms), now_ms)

    def mark_plentiful(self, service: str, until_ms: float) -> None:
        """Let messages list only the heaviest organisations of a service."""
        self._brief_until_ms[service] = until_ms

    def message(self, now_ms: float) -> Message:
        """Return the rates of demand at this daemon, for peers."""
        self._expire(now_ms)
        busiest = heapq.nlargest(
            _MAX_SERVICES,
            ((self._own_ms_per_s(name, now_ms), name) for name in self._own),
        )
        encoded: Message = {}
        detailed = 0
        for _, service in busiest:
            is_detailed = (
                detailed < _MAX_DETAILED_SERVICES
                and self._brief_until_ms.get(service, -math.inf) <= now_ms
            )
            detailed += is_detailed
            encoded[service] = figures.encode(
                self._own_figures(service, now_ms, is_detailed=is_detailed)
            )
        return encoded

    def merge(self, peer: str, message: Any, now_ms: float) -> None:
        """Replace a peer's figures by those of its message.

        A peer of an older version sends none, and doesn't count as heard.
        Raises ``AttributeError``, ``TypeError`` or ``ValueError`` for a
        malformed message.
        """
        if message is None:
            return
        if len(message) > _MAX_SERVICES:
            raise ValueError('demand for too many services')
        services = {
            str(service): figures.decode(fields)
            for service, fields in message.items()
        }
        self._peers[peer] = _PeerFigures(now_ms, services)

    def samples(
        self, service: str, daemon_count: int, now_ms: float
    ) -> list[tuple[figures.Figures, float]]:
        """Return the daemons' figures of a service, each with its scale.

        Of many daemons, only a part is heard within the expiry. The figures of
        these stand for the others, too. Without a peer, the own ones are all.
        """
        self._expire_peers(now_ms)
        own = self._own_figures(service, now_ms, is_detailed=True)
        heard = len(self._peers)
        if not heard:
            return [(own, 1.0)]
        scale = max(1.0, (daemon_count - 1) / heard)
        peers = [
            (peer.services[service], scale)
            for peer in self._peers.values()
            if service in peer.services
        ]
        return [(own, 1.0), *peers]

    def _own_ms_per_s(self, service: str, now_ms: float) -> float:
        return sum(
            rate.ms_per_s(now_ms)
            for keys in self._own[service].values()
            for rate in keys.values()
        )

    def _own_figures(
        self, service: str, now_ms: float, *, is_detailed: bool
    ) -> figures.Figures:
        """Return this daemon's figures in the form that peers get."""
        by_organisation = {
            organisation: {
                key: round(rate.ms_per_s(now_ms)) for key, rate in keys.items()
            }
            for organisation, keys in self._own.get(service, {}).items()
        }
        totals = {
            organisation: sum(rates.values())
            for organisation, rates in by_organisation.items()
        }
        heaviest = _heaviest(
            totals, figures.MAX_LISTED if is_detailed else _BRIEF_ORGANISATIONS
        )
        with_keys = heaviest[:_ORGANISATIONS_WITH_KEYS] if is_detailed else []
        parts = {}
        for name in heaviest:
            rates = by_organisation[name] if name in with_keys else {}
            keys = _heaviest(rates, _MAX_KEYS)
            parts[name] = figures.Figures(
                totals[name],
                max(1, len(rates)),
                {key: figures.Figures(rates[key]) for key in keys},
            )
        return figures.Figures(
            sum(totals.values()), sum(map(bool, totals.values())), parts
        )

    def _expire(self, now_ms: float) -> None:
        self._expire_peers(now_ms)
        for service, organisations in list(self._own.items()):
            _remove_idle(organisations, now_ms)
            if not organisations:
                self._own.pop(service)
                self._brief_until_ms.pop(service, None)

    def _expire_peers(self, now_ms: float) -> None:
        for name, peer in list(self._peers.items()):
            if now_ms - peer.received_ms > _EXPIRY_MS:
                self._peers.pop(name)


def _decay(elapsed_ms: float) -> float:
    return math.exp(-max(0, elapsed_ms) / _DECAY_MS)


def _remove_idle(
    organisations: dict[str, dict[str, _Rate]], now_ms: float
) -> None:
    for organisation, keys in list(organisations.items()):
        busy = {
            key: rate
            for key, rate in keys.items()
            if rate.ms_per_s(now_ms) >= _MIN_MS_PER_S
        }
        if busy:
            organisations[organisation] = busy
        else:
            organisations.pop(organisation)


def _counted_key(keys: dict[str, _Rate], key: str) -> str:
    """Return the name under which a key is counted."""
    name = key_hash(key)
    is_full = len(keys) >= _MAX_COUNTED_KEYS
    return _OTHER_KEYS if is_full and name not in keys else name


def _heaviest(rates: dict[str, int], limit: int) -> list[str]:
    """Return the names with the highest rates, the highest first."""
    busy = [name for name, rate in rates.items() if rate]
    return heapq.nsmallest(limit, busy, key=lambda name: (-rates[name], name))
