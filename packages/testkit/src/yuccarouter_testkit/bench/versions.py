"""Versions that the roll-out benchmark meets: good ones and bad ones."""

from __future__ import annotations

import math
import random
import statistics
from collections.abc import Callable
from typing import Final

import attrs

KINDS: Final = (('critique', 0.5), ('notes', 0.3), ('check', 0.2))

FAILED: Final = 0.005
SCORE: Final = 0.8
SCORE_SPREAD: Final = 0.15
LATENCY_SPREAD: Final = 0.5
# Part of the baseline's requests over its 90th percentile of latency.
SLOW: Final = 0.1

# Differences of means at which the roll-out by the clock withdraws.
TOLERATED_SCORE: Final = 0.05
TOLERATED_FAILED: Final = 0.02
TOLERATED_SLOW: Final = 0.1

# The unit of the times at which versions worsen.
_HOUR_MS: Final = 3_600_000


@attrs.frozen
class Fault:
    """How much worse a version is than its baseline, once it is bad.

    The fault grows from nothing to its full size between ``from_ms`` and
    ``full_ms`` and concerns one kind, or every kind when ``kind`` is empty.
    """

    score: float = 0
    failed: float = 0
    latency: float = 0
    kind: str = ''
    from_ms: int = 0
    full_ms: int = 0

    def part(self, kind: str, now_ms: float) -> float:
        """Part of the full fault that a request meets, from 0 to 1."""
        if self.kind not in {'', kind}:
            return 0
        if now_ms >= self.full_ms:
            return 1
        grown = (now_ms - self.from_ms) / (self.full_ms - self.from_ms)
        return max(grown, 0)


def bad_part(fault: Fault, now_ms: float) -> float:
    """Part of the requests at a time that meet the fault."""
    if fault == Fault():
        return 0
    return sum(
        weight
        for kind, weight in KINDS
        if _is_bad(fault, fault.part(kind, now_ms))
    )


def _is_bad(fault: Fault, part: float) -> bool:
    """Whether a part of a fault is more than the one by the clock accepts."""
    return (
        part * fault.score > TOLERATED_SCORE
        or part * fault.failed > TOLERATED_FAILED
        or _slow_share(part * fault.latency) - SLOW > TOLERATED_SLOW
    )


def _slow_share(latency: float) -> float:
    """Part of the requests over the baseline's 90th percentile."""
    standard = statistics.NormalDist()
    limit = standard.inv_cdf(1 - SLOW)
    return 1 - standard.cdf(limit - math.log1p(latency) / LATENCY_SPREAD)


def slow_threshold() -> float:
    """The baseline's 90th percentile of latency; its median is 1."""
    limit = statistics.NormalDist().inv_cdf(1 - SLOW)
    return math.exp(limit * LATENCY_SPREAD)


def choose_kind(rng: random.Random) -> str:
    """Choose a kind by its part of the traffic."""
    names = [name for name, _ in KINDS]
    weights = [weight for _, weight in KINDS]
    return rng.choices(names, weights)[0]


def _any_fault(rng: random.Random) -> Fault:
    faults = (
        Fault(score=rng.uniform(0.1, 0.4)),
        Fault(failed=rng.uniform(0.05, 0.5)),
        Fault(latency=rng.uniform(0.5, 3)),
    )
    return rng.choice(faults)


def _bad_at_once(rng: random.Random) -> Fault:
    return _any_fault(rng)


def _worsening(rng: random.Random) -> Fault:
    from_ms = rng.randrange(_HOUR_MS)
    lasts_ms = rng.randrange(_HOUR_MS // 3, 3 * _HOUR_MS)
    return attrs.evolve(
        _any_fault(rng), from_ms=from_ms, full_ms=from_ms + lasts_ms
    )


def _bad_for_one_kind(rng: random.Random) -> Fault:
    return attrs.evolve(_any_fault(rng), kind=choose_kind(rng))


def _good(rng: random.Random) -> Fault:
    return Fault()


GOOD: Final = 'good'
SORTS: Final[dict[str, Callable[[random.Random], Fault]]] = {
    'bad at once': _bad_at_once,
    'slowly worsening': _worsening,
    'bad for one kind': _bad_for_one_kind,
    GOOD: _good,
}
