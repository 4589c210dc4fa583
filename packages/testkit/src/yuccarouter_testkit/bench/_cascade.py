"""Cost and quality of a cascade against fixed rules."""

from __future__ import annotations

import itertools
import random
from typing import Final

import attrs

from yuccarouter.routing import cascade, latency, quality
from yuccarouter_common import model
from yuccarouter_testkit.bench import _fakes

_REQUESTS: Final = 20_000
_GAP_MS: Final = 100.0
_KINDS: Final = ('verify', 'note', 'critique')
_KIND_SHARES: Final = (0.5, 0.35, 0.15)
# Cost of an answer, in prices per token of 1, 4 and 20.
_VERSIONS: Final = tuple(
    model.ModelVersion(name, '1', name, 0, price)
    for name, price in (('small', 1), ('medium', 4), ('large', 20))
)
# Share of a kind's requests that a version answers well.
_SUFFICES: Final = {
    'verify': (0.9, 0.97, 0.98),
    'note': (0.6, 0.85, 0.97),
    'critique': (0.15, 0.5, 0.95),
}
_GOOD: Final = 0.92
_POOR: Final = 0.55
_DEVIATION: Final = 0.03
_RATING_DEVIATION: Final = 0.06
_AUDITED_SHARE: Final = 0.02
_TARGET: Final = 0.88
_QUALITY_SHARE: Final = 0.98


@attrs.frozen
class Ratings:
    """How the rating service behaves in the second half of a run."""

    name: str
    missing: float = 0.02
    bias: float = 0
    # One score for all answers.
    constant: float | None = None


RATINGS: Final = (
    Ratings('good'),
    Ratings('missing', missing=1.0),
    Ratings('biased', bias=0.25),
    Ratings('constant', constant=1.0),
)


@attrs.frozen
class _Item:
    """A request with the quality and the rating of each version's answer."""

    kind: str
    qualities: tuple[float, ...]
    ratings: tuple[float | None, ...]
    is_audited: bool


@attrs.define
class _Total:
    cost: float = 0
    quality: float = 0

    def add(self, place: int, item: _Item, spent: float) -> None:
        """Count the answer of a version and what the request has cost."""
        self.quality += item.qualities[place]
        self.cost += spent


def run(seed: int, ratings: Ratings) -> dict[str, float]:
    """Return cost and quality relative to always using the best version.

    ``fixed`` is the cheapest assignment of a version to each kind that keeps
    the quality on this trace, known in hindsight.
    """
    trace = _trace(seed, ratings)
    best = _fixed(trace, dict.fromkeys(_KINDS, len(_VERSIONS) - 1))
    cheap = _fixed(trace, dict.fromkeys(_KINDS, 0))
    half = len(trace) // 2
    routed, late = _cascade(trace, seed, half)
    late_best = _fixed(trace[half:], dict.fromkeys(_KINDS, 2))
    rule = _best_rule(trace, best.quality * _QUALITY_SHARE)
    return {
        'cascade_cost': routed.cost / best.cost,
        'cascade_quality': routed.quality / best.quality,
        'second_half_cost': late.cost / late_best.cost,
        'second_half_quality': late.quality / late_best.quality,
        'cheap_cost': cheap.cost / best.cost,
        'cheap_quality': cheap.quality / best.quality,
        'fixed_cost': rule.cost / best.cost,
        'fixed_quality': rule.quality / best.quality,
    }


def _trace(seed: int, ratings: Ratings) -> list[_Item]:
    rng = random.Random(seed)
    normal = Ratings('good')
    return [
        _item(rng, normal if number < _REQUESTS // 2 else ratings)
        for number in range(_REQUESTS)
    ]


def _item(rng: random.Random, ratings: Ratings) -> _Item:
    kind = rng.choices(_KINDS, _KIND_SHARES)[0]
    # One difficulty for all versions: what a version can't answer well is
    # hard for a smaller one, too.
    difficulty = rng.random()
    qualities = tuple(
        _clip(rng.gauss(_GOOD if difficulty < share else _POOR, _DEVIATION))
        for share in _SUFFICES[kind]
    )
    scores = tuple(_rating(rng, ratings, score) for score in qualities)
    return _Item(kind, qualities, scores, rng.random() < _AUDITED_SHARE)


def _rating(rng: random.Random, ratings: Ratings, score: float) -> float | None:
    if rng.random() < ratings.missing:
        return None
    if ratings.constant is not None:
        return ratings.constant
    return _clip(rng.gauss(score + ratings.bias, _RATING_DEVIATION))


def _clip(score: float) -> float:
    return min(1, max(0, score))


def _fixed(trace: list[_Item], rule: dict[str, int]) -> _Total:
    total = _Total()
    for item in trace:
        place = rule[item.kind]
        price = _VERSIONS[place].completion_price_microcents
        total.add(place, item, price)
    return total


def _best_rule(trace: list[_Item], quality_needed: float) -> _Total:
    places = range(len(_VERSIONS))
    totals = [
        _fixed(trace, dict(zip(_KINDS, rule, strict=True)))
        for rule in itertools.product(places, repeat=len(_KINDS))
    ]
    good = [total for total in totals if total.quality >= quality_needed]
    return min(good, key=_cost)


def _cost(total: _Total) -> float:
    return total.cost


@attrs.define
class _Router:
    """Runs the trace through the router's cascade decisions."""

    cascades: cascade.Cascades
    configured: model.Cascade

    def answer(self, item: _Item) -> tuple[int, float]:
        """Return the version that answers and the cost of all its steps."""
        request = cascade.Request(item.kind, 0, 60_000, 0, 1)
        place, spent = -1, float(0)
        accepted = False
        while not accepted:
            step = self.cascades.next_step(
                self.configured, _VERSIONS, place + 1, request
            )
            place = step.place
            spent += step.version.completion_price_microcents
            score = item.ratings[place]
            accepted = self.cascades.accept(
                self.configured,
                step.version,
                item.kind,
                score,
                is_last=place == len(_VERSIONS) - 1,
            ).accepted
            if item.is_audited and score is not None:
                self.cascades.estimates.record_audit(
                    item.kind, step.version.name, score, item.qualities[place]
                )
        return place, spent


def _cascade(trace: list[_Item], seed: int, half: int) -> tuple[_Total, _Total]:
    clock = _fakes.Clock()
    rng = random.Random(seed + 1)
    steps = tuple(model.CascadeStep(version.name) for version in _VERSIONS)
    router = _Router(
        cascade.Cascades(
            quality.Estimates(clock.now),
            latency.Latencies(clock.now),
            rng.random,
        ),
        model.Cascade('c', steps, quality_target=_TARGET),
    )
    total, late = _Total(), _Total()
    for number, item in enumerate(trace):
        clock.run(number * _GAP_MS)
        place, spent = router.answer(item)
        total.add(place, item, spent)
        if number >= half:
            late.add(place, item, spent)
    return total, late
