"""How much the confidence of a larger model exceeds that of a smaller one."""

from __future__ import annotations

import collections
import math
from typing import Any, Final

import attrs
import eliot
import xxhash

from yuccarouter.gateway import numbers

# Confidence at which a model is as likely to suffice as not.
_EVEN_CONFIDENCE: Final = 50.0
# Scale of the logistic curve, in points: 10 to 90% lie some 30 points apart.
_SLOPE_POINTS: Final = 7.0
# Odds of a model that states no confidence.
_UNKNOWN_SUFFICIENCY: Final = 0.5
_MAX_CONFIDENCE: Final = 100.0
# Lower confidences are cut off: the lift that led to a higher one is unknown.
_MIN_LEARNED_CONFIDENCE: Final = 5.0
# Higher confidences are cut off as well: the lift may be larger than observed,
# and counts as the assumed one of the largest model if that is higher.
_MAX_LEARNED_CONFIDENCE: Final = 95.0
_LARGEST_LIFT: Final = 75.0
# Lifts are counted in buckets of this width, in points, from the lowest one up.
# The first and last bucket hold all lifts beyond them.
_BUCKET_POINTS: Final = 10.0
_LOWEST_LIFT: Final = -10.0
_BUCKETS: Final = 11
# Counts that stand for the assumption before any answer: a middle model exceeds
# a smaller one by 10 points, the largest model suffices for nearly all prompts.
_MIDDLE_PRIOR: Final = ((1, 4.0), (2, 4.0))
_LARGEST_PRIOR: Final = ((8, 8.0),)
# Own counts halve beyond this sum, so that newer answers outweigh older ones
# and a digest has a fixed upper bound.
_MAX_SUM: Final = 200
# Own counts also halve after this time: a roll-out may change the models.
_HALVING_MS: Final = 120_000.0
# Age at which the counts of a peer no longer apply. A digest of a given peer
# comes every 2.4 s at 46 daemons and every 20 s at 400, and the counts
# themselves halve only after 120 s.
_PEER_EXPIRY_MS: Final = 60_000.0
# Six pairs are those of four models, and take 350 bytes of a digest at most.
_MAX_PAIRS: Final = 6
_KEY_CHARS: Final = 8
_MAX_BAD_PEERS: Final = 1000


def sufficiency(confidence: float | None) -> float:
    """Return the probability that a model with this confidence suffices."""
    if confidence is None or not math.isfinite(confidence):
        return _UNKNOWN_SUFFICIENCY
    points = max(-_MAX_CONFIDENCE, min(2 * _MAX_CONFIDENCE, confidence))
    odds_exponent = (points - _EVEN_CONFIDENCE) / _SLOPE_POINTS
    return 1 / (1 + math.exp(-odds_exponent))


@attrs.frozen
class Pair:
    """A model and a larger one, which may be the largest of its route."""

    smaller: str
    larger: str
    is_largest: bool

    @property
    def key(self) -> str:
        """The pair's short name in digests."""
        names = f'{self.smaller}/{self.larger}'.encode()
        return xxhash.xxh3_64_hexdigest(names)[:_KEY_CHARS]


def _no_counts() -> list[float]:
    return [0 for _ in range(_BUCKETS)]


@attrs.define
class _Counts:
    """Counts of lifts by bucket, which halve with time."""

    halved_ms: float
    counts: list[float] = attrs.field(factory=_no_counts)

    def age(self, now_ms: float) -> None:
        """Halve the counts once for each period that has passed."""
        periods = math.floor((now_ms - self.halved_ms) / _HALVING_MS)
        if periods > 0:
            self.halved_ms += periods * _HALVING_MS
            self._scale(math.ldexp(1, -periods))

    def add(self, bucket: int) -> None:
        """Count one lift."""
        if sum(self.counts) >= _MAX_SUM:
            self._scale(0.5)
        self.counts[bucket] += 1

    def _scale(self, factor: float) -> None:
        self.counts = [count * factor for count in self.counts]


@attrs.frozen
class _PeerCounts:
    """The counts of another daemon, by pair."""

    counts: dict[str, list[int]]
    received_ms: float


