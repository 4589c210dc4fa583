"""Finds the requests and parts of prompts that explain crashes of engines.

An attempt is evidence if its engine crashed before the answer had ended. The
whole request, by its digest, and shared parts of its prompt are suspects at
first. A suspect that was never answered before is suspected before
one that was, and a request before a part that explains no more crashes.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from yuccarouter.gateway import crash_weights, request_digests

# Tolerance for the times of other daemons' attempts.
_ORDER_TOLERANCE_MS: Final = 50.0
# A common cause, as a loss of power, ends all engines that it ends within this
# time.
_MAX_OUTAGE_MS: Final = 1000.0
# Weights are sums of fractions.
_ROUNDING: Final = 1e-6
# Requests are held for this time after a crash, which doubles with each one.
_MIN_HOLD_MS: Final = 20_000.0
# Most prompts may share an answered part, so that one is tried earlier. No more
# than three tries come within a minute.
_MIN_ANSWERED_PART_HOLD_MS: Final = 5000.0
_MAX_HOLD_MS: Final = 600_000.0
_MAX_DOUBLINGS: Final = 8
_MAX_AMBIGUOUS_CRASHES: Final = 2


@attrs.frozen
class Threshold:
    """The evidence from which on requests are held.

    ``crashes`` counts crashes one after the other, and ``requests`` the
    different requests that met them. With ``is_certain``, requests that wait
    for an answer are withdrawn too. ``min_hold_ms`` is how long the first hold
    lasts.
    """

    crashes: int
    requests: int
    is_certain: bool = False
    min_hold_ms: float = _MIN_HOLD_MS


# A sound prompt rarely meets three crashes without an answer in between. The
# repetitions of a single request would not tell which of its parts they show.
NEW_PART: Final = Threshold(crashes=3, requests=2, is_certain=True)
# Two new parts that crash engines at the same time, in prompts with a common
# part, explain two of three requests. Only further ones are held against the
# common part, which most prompts may share.
ANSWERED_PART: Final = Threshold(
    crashes=5, requests=3, min_hold_ms=_MIN_ANSWERED_PART_HOLD_MS
)
# Services may have only three endpoints. A sound request that was lost at the
# same two engines is told apart by the next crash or answer.
NEW_REQUEST: Final = Threshold(crashes=2, requests=1, is_certain=True)
# A request that many callers repeat meets crashes with other causes more often.
ANSWERED_REQUEST: Final = Threshold(crashes=3, requests=1)


@attrs.define
class CrashedAttempt:
    """An attempt whose engine crashed before its answer had ended.

    ``request`` and ``number`` identify it, and ``engine`` the engine from its
    start to its crash. ``suspects`` may be the cause: the request, by its
    digest, and the parts of its prompt. They are only ever removed. Those in
    ``answered`` had been answered before the crash. ``changed_ms`` is the time
    of the latest change, and ``ran_ms`` the time from the first event to the
    crash, 0 without an event.
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
    ran_ms: float = 0

    @property
    def key(self) -> tuple[int, int]:
        """Identifier of the attempt."""
        return (self.request, self.number)

    @property
    def new_suspects(self) -> frozenset[str]:
        """The suspects that had never been answered before the crash."""
        return self.suspects - self.answered

    @property
    def repeated_request(self) -> str | int:
        """What the attempts of a request have in common when it comes again."""
        digests = filter(request_digests.is_request_digest, self.suspects)
        return next(digests, self.request)


@attrs.frozen
class Suspicion:
    """What engines crash on: a request, or parts of a prompt together.

    ``parts`` holds only the digest if it is a request. ``crashes`` is their
    number as counted for ``threshold``, ``attempts`` are the evidence, and
    ``newest_ms`` is the time of the newest crash.
    """

    service: str
    parts: frozenset[str]
    crashes: int
    threshold: Threshold
    newest_ms: float
    attempts: tuple[CrashedAttempt, ...]

    @property
    def engines(self) -> frozenset[str]:
        """The engines that crashed with such a request."""
        return frozenset(attempt.engine for attempt in self.attempts)

    @property
    def is_request(self) -> bool:
        """Whether it is against a whole request."""
        return any(map(request_digests.is_request_digest, self.parts))

    @property
    def weight(self) -> tuple[int, bool, int]:
        """The order of suspicions: which explains more, and more narrowly.

        That is the number of engines that crashed, whether it is against a
        single request, and the number of requests that met it.
        """
        requests = {attempt.repeated_request for attempt in self.attempts}
        return (len(self.engines), self.is_request, len(requests))

    def hold_until_ms(self) -> float:
        """Return the time from which such a prompt may be tried again."""
        doublings = min(self.crashes - self.threshold.crashes, _MAX_DOUBLINGS)
        return self.newest_ms + min(
            _MAX_HOLD_MS, math.ldexp(self.threshold.min_hold_ms, doublings)
        )


def find_suspicions(attempts: Iterable[CrashedAttempt]) -> list[Suspicion]:
    """Return what explains the crashes, new suspects before others.

    Crashes that new parts explain don't count against other suspects. Those
    that single requests explain do: a part that was answered before may crash
    engines now, in many requests that are each held.
    """
    attempts = list(attempts)
    weights = crash_weights.weights(attempts)
    remaining = [attempt for attempt in attempts if attempt.suspects]
    new = _explanations(remaining, weights, _new_suspects, _NEW)
    new_parts = [each for each in new if not each.is_request]
    remaining = _unexplained(remaining, new_parts)
    known = {(each.service, each.parts) for each in new}
    answered = _explanations(remaining, weights, _all_suspects, _ANSWERED)
    return new + [
        each for each in answered if (each.service, each.parts) not in known
    ]


