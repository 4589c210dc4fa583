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

from yuccarouter import answer_ends

if TYPE_CHECKING:
    from aiohttp.http_parser import RawResponseMessage

# Limit on the bytes before an answer's body, interim answers included.
MAX_HEAD_BYTES: Final = 524_288
# Limit on interim answers, and on blank lines in place of heads: each of them
# costs time. An endpoint sends one or two of them.
MAX_INTERIM_HEADS: Final = 64
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


# Returns what finds the end of an event stream that does not state it, or
# ``None`` if its reader does.
FindStreamEnd = Callable[[], answer_ends.AnswerEnd | None]


def set_up(
    connector: aiohttp.TCPConnector,
    find_stream_end: FindStreamEnd,
    on_surplus: Callable[[Surplus], None],
) -> None:
    """Let a connector pass on one answer for each of its connections.

    The connector must close a connection after its first request.
    ``on_surplus`` is called once for a connection on which more came.
    """
    factory = functools.partial(
        _Connection,
        loop=asyncio.get_running_loop(),
        find_stream_end=find_stream_end,
        on_surplus=on_surplus,
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
    reset, and accepts any number of interim answers.
    """

    _parse = client_proto.ResponseHandler.data_received

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        find_stream_end: FindStreamEnd,
        on_surplus: Callable[[Surplus], None],
    ) -> None:
        super().__init__(loop)
        self._find_stream_end = find_stream_end
        self._on_surplus = on_surplus
        self._head = bytearray()
        self._head_bytes = 0
        self._interim_heads = 0
        self._body: streams.StreamReader | None = None
        self._answer_end: answer_ends.AnswerEnd | None = None
        self._has_surplus = False

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
        if body is not None and not body.is_eof():
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
        is_complete = self._head.endswith(_HEAD_ENDS)
        if is_complete and _STATUS_LINE.search(self._head.lstrip(), 1):
            return self._reject_head('goes on with another answer')
        self._parse(part)
        if self._body is None and is_complete:
            self._head.clear()
            self._interim_heads += 1
        return self.exception() is None

    def _reject_head(self, reason: str) -> bool:
        """End the connection; return that it does not go on."""
        # Aborting would remove the exception, and reading end without one.
        self.abort()
        self.set_exception(aiohttp.ClientPayloadError(f'answer head {reason}'))
        return False

    def _receive_body(self, data: bytes, body: streams.StreamReader) -> None:
        if body.is_eof():
            self._record_surplus('bytes')
        elif self._answer_end is None:
            self._parse(data)
        else:
            self._pass_on(self._answer_end.feed(data), body)

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
