"""Evidence that a request, or a part of prompts, crashes each engine.

The daemons exchange the attempts whose engines crashed, and hold the requests
that explain the crashes, or prompts with the parts that do:

    evidence.record_crash(attempt, now_ms=2000)
    evidence.record_answer('engine', ('aa', 'bb'), now_ms=2100)
    evidence.hold('engine', ('aa', 'cc'), now_ms=2200)   # None or a hold

A request is described by its suspects: its digest and the shared parts of its
prompt.
"""

from __future__ import annotations

import contextlib
import functools
import math
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Any, Final

import attrs
import eliot

from yuccarouter.gateway import (
    answer_times,
    crash_caution,
    crash_checks,
    crash_suspicions,
    dropped_attempts,
    metrics,
    numbers,
    request_digests,
    senders,
)

# Field of a digest with the crashes after the start of an answer.
LATE_CRASHES: Final = 'late_crashes'
# A single daemon tries a request first; with each such interval without result,
# twice as many may.
_TRIAL_INTERVAL_MS: Final = 10_000.0
_MAX_DOUBLINGS: Final = 8
_MAX_AGE_MS: Final = 1_800_000
# Time in which answers clear most parts of an attempt.
_CLEARING_TIME_MS: Final = 1000.0
# Attempts without suspects are kept for this time, so that peers learn of it.
_CLEARED_AGE_MS: Final = 10_000.0
_MAX_ATTEMPTS: Final = 64
# Suspected parts of one attempt. Answers mostly clear all but a few of them.
_MAX_SUSPECTED_PARTS: Final = 32
_MAX_ATTEMPTS_PER_SUSPICION: Final = 8
# Bounds of a message, which must fit a datagram together with others.
_MAX_SENT_ATTEMPTS: Final = 12
_MAX_SENT_PER_SUSPICION: Final = 4
_MAX_SENT_PARTS: Final = 60
_MAX_PART_LENGTH: Final = 16

# The key, the engine and the service, the ages of the send and of the crash in
# milliseconds, and two lists of suspects: those never answered before, and the
# others. After the start of an answer, the time from the first event to the
# crash in milliseconds follows.
Fields = tuple[Any, ...]
# Daemons of earlier versions accept no more.
_START_FIELDS: Final = 4


@attrs.frozen(eq=False)
class WaitingRequest:
    """A request that waits for its answer to start.

    ``withdraw`` closes its connection, so that the engine drops it.
    """

    service: str
    suspects: Collection[str]
    withdraw: Callable[[], None]

    @property
    def requests(self) -> frozenset[str]:
        """Its digest, as a set of suspects."""
        return frozenset(
            filter(request_digests.is_request_digest, self.suspects)
        )


@attrs.frozen
class Hold:
    """For how long a request is held.

    ``is_request`` is true if the request itself is the cause, and not a part
    of its prompt.
    """

    remaining_ms: float
    is_request: bool


