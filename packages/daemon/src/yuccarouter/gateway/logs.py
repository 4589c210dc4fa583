"""Structured logging that is limited in rate and never blocks."""

from __future__ import annotations

import asyncio
import collections
import logging
import os
import sys
import threading
from typing import Any, Final

import eliot
import orjson
import prometheus_client
from eliot import stdlib

# Rate limit of a token bucket with one token for each line; lines beyond it
# are counted and dropped.
_MAX_LINES_PER_S: Final = 300.0
_BURST_LINES: Final = 1200.0
# Limit on the bytes that standard output has not accepted yet.
_MAX_BUFFERED_BYTES: Final = 1_048_576
_FLUSH_INTERVAL_S: Final = 0.2
# Fields that eliot adds to relate its own tasks.
_OMITTED_FIELDS: Final = ('task_uuid', 'task_level')

_DROPPED: Final = prometheus_client.Counter(
    'yuccarouter_log_lines_dropped', 'Log lines beyond the bound'
)


class LineLog:
    """Buffers log messages and writes them as lines of JSON.

    The descriptor should be non-blocking; a full one never stops the process.
    Messages may come from several threads.
    """

    def __init__(self, name: str, descriptor: int | None = None) -> None:
        self._name = name
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._tokens = _BURST_LINES
        self._dropped = 0
        self._lock = threading.Lock()

    def write(self, message: dict[str, Any]) -> None:
        """Buffer a message, or drop and count it beyond the limits."""
        if self._tokens < 1 or self._buffered_bytes > _MAX_BUFFERED_BYTES:
            self._dropped += 1
            _DROPPED.inc()
            return
        self._tokens -= 1
        for field in _OMITTED_FIELDS:
            message.pop(field, None)
        line = orjson.dumps(
            message, default=str, option=orjson.OPT_APPEND_NEWLINE
        )
        with self._lock:
            self._buffer.append(line)
            self._buffered_bytes += len(line)

    async def run(self) -> None:
        """Write buffered lines at intervals, until cancelled."""
        while True:
            await asyncio.sleep(_FLUSH_INTERVAL_S)
            self._tokens = min(
                _BURST_LINES,
                self._tokens + _MAX_LINES_PER_S * _FLUSH_INTERVAL_S,
            )
            if self._dropped and self._tokens >= 1:
                eliot.log_message('log_lines_dropped', count=self._dropped)
                self._dropped = 0
            self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        if not self._buffer:
            return
        with self._lock:
            data = b''.join(self._buffer)
            self._buffer.clear()
            self._buffered_bytes = 0
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        remainder = data[written:]
        if remainder:
            with self._lock:
                self._buffer.appendleft(remainder)
                self._buffered_bytes += len(remainder)


def start(name: str) -> LineLog:
    """Send this process's log messages to standard output."""
    os.set_blocking(sys.stdout.fileno(), False)  # noqa: FBT003
    log = LineLog(name)
    eliot.add_destinations(log.write)
    # Messages of libraries are written as lines of the same form.
    logging.getLogger().addHandler(stdlib.EliotHandler())
    return log
