"""Phases of a roll-out and the statistical test for a harmful version."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from yuccarouter.gateway import model

RUNNING: Final = 'running'
COMPLETED: Final = 'completed'
ROLLED_BACK: Final = 'rolled_back'

# Earliest end of the canary and shortest duration of the next two phases, as
# shares of the ordered time. Sessions may move to the new version only in the
# second half.
_CANARY_END_SHARE: Final = 0.51
_RAMP_TIME_SHARE: Final = 0.22
_FULL_TIME_SHARE: Final = 0.1
# Share of the agreed exposure that the canary uses; the rest is for the ramp.
_CANARY_EXPOSURE_SHARE: Final = 0.67
_RAMP_REQUEST_SHARE: Final = 0.3
# Answers of the new version that are needed before the ramp and after it.
_MIN_CANARY_ANSWERS: Final = 8
_MIN_RAMP_ANSWERS: Final = 20
# Share of the ordered time from which half as many answers end the canary, so
# that a good version of a service with little traffic completes in time.
_LATE_CANARY_SHARE: Final = 0.6
_MIN_BAD_OR_SLOW: Final = 4
# Probability of a false alarm in one test of one route.
_FALSE_ALARM_PROBABILITY: Final = 0.0005
# Probability at which the new version gets no larger share yet.
_SUSPICION_PROBABILITY: Final = 0.03
# Share of the ordered time from which a weaker suspicion ends the roll-out.
_LATE_SHARE: Final = 0.85
_LATE_PROBABILITY: Final = 0.005
# A version gets all requests once a share of bad or slow answers that is so
# much larger than the old version's has become this improbable.
_EXCLUDED_EXTRA_SHARE: Final = 0.3
_EXCLUSION_PROBABILITY: Final = 0.05
# Added to the old version's share of bad and of slow answers. Slow answers are
# counted before they end, and good ones after it.
_TOLERATED_EXTRA_BAD_SHARE: Final = 0.06
_TOLERATED_EXTRA_SLOW_SHARE: Final = 0.12
_PRIOR_ANSWERS: Final = 20.0
# So many standard deviations below the mean, the rest of the distribution is 1.
_CERTAIN_DEVIATIONS: Final = 10.0
# Terms of a sum that are smaller than this share of it are left out.
_NEGLIGIBLE_SHARE: Final = 1e-12


class Phase(enum.StrEnum):
    """The phase of a roll-out; the last two are final."""

    CANARY = 'canary'
    RAMP = 'ramp'
    FULL = 'full'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self in {Phase.COMPLETED, Phase.ROLLED_BACK}

    @property
    def rank(self) -> int:
        """The place in the order of phases; the final ones share the last."""
        if self.is_final:
            return len(Phase)
        return list(Phase).index(self)

    @property
    def status(self) -> str:
        """The state that is shown to operators."""
        if self is Phase.COMPLETED:
            return COMPLETED
        return ROLLED_BACK if self is Phase.ROLLED_BACK else RUNNING


@attrs.define
class Tally:
    """Counts of one version's answers on one route.

    ``slow`` answers are neither good nor bad. Load makes the old version slow
    too, so they are compared only with its slow ones.
    """

    good: int = 0
    bad: int = 0
    slow: int = 0

    @property
    def total(self) -> int:
        """The number of all answers."""
        return self.good + self.bad + self.slow

    def add(self, other: Tally) -> None:
        """Add the counts of ``other``."""
        self.good += other.good
        self.bad += other.bad
        self.slow += other.slow


@attrs.frozen
class Evidence:
    """Answers of the new and the old version, by route."""

    new: Mapping[str, Tally]
    old: Mapping[str, Tally]


def new_version_share(phase: Phase, exposure_share: float) -> float:
    """Return the share of the service's requests for the new version."""
    if phase is Phase.CANARY:
        return exposure_share * _CANARY_EXPOSURE_SHARE
    if phase is Phase.RAMP:
        return _RAMP_REQUEST_SHARE
    return 0 if phase is Phase.ROLLED_BACK else 1


def is_late_canary(
    phase: Phase, order: model.RolloutOrder, elapsed_ms: float
) -> bool:
    """Return whether a canary lasts longer than it has to."""
    late_ms = _LATE_CANARY_SHARE * order.ramp_ms
    return phase is Phase.CANARY and elapsed_ms >= late_ms


def needs_sessions(evidence: Evidence) -> bool:
    """Return whether a late canary needs the sessions in progress to end.

    It gets the answers that it lacks from them: a service may have no others.
    It gets none of them while the new version is suspected.
    """
    answers = sum(tally.total for tally in evidence.new.values())
    return answers < _min_canary_answers(_LATE_CANARY_SHARE) and not is_harmful(
        evidence, _SUSPICION_PROBABILITY
    )