@attrs.define
class CrashEvidence:
    """Crashed attempts of all daemons, as known to the daemon ``name``.

    ``others`` returns the sorted names of the other daemons, and
    ``engine_count`` the number of engines of a service.
    """

    name: str
    others: Callable[[], tuple[str, ...]]
    engine_count: Callable[[str], int]
    checks: crash_checks.CrashChecks = attrs.field(
        factory=crash_checks.CrashChecks
    )
    dropped: dropped_attempts.DroppedAttempts = attrs.field(
        factory=dropped_attempts.DroppedAttempts
    )
    _attempts: dict[tuple[int, int], crash_suspicions.CrashedAttempt] = (
        attrs.field(factory=dict)
    )
    _answered: answer_times.AnswerTimes = attrs.field(
        factory=answer_times.AnswerTimes
    )
    _suspicions: list[crash_suspicions.Suspicion] = attrs.field(factory=list)
    _tried_ms: dict[frozenset[str], float] = attrs.field(factory=dict)
    _waiting: set[WaitingRequest] = attrs.field(factory=set)

    def suspects_of_crash(
        self, service: str, digest: str, parts: Collection[str], ran_ms: float
    ) -> frozenset[str]:
        """Return what of a request may have crashed its engine.

        Those are the request and the parts of its prompt that were answered
        longest ago. After the start of an answer, only parts that were never
        answered are suspects: most prompts that an engine works on share the
        others.
        """
        rarest = self._answered.rarest(
            service, parts, _MAX_SUSPECTED_PARTS, ran_ms
        )
        if ran_ms >= answer_times.START_MS:
            rarest = [
                part
                for part in rarest
                if self._answered.last_ms(service, part, ran_ms) == -math.inf
            ]
        return frozenset((digest, *rarest))

    def record_crash(
        self, attempt: crash_suspicions.CrashedAttempt, now_ms: float
    ) -> crash_suspicions.CrashedAttempt:
        """Record an attempt of this daemon or of a peer, and return it.

        The returned one has the suspects that remain.
        """
        is_new = attempt.key not in self._attempts
        if is_new and not attempt.suspects:
            # A peer has cleared it before this daemon learned of it.
            return attempt
        last_ms = functools.partial(
            self._answered.last_ms, attempt.service, ran_ms=attempt.ran_ms
        )
        known = self._attempts.setdefault(attempt.key, attrs.evolve(attempt))
        suspects = frozenset(
            part
            for part in known.suspects & attempt.suspects
            if last_ms(part) <= attempt.crashed_ms
        )
        answered = known.answered | frozenset(
            part
            for part in attempt.suspects
            if part in attempt.answered or last_ms(part) > -math.inf
        )
        if is_new or (suspects, answered) != (
            known.suspects,
            known.answered,
        ):
            known.suspects = suspects
            known.answered = answered
            known.changed_ms = now_ms
            self._update(now_ms)
        if is_new:
            self.record_engine_crash(known.engine, known.crashed_ms, now_ms)
        return known

    def record_engine_crash(
        self, engine: str, crashed_ms: float, now_ms: float
    ) -> None:
        """Record the dropped attempts that may have crashed an engine."""
        for attempt in self.dropped.take(engine, crashed_ms):
            self.record_crash(attempt, now_ms)

    def record_answer(
        self,
        service: str,
        suspects: Collection[str],
        now_ms: float,
        proceeded_ms: float = math.inf,
    ) -> None:
        """Record an answer: its request caused no crash before.

        One that goes on clears it of crashes that come much earlier in an
        answer, one that has ended of all.
        """
        for suspect in suspects:
            self._answered.record(service, suspect, now_ms, proceeded_ms)
        changed = [
            attempt
            for attempt in self._attempts.values()
            if attempt.service == service
            and answer_times.clears(proceeded_ms, attempt.ran_ms)
            and not attempt.suspects.isdisjoint(suspects)
        ]
        for attempt in changed:
            attempt.suspects -= frozenset(suspects)
            attempt.changed_ms = now_ms
        if changed:
            self._update(now_ms)

    def may_send(
        self, service: str, suspects: Collection[str], now_ms: float
    ) -> bool:
        """Return whether a request may be sent to an engine.

        A request that was held back for long enough is tried once more: only
        an answer shows that engines can answer it again. One try counts for
        all requests with the same suspects.
        """
        if not self._attempts:
            return True
        suspicion = self._matching(service, suspects)
        if suspicion is None:
            return not self._caution_ms(service, suspects, now_ms)
        if not self._may_try(suspicion, now_ms):
            return False
        self._tried_ms[suspicion.parts] = now_ms
        eliot.log_message(
            'suspected_request_tried'
            if suspicion.is_request
            else 'suspected_prompt_tried',
            service=service,
            parts=sorted(suspicion.parts),
            crashes=suspicion.crashes,
        )
        return True

    @contextlib.contextmanager
    def follow(self, waiting: WaitingRequest) -> Iterator[None]:
        """Withdraw a request if it is held within the context.

        What was answered before is held on weaker grounds: the answers to
        waiting requests may then release it.
        """
        self._waiting.add(waiting)
        try:
            yield
        finally:
            self._waiting.discard(waiting)

    def hold(
        self, service: str, suspects: Collection[str], now_ms: float
    ) -> Hold | None:
        """Return how a request is held back, ``None`` if it is not."""
        suspicion = self._matching(service, suspects)
        if suspicion is not None:
            remaining_ms = max(
                _TRIAL_INTERVAL_MS, suspicion.hold_until_ms() - now_ms
            )
            return Hold(remaining_ms, suspicion.is_request)
        caution_ms = self._caution_ms(service, suspects, now_ms)
        return Hold(caution_ms, is_request=True) if caution_ms else None

    def message(self, now_ms: float) -> list[Fields]:
        """Return the most important attempts, for peers."""
        self._update(now_ms)
        message: list[Fields] = []
        part_count = 0
        important = _by_importance(self._attempts.values(), self._suspicions)
        for attempt in important[:_MAX_SENT_ATTEMPTS]:
            part_count += len(attempt.suspects)
            if part_count > _MAX_SENT_PARTS:
                break
            message.append(encode_attempt(attempt, now_ms))
        return message

    def merge(self, message: Any, now_ms: float) -> None:
        """Merge attempts of a peer or of the store.

        Raises ``TypeError`` or ``ValueError`` for a malformed message.
        """
        for fields in message:
            self.record_crash(decode_attempt(fields, now_ms), now_ms)

    def unexplained_by_answers(
        self, now_ms: float
    ) -> list[crash_suspicions.CrashedAttempt]:
        """Return the attempts to keep across restarts, oldest first.

        Answers after a crash clear most prompts that only met it by chance.
        A single request is kept only once it is held: most of those that are
        lost never come again.
        """
        self._update(now_ms)
        held = {
            attempt.key
            for suspicion in self._suspicions
            for attempt in suspicion.attempts
        }
        return sorted(
            (
                attempt
                for attempt in self._attempts.values()
                if (attempt.key in held or _has_suspected_part(attempt))
                and now_ms - attempt.crashed_ms >= _CLEARING_TIME_MS
            ),
            key=lambda each: each.crashed_ms,
        )

    def _caution_ms(
        self, service: str, suspects: Collection[str], now_ms: float
    ) -> float:
        """Return for how long a request that met one crash is not sent."""
        attempts = [
            attempt
            for attempt in self._attempts.values()
            if attempt.service == service
        ]
        if not any(each.repeated_request in suspects for each in attempts):
            return 0
        return crash_caution.remaining_ms(
            attempts,
            suspects,
            self.engine_count(service),
            now_ms,
            is_running=any(
                waiting.service == service
                and not waiting.requests.isdisjoint(suspects)
                for waiting in self._waiting
            ),
        )

    def _matching(
        self, service: str, suspects: Collection[str]
    ) -> crash_suspicions.Suspicion | None:
        """Return the suspicion that holds a request back longest."""
        return max(
            (
                suspicion
                for suspicion in self._suspicions
                if suspicion.service == service
                and suspicion.parts.issubset(suspects)
            ),
            key=lambda each: each.hold_until_ms(),
            default=None,
        )

    def _may_try(
        self, suspicion: crash_suspicions.Suspicion, now_ms: float
    ) -> bool:
        overdue_ms = now_ms - suspicion.hold_until_ms()
        tried_ms = self._tried_ms.get(suspicion.parts, -math.inf)
        if overdue_ms < 0 or now_ms - tried_ms < _TRIAL_INTERVAL_MS:
            return False
        doublings = min(int(overdue_ms / _TRIAL_INTERVAL_MS), _MAX_DOUBLINGS)
        name = '/'.join(sorted(suspicion.parts))
        return senders.is_sender(name, self.name, self.others(), 2**doublings)

    def _update(self, now_ms: float) -> None:
        """Discard what is outdated or too much, and find the suspicions."""
        kept = [
            attempt
            for attempt in self._attempts.values()
            if now_ms - attempt.crashed_ms < _MAX_AGE_MS
            and (
                attempt.suspects
                or now_ms - attempt.changed_ms < _CLEARED_AGE_MS
            )
        ]
        suspicions = crash_suspicions.find_suspicions(kept)
        evidence = [
            attempt
            for suspicion in suspicions
            for attempt in _newest(
                suspicion.attempts, _MAX_ATTEMPTS_PER_SUSPICION
            )
        ]
        explained = {
            attempt.key
            for suspicion in suspicions
            for attempt in suspicion.attempts
        }
        others = [each for each in kept if each.key not in explained]
        room = max(0, _MAX_ATTEMPTS - len(evidence))
        self._attempts = {
            each.key: each
            for each in (*evidence[:_MAX_ATTEMPTS], *_repeated(others, room))
        }
        self._report_changes(suspicions)
        self._suspicions = suspicions

    def _report_changes(
        self, suspicions: list[crash_suspicions.Suspicion]
    ) -> None:
        before = {(each.service, each.parts) for each in self._suspicions}
        after = {(each.service, each.parts) for each in suspicions}
        held_requests = sum(each.is_request for each in suspicions)
        metrics.HELD_REQUESTS.set(held_requests)
        metrics.HELD_PROMPT_PARTS.set(len(after) - held_requests)
        for suspicion in suspicions:
            if (suspicion.service, suspicion.parts) not in before:
                eliot.log_message(
                    'request_held' if suspicion.is_request else 'prompts_held',
                    service=suspicion.service,
                    parts=sorted(suspicion.parts),
                    crashes=suspicion.crashes,
                )
                self._withdraw(suspicion)
        for suspicion in self._suspicions:
            if (suspicion.service, suspicion.parts) not in after:
                self._tried_ms.pop(suspicion.parts, None)
                eliot.log_message(
                    'request_released'
                    if suspicion.is_request
                    else 'prompts_released',
                    service=suspicion.service,
                    parts=sorted(suspicion.parts),
                )

    def _withdraw(self, suspicion: crash_suspicions.Suspicion) -> None:
        if not suspicion.threshold.is_certain:
            return
        for waiting in self._waiting:
            if waiting.service == suspicion.service and (
                suspicion.parts.issubset(waiting.suspects)
            ):
                waiting.withdraw()


