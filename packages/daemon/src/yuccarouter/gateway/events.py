"""Splits streams into complete events and checks their order."""

from __future__ import annotations

import re
from typing import Final

import attrs

from yuccarouter_common import errors

_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
# Empty lines and events that are comments. They are split off together, as each
# event costs time.
_IDLE_EVENTS: Final = re.compile(rb'(?:(?::[^\n]*+\n)*+\r?\n)++')
_ID: Final = re.compile(rb'^id: *(\d+)', re.MULTILINE)
_DATA: Final = re.compile(rb'^data:', re.MULTILINE)
# Length of the longest delimiter, less one: a delimiter may be split between
# two reads.
_END_OVERLAP: Final = 3
# Comments and empty lines between two events with data. A comment that keeps a
# connection open has a dozen bytes and comes each second at most.
MAX_IDLE_BYTES: Final = 16_384
# An event holds a few tokens. Many such buffers must fit into the memory of
# the smallest VM.
MAX_EVENT_BYTES: Final = 1_048_576


class OrderError(errors.RouterError):
    """An endpoint's stream skips events or ends within one."""

    code = 'stream_out_of_order'


class EventTooLongError(errors.RouterError):
    """An event does not end within ``MAX_EVENT_BYTES``."""

    code = 'event_too_long'


class NoProgressError(errors.RouterError):
    """More than ``MAX_IDLE_BYTES`` came without an event with data."""

    code = 'stream_without_progress'


# What a stream may violate.
ERRORS: Final = (OrderError, EventTooLongError, NoProgressError)


@attrs.define
class EventBuffer:
    """Splits a stream into events and checks that their ids are consecutive.

    ``last_id`` is the id of the last event that was passed on, ``count`` the
    number of events with an id, and ``data_count`` the number of events with
    data. Comments count as neither: they show that a connection is open, not
    that the stream makes progress. An incomplete event is never passed on.
    """

    last_id: int | None = None
    count: int = 0
    data_count: int = 0
    fault: errors.RouterError | None = None
    _incomplete: bytearray = attrs.field(factory=bytearray)
    _idle_bytes: int = 0

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that ``chunk`` completes.

        Events that were passed on before are dropped. Only new bytes are
        searched, so that the time is linear in the length of the stream.
        Raises one of ``ERRORS``, but returns the events before the fault first:
        they count as passed on.
        """
        self._raise_fault()
        search_from = max(0, len(self._incomplete) - _END_OVERLAP)
        self._incomplete += chunk
        passed: list[bytes] = []
        try:
            # Searching bytes without a line's end takes most of the time.
            if b'\n' in chunk:
                self._split(search_from, passed)
            self._check_length()
        except ERRORS as fault:
            self.fault = fault
        if not passed:
            self._raise_fault()
        return b''.join(passed)

    def _split(self, search_from: int, passed: list[bytes]) -> None:
        """Move the complete events that are new to ``passed``."""
        start = 0
        while end := self._event_end(start, search_from):
            event = bytes(self._incomplete[start:end])
            start = end
            if self._accept(event):
                passed.append(event)
            if self._idle_bytes > MAX_IDLE_BYTES:
                raise NoProgressError(f'{self._idle_bytes} bytes of no event')
        del self._incomplete[:start]

    def _event_end(self, start: int, search_from: int) -> int:
        """Return where the event from ``start`` on ends, 0 if it goes on."""
        end = _IDLE_EVENTS.match(self._incomplete, start)
        if end is None:
            end = _EVENT_END.search(self._incomplete, max(start, search_from))
        return 0 if end is None else end.end()

    def _check_length(self) -> None:
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f'event of {len(self._incomplete)} bytes is incomplete'
            )

    def _raise_fault(self) -> None:
        if self.fault is not None:
            raise self.fault

    @property
    def is_at_event_end(self) -> bool:
        """Whether the stream ended at the end of an event."""
        return self.fault is None and not self._incomplete.strip()

    @property
    def incomplete_bytes(self) -> int:
        """The length of the incomplete event."""
        return len(self._incomplete)

    def discard_incomplete(self) -> None:
        """Discard an incomplete event before the stream is resumed."""
        self._incomplete.clear()
        self._idle_bytes = 0
        self.fault = None

    def _accept(self, event: bytes) -> bool:
        """Count an event and return whether it is passed on."""
        if not self._check_id(event):
            return False
        if _DATA.search(event) is None:
            self._idle_bytes += len(event)
        else:
            self._idle_bytes = 0
            self.data_count += 1
        return True

    def _check_id(self, event: bytes) -> bool:
        """Return whether an event is new; raises ``OrderError``."""
        match = _ID.search(event)
        if match is None:
            return True
        number = int(match.group(1))
        if self.last_id is not None and number <= self.last_id:
            return False
        if self.last_id is not None and number != self.last_id + 1:
            raise OrderError(f'event {number} follows event {self.last_id}')
        self.last_id = number
        self.count += 1
        return True
