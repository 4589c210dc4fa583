"""Evidence that a part of a prompt crashes each engine that answers it.

The daemons exchange the attempts whose engines crashed, and hold prompts that
contain the parts which explain the crashes:

    evidence.record_crash(attempt, now_ms=2000)
    evidence.record_answer('engine', ('aa', 'bb'), now_ms=2100)
    evidence.hold_ms('engine', ('aa', 'cc'), now_ms=2200)   # None or a time
"""

from __future__ import annotations

import collections
import contextlib
import math
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Any, Final

import attrs
import eliot

from yuccarouter.gateway import (
    crash_checks,
    crash_suspicions,
    dropped_attempts,
    metrics,
    senders,
)

# A single daemon tries a prompt first; with each such interval without result,
# twice as many may.
_TRIAL_INTERVAL_MS: Final = 10_000.0
_MAX_DOUBLINGS: Final = 8
_MAX_AGE_MS: Final = 1_800_000
# Time in which answers clear most parts of an attempt.
_CLEARING_TIME_MS: Final = 1000.0
# Attempts without suspects are kept for this time, so that peers learn of it.
_CLEARED_AGE_MS: Final = 10_000.0
_MAX_ATTEMPTS: Final = 64
_MAX_ATTEMPTS_PER_SUSPICION: Final = 8
_MAX_ANSWERED_PARTS: Final = 2048
# Bounds of a message, which must fit a datagram together with others.
_MAX_SENT_ATTEMPTS: Final = 12
_MAX_SENT_PER_SUSPICION: Final = 4
_MAX_SENT_PARTS: Final = 60
_MAX_PART_LENGTH: Final = 16
# Larger numbers can't be serialised.
_MAX_INTEGER: Final = 2**53

# The key, the engine and the service, the ages of the send and of the crash in
# milliseconds, and two lists of suspects: those never answered before, and the
# others.
Fields = tuple[
    tuple[int, int], tuple[str, str], tuple[int, int], tuple[list[str], ...]
]


# By service and part.
_Times = collections.OrderedDict[tuple[str, str], float]


@attrs.frozen(eq=False)
class WaitingPrompt:
    """A prompt that waits for its answer to start.

    ``withdraw`` closes its connection, so that the engine drops it.
    """

    service: str
    parts: Collection[str]
    withdraw: Callable[[], None]