def _has_suspected_part(attempt: crash_suspicions.CrashedAttempt) -> bool:
    return not all(map(request_digests.is_request_digest, attempt.suspects))


def encode_attempt(
    attempt: crash_suspicions.CrashedAttempt, now_ms: float
) -> Fields:
    """Return an attempt's fields for messages and records."""
    fields = (
        attempt.key,
        (attempt.engine, attempt.service),
        (
            max(0, math.ceil(now_ms - attempt.sent_ms)),
            max(0, math.ceil(now_ms - attempt.crashed_ms)),
        ),
        (
            sorted(attempt.new_suspects),
            sorted(attempt.suspects & attempt.answered),
        ),
    )
    if attempt.ran_ms < answer_times.START_MS:
        return fields
    return (*fields, math.ceil(attempt.ran_ms))


def digest_fields(message: list[Fields]) -> dict[str, list[Fields]]:
    """Return the fields of a digest that bring a message to peers.

    Crashes after the start of an answer are apart: a daemon of an earlier
    version would refuse them, with the rest of the digest.
    """
    late = [each for each in message if len(each) > _START_FIELDS]
    start = [each for each in message if len(each) == _START_FIELDS]
    return {'crashes': start, LATE_CRASHES: late}


def decode_attempt(
    fields: Any, now_ms: float
) -> crash_suspicions.CrashedAttempt:
    """Return an attempt; raises ``TypeError`` or ``ValueError``."""
    key, names, ages_ms, suspects = fields[:_START_FIELDS]
    engine, service = names
    request, number = map(numbers.integer, key)
    sent_age_ms, crash_age_ms = map(numbers.integer, ages_ms)
    new, answered = suspects
    if not all(isinstance(text, str) for text in (*names, *new, *answered)):
        raise ValueError('an attempt needs names and parts')
    if any(len(part) > _MAX_PART_LENGTH for part in (*new, *answered)):
        raise ValueError('parts have short ids')
    return crash_suspicions.CrashedAttempt(
        request=request,
        number=number,
        engine=engine,
        service=service,
        sent_ms=now_ms - sent_age_ms,
        crashed_ms=now_ms - crash_age_ms,
        suspects=frozenset((*new, *answered)),
        answered=frozenset(answered),
        changed_ms=now_ms,
        ran_ms=max((0, *map(numbers.integer, fields[_START_FIELDS:]))),
    )


