"""Client connections that pass on one answer, and nothing that follows it."""

from __future__ import annotations

import asyncio
import functools
import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import aiohttp
import attrs
from aiohttp import client_proto, hdrs, http_exceptions, streams

from yuccarouter import answer_ends, held_fields
from yuccarouter_common import errors

if TYPE_CHECKING:
    from aiohttp.http_parser import RawResponseMessage

# Limit on the bytes before an answer's body, interim answers included, and on
# the memory that one head takes while it is parsed.
MAX_HEAD_BYTES: Final = 524_288
# Limit on interim answers, and on blank lines in place of heads: each of them
# costs time. An endpoint sends one or two of them.
MAX_INTERIM_HEADS: Final = 64
# Limit on the bytes in sequence that carry nothing of a body: chunk sizes,
# their extensions and trailers. A sound answer has a few dozen.
MAX_FRAMING_BYTES: Final = 16_384
# What is received on one connection in a turn of the event loop, so that a
# connection on which much arrives doesn't delay the others.
_MAX_RECEIVED_BYTES: Final = 16_384
_HEAD_END: Final = re.compile(rb'\r?\n\r?\n')
# No header's value holds one; it starts another answer.
_STATUS_LINE: Final = re.compile(rb'HTTP/\d\.\d [1-5]\d\d')
_HEAD_ENDS: Final = (b'\n\n', b'\n\r\n')
# Length of the longest delimiter, less one: it may be split between two reads.
_HEAD_END_OVERLAP: Final = 3
_EVENT_STREAM: Final = 'text/event-stream'
_MIN_FINAL_STATUS: Final = 200
_SWITCHING_PROTOCOLS: Final = 101


@attrs.frozen
class Surplus:
    """Bytes that came on a connection after an answer, or within one.

    ``has_length`` says whether the answer had a length or chunks, and ``what``
    is ``answer``, ``bytes``, ``malformed`` or ``unknown``.
    """

    address: str
    has_length: bool
    what: str


class EndlessAnswerError(errors.RouterError, aiohttp.ClientPayloadError):
    """What an answer has beside its body exceeds a limit."""

    code = 'endless_answer'


# Ends an answer, whose reader then gets the error.
EndAnswer = Callable[[BaseException], None]
# Called with the bytes that a connection holds of an answer beside its body.
RecordHeld = Callable[[int, EndAnswer], None]

# Returns what finds the end of an event stream that does not state it, or
# ``None`` if its reader does.
FindStreamEnd = Callable[[], answer_ends.AnswerEnd | None]


def _ignore_held(held_bytes: int, end: EndAnswer) -> None:
    """Count nothing."""


def set_up(
    connector: aiohttp.TCPConnector,
    find_stream_end: FindStreamEnd,
    on_surplus: Callable[[Surplus], None],
    on_held: RecordHeld = _ignore_held,
) -> None:
    """Let a connector pass on one answer for each of its connections.

    The connector must close a connection after its first request.
    ``on_surplus`` is called once for a connection on which more came, and
    ``on_held`` whenever a connection holds more of a head or trailer.
    """
    factory = functools.partial(
        _Connection,
        loop=asyncio.get_running_loop(),
        find_stream_end=find_stream_end,
        on_surplus=on_surplus,
        on_held=on_held,
    )
    # aiohttp has no public way to set the class of its connections.
    connector._factory = factory  # type: ignore[assignment]  # noqa: WPS437


