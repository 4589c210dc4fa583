"""Caution with requests that were lost in a single recent crash.

One crash doesn't show whether a request is its cause. For a while, such a
request is not sent where a second crash would leave its service without
engines, nor beside another copy of itself.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Final

from yuccarouter.gateway import (
    answer_times,
    crash_suspicions,
    crash_weights,
)

# Most engines are back after this time.
_CAUTION_MS: Final = 3500.0
_MIN_ENGINES_LEFT: Final = 2
# If more requests were lost in a crash, each of them is probably sound.
_MAX_LOST_REQUESTS: Final = 3


def remaining_ms(
    attempts: Iterable[crash_suspicions.CrashedAttempt],
    suspects: Collection[str],
    engine_count: int,
    now_ms: float,
    *,
    is_running: bool,
) -> float:
    """Return for how long a request with ``suspects`` is not sent, or 0.

    ``attempts`` and ``engine_count`` are those of its service, and
    ``is_running`` says whether another copy of it waits for an answer.
    """
    recent = [
        attempt
        for attempt in attempts
        if now_ms - attempt.crashed_ms < _CAUTION_MS
    ]
    crashed_ms = [
        attempt.crashed_ms
        for attempt in recent
        if attempt.repeated_request in suspects
        and _may_be_cause(attempt, recent)
    ]
    if not crashed_ms:
        return 0
    crashed = {attempt.engine for attempt in recent}
    if engine_count - len(crashed) >= _MIN_ENGINES_LEFT and not is_running:
        return 0
    return max(crashed_ms) + _CAUTION_MS - now_ms


def _may_be_cause(
    attempt: crash_suspicions.CrashedAttempt,
    recent: list[crash_suspicions.CrashedAttempt],
) -> bool:
    """Return whether a request may well have crashed its engine.

    It is unlikely if engines without it crashed at the same moment. An answer
    that went on past its start has shown that a second crash is not near.
    """
    if attempt.ran_ms >= answer_times.START_MS:
        return False
    if attempt.repeated_request in attempt.answered:
        return False
    if _lost_requests(attempt.engine, recent) > _MAX_LOST_REQUESTS:
        return False
    weights = crash_weights.weights(recent)
    return weights[attempt.service].of([attempt]) >= 1


def _lost_requests(
    engine: str, attempts: list[crash_suspicions.CrashedAttempt]
) -> int:
    """Return the number of different requests lost in an engine's crash."""
    return len(
        {each.repeated_request for each in attempts if each.engine == engine}
    )
