"""Finds the end of answers that have neither a length nor chunks.

Such an answer ends with its connection. A faulty endpoint may keep the
connection open and send more: the answer once more, an error, the answer to
another request, or bytes of no form. These must not pass for a part of it.
"""

from __future__ import annotations

import enum
import itertools
import re
from typing import Final, Protocol

import attrs

# Empty lines and comments in succession count as one: each line costs time.
_LINE: Final = re.compile(rb'(?::[^\n]*+\n|\r?\n)++|[^\n]*\n')
# Each match extends to the end of its line, so that searching a line that has
# many such starts takes linear time.
_STATUS_LINE: Final = re.compile(rb'HTTP/\d\.\d [1-5]\d\d(?:[ \r][^\n]*)?\n')
_HEADER_LINE: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\n]*\n")
# What ends so may go on with the rest of a status line or of a header line.
_STATUS_LINE_START: Final = re.compile(
    rb'(?:H|HT|HTT|HTTP|HTTP/|HTTP/\d|HTTP/\d\.|HTTP/\d\.\d|HTTP/\d\.\d '
    rb'|HTTP/\d\.\d [1-5]\d?|HTTP/\d\.\d [1-5]\d\d(?:[ \r][^\n]*)?)\Z'
)
# Searched first, as the pattern takes much longer.
_STATUS_LINE_PREFIX: Final = b'H'
# If a body ends so, it is taken for one that another answer cut short. Texts
# with other characters after a status rather mention one.
_CUT_STATUS_LINE: Final = re.compile(
    rb'HTTP/\d(?:\.|\.\d|\.\d '
    rb"|\.\d [1-5]\d?|\.\d [1-5]\d\d(?: [A-Za-z '-]*)?\r?)?\Z"
)
_HEADER_LINE_START: Final = re.compile(
    rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+(?::[^\n]*)?)?\r?"
)
_CONTROL_CHARACTER: Final = re.compile(rb'[\x00-\x08\x0b\x0c\x0e-\x1f]')
_EMPTY_LINE_ENDS: Final = (b'\n\n', b'\n\r\n')
_LINE_ENDS: Final = (b'\n', b'\r\n')
_IDLE_STARTS: Final = (b':', *_LINE_ENDS)
_EVENT_FIELDS: Final = frozenset((b'id', b'event', b'data', b'retry'))
# Many such buffers must fit into the memory of the smallest VM.
MAX_LINE_BYTES: Final = 1_048_576
MAX_REPEAT_BYTES: Final = 2_097_152


class End(enum.Enum):
    """How an answer ended.

    ``UNKNOWN`` means that other bytes follow, and that it can't be told
    whether the answer before them was whole.
    """

    OPEN = 'open'
    WHOLE = 'whole'
    UNKNOWN = 'unknown'


class AnswerEnd(Protocol):
    """Finds the end of one answer in what its connection receives."""

    end: End

    def feed(self, received: bytes) -> bytes:
        """Return the bytes that certainly belong to the answer."""

    def close(self) -> bytes:
        """Return the rest of the answer, whose connection ended in order."""


@attrs.define
class StreamEnd:
    """Finds the end of an event stream.

    Each line of an event is text, and is a comment or starts with a known
    field, which a status line never does. A status line after a complete event
    starts another answer, and an endpoint sends that only after the end of the
    first. Any other line may stand in place of a part of the stream, and so may
    a status line that no event precedes, as in a stream that is resumed.
    ``extra_fields`` are the fields that the platform's events have besides the
    standard ones.
    """

    extra_fields: frozenset[bytes] = frozenset()
    end: End = End.OPEN
    _is_in_event: bool = False
    _has_events: bool = False
    _incomplete: bytearray = attrs.field(factory=bytearray)

    def feed(self, received: bytes) -> bytes:
        """Return the complete lines that belong to the stream."""
        if self.end is not End.OPEN:
            return b''
        complete, newline, incomplete = received.rpartition(b'\n')
        lines: list[bytes] = []
        if newline:
            lines = _LINE.findall(
                b'%b%b\n' % (bytes(self._incomplete), complete)
            )
            self._incomplete.clear()
        self._incomplete += incomplete
        if len(self._incomplete) > MAX_LINE_BYTES:
            self.end = End.UNKNOWN
        accepted = list(itertools.takewhile(self._is_accepted, lines))
        return b''.join(accepted)

    def close(self) -> bytes:
        """Return the incomplete line within which the stream broke off."""
        return bytes(self._incomplete) if self.end is End.OPEN else b''

    def _is_accepted(self, line: bytes) -> bool:
        """Return whether a line belongs to the stream, else set ``end``."""
        if line in _LINE_ENDS or line.endswith(_EMPTY_LINE_ENDS):
            self._is_in_event = False
            if _CONTROL_CHARACTER.search(line):
                self.end = End.UNKNOWN
        elif self._is_event_line(line):
            self._is_in_event = True
            self._has_events |= not line.startswith(_IDLE_STARTS)
        elif self._is_after_event and _STATUS_LINE.fullmatch(line):
            self.end = End.WHOLE
        else:
            self.end = End.UNKNOWN
        return self.end is End.OPEN

    @property
    def _is_after_event(self) -> bool:
        return self._has_events and not self._is_in_event

    def _is_event_line(self, line: bytes) -> bool:
        if _CONTROL_CHARACTER.search(line):
            return False
        name = line.lstrip(b'\r\n').rstrip(b'\r\n').partition(b':')[0]
        return not name or name in _EVENT_FIELDS or name in self.extra_fields