def next_phase(
    phase: Phase,
    order: model.RolloutOrder,
    elapsed_ms: float,
    phase_ms: float,
    evidence: Evidence,
) -> Phase:
    """Return the phase that a roll-out should be in.

    ``elapsed_ms`` counts from when this daemon read the order and ``phase_ms``
    from when it read the phase. On a daemon that started later both are
    shorter, which only delays a step.
    """
    if phase.is_final:
        return phase
    if is_harmful(evidence):
        return Phase.ROLLED_BACK
    elapsed_share = elapsed_ms / max(1.0, order.ramp_ms)
    if elapsed_share >= _LATE_SHARE and is_harmful(evidence, _LATE_PROBABILITY):
        return Phase.ROLLED_BACK
    if is_harmful(evidence, _SUSPICION_PROBABILITY):
        return phase
    answers = sum(tally.total for tally in evidence.new.values())
    phase_share = phase_ms / max(1.0, order.ramp_ms)
    if phase is Phase.CANARY:
        is_due = (
            elapsed_share >= _CANARY_END_SHARE
            and answers >= _min_canary_answers(elapsed_share)
        )
        return Phase.RAMP if is_due else phase
    if phase is Phase.RAMP:
        is_due = (
            phase_share >= _RAMP_TIME_SHARE
            and answers >= _MIN_RAMP_ANSWERS
            and _is_harm_excluded(evidence)
        )
        return Phase.FULL if is_due else phase
    return Phase.COMPLETED if phase_share >= _FULL_TIME_SHARE else phase


def _min_canary_answers(elapsed_share: float) -> int:
    if elapsed_share >= _LATE_CANARY_SHARE:
        return _MIN_CANARY_ANSWERS // 2
    return _MIN_CANARY_ANSWERS


def is_harmful(
    evidence: Evidence, probability: float = _FALSE_ALARM_PROBABILITY
) -> bool:
    """Return whether the new version is worse, on all routes or on one.

    ``probability`` is that of a false alarm in each comparison.
    """
    if _is_worse(
        _sum(evidence.new.values()), _sum(evidence.old.values()), probability
    ):
        return True
    return any(
        _is_worse(tally, evidence.old.get(route, Tally()), probability)
        for route, tally in evidence.new.items()
    )


def _is_harm_excluded(evidence: Evidence) -> bool:
    """Return whether the new version is certainly not much worse."""
    new, old = _sum(evidence.new.values()), _sum(evidence.old.values())
    return all(
        1
        - _binomial_tail(
            count + 1,
            new.total,
            min(
                1.0, _prior_share(old_count, old.total) + _EXCLUDED_EXTRA_SHARE
            ),
        )
        < _EXCLUSION_PROBABILITY
        for count, old_count in ((new.bad, old.bad), (new.slow, old.slow))
    )


def _is_worse(new: Tally, old: Tally, probability: float) -> bool:
    """Return whether bad or slow answers are significantly more frequent."""
    likelihood = min(
        _likelihood(
            new.bad,
            new.total,
            _prior_share(old.bad, old.total) + _TOLERATED_EXTRA_BAD_SHARE,
        ),
        _likelihood(
            new.slow,
            new.total,
            _prior_share(old.slow, old.total) + _TOLERATED_EXTRA_SLOW_SHARE,
        ),
    )
    return likelihood < probability


def _likelihood(new: int, new_total: int, expected_share: float) -> float:
    """Return the probability of so many bad or slow answers or more."""
    if new < _MIN_BAD_OR_SLOW:
        return 1
    return _binomial_tail(new, new_total, min(1.0, expected_share))


def _prior_share(old: int, old_total: int) -> float:
    return old / (old_total + _PRIOR_ANSWERS)


def _binomial_tail(least: int, total: int, share: float) -> float:
    """Return the probability of ``least`` or more of ``total`` answers."""
    if least <= 0 or share >= 1:
        return 1
    if least > total or share <= 0:
        return 0
    mean = total * share
    if least < mean - _CERTAIN_DEVIATIONS * math.sqrt(mean * (1 - share)):
        return 1
    probability = math.exp(
        math.lgamma(total + 1)
        - math.lgamma(least + 1)
        - math.lgamma(total - least + 1)
        + least * math.log(share)
        + (total - least) * math.log1p(-share)
    )
    tail: float = 0
    for count in range(least, total + 1):
        tail += probability
        if count > mean and probability < _NEGLIGIBLE_SHARE * tail:
            break
        probability *= (total - count) / (count + 1) * share / (1 - share)
    return min(1, tail)


def _sum(tallies: Iterable[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total.add(tally)
    return total