class Confidences:
    """Learned lifts of confidence, of this daemon and of its peers.

    A digest holds totals of one daemon, which replace its earlier ones. A
    daemon that hears no peer decides on its own counts.
    """

    def __init__(self) -> None:
        self._own: collections.OrderedDict[str, _Counts] = (
            collections.OrderedDict()
        )
        # Peers by the age of their counts, oldest first, and the sums of all
        # counts: a decision can't add up those of hundreds of peers.
        self._peers: collections.OrderedDict[str, _PeerCounts] = (
            collections.OrderedDict()
        )
        self._peer_sums: dict[str, list[float]] = {}
        self._bad_peers: set[str] = set()

    def record(
        self,
        pair: Pair,
        confidence: float,
        larger_confidence: float,
        now_ms: float,
    ) -> None:
        """Record the confidences of both models in answers to one request."""
        lift = larger_confidence - confidence
        if confidence < _MIN_LEARNED_CONFIDENCE or not math.isfinite(lift):
            return
        if pair.is_largest and larger_confidence >= _MAX_LEARNED_CONFIDENCE:
            lift = max(lift, _LARGEST_LIFT)
        own = self._own.setdefault(pair.key, _Counts(now_ms))
        self._own.move_to_end(pair.key)
        own.age(now_ms)
        own.add(_bucket(lift))
        while len(self._own) > _MAX_PAIRS:
            self._own.popitem(last=False)

    def expected_sufficiency(
        self, pair: Pair, confidence: float | None, now_ms: float
    ) -> float:
        """Return the probability that the larger model suffices.

        It is never below that of the smaller one with ``confidence``.
        """
        at_hand = sufficiency(confidence)
        known = _EVEN_CONFIDENCE if confidence is None else confidence
        counts = self._counts(pair, now_ms)
        expected = sum(
            count * sufficiency(known + _lift(bucket))
            for bucket, count in enumerate(counts)
        )
        return max(at_hand, expected / sum(counts))

    def message(self, now_ms: float) -> dict[str, list[int]]:
        """Return this daemon's counts for its digest."""
        for pair_counts in self._own.values():
            pair_counts.age(now_ms)
        return {
            key: [round(count) for count in known.counts]
            for key, known in self._own.items()
        }

    def merge(self, peer: str, message: Any, now_ms: float) -> None:
        """Replace the counts of a peer; a malformed message changes nothing.

        The first malformed message of a peer is logged, so that a newer or
        faulty daemon does not fill the log.
        """
        self._expire(now_ms)
        try:
            counts = _decode(message)
        except (AttributeError, TypeError, ValueError) as fault:
            self._log_bad(peer, fault)
            return
        self._bad_peers.discard(peer)
        self._remove(peer)
        self._peers[peer] = _PeerCounts(counts, now_ms)
        self._add(counts, 1)

    def _counts(self, pair: Pair, now_ms: float) -> list[float]:
        self._expire(now_ms)
        totals = _no_counts()
        for bucket, count in (
            _LARGEST_PRIOR if pair.is_largest else _MIDDLE_PRIOR
        ):
            totals[bucket] = count
        key = pair.key
        known = [self._peer_sums.get(key, _no_counts())]
        mine = self._own.get(key)
        if mine is not None:
            mine.age(now_ms)
            known.append(mine.counts)
        return [sum(column) for column in zip(totals, *known, strict=True)]

    def _expire(self, now_ms: float) -> None:
        since_ms = now_ms - _PEER_EXPIRY_MS
        while self._peers:
            oldest = next(iter(self._peers))
            if self._peers[oldest].received_ms >= since_ms:
                return
            self._remove(oldest)

    def _remove(self, peer: str) -> None:
        """Remove the counts of a peer, if there are any."""
        removed = self._peers.pop(peer, None)
        if removed is not None:
            self._add(removed.counts, -1)

    def _add(self, counts: dict[str, list[int]], sign: int) -> None:
        """Add counts to the sums, or subtract them."""
        for key, added in counts.items():
            known = self._peer_sums.get(key, _no_counts())
            sums = [
                count + sign * change
                for count, change in zip(known, added, strict=True)
            ]
            if any(sums):
                self._peer_sums[key] = sums
            else:
                self._peer_sums.pop(key, None)

    def _log_bad(self, peer: str, fault: Exception) -> None:
        if peer in self._bad_peers or len(self._bad_peers) >= _MAX_BAD_PEERS:
            return
        self._bad_peers.add(peer)
        eliot.log_message('bad_confidences', peer=peer, reason=str(fault))


def _bucket(lift: float) -> int:
    index = math.floor((lift - _LOWEST_LIFT) / _BUCKET_POINTS)
    return max(0, min(_BUCKETS - 1, index))


def _lift(bucket: int) -> float:
    return _LOWEST_LIFT + (bucket + 0.5) * _BUCKET_POINTS


def _decode(message: Any) -> dict[str, list[int]]:
    if len(message) > _MAX_PAIRS:
        raise ValueError(f'too many pairs of models: {len(message)}')
    return {str(key): _decode_counts(counts) for key, counts in message.items()}


def _decode_counts(counts: Any) -> list[int]:
    if not isinstance(counts, list) or len(counts) != _BUCKETS:
        raise ValueError('not the known number of buckets')
    return [numbers.integer(count, 2 * _MAX_SUM) for count in counts]
