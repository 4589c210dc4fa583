"""Choice of the next model for one request, from the state of its gateway."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs
import eliot

from yuccarouter.gateway import attempts, choice, metrics, model
from yuccarouter.gateway.model_choice import (
    confidences,
    decision,
    engines,
    service_prices,
)
from yuccarouter_common import clocks

if TYPE_CHECKING:
    from yuccarouter.gateway import state

# Timeout of a read by a larger model, as a multiple of the expected time. The
# adaptive timeout is shorter than the read of a long prompt, which would be
# read again elsewhere.
_READ_TIMEOUT_MULTIPLE: Final = 2.0
# The same multiple where less time is left than for two reads. Expected waits
# have errors of up to a quarter.
_MIN_TIMEOUT_MULTIPLE: Final = 1.25


@attrs.define
class Selection:
    """The models asked for one request, and what comes next.

    ``expected_ms`` is the expected time to the first event of the next attempt
    if a larger model was just selected, and 0 otherwise. ``avoided`` names the
    engines on which requests wait when it was chosen.
    """

    out: attempts.OutgoingCall
    expected_ms: float = 0
    avoided: frozenset[str] = frozenset()
    _is_larger_asked: bool = False
    _decided: decision.Option | None = None
    _before: tuple[int, float] | None = None

    @property
    def models(self) -> tuple[str, ...]:
        """The models of the route, smallest first."""
        return self.out.route.models

    def take_avoided(self) -> frozenset[str]:
        """Return the engines to avoid in the next attempt only."""
        avoided = self.avoided
        self.avoided = frozenset()
        return avoided

    def head_timeout_ms(
        self, chosen: choice.Choice, adaptive_ms: float, remaining_ms: float
    ) -> float:
        """Return the timeout of the next attempt's head.

        It is at least ``adaptive_ms`` and twice the expected time of a larger
        model's read, as long as another engine can read the prompt in the rest
        of ``remaining_ms``.
        """
        if not self._is_larger_asked:
            return adaptive_ms
        # The decided time holds for the first attempt at the model only. Later
        # ones are sent to other engines, which have other backlogs.
        expected_ms = self.expected_ms or chosen.expected_ms
        self.expected_ms = 0
        max_ms = max(
            remaining_ms - expected_ms, _MIN_TIMEOUT_MULTIPLE * expected_ms
        )
        return min(
            max(adaptive_ms, _READ_TIMEOUT_MULTIPLE * expected_ms), max_ms
        )

    def record_answer(self, index: int, confidence: float | None) -> None:
        """Record the head of an answer of the model ``index``."""
        out = self.out
        before = self._before
        self._before = None if confidence is None else (index, confidence)
        if before is not None and confidence is not None and before[0] < index:
            out.gateway.confidences.record(
                self._pair(before[0], index),
                before[1],
                confidence,
                clocks.monotonic_ms(),
            )

    def larger_index(self, index: int, confidence: float | None) -> int | None:
        """Return the model to ask next, ``None`` to accept the answer."""
        now_ms = clocks.monotonic_ms()
        situation = self._situation(confidence, now_ms)
        engine = self._engine(situation.service_objective_ms, now_ms)
        options = [
            self._option(index, larger, confidence, engine, now_ms)
            for larger in range(index + 1, len(self.models))
            if engine is not None
        ]
        decided = decision.decide(situation, options)
        self._decided = decided.option
        _log(self.out, confidence, situation, options, decided)
        if decided.option is None:
            count_accepted(self.out.service, decided.reason)
            return None
        return decided.option.index

    def begin(self, index: int) -> None:
        """Note that the larger model ``index`` is asked."""
        metrics.LARGER_MODELS_ASKED.labels(
            self.out.service, self.models[index]
        ).inc()
        decided = self._decided
        if decided is not None and decided.index == index:
            self.expected_ms = decided.wait_ms
            self.avoided = decided.passed_over
            self._is_larger_asked = True

    def _situation(
        self, confidence: float | None, now_ms: float
    ) -> decision.Situation:
        out = self.out
        is_repeatable = out.may_run_again(after=0)
        service_objective_ms = service_prices.objective_ms(
            out.gateway, out.service, out.route
        )
        return decision.Situation(
            value=self._value(),
            sufficient=confidences.sufficiency(confidence),
            elapsed_ms=out.elapsed_ms(),
            remaining_ms=out.remaining_ms(),
            objective_ms=out.route.objective_ms,
            attempts_left=(
                out.route.max_attempts - out.runs if is_repeatable else 0
            ),
            price=service_prices.observed(
                out.gateway, out.service, service_objective_ms, now_ms
            ),
            service_objective_ms=service_objective_ms,
        )

    def _engine(
        self, service_objective_ms: float, now_ms: float
    ) -> engines.Found | None:
        """Return the best engine for the largest model.

        It stands for all larger models: a search among all engines takes much
        longer than a decision, and the attempt chooses its engine itself.
        """
        out = self.out

        def choose(avoided: frozenset[str]) -> choice.Choice | None:
            return out.gateway.choose(
                out.call, out.route, out.service, avoided, self.models[-1]
            )

        return engines.choose_without_waiting(
            choose, service_objective_ms, now_ms
        )

    def _option(
        self,
        index: int,
        larger: int,
        confidence: float | None,
        engine: engines.Found,
        now_ms: float,
    ) -> decision.Option:
        """Return the option to ask the model ``larger`` after ``index``.

        Its times are those at the present speed of the engine.
        """
        gateway = self.out.gateway
        chosen = engine.chosen
        factor = 1.0 if chosen.time_factor is None else chosen.time_factor
        pair = self._pair(index, larger)
        return decision.Option(
            index=larger,
            is_largest=pair.is_largest,
            sufficient=gateway.confidences.expected_sufficiency(
                pair, confidence, now_ms
            ),
            backlog_ms=factor * chosen.endpoint.backlog_ms(now_ms),
            read_ms=factor
            * read_ms(
                gateway, self.models, larger, self._tokens(larger, engine)
            ),
            is_waited_for=engine.is_waited_for,
            passed_over=engine.passed_over,
        )

    def _tokens(self, index: int, engine: engines.Found) -> float:
        """Return the tokens that an engine would read for a model."""
        out = self.out
        requirements = out.gateway.requirements(
            out.call, out.route, out.service, frozenset(), self.models[index]
        )
        uncached_tokens = choice.uncached_tokens(
            engine.chosen.endpoint, requirements
        )
        return attempts.prefill_tokens(
            out.call,
            attrs.evolve(engine.chosen, uncached_tokens=uncached_tokens),
        )

    def _pair(self, smaller: int, larger: int) -> confidences.Pair:
        return confidences.Pair(
            self.models[smaller],
            self.models[larger],
            is_largest=larger == len(self.models) - 1,
        )

    def _value(self) -> float:
        return service_prices.request_value(self.out)


def read_ms(
    gateway: state.Gateway, models: tuple[str, ...], index: int, tokens: float
) -> float:
    """Return the time of an idle engine of usual speed to read ``tokens``.

    A middle model that was never asked is taken to lie at equal ratios between
    the smallest and the largest one. The initial estimate of its own, which is
    that of a large model, would keep it from ever being asked.
    """
    times = gateway.service_times
    own_ms = times.read_ms(models[index], tokens)
    if times.knows_reads(models[index]):
        return own_ms
    smallest_ms = times.read_ms(models[0], tokens)
    largest_ms = times.read_ms(models[-1], tokens)
    if min(smallest_ms, largest_ms) <= 0:
        return own_ms
    share = index / max(1, len(models) - 1)
    return smallest_ms * math.pow(largest_ms / smallest_ms, share)


def count_accepted(service: str, reason: str) -> None:
    """Count an uncertain answer that is passed on."""
    metrics.UNCERTAIN_ANSWERS.labels(service, reason).inc()


def _log(
    out: attempts.OutgoingCall,
    confidence: float | None,
    situation: decision.Situation,
    options: list[decision.Option],
    decided: decision.Decision,
) -> None:
    """Log a decision with its inputs."""
    asked = decided.option
    eliot.log_message(
        'model_chosen',
        request=out.call.request_id,
        model=None if asked is None else out.route.models[asked.index],
        reason=decided.reason,
        confidence=confidence,
        priority=out.priority,
        value=round(situation.value, 3),
        gain=round(decided.gain, 3),
        cost=round(decided.cost, 3),
        load=round(situation.price.load, 3),
        value_per_s=round(situation.price.value_per_ms * model.MS_PER_S, 3),
        elapsed_ms=round(situation.elapsed_ms),
        remaining_ms=round(situation.remaining_ms),
        attempts_left=situation.attempts_left,
        options=[
            {
                'model': out.route.models[option.index],
                'sufficient': round(option.sufficient, 3),
                'backlog_ms': round(option.backlog_ms),
                'read_ms': round(option.read_ms),
                'is_waited_for': option.is_waited_for,
            }
            for option in options
        ],
    )
