"""Steps of a cascade: which one runs next and whether its answer suffices."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import attrs

from yuccarouter.routing import _members, latency, quality
from yuccarouter_common import model

# Steps that are not worth their cost by what is known run for some requests,
# so that the entry learns when they get better. These are the bounds of the
# added cost, as a share of the last step's, and of the requests slowed down.
_EXPLORED_COST_SHARE: Final = 0.02
_EXPLORED_SHARE: Final = 0.1
# Quantile that a step must keep within the budgets.
_LATENCY_SHARE: Final = 0.9
# Longest wait for a rating.
_MAX_RATING_MS: Final = 1000.0
# Key of the rating service's times; keys of steps contain a slash.
RATING_KEY: Final = 'rating'


@attrs.frozen
class Request:
    """What the cascade needs to know of a request.

    ``elapsed_ms`` is the time since its arrival and ``remaining_ms`` the time
    to its deadline. The tokens are those of the prompt and of the expected
    answer.
    """

    kind: str
    elapsed_ms: float
    remaining_ms: float
    prompt_tokens: int = 0
    completion_tokens: int = 256


@attrs.frozen
class Considered:
    """A step and why it runs or is skipped.

    ``reason`` is ``last``, ``worth_it``, ``explored``, ``deadline``,
    ``latency_budget`` or ``not_worth_it``.
    """

    version: str
    reason: str
    probability: float = 1
    expected_ms: float = 0


@attrs.frozen
class Step:
    """The next step to run: its place and the steps considered for it."""

    place: int
    version: model.ModelVersion
    considered: tuple[Considered, ...]


@attrs.frozen
class Acceptance:
    """Whether an answer is returned, and the lower bound of its quality.

    ``reason`` is ``last``, ``rating`` or ``learned`` (no rating in time).
    """

    accepted: bool
    reason: str
    lower: float


@attrs.frozen
class Cascades:
    """Decisions on cascades from learned quality and observed times."""

    estimates: quality.Estimates
    latencies: latency.Latencies
    rng: _members.Rng

    def next_step(
        self,
        cascade: model.Cascade,
        versions: Sequence[model.ModelVersion],
        first: int,
        request: Request,
    ) -> Step:
        """Return the next step at or after the place ``first``.

        ``versions`` are the usable steps from cheap to best. The last step is
        never skipped.
        """
        considered = []
        last = len(versions) - 1
        for place in range(first, last):
            step = self._consider(cascade, versions, place, request)
            considered.append(step)
            if step.reason in {'worth_it', 'explored'}:
                return Step(place, versions[place], tuple(considered))
        considered.append(Considered(versions[last].name, 'last'))
        return Step(last, versions[last], tuple(considered))

    def rating_wait_ms(
        self,
        cascade: model.Cascade,
        versions: Sequence[model.ModelVersion],
        request: Request,
    ) -> float:
        """Return how long to wait for a rating of a step's answer.

        The last step must still be possible within the deadline.
        """
        last_ms = self._expected_ms(step_key(request.kind, versions[-1].name))
        budget_ms = cascade.latency_budget_ms - request.elapsed_ms
        free_ms = request.remaining_ms - last_ms
        return max(0, min(_MAX_RATING_MS, budget_ms, free_ms))

    def accept(
        self,
        cascade: model.Cascade,
        version: model.ModelVersion,
        kind: str,
        score: float | None,
        *,
        is_last: bool,
    ) -> Acceptance:
        """Decide on a step's answer and learn from its rating.

        ``score`` is None when the rating service was not in time. The answer
        is then accepted only if the bound learned so far reaches the target.
        """
        estimates = self.estimates
        target = cascade.quality_target
        estimates.record_rating_availability(in_time=score is not None)
        if score is None:
            lower = estimates.mean_lower_bound(kind, version.name)
            suffices = lower >= target
            reason = 'learned'
        else:
            estimates.record_rating(kind, version.name, score)
            lower = estimates.answer_lower_bound(kind, version.name, score)
            suffices = estimates.accepts(kind, version.name, target, score)
            reason = 'rating'
        if is_last:
            return Acceptance(accepted=True, reason='last', lower=lower)
        return Acceptance(suffices, reason, lower)

    def _consider(
        self,
        cascade: model.Cascade,
        versions: Sequence[model.ModelVersion],
        place: int,
        request: Request,
    ) -> Considered:
        name = versions[place].name
        step_ms = self._expected_ms(step_key(request.kind, name))
        step_ms += self._expected_ms(RATING_KEY)
        last_ms = self._expected_ms(step_key(request.kind, versions[-1].name))
        probability = self.estimates.probability(
            request.kind, name, cascade.quality_target
        )
        if step_ms + last_ms > request.remaining_ms:
            reason = 'deadline'
        elif request.elapsed_ms + step_ms > cascade.latency_budget_ms:
            reason = 'latency_budget'
        elif self._is_worth_it(cascade, versions, place, request):
            reason = 'worth_it'
        elif self.rng() < _explored_share(versions, place, request):
            reason = 'explored'
        else:
            reason = 'not_worth_it'
        return Considered(name, reason, probability, step_ms)

    def _is_worth_it(
        self,
        cascade: model.Cascade,
        versions: Sequence[model.ModelVersion],
        place: int,
        request: Request,
    ) -> bool:
        """Return whether a step's expected saving is above its cost.

        The cost after each step is computed backwards, with the better of
        running and skipping it.
        """
        later = expected_cost(versions[-1], request)
        for number in range(len(versions) - 2, place - 1, -1):
            cost = expected_cost(versions[number], request)
            saving = later * self.estimates.probability(
                request.kind, versions[number].name, cascade.quality_target
            )
            if number == place:
                return cost < saving
            later = min(later, cost + later - saving)
        return False

    def _expected_ms(self, key: str) -> float:
        return self.latencies.quantile_ms(key, _LATENCY_SHARE) or 0


def step_key(kind: str, version: str) -> str:
    """Return the key under which the times of a step are recorded."""
    return f'{kind}/{version}'


def _explored_share(
    versions: Sequence[model.ModelVersion], place: int, request: Request
) -> float:
    last = expected_cost(versions[-1], request)
    # Steps without a price are bounded by their share of the requests.
    cost = max(1, expected_cost(versions[place], request))
    return min(_EXPLORED_SHARE, _EXPLORED_COST_SHARE * last / cost)


def expected_cost(version: model.ModelVersion, request: Request) -> float:
    """Return the expected price of an answer in microcents."""
    prompt = version.prompt_price_microcents * request.prompt_tokens
    answer = version.completion_price_microcents * request.completion_tokens
    return prompt + answer