def _by_importance(
    attempts: Collection[crash_suspicions.CrashedAttempt],
    suspicions: list[crash_suspicions.Suspicion],
) -> list[crash_suspicions.CrashedAttempt]:
    """Return the newest evidence of each suspicion, then the news.

    Of these, attempts come first that share a suspect with a crash of another
    engine: a busy engine loses many requests that met it by chance.
    """
    evidence = [
        attempt
        for suspicion in suspicions
        for attempt in _newest(suspicion.attempts, _MAX_SENT_PER_SUSPICION)
    ]
    counts = _crash_counts(attempts)
    news = sorted(
        attempts,
        key=lambda each: (counts[each.key] > 1, each.changed_ms),
        reverse=True,
    )
    by_key = {each.key: each for each in (*evidence, *news)}
    return list(by_key.values())


def _crash_counts(
    attempts: Collection[crash_suspicions.CrashedAttempt],
) -> dict[tuple[int, int], int]:
    """Return by attempt in how many crashes one of its new suspects was."""
    engines: dict[tuple[str, str], set[str]] = {}
    for attempt in attempts:
        for suspect in attempt.new_suspects:
            key = (attempt.service, suspect)
            engines.setdefault(key, set()).add(attempt.engine)
    return {
        each.key: max(
            (len(engines[each.service, name]) for name in each.new_suspects),
            default=0,
        )
        for each in attempts
    }


def _repeated(
    attempts: list[crash_suspicions.CrashedAttempt], count: int
) -> list[crash_suspicions.CrashedAttempt]:
    """Return the attempts whose suspects were in most crashes, then the newest.

    A busy engine loses more requests in one crash than are kept.
    """
    if len(attempts) <= count:
        return attempts
    counts = _crash_counts(attempts)
    ranked = sorted(
        attempts,
        key=lambda each: (counts[each.key], each.crashed_ms),
        reverse=True,
    )
    return ranked[:count]


def _newest(
    attempts: Iterable[crash_suspicions.CrashedAttempt], count: int
) -> list[crash_suspicions.CrashedAttempt]:
    ranked = sorted(attempts, key=lambda each: each.crashed_ms, reverse=True)
    return ranked[:count]