@attrs.define
class BodyEnd:
    """Finds the end of a body of any content.

    A body may contain the head of an answer, so that one within it does not
    show where it ends. If the answer follows once more, byte by byte, the first
    one was whole, unless its body is empty: both may have broken off after
    their heads. ``head`` is the answer's own head.
    """

    head: bytes
    end: End = End.OPEN
    _passed: bytearray = attrs.field(factory=bytearray)
    # From what may be the status line of another answer on.
    _held: bytearray = attrs.field(factory=bytearray)
    # The held bytes are searched again only once they have doubled, so that the
    # time does not grow with the square of their number.
    _next_search_bytes: int = 0
    _second_head: bytes = b''

    def feed(self, received: bytes) -> bytes:
        """Return what precedes anything that may be another answer."""
        if self.end is not End.OPEN:
            return b''
        self._held += received
        passed = b''
        if len(self._held) >= self._next_search_bytes:
            passed = self._pass_on()
            self._next_search_bytes = 2 * len(self._held)
        if len(self._held) > MAX_REPEAT_BYTES:
            self.end = End.UNKNOWN
        return passed

    def close(self) -> bytes:
        """Return the rest of the body."""
        if self.end is not End.OPEN:
            return b''
        passed = self._pass_on()
        held = bytes(self._held)
        if self._second_head:
            is_repeated = held == self.head + self._passed
            is_whole = is_repeated and bool(self._passed)
            self.end = End.WHOLE if is_whole else End.UNKNOWN
            return passed
        if b'\n' not in held and _CUT_STATUS_LINE.search(held) is None:
            return passed + held
        self.end = End.UNKNOWN
        return b''

    def _pass_on(self) -> bytes:
        """Return the held bytes up to the first that may be another answer.

        The second head stays empty until its last line has arrived.
        """
        if self._second_head:
            return b''
        held = bytes(self._held)
        lines_end = held.rfind(b'\n') + 1
        first = held.find(_STATUS_LINE_PREFIX, lines_end)
        start = None
        if first >= 0:
            start = _STATUS_LINE_START.search(held, first)
        kept_from = len(held) if start is None else start.start()
        for match in _STATUS_LINE.finditer(held, 0, lines_end):
            head_end = _head_end(held, match.end())
            if head_end is not None:
                kept_from = match.start()
                self._second_head = held[kept_from:head_end]
                break
        passed = held[:kept_from]
        del self._held[:kept_from]
        # A longer body can't be compared: what follows it is bounded as well.
        if len(self._passed) <= MAX_REPEAT_BYTES:
            self._passed += passed
        return passed


def _head_end(received: bytes, position: int) -> int | None:
    """Return where the header lines from ``position`` on end.

    Returns 0 if they go on after what was received, and ``None`` if a line is
    no header.
    """
    while line_end := received.find(b'\n', position) + 1:
        line = received[position:line_end]
        if line in _LINE_ENDS:
            return line_end
        if _HEADER_LINE.fullmatch(line) is None:
            return None
        position = line_end
    return (
        None if _HEADER_LINE_START.fullmatch(received, position) is None else 0
    )