@attrs.frozen
class _Thresholds:
    part: Threshold
    request: Threshold

    def of(self, suspect: str) -> Threshold:
        """Return the threshold for one suspect."""
        if request_digests.is_request_digest(suspect):
            return self.request
        return self.part


_NEW: Final = _Thresholds(NEW_PART, NEW_REQUEST)
_ANSWERED: Final = _Thresholds(ANSWERED_PART, ANSWERED_REQUEST)


def _explanations(
    attempts: list[CrashedAttempt],
    weights: dict[str, crash_weights.CrashWeights],
    suspects_of: Callable[[CrashedAttempt], frozenset[str]],
    thresholds: _Thresholds,
) -> list[Suspicion]:
    """Return the fewest suspects that explain the crashes.

    What explains most crashes is taken first; a part with all parts that
    stand beside it in each of its attempts. These crashes don't count against
    other parts: those of the same prompts, and those of other prompts that the
    engines were working on.
    """
    found: list[Suspicion] = []
    remaining = attempts
    while True:
        best = _best_explanations(remaining, weights, suspects_of, thresholds)
        if not best:
            return found
        found.extend(best)
        remaining = _unexplained(remaining, best)


def _best_explanations(
    attempts: list[CrashedAttempt],
    weights: dict[str, crash_weights.CrashWeights],
    suspects_of: Callable[[CrashedAttempt], frozenset[str]],
    thresholds: _Thresholds,
) -> list[Suspicion]:
    """Return the suspicions that explain the most crashes.

    Different ones that share a crash are left out until further crashes or
    answers distinguish them. Requests that share three are held together: any
    more crashes would cost more than a sound request.
    """
    by_suspect: dict[tuple[str, str], list[CrashedAttempt]] = {}
    for attempt in attempts:
        for name in suspects_of(attempt):
            by_suspect.setdefault((attempt.service, name), []).append(attempt)
    suspicions = [
        _suspicion(
            evidence, weights[service], suspects_of, thresholds.of(suspect)
        )
        for (service, suspect), evidence in by_suspect.items()
        if _reaches(evidence, weights[service], thresholds.of(suspect))
    ]
    most = max((each.weight for each in suspicions), default=None)
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
        or (each.is_request and each.crashes > _MAX_AMBIGUOUS_CRASHES)
    ]


def _new_suspects(attempt: CrashedAttempt) -> frozenset[str]:
    return attempt.new_suspects


def _all_suspects(attempt: CrashedAttempt) -> frozenset[str]:
    return attempt.suspects


def _suspicion(
    evidence: list[CrashedAttempt],
    weights: crash_weights.CrashWeights,
    suspects_of: Callable[[CrashedAttempt], frozenset[str]],
    threshold: Threshold,
) -> Suspicion:
    common = frozenset.intersection(*map(suspects_of, evidence))
    digests = frozenset(filter(request_digests.is_request_digest, common))
    return Suspicion(
        service=evidence[0].service,
        parts=digests or common,
        crashes=_crashes(evidence, weights, threshold),
        threshold=threshold,
        newest_ms=max(each.crashed_ms for each in evidence),
        attempts=tuple(evidence),
    )


def _reaches(
    attempts: list[CrashedAttempt],
    weights: crash_weights.CrashWeights,
    threshold: Threshold,
) -> bool:
    # Most suspects have a single attempt, and the rest takes longer.
    if len(attempts) < threshold.crashes:
        return False
    requests = {attempt.repeated_request for attempt in attempts}
    return (
        len(requests) >= threshold.requests
        and _crashes(attempts, weights, threshold) >= threshold.crashes
    )


def _crashes(
    attempts: list[CrashedAttempt],
    weights: crash_weights.CrashWeights,
    threshold: Threshold,
) -> int:
    """Return the number of crashes that count as evidence.

    Copies of a request may run at the same time and crash several engines.
    """
    if threshold is NEW_REQUEST:
        return math.floor(weights.of(attempts) + _ROUNDING)
    return _crashes_in_sequence(attempts)


def _crashes_in_sequence(attempts: list[CrashedAttempt]) -> int:
    """Return the number of crashes of which each followed the one before.

    An attempt counts if it was sent after the previous crash, or crashed much
    later. Engines that crash at the same time, as in a loss of power, count as
    one.
    """
    count = 0
    previous_ms = -math.inf
    for attempt in sorted(attempts, key=lambda each: each.crashed_ms):
        is_later = (
            attempt.sent_ms >= previous_ms - _ORDER_TOLERANCE_MS
            or attempt.crashed_ms >= previous_ms + _MAX_OUTAGE_MS
        )
        if is_later:
            count += 1
            previous_ms = attempt.crashed_ms
    return count


def _unexplained(
    attempts: list[CrashedAttempt], suspicions: list[Suspicion]
) -> list[CrashedAttempt]:
    explained = frozenset[str]().union(*(each.engines for each in suspicions))
    return [attempt for attempt in attempts if attempt.engine not in explained]
