"""Which step of a cascade runs next and whether its answer is accepted."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import attrs

from yuccarouter.routing import _members, latency, quality
from yuccarouter_common import model

# Exploration: steps whose expected saving is below their cost still run for
# some requests, so that the entry notices when they improve. These bounds limit
# the added cost, as a share of the last step's cost, and the share of requests
# slowed down.
_MAX_EXPLORED_COST_SHARE: Final = 0.02
_MAX_EXPLORED_SHARE: Final = 0.1
# Quantile of a step's time that must fit the deadline and the latency budget.
_LATENCY_QUANTILE: Final = 0.9
_MAX_RATING_WAIT_MS: Final = 1000.0
# Latency key of the rating service. It differs from the keys of steps, which
# contain a slash.
RATING_KEY: Final = 'rating'


@attrs.frozen
class Request:
    """Inputs of a cascade's decisions on one request.

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
    """The next step to run.

    ``place`` is its index among the usable steps. ``considered`` holds the
    skipped steps and, at the end, this one.
    """

    place: int
    version: model.ModelVersion
    considered: tuple[Considered, ...]


@attrs.frozen
class Acceptance:
    """Whether an answer is accepted, and the lower bound of its quality.

    ``reason`` is ``last`` (always accepted), ``rating``, or ``learned`` (no
    rating in time, so decided by earlier ratings).
    """

    accepted: bool
    reason: str
    lower: float


@attrs.frozen
class Cascades:
    """Decisions on cascade steps from estimated quality and latency."""

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
        """Return the next step at or after the index ``first``.

        ``versions`` are the usable steps from cheap to best. The last step is
        never skipped.
        """
        considered = []
        last = len(versions) - 1
        for index in range(first, last):
            step = self._consider(cascade, versions, index, request)
            considered.append(step)
            if step.reason in {'worth_it', 'explored'}:
                return Step(index, versions[index], tuple(considered))
        considered.append(Considered(versions[last].name, 'last'))
        return Step(last, versions[last], tuple(considered))

    def rating_wait_ms(
        self,
        cascade: model.Cascade,
        versions: Sequence[model.ModelVersion],
        request: Request,
    ) -> float:
        """Return how long to wait for a rating of a step's answer.

        The wait leaves time for the last step before the deadline.
        """
        last_ms = self._expected_ms(step_key(request.kind, versions[-1].name))
        budget_ms = cascade.latency_budget_ms - request.elapsed_ms
        slack_ms = request.remaining_ms - last_ms
        return max(0, min(_MAX_RATING_WAIT_MS, budget_ms, slack_ms))

    def accept(
        self,
        cascade: model.Cascade,
        version: model.ModelVersion,
        kind: str,
        score: float | None,
        *,
        is_last: bool,
    ) -> Acceptance:
        """Return whether a step's answer is accepted, and record its rating.

        ``score`` is None if the rating service did not answer in time. The
        answer is then accepted only if the lower bound of the mean quality
        reaches the target.
        """
        estimates = self.estimates
        target = cascade.quality_target
        estimates.record_rating_availability(in_time=score is not None)
        if score is None:
            lower = estimates.mean_lower_bound(kind, version.name)
            is_accepted = lower >= target
            reason = 'learned'
        else:
            estimates.record_rating(kind, version.name, score)
            lower = estimates.answer_lower_bound(kind, version.name, score)
            is_accepted = estimates.accepts(kind, version.name, target, score)
            reason = 'rating'
        if is_last:
            return Acceptance(accepted=True, reason='last', lower=lower)
        return Acceptance(is_accepted, reason, lower)

    def _consider(
        self,
        cascade: model.Cascade,
        versions: Sequence[model.ModelVersion],
        index: int,
        request: Request,
    ) -> Considered:
        name = versions[index].name
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
        elif self._is_worth_it(cascade, versions, index, request):
            reason = 'worth_it'
        elif self.rng() < _explored_share(versions, index, request):
            reason = 'explored'
        else:
            reason = 'not_worth_it'
        return Considered(name, reason, probability, step_ms)

    def _is_worth_it(
        self,
        cascade: model.Cascade,
        versions: Sequence[model.ModelVersion],
        index: int,
        request: Request,
    ) -> bool:
        """Return whether a step's expected saving is above its cost.

        The expected cost of the steps after it is computed backwards. Each of
        these steps is run or skipped, whichever costs less.
        """
        remaining_cost = expected_cost(versions[-1], request)
        for current in range(len(versions) - 2, index - 1, -1):
            cost = expected_cost(versions[current], request)
            saving = remaining_cost * self.estimates.probability(
                request.kind, versions[current].name, cascade.quality_target
            )
            if current == index:
                return cost < saving
            remaining_cost = min(remaining_cost, cost + remaining_cost - saving)
        return False

    def _expected_ms(self, key: str) -> float:
        return self.latencies.quantile_ms(key, _LATENCY_QUANTILE) or 0


def step_key(kind: str, version: str) -> str:
    """Return the key under which the times of a step are recorded."""
    return f'{kind}/{version}'


def _explored_share(
    versions: Sequence[model.ModelVersion], index: int, request: Request
) -> float:
    last = expected_cost(versions[-1], request)
    # For steps without a price, only the share of requests is limited.
    cost = max(1, expected_cost(versions[index], request))
    return min(_MAX_EXPLORED_SHARE, _MAX_EXPLORED_COST_SHARE * last / cost)


def expected_cost(version: model.ModelVersion, request: Request) -> float:
    """Return the expected price of an answer in microcents."""
    prompt = version.prompt_price_microcents * request.prompt_tokens
    answer = version.completion_price_microcents * request.completion_tokens
    return prompt + answer