class _Connection(client_proto.ResponseHandler):
    """Passes on one answer, and nothing that follows it.

    A connection sends one request, so that all bytes after the end of its
    answer belong to none. Each head is parsed apart from what was received
    together with it: bytes that are no answer then fail the parser only after
    the answer before them was passed on. An answer without a length ends where
    another one starts. aiohttp also takes it as complete if its connection is
    reset, and accepts any number of interim answers, and trailers of any
    length.
    """

    _parse = client_proto.ResponseHandler.data_received

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        find_stream_end: FindStreamEnd,
        on_surplus: Callable[[Surplus], None],
        on_held: RecordHeld,
    ) -> None:
        super().__init__(loop)
        self._find_stream_end = find_stream_end
        self._on_surplus = on_surplus
        self._on_held = on_held
        self._head = bytearray()
        self._head_bytes = 0
        self._interim_heads = 0
        self._body: streams.StreamReader | None = None
        self._answer_end: answer_ends.AnswerEnd | None = None
        self._has_surplus = False
        self._head_fields = held_fields.HeldFields()
        # Since the last bytes of the body, of which ``_body_bytes`` came.
        self._framing_fields = held_fields.HeldFields()
        self._framing_bytes = 0
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit what is received at a time."""
        super().connection_made(transport)
        # The event loop has no public way to set the size of its reads.
        transport.max_size = _MAX_RECEIVED_BYTES  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        """Process received bytes; abort if the head is too long."""
        # Without data, aiohttp resumes its parser. What was received before
        # the request is passed to this method again.
        if not data or (self._parser is None and self._body is None):
            super().data_received(data)
            return
        position = 0
        while position < len(data) and self._body is None:
            head_end = self._find_head_end(data, position)
            if not self._receive_head(data[position:head_end]):
                return
            position = head_end
        if position < len(data) and self._body is not None:
            self._receive_body(data[position:], self._body)

    def feed_data(
        self,
        message: tuple[RawResponseMessage, streams.StreamReader],
        size: int = 0,
    ) -> None:
        """Pass on the heads up to that of the first final answer."""
        if self._body is not None:
            self._record_surplus('answer')
            return
        head, body = message
        if not _is_interim(head.code):
            self._body = body
            self._answer_end = self._end_of(head, body)
        super().feed_data(message, size)

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException | None = None
    ) -> None:
        """Report an error, unless the whole answer was passed on before it."""
        if self._body is not None and self._body.is_eof():
            # The end of the connection is reported as an error as well. The
            # message quotes what was received, which is not for the log.
            if isinstance(exc, http_exceptions.HttpProcessingError):
                self._record_surplus('malformed')
            self.force_close()
        elif exc_cause is None:
            super().set_exception(exc)
        else:
            super().set_exception(exc, exc_cause)

    def connection_lost(self, exc: BaseException | None) -> None:
        body = self._body
        has_failed = body is not None and body.exception() is not None
        if body is not None and not (body.is_eof() or has_failed):
            # Without a transport, this side has closed the connection.
            if exc is not None or self.transport is None:
                body.set_exception(
                    aiohttp.ClientPayloadError(
                        'connection was lost before the end of the answer'
                    )
                )
            elif self._answer_end is not None:
                self._pass_on(self._answer_end.close(), body)
        # Errors of the answer refer to this connection, and may be kept.
        self._answer_end = None
        self._head.clear()
        super().connection_lost(exc)

    def _find_head_end(self, data: bytes, position: int) -> int:
        """Return where the head ends, the end of ``data`` if it goes on."""
        tail = bytes(self._head[-_HEAD_END_OVERLAP:])
        following = data[position : position + _HEAD_END_OVERLAP]
        split = _HEAD_END.search(tail + following) if tail else None
        if split is not None:
            return position + split.end() - len(tail)
        match = _HEAD_END.search(data, position)
        return len(data) if match is None else match.end()

    def _receive_head(self, part: bytes) -> bool:
        """Parse a part of a head; return whether the connection goes on."""
        self._head_bytes += len(part)
        if self._head_bytes > MAX_HEAD_BYTES:
            return self._reject_head(f'exceeds {MAX_HEAD_BYTES} bytes')
        if self._interim_heads > MAX_INTERIM_HEADS:
            return self._reject_head('follows too many interim answers')
        self._head += part
        self._head_fields.add(part)
        if self._head_fields.held_bytes > MAX_HEAD_BYTES:
            return self._reject_head(f'takes over {MAX_HEAD_BYTES} bytes')
        is_complete = self._head.endswith(_HEAD_ENDS)
        if is_complete and _STATUS_LINE.search(self._head.lstrip(), 1):
            return self._reject_head('goes on with another answer')
        self._parse(part)
        if is_complete:
            self._head.clear()
        if self._body is None and is_complete:
            self._interim_heads += 1
            self._head_fields = held_fields.HeldFields()
        if self.exception() is None:
            self._record_held()
        # Without a transport, the answer has just been ended.
        return self.exception() is None and self.transport is not None

    def _reject_head(self, reason: str) -> bool:
        """End the connection; return that it does not go on."""
        self._end(EndlessAnswerError(f'answer head {reason}'))
        return False

    def _end(self, error: BaseException) -> None:
        """Close the connection; who reads its answer gets the error."""
        # Aborting would remove the exception, and reading end without one.
        self.abort()
        # Its memory must not wait for the reader.
        self._parser = None
        self._head.clear()
        if self._body is None:
            self.set_exception(error)
        elif not self._body.is_eof():
            self._body.set_exception(error)

    def _record_held(self) -> None:
        self._on_held(
            self._head_fields.held_bytes + self._framing_fields.held_bytes,
            self._end,
        )

    def _receive_body(self, data: bytes, body: streams.StreamReader) -> None:
        if body.is_eof():
            self._record_surplus('bytes')
        elif self._answer_end is None:
            self._parse(data)
            self._limit_framing(data, body)
        else:
            self._pass_on(self._answer_end.feed(data), body)

    def _limit_framing(self, data: bytes, body: streams.StreamReader) -> None:
        """Limit what comes without a part of the body.

        The parser keeps all trailers until their end.
        """
        if body.is_eof() or body.total_bytes > self._body_bytes:
            self._body_bytes = body.total_bytes
            self._framing_bytes = 0
            self._framing_fields = held_fields.HeldFields()
            return
        self._framing_bytes += len(data)
        self._framing_fields.add(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._end(
                EndlessAnswerError(
                    f'over {MAX_FRAMING_BYTES} bytes carry nothing of the body'
                )
            )
        else:
            self._record_held()

    def _pass_on(self, data: bytes, body: streams.StreamReader) -> None:
        """Pass on a part of an answer without a length, and end it if due."""
        if data:
            self._parse(data)
        if self._answer_end is None or self._parser is None:
            return
        if self._answer_end.end is answer_ends.End.WHOLE:
            self._record_surplus('answer')
            self._parser.feed_eof()
            self._payload = None
        elif self._answer_end.end is answer_ends.End.UNKNOWN:
            self._record_surplus('unknown')
            body.set_exception(
                aiohttp.ClientPayloadError(
                    'other bytes follow, or are within, an answer without a'
                    ' length'
                )
            )
            self.force_close()

    def _end_of(
        self, head: RawResponseMessage, body: streams.StreamReader
    ) -> answer_ends.AnswerEnd | None:
        """Return what finds the end of an answer that does not state it."""
        has_body = not self._skip_payload and body is not streams.EMPTY_PAYLOAD
        has_length = head.chunked or hdrs.CONTENT_LENGTH in head.headers
        if has_length or not has_body:
            return None
        content_type = head.headers.get(hdrs.CONTENT_TYPE, '')
        if content_type.partition(';')[0].strip().lower() == _EVENT_STREAM:
            return self._find_stream_end()
        return answer_ends.BodyEnd(bytes(self._head))

    def _record_surplus(self, what: str) -> None:
        """Report once that bytes follow the answer."""
        if self._has_surplus:
            return
        self._has_surplus = True
        address = self.transport and self.transport.get_extra_info('peername')
        self._on_surplus(
            Surplus(
                address=':'.join(str(part) for part in address or ()),
                has_length=self._answer_end is None,
                what=what,
            )
        )


def _is_interim(status: int) -> bool:
    """Return whether the final answer is still to come."""
    return status < _MIN_FINAL_STATUS and status != _SWITCHING_PROTOCOLS
