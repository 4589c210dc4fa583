"""Moving a service to a new version: its phases and the test of harm."""

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

# Part of the ordered time at which the canary may end, and the least parts
# that the next phases last. Sessions may move to the new version in the second
# half only.
_CANARY_END: Final = 0.51
_RAMP_PART: Final = 0.22
_FULL_PART: Final = 0.1
# Part of the agreed exposure that the canary uses; the rest is for the ramp.
_CANARY_OF_BOUND: Final = 0.67
_RAMP_SHARE: Final = 0.3
# Answers of the new version without harm before the ramp and after it.
_MIN_CANARY_ANSWERS: Final = 8
_MIN_RAMP_ANSWERS: Final = 20
# Part of the ordered time from which half as many answers end the canary, so
# that a good version of a service with little traffic is completed in time.
_LATE_CANARY: Final = 0.6
_MIN_BAD: Final = 4
# Chance of a false alarm at one look, for each tested route.
_FALSE_ALARM: Final = 0.0005
# Added to the share of bad answers that the old version shows.
_TOLERATED_SHARE: Final = 0.06
_PRIOR_ANSWERS: Final = 20.0


class Phase(enum.StrEnum):
    """How far a roll-out is; the last two are final."""

    CANARY = 'canary'
    RAMP = 'ramp'
    FULL = 'full'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    @property
    def is_final(self) -> bool:
        """Whether the roll-out is over."""
        return self in {Phase.COMPLETED, Phase.ROLLED_BACK}

    @property
    def status(self) -> str:
        """The state that operators see."""
        if self is Phase.COMPLETED:
            return COMPLETED
        return ROLLED_BACK if self is Phase.ROLLED_BACK else RUNNING


@attrs.define
class Tally:
    """Answers of one version on one route.

    ``slow`` ones are neither good nor bad; load makes the old version slow
    too, so that they are compared with its slow ones only.
    """

    good: int = 0
    bad: int = 0
    slow: int = 0

    @property
    def total(self) -> int:
        """All answers."""
        return self.good + self.bad + self.slow

    def add(self, other: Tally) -> None:
        """Add the counts of another daemon."""
        self.good += other.good
        self.bad += other.bad
        self.slow += other.slow


@attrs.frozen
class Evidence:
    """Answers of the new and the old version, by route."""

    new: Mapping[str, Tally]
    old: Mapping[str, Tally]


def new_share(phase: Phase, exposure_share: float) -> float:
    """Return the share of the service's requests for the new version."""
    if phase is Phase.CANARY:
        return exposure_share * _CANARY_OF_BOUND
    if phase is Phase.RAMP:
        return _RAMP_SHARE
    return 0 if phase is Phase.ROLLED_BACK else 1


def next_phase(
    phase: Phase,
    order: model.RolloutOrder,
    elapsed_ms: float,
    phase_ms: float,
    evidence: Evidence,
) -> Phase:
    """Return the phase that a roll-out should be in.

    ``elapsed_ms`` counts from when this daemon saw the order and ``phase_ms``
    from when it saw the phase. A daemon that started meanwhile is late, which
    only delays a step.
    """
    if phase.is_final:
        return phase
    if is_harmful(evidence):
        return Phase.ROLLED_BACK
    answers = sum(tally.total for tally in evidence.new.values())
    done = elapsed_ms / max(1.0, order.ramp_ms)
    done_in_phase = phase_ms / max(1.0, order.ramp_ms)
    if phase is Phase.CANARY:
        is_due = done >= _CANARY_END and answers >= _least_in_canary(done)
        return Phase.RAMP if is_due else phase
    if phase is Phase.RAMP:
        is_due = done_in_phase >= _RAMP_PART and answers >= _MIN_RAMP_ANSWERS
        return Phase.FULL if is_due else phase
    return Phase.COMPLETED if done_in_phase >= _FULL_PART else phase


def _least_in_canary(done: float) -> int:
    if done >= _LATE_CANARY:
        return _MIN_CANARY_ANSWERS // 2
    return _MIN_CANARY_ANSWERS


def is_harmful(evidence: Evidence) -> bool:
    """Return whether the new version answers worse, on all routes or on one."""
    if _is_worse(_sum(evidence.new.values()), _sum(evidence.old.values())):
        return True
    return any(
        _is_worse(tally, evidence.old.get(route, Tally()))
        for route, tally in evidence.new.items()
    )


def _is_worse(new: Tally, old: Tally) -> bool:
    """Return whether failures or slow answers are too many for chance."""
    return _is_more(new.bad, new.total, old.bad, old.total) or _is_more(
        new.slow, new.total, old.slow, old.total
    )


def _is_more(new: int, new_total: int, old: int, old_total: int) -> bool:
    if new < _MIN_BAD:
        return False
    expected = old / (old_total + _PRIOR_ANSWERS) + _TOLERATED_SHARE
    return _tail(new, new_total, min(1.0, expected)) < _FALSE_ALARM


def _tail(bad: int, total: int, share: float) -> float:
    """Return the chance of ``bad`` or more bad answers of ``total``."""
    return sum(
        math.comb(total, count) * share**count * (1 - share) ** (total - count)
        for count in range(bad, total + 1)
    )


def _sum(tallies: Iterable[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total.add(tally)
    return total
