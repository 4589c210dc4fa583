"""Whole events of a stream, in order, across resumed attempts."""

from __future__ import annotations

import re
from typing import Final

import attrs

from yuccarouter_common import errors

_END: Final = re.compile(rb'\r?\n\r?\n')
_ID: Final = re.compile(rb'^id: *(\d+)', re.MULTILINE)
_DATA: Final = re.compile(rb'^data:', re.MULTILINE)
# Length of the longest end, less one: it may be cut by the border of a read.
_END_OVERLAP: Final = 3
# An event holds a few tokens; many such buffers must fit the smallest VM.
MAX_EVENT_BYTES: Final = 1_048_576


class OrderError(errors.RouterError):
    """An endpoint's stream leaves out events or repeats none of the known."""

    code = 'stream_out_of_order'


class EventTooLongError(errors.RouterError):
    """An event does not end within ``MAX_EVENT_BYTES``."""

    code = 'event_too_long'


@attrs.define
class EventBuffer:
    """Cuts a stream at the ends of its events and checks their ids.

    ``last_id`` is the id of the newest event that was passed on, ``count`` the
    number of those with an id, and ``data_count`` of those with data: comments
    show that a connection is open, not that a stream goes on. An endpoint may
    stop within an event; what is left of it is never passed on.
    """

    last_id: int | None = None
    count: int = 0
    data_count: int = 0
    _rest: bytearray = attrs.field(factory=bytearray)

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that ``chunk`` completes.

        Raises ``OrderError`` and ``EventTooLongError``. Only what is new is
        searched, so that the time grows with the bytes alone.
        """
        searched = max(0, len(self._rest) - _END_OVERLAP)
        self._rest += chunk
        start = 0
        passed: list[bytes] = []
        for end in _END.finditer(self._rest, searched):
            event = bytes(self._rest[start : end.end()])
            start = end.end()
            if self._is_next(event):
                passed.append(event)
        del self._rest[:start]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(f'{len(self._rest)} bytes without an end')
        return b''.join(passed)

    @property
    def is_clean(self) -> bool:
        """Whether the stream ended at the end of an event."""
        return not self._rest.strip()

    def restart(self) -> None:
        """Forget the event that was cut off, before the stream is resumed."""
        self._rest.clear()

    def _is_next(self, event: bytes) -> bool:
        if not self._is_in_order(event):
            return False
        self.data_count += _DATA.search(event) is not None
        return True

    def _is_in_order(self, event: bytes) -> bool:
        found = _ID.search(event)
        if found is None:
            return True
        number = int(found.group(1))
        if self.last_id is not None and number <= self.last_id:
            return False
        if self.last_id is not None and number != self.last_id + 1:
            raise OrderError(f'event {number} follows {self.last_id}')
        self.last_id = number
        self.count += 1
        return True
