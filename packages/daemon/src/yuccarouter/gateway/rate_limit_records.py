"""Stored copies of the rate limits that endpoints state.

A restarted daemon reads them before it serves callers, so that a limit outlasts
the restart of all daemons.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final

import attrs
import eliot
import orjson

from yuccarouter.gateway import ports, rate_limits
from yuccarouter_common import clocks, records
from yuccarouter_common.platform import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter.gateway import topics

_PREFIX: Final = 'rate_limit/'
_CHECK_INTERVAL_S: Final = 0.5
# Daemons write at staggered times, so that most read a record before writing.
_WRITE_STAGGER_MS: Final = 300.0
# An endpoint may change its limit with each answer.
_MIN_CHANGE_INTERVAL_MS: Final = 5000.0
# Records of endpoints that are not in use are removed after this time.
_ORPHAN_TIMEOUT_MS: Final = 20_000.0


@attrs.define
class RateLimitRecords:
    """Keeps the statements of ``limits`` and their records in step.

    ``topic`` is the replica of the shared state, and ``write_rank`` returns
    this daemon's place in the order of writers.
    """

    limits: rate_limits.RateLimits
    store: ports.Store
    topic: topics.Topic
    write_rank: Callable[[], int]
    _due_since_ms: dict[str, float] = attrs.field(factory=dict)
    _written_ms: dict[str, float] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Read and write records until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.read()
            await self.write()

    def read(self) -> None:
        """Merge the stored statements."""
        self.limits.merge(
            {
                endpoint: rate_limits.encode_statement(statement)
                for endpoint, statement in self._stored().items()
            },
            clocks.monotonic_ms(),
        )

    async def write(self) -> None:
        """Write the records that are due."""
        if self.topic.is_failing or not self.topic.is_loaded:
            return
        now_ms = clocks.monotonic_ms()
        wait_ms = self.write_rank() * _WRITE_STAGGER_MS
        changes = self._changes(now_ms)
        self._due_since_ms = {
            endpoint: self._due_since_ms.get(endpoint, now_ms)
            for endpoint in changes
        }
        due = [
            (f'{_PREFIX}{endpoint}', value)
            for endpoint, value in changes.items()
            if now_ms - self._due_since_ms[endpoint]
            >= wait_ms + _delay_ms(value)
        ]
        if not due:
            return
        try:
            await self.store.append(self.topic.name, due, None)
        except errors.PlatformError as fault:
            eliot.log_message('rate_limit_not_stored', code=fault.code)
            return
        for key, _ in due:
            self._written_ms[key.removeprefix(_PREFIX)] = now_ms

    def _changes(self, now_ms: float) -> dict[str, bytes]:
        """Return the values of records to write, empty ones to remove."""
        stored = self._stored()
        current = self.limits.statements()
        since_ms = now_ms - _MIN_CHANGE_INTERVAL_MS
        changes = {
            endpoint: orjson.dumps(rate_limits.encode_statement(statement))
            for endpoint, statement in current.items()
            if statement.is_newer_than(stored.get(endpoint))
            and (
                _starts_or_ends_limit(statement, stored.get(endpoint))
                or self._written_ms.get(endpoint, -math.inf) < since_ms
            )
        }
        changes.update(
            (endpoint, b'') for endpoint in stored if endpoint not in current
        )
        return changes

    def _stored(self) -> dict[str, rate_limits.Statement]:
        statements: dict[str, rate_limits.Statement] = {}
        for key, entry in self.topic.table.entries.items():
            if not key.startswith(_PREFIX) or not entry.value:
                continue
            try:
                statement = rate_limits.decode_statement(
                    records.loads(entry.value)
                )
            except (records.ShapeError, TypeError, ValueError) as fault:
                eliot.log_message('bad_rate_limit', key=key, reason=str(fault))
                continue
            statements[key.removeprefix(_PREFIX)] = statement
        return statements


def _starts_or_ends_limit(
    statement: rate_limits.Statement, stored: rate_limits.Statement | None
) -> bool:
    stored_per_s = stored.per_s if stored else None
    return (statement.per_s is None) != (stored_per_s is None)


def _delay_ms(value: bytes) -> float:
    """Return the delay of a write; an empty ``value`` removes a record."""
    return 0 if value else _ORPHAN_TIMEOUT_MS