@attrs.define
class CrashEvidence:
    """Crashed attempts of all daemons, as known to the daemon ``name``.

    ``others`` returns the sorted names of the other daemons.
    """

    name: str
    others: Callable[[], tuple[str, ...]]
    checks: crash_checks.CrashChecks = attrs.field(
        factory=crash_checks.CrashChecks
    )
    dropped: dropped_attempts.DroppedAttempts = attrs.field(
        factory=dropped_attempts.DroppedAttempts
    )
    _attempts: dict[tuple[int, int], crash_suspicions.CrashedAttempt] = (
        attrs.field(factory=dict)
    )
    _answered_ms: _Times = attrs.field(factory=collections.OrderedDict)
    _suspicions: list[crash_suspicions.Suspicion] = attrs.field(factory=list)
    _tried_ms: dict[frozenset[str], float] = attrs.field(factory=dict)
    _waiting: set[WaitingPrompt] = attrs.field(factory=set)

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
        known = self._attempts.setdefault(attempt.key, attrs.evolve(attempt))
        suspects = frozenset(
            part
            for part in known.suspects & attempt.suspects
            if self._last_answer_ms(attempt, part) <= attempt.crashed_ms
        )
        answered = known.answered | frozenset(
            part
            for part in attempt.suspects
            if part in attempt.answered
            or self._last_answer_ms(attempt, part) > -math.inf
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
        self, service: str, parts: Collection[str], now_ms: float
    ) -> None:
        """Record an answer that went on: its parts caused no earlier crash."""
        for part in parts:
            self._answered_ms[service, part] = now_ms
            self._answered_ms.move_to_end((service, part))
        while len(self._answered_ms) > _MAX_ANSWERED_PARTS:
            self._answered_ms.popitem(last=False)
        changed = [
            attempt
            for attempt in self._attempts.values()
            if attempt.service == service
            and not attempt.suspects.isdisjoint(parts)
        ]
        for attempt in changed:
            attempt.suspects -= frozenset(parts)
            attempt.changed_ms = now_ms
        if changed:
            self._update(now_ms)

    def may_send(
        self, service: str, parts: Collection[str], now_ms: float
    ) -> bool:
        """Return whether a prompt may be sent to an engine.

        A prompt that was held back for long enough is tried once more: only an
        answer shows that engines can answer it again. One try counts for all
        prompts with the same suspected parts.
        """
        suspicion = self._matching(service, parts)
        if suspicion is None:
            return True
        if not self._may_try(suspicion, now_ms):
            return False
        self._tried_ms[suspicion.parts] = now_ms
        eliot.log_message(
            'suspected_prompt_tried',
            service=service,
            parts=sorted(suspicion.parts),
            crashes=suspicion.crashes,
        )
        return True

    @contextlib.contextmanager
    def follow(self, waiting: WaitingPrompt) -> Iterator[None]:
        """Withdraw a prompt if it is held within the context.

        A part that was answered before is held on weaker grounds: the answers
        to waiting prompts may then release it.
        """
        self._waiting.add(waiting)
        try:
            yield
        finally:
            self._waiting.discard(waiting)

    def hold_ms(
        self, service: str, parts: Collection[str], now_ms: float
    ) -> float | None:
        """Return for how long a prompt is held back, ``None`` if it is not."""
        suspicion = self._matching(service, parts)
        if suspicion is None:
            return None
        return max(_TRIAL_INTERVAL_MS, suspicion.hold_until_ms() - now_ms)

    def message(self, now_ms: float) -> list[Fields]:
        """Return the most important attempts, for peers."""
        self._update(now_ms)
        message: list[Fields] = []
        part_count = 0
        for attempt in self._by_importance()[:_MAX_SENT_ATTEMPTS]:
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
        """
        self._update(now_ms)
        return sorted(
            (
                attempt
                for attempt in self._attempts.values()
                if attempt.suspects
                and now_ms - attempt.crashed_ms >= _CLEARING_TIME_MS
            ),
            key=lambda each: each.crashed_ms,
        )

    def _last_answer_ms(
        self, attempt: crash_suspicions.CrashedAttempt, part: str
    ) -> float:
        return self._answered_ms.get((attempt.service, part), -math.inf)

    def _matching(
        self, service: str, parts: Collection[str]
    ) -> crash_suspicions.Suspicion | None:
        """Return the suspicion against a prompt that is held back longest."""
        return max(
            (
                suspicion
                for suspicion in self._suspicions
                if suspicion.service == service
                and suspicion.parts.issubset(parts)
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

    def _by_importance(self) -> list[crash_suspicions.CrashedAttempt]:
        """Return the newest evidence of each suspicion, then the news."""
        evidence = [
            attempt
            for suspicion in self._suspicions
            for attempt in _newest(suspicion.attempts, _MAX_SENT_PER_SUSPICION)
        ]
        news = sorted(
            self._attempts.values(),
            key=lambda each: each.changed_ms,
            reverse=True,
        )
        by_key = {each.key: each for each in (*evidence, *news)}
        return list(by_key.values())

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
            for each in (*evidence[:_MAX_ATTEMPTS], *_newest(others, room))
        }
        self._report_changes(suspicions)
        self._suspicions = suspicions

    def _report_changes(
        self, suspicions: list[crash_suspicions.Suspicion]
    ) -> None:
        before = {(each.service, each.parts) for each in self._suspicions}
        after = {(each.service, each.parts) for each in suspicions}
        metrics.HELD_PROMPT_PARTS.set(len(after))
        for suspicion in suspicions:
            if (suspicion.service, suspicion.parts) not in before:
                eliot.log_message(
                    'prompts_held',
                    service=suspicion.service,
                    parts=sorted(suspicion.parts),
                    crashes=suspicion.crashes,
                )
                self._withdraw(suspicion)
        for service, parts in before - after:
            self._tried_ms.pop(parts, None)
            eliot.log_message(
                'prompts_released', service=service, parts=sorted(parts)
            )

    def _withdraw(self, suspicion: crash_suspicions.Suspicion) -> None:
        if suspicion.threshold is not crash_suspicions.NEW_PART:
            return
        for waiting in self._waiting:
            if waiting.service == suspicion.service and (
                suspicion.parts.issubset(waiting.parts)
            ):
                waiting.withdraw()


def encode_attempt(
    attempt: crash_suspicions.CrashedAttempt, now_ms: float
) -> Fields:
    """Return an attempt's fields for messages and records."""
    return (
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


def decode_attempt(
    fields: Any, now_ms: float
) -> crash_suspicions.CrashedAttempt:
    """Return an attempt; raises ``TypeError`` or ``ValueError``."""
    key, names, ages_ms, suspects = fields
    engine, service = names
    request, number = key
    sent_age_ms, crash_age_ms = ages_ms
    new, answered = suspects
    if not all(
        isinstance(each, int) and 0 <= each <= _MAX_INTEGER
        for each in (*key, *ages_ms)
    ):
        raise ValueError('an attempt needs four integers')
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
    )


def _newest(
    attempts: Iterable[crash_suspicions.CrashedAttempt], count: int
) -> list[crash_suspicions.CrashedAttempt]:
    ranked = sorted(attempts, key=lambda each: each.crashed_ms, reverse=True)
    return ranked[:count]
