"""Decides whether an answer is passed on or a larger model is asked."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.gateway.model_choice import engines, value

if TYPE_CHECKING:
    from collections.abc import Sequence

    from yuccarouter.gateway.model_choice import bid_price

# Share of the time left in which the first event must come. The rest is for
# the other events, and for an endpoint that is slower than expected.
_MAX_BUDGET_SHARE: Final = 0.7
# Reads that take more than this share of the objective go to an engine only if
# none waits there: all other requests of the engine would be late.
_LARGE_READ_SHARE: Final = 0.5
# Cost of an attempt as a share of the request's value: about one in fifty
# attempts fails, and the request then needs another one.
_ATTEMPT_VALUE_SHARE: Final = 0.02
# Probability from which a model that is not the largest gets the last attempt.
_LIKELY_SUFFICIENT: Final = 0.7


class Reason(enum.StrEnum):
    """Why a decision was taken."""

    WORTH_ASKING = 'worth_asking'
    NO_ENGINE = 'no_engine'
    OVER_BUDGET = 'over_budget'
    ENGINE_BUSY = 'engine_busy'
    LAST_ATTEMPT = 'last_attempt'
    TOO_COSTLY = 'too_costly'
    NO_GAIN = 'no_gain'


@attrs.frozen
class Option:
    """A larger model that can be asked, at the best engine for it.

    ``index`` is the model's in its route, and ``sufficient`` the probability
    that it is strong enough. ``passed_over`` names engines that would be
    chosen, but have waiting requests.
    """

    index: int
    is_largest: bool
    sufficient: float
    backlog_ms: float
    read_ms: float
    is_waited_for: bool
    passed_over: frozenset[str] = frozenset()

    @property
    def wait_ms(self) -> float:
        """The expected time to the first event."""
        return self.backlog_ms + self.read_ms


@attrs.frozen
class Situation:
    """A request with an uncertain answer at hand.

    ``sufficient`` is the probability that the answer at hand suffices.
    ``remaining_ms`` is the time left to the deadline, and ``attempts_left``
    how often the request may still run. ``service_objective_ms`` is the one by
    which the load of the service's engines is measured.
    """

    value: float
    sufficient: float
    elapsed_ms: float
    remaining_ms: float
    objective_ms: float
    attempts_left: int
    price: bid_price.Price
    service_objective_ms: float


@attrs.frozen
class Decision:
    """The option to ask, ``None`` to accept, with its gain and cost."""

    option: Option | None
    reason: Reason
    gain: float = 0
    cost: float = 0


def decide(situation: Situation, options: Sequence[Option]) -> Decision:
    """Return the decision with the highest expected value.

    ``options`` are the larger models, smallest first. An answer is accepted if
    none of them is worth more than it costs.
    """
    rated = [
        _rate(situation, option, options[position + 1 :])
        for position, option in enumerate(options)
    ]
    # Among equals, the largest model states the reason.
    rated.reverse()
    best = max(rated, key=_net, default=Decision(None, Reason.NO_ENGINE))
    if best.option is None or _net(best) > 0:
        return best
    reason = Reason.TOO_COSTLY if best.gain > 0 else Reason.NO_GAIN
    return attrs.evolve(best, option=None, reason=reason)


def _net(rated: Decision) -> float:
    """Return the value of a decision; one to accept counts as below all."""
    if rated.option is None:
        return float('-inf')
    return rated.gain - rated.cost


def _rate(
    situation: Situation, option: Option, larger: Sequence[Option]
) -> Decision:
    """Return the decision for an option, or why it can't be asked."""
    obstacle = _obstacle(situation, option)
    if obstacle is not None:
        return Decision(None, obstacle)
    at_hand = value.answer_worth(
        situation.sufficient, situation.elapsed_ms <= situation.objective_ms
    )
    in_time = value.in_time_probability(
        situation.elapsed_ms, option.wait_ms, situation.objective_ms
    )
    right = value.time_worth(in_time)
    wrong = max(
        value.INSUFFICIENT_WORTH * right,
        _worth_after(situation, option, larger),
    )
    worth = option.sufficient * right + (1 - option.sufficient) * wrong
    return Decision(
        option,
        Reason.WORTH_ASKING,
        gain=situation.value * (worth - at_hand),
        cost=_cost(situation, option),
    )


def _obstacle(situation: Situation, option: Option) -> Reason | None:
    if situation.attempts_left < 1:
        return Reason.LAST_ATTEMPT
    if option.wait_ms > _MAX_BUDGET_SHARE * situation.remaining_ms:
        return Reason.OVER_BUDGET
    answer_ms = situation.elapsed_ms + option.wait_ms
    large_ms = _LARGE_READ_SHARE * situation.objective_ms
    is_harmful = option.read_ms > large_ms or answer_ms > situation.objective_ms
    if option.is_waited_for and is_harmful:
        return Reason.ENGINE_BUSY
    is_last = situation.attempts_left == 1 and not option.is_largest
    if is_last and option.sufficient < _LIKELY_SUFFICIENT:
        return Reason.LAST_ATTEMPT
    return None


def _worth_after(
    situation: Situation, option: Option, larger: Sequence[Option]
) -> float:
    """Return what asking a still larger model afterwards is worth, or 0.

    It is the share of the request's value that is expected once the answer to
    ``option`` has proved insufficient.
    """
    later = attrs.evolve(
        situation,
        elapsed_ms=situation.elapsed_ms + option.wait_ms,
        remaining_ms=situation.remaining_ms - option.wait_ms,
        attempts_left=situation.attempts_left - 1,
    )
    return max(
        (
            _worth_next(later, option, following)
            for following in larger
            if _obstacle(later, following) is None
        ),
        default=0,
    )


def _worth_next(
    situation: Situation, failed: Option, following: Option
) -> float:
    failure = max(1 - failed.sufficient, 1e-9)
    gained = max(0, following.sufficient - failed.sufficient)
    in_time = value.in_time_probability(
        situation.elapsed_ms, following.wait_ms, situation.objective_ms
    )
    worth = value.answer_worth(min(1, gained / failure), in_time)
    return worth - _cost(situation, following) / situation.value


def _cost(situation: Situation, option: Option) -> float:
    engine_load = engines.backlog_load(
        option.backlog_ms, situation.service_objective_ms
    )
    read_cost = situation.price.cost(option.read_ms, engine_load)
    return read_cost + _ATTEMPT_VALUE_SHARE * situation.value
