"""Finds the parts of prompts that explain the crashes of engines.

An attempt is evidence if its engine crashed before the answer had gone on for a
while. All shared parts of its prompt are suspects at first. A part that was
never answered before is suspected before one that was.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterable
from typing import Final

import attrs

# Tolerance for the times of other daemons' attempts.
_ORDER_TOLERANCE_MS: Final = 50.0
# Prompts are held for this time after a crash, which doubles with each one.
_MIN_HOLD_MS: Final = 20_000.0
_MAX_HOLD_MS: Final = 600_000.0
_MAX_DOUBLINGS: Final = 8


@attrs.frozen
class Threshold:
    """The evidence from which on prompts are held.

    ``crashes`` counts crashes one after the other, and ``requests`` the
    different requests that met them.
    """

    crashes: int
    requests: int


# A sound prompt rarely meets three crashes without an answer in between. The
# repetitions of a single request would not tell which of its parts they show.
NEW_PART: Final = Threshold(crashes=3, requests=2)
# Two new parts that crash engines at the same time, in prompts with a common
# part, explain two of three requests. Only further ones are held against the
# common part, which most prompts may share.
ANSWERED_PART: Final = Threshold(crashes=5, requests=3)


@attrs.define
class CrashedAttempt:
    """An attempt whose engine crashed before its answer had gone on.

    ``request`` and ``number`` identify it, and ``engine`` the engine from its
    start to its crash. ``suspects`` are the parts of the prompt that may be the
    cause; parts are only ever removed. Those in ``answered`` had been answered
    before the crash. ``changed_ms`` is the time of the latest change.
    """

    request: int
    number: int
    engine: str
    service: str
    sent_ms: float
    crashed_ms: float
    suspects: frozenset[str]
    answered: frozenset[str]
    changed_ms: float

    @property
    def key(self) -> tuple[int, int]:
        """Identifier of the attempt."""
        return (self.request, self.number)

    @property
    def new_suspects(self) -> frozenset[str]:
        """The suspects that had never been answered before the crash."""
        return self.suspects - self.answered


@attrs.frozen
class Suspicion:
    """Parts of prompts on which engines crash if all of them are present.

    ``crashes`` counts the crashes one after the other, ``attempts`` are the
    evidence, and ``newest_ms`` is the time of the newest crash. ``engines``
    have crashed with such a prompt.
    """

    service: str
    parts: frozenset[str]
    crashes: int
    threshold: Threshold
    newest_ms: float
    attempts: tuple[CrashedAttempt, ...]

    @property
    def engines(self) -> frozenset[str]:
        """The engines that crashed with such a prompt."""
        return frozenset(attempt.engine for attempt in self.attempts)

    @property
    def weight(self) -> tuple[int, int]:
        """The number of engines that crashed, and of requests that met it."""
        requests = {attempt.request for attempt in self.attempts}
        return (len(self.engines), len(requests))

    def hold_until_ms(self) -> float:
        """Return the time from which such a prompt may be tried again."""
        doublings = min(self.crashes - self.threshold.crashes, _MAX_DOUBLINGS)
        return self.newest_ms + min(
            _MAX_HOLD_MS, math.ldexp(_MIN_HOLD_MS, doublings)
        )


def find_suspicions(attempts: Iterable[CrashedAttempt]) -> list[Suspicion]:
    """Return the parts that explain the crashes, new ones before others.

    Crashes that new parts explain don't count against other parts.
    """
    remaining = [attempt for attempt in attempts if attempt.suspects]
    new = _explanations(remaining, _new_suspects, NEW_PART)
    remaining = _unexplained(remaining, new)
    return new + _explanations(remaining, _all_suspects, ANSWERED_PART)


def _explanations(
    attempts: list[CrashedAttempt],
    suspects_of: Callable[[CrashedAttempt], frozenset[str]],
    threshold: Threshold,
) -> list[Suspicion]:
    """Return the smallest sets of parts that explain the crashes.

    The part that explains most crashes is taken first, with all parts that
    stand beside it in each of its attempts. These crashes don't count against
    other parts: those of the same prompts, and those of other prompts that the
    engines were working on.
    """
    found: list[Suspicion] = []
    remaining = attempts
    while True:
        best = _best_explanations(remaining, suspects_of, threshold)
        if not best:
            return found
        found.extend(best)
        remaining = _unexplained(remaining, best)


def _best_explanations(
    attempts: list[CrashedAttempt],
    suspects_of: Callable[[CrashedAttempt], frozenset[str]],
    threshold: Threshold,
) -> list[Suspicion]:
    """Return the suspicions that explain the most crashes.

    Different ones that share a crash are left out until further crashes or
    answers distinguish them.
    """
    by_part: dict[tuple[str, str], list[CrashedAttempt]] = {}
    for attempt in attempts:
        for part in suspects_of(attempt):
            by_part.setdefault((attempt.service, part), []).append(attempt)
    suspicions = [
        _suspicion(evidence, suspects_of, threshold)
        for evidence in by_part.values()
        if _reaches(evidence, threshold)
    ]
    most = max((each.weight for each in suspicions), default=(0, 0))
    best = {
        (each.service, each.parts): each
        for each in suspicions
        if each.weight == most
    }
    uses = collections.Counter(
        engine for each in best.values() for engine in each.engines
    )
    return [
        each
        for each in best.values()
        if all(uses[engine] == 1 for engine in each.engines)
    ]


def _new_suspects(attempt: CrashedAttempt) -> frozenset[str]:
    return attempt.new_suspects


def _all_suspects(attempt: CrashedAttempt) -> frozenset[str]:
    return attempt.suspects


def _suspicion(
    evidence: list[CrashedAttempt],
    suspects_of: Callable[[CrashedAttempt], frozenset[str]],
    threshold: Threshold,
) -> Suspicion:
    return Suspicion(
        service=evidence[0].service,
        parts=frozenset.intersection(*map(suspects_of, evidence)),
        crashes=_crashes_in_sequence(evidence),
        threshold=threshold,
        newest_ms=max(each.crashed_ms for each in evidence),
        attempts=tuple(evidence),
    )


def _reaches(attempts: list[CrashedAttempt], threshold: Threshold) -> bool:
    requests = {attempt.request for attempt in attempts}
    return (
        len(requests) >= threshold.requests
        and _crashes_in_sequence(attempts) >= threshold.crashes
    )


def _crashes_in_sequence(attempts: list[CrashedAttempt]) -> int:
    """Return the number of crashes of which each followed the one before.

    An attempt counts if it was sent after the previous crash. Engines that
    crash at the same time, as in a loss of power, count as one.
    """
    count = 0
    previous_ms = -math.inf
    for attempt in sorted(attempts, key=lambda each: each.crashed_ms):
        if attempt.sent_ms >= previous_ms - _ORDER_TOLERANCE_MS:
            count += 1
            previous_ms = attempt.crashed_ms
    return count


def _unexplained(
    attempts: list[CrashedAttempt], suspicions: list[Suspicion]
) -> list[CrashedAttempt]:
    explained = frozenset[str]().union(*(each.engines for each in suspicions))
    return [attempt for attempt in attempts if attempt.engine not in explained]
