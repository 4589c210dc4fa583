"""Structured log lines, bounded in rate and never waited for."""

from __future__ import annotations

import asyncio
import collections
import logging
import os
import sys
from typing import Any, Final

import eliot
import orjson
import prometheus_client
from eliot import stdlib

# Lines a second that a process writes; more are counted as dropped.
_LINES_PER_S: Final = 300.0
_BURST_LINES: Final = 1200.0
# Bytes that wait for a reader of standard output.
_MAX_WAITING: Final = 1_048_576
_FLUSH_S: Final = 0.2
# Fields of the logging library that only relate its own tasks.
_LIBRARY_FIELDS: Final = ('task_uuid', 'task_level')

_DROPPED: Final = prometheus_client.Counter(
    'yuccarouter_log_lines_dropped', 'Log lines beyond the bound'
)


class LineLog:
    """Writes one JSON object a line to a descriptor that may block."""

    def __init__(self, name: str, descriptor: int | None = None) -> None:
        self._name = name
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._left = _BURST_LINES
        self._dropped = 0

    def write(self, message: dict[str, Any]) -> None:
        """Keep a message to be written, or count it as dropped."""
        if self._left < 1 or self._waiting_bytes > _MAX_WAITING:
            self._dropped += 1
            _DROPPED.inc()
            return
        self._left -= 1
        for field in _LIBRARY_FIELDS:
            message.pop(field, None)
        line = orjson.dumps(
            message, default=str, option=orjson.OPT_APPEND_NEWLINE
        )
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    async def run(self) -> None:
        """Write what waits, until cancelled."""
        while True:
            await asyncio.sleep(_FLUSH_S)
            self._left = min(_BURST_LINES, self._left + _LINES_PER_S * _FLUSH_S)
            if self._dropped and self._left >= 1:
                eliot.log_message('log_lines_dropped', count=self._dropped)
                self._dropped = 0
            self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor takes now."""
        if not self._waiting:
            return
        data = b''.join(self._waiting)
        self._waiting.clear()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        rest = data[written:]
        if rest:
            self._waiting.append(rest)
        self._waiting_bytes = len(rest)


def start(name: str) -> LineLog:
    """Send this process's log messages to standard output."""
    os.set_blocking(sys.stdout.fileno(), False)  # noqa: FBT003
    log = LineLog(name)
    eliot.add_destinations(log.write)
    # What libraries log comes out as lines of the same form.
    logging.getLogger().addHandler(stdlib.EliotHandler())
    return log
