"""Whole events of a stream, in order, across resumed attempts."""

from __future__ import annotations

import re
from typing import Final

import attrs

from yuccarouter_common import errors

_END: Final = re.compile(rb'\r?\n\r?\n')
_ID: Final = re.compile(rb'^id: *(\d+)', re.MULTILINE)


class OrderError(errors.RouterError):
    """An endpoint's stream leaves out events or repeats none of the known."""

    code = 'stream_out_of_order'


@attrs.define
class EventBuffer:
    """Cuts a stream at the ends of its events and checks their ids.

    ``last_id`` is the id of the newest event that was passed on. An endpoint
    may stop within an event; what is left of it is never passed on.
    """

    last_id: int | None = None
    count: int = 0
    _rest: bytes = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that ``chunk`` completes; raises ``OrderError``."""
        data = self._rest + chunk
        start = 0
        passed: list[bytes] = []
        for end in _END.finditer(data):
            event = data[start : end.end()]
            start = end.end()
            if self._is_next(event):
                passed.append(event)
        self._rest = data[start:]
        return b''.join(passed)

    @property
    def is_clean(self) -> bool:
        """Whether the stream ended at the end of an event."""
        return not self._rest.strip()

    def restart(self) -> None:
        """Forget the event that was cut off, before the stream is resumed."""
        self._rest = b''

    def _is_next(self, event: bytes) -> bool:
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
