"""Stored copy of the evidence that parts of prompts crash engines.

A restarted daemon reads it before it serves callers, so that the evidence
outlasts the restart of all daemons.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any, Final

import attrs
import eliot
import orjson

from yuccarouter.gateway import crash_evidence, crash_suspicions
from yuccarouter_common import clocks, records
from yuccarouter_common.platform import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter.gateway import ports, topics

KEY: Final = 'crashed_attempts'
_CHECK_INTERVAL_S: Final = 0.3
# Daemons write at staggered times, so that most read a record before writing.
_WRITE_STAGGER_MS: Final = 300.0
_MIN_WRITE_INTERVAL_MS: Final = 1000.0
_MAX_STORED_ATTEMPTS: Final = 24


@attrs.define
class CrashRecords:
    """Keeps ``evidence`` and its record in step.

    ``topic`` is the replica of the shared state, and ``write_rank`` returns
    this daemon's place in the order of writers.
    """

    evidence: crash_evidence.CrashEvidence
    store: ports.Store
    topic: topics.Topic
    write_rank: Callable[[], int]
    _read_value: bytes = b''
    _stored: list[crash_suspicions.CrashedAttempt] = attrs.field(factory=list)
    _due_since_ms: float = math.inf
    _written_ms: float = -math.inf

    async def run(self) -> None:
        """Read and write the record until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.read()
            await self.write()

    def read(self) -> None:
        """Record the stored attempts if the record has changed."""
        entry = self.topic.table.entries.get(KEY)
        value = entry.value if entry else b''
        if value == self._read_value:
            return
        self._read_value = value
        now_ms = clocks.monotonic_ms()
        try:
            self._stored = _decode(value, now_ms)
        except (records.ShapeError, TypeError, ValueError) as fault:
            eliot.log_message('bad_crashed_attempts', reason=str(fault))
            self._stored = []
        for attempt in self._stored:
            self.evidence.record_crash(attempt, now_ms)

    async def write(self) -> None:
        """Write the record if it is out of date."""
        if self.topic.is_failing or not self.topic.is_loaded:
            return
        now_ms = clocks.monotonic_ms()
        attempts = self.evidence.unexplained_by_answers(now_ms)
        attempts = attempts[-_MAX_STORED_ATTEMPTS:]
        if _suspects(attempts) == _suspects(self._stored):
            self._due_since_ms = math.inf
            return
        self._due_since_ms = min(self._due_since_ms, now_ms)
        due_ms = self._due_since_ms + self.write_rank() * _WRITE_STAGGER_MS
        if now_ms < max(due_ms, self._written_ms + _MIN_WRITE_INTERVAL_MS):
            return
        self._written_ms = now_ms
        value = _encode(attempts, now_ms)
        try:
            await self.store.append(self.topic.name, [(KEY, value)], None)
        except errors.PlatformError as fault:
            eliot.log_message('crashed_attempts_not_stored', code=fault.code)


def _encode(
    attempts: list[crash_suspicions.CrashedAttempt], now_ms: float
) -> bytes:
    """Return a record's value, empty to remove the record."""
    fields = [crash_evidence.encode_attempt(each, now_ms) for each in attempts]
    return orjson.dumps(_convert_times(fields)) if fields else b''


def _decode(
    value: bytes, now_ms: float
) -> list[crash_suspicions.CrashedAttempt]:
    return [
        crash_evidence.decode_attempt(fields, now_ms)
        for fields in _convert_times(records.loads(value or b'[]'))
    ]


def _convert_times(attempts: Any) -> list[Any]:
    """Convert ages to times of the wall clock, or such times to ages."""
    wall_ms = clocks.wall_ms()
    return [
        (key, names, [max(0, wall_ms - time) for time in times], *rest)
        for key, names, times, *rest in attempts
    ]


def _suspects(
    attempts: list[crash_suspicions.CrashedAttempt],
) -> dict[tuple[int, int], tuple[frozenset[str], frozenset[str]]]:
    """Return the suspects of each attempt, and those answered before."""
    return {
        each.key: (each.suspects, each.suspects & each.answered)
        for each in attempts
    }
