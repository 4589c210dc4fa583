"""Callers' connections, and which of them a stop may close."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import eliot
from aiohttp import http_parser, streams, web, web_protocol

from yuccarouter.gateway import read_turns

if TYPE_CHECKING:
    import asyncio

# A request may still be on its way on a connection on which something arrived
# less than this time ago. TCP sends a lost packet again after 0.2 s.
_QUIET_S: Final = 0.4


# What is received on one connection in a turn of the event loop, and held of a
# request behind others on its connection.
_MAX_RECEIVED_BYTES: Final = 16_384
# Requests behind the one in progress whose heads are parsed.
_MAX_WAITING_REQUESTS: Final = 2
# Processing received bytes takes a fraction of this time, unless they are many
# small chunks or header lines.
_LONG_PROCESSING_S: Final = 0.001


class CallerConnection(web_protocol.RequestHandler):
    """A caller's connection that can tell whether it is idle.

    What it receives ahead of what it processes is bounded, and what takes long
    to process waits for its turn.
    """

    _received_s: float = 0
    _waits_for_turn: bool = False
    # Since the last turn. The bytes of one read may be processed in parts.
    _processing_s: float = 0
    # Since the last request, or the last bytes of its body.
    _field_bytes: int = 0
    _last_body: streams.StreamReader = streams.EMPTY_PAYLOAD
    _body_bytes: int = 0

    def __init__(
        self, manager: web.Server, turns: read_turns.ReadTurns, **options: Any
    ) -> None:
        super().__init__(manager, **options)
        self._turns = turns
        # aiohttp has no public way to set how many requests are parsed ahead.
        self._max_msg_queue_size = _MAX_WAITING_REQUESTS
        self._msg_queue_resume_size = _MAX_WAITING_REQUESTS // 2
        self._parser = http_parser.HttpRequestParser(
            self,
            self._loop,
            _MAX_RECEIVED_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            max_msg_queue_size=_MAX_WAITING_REQUESTS,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection, and limit what is received at a time."""
        self._received_s = self._loop.time()
        super().connection_made(transport)
        # The event loop has no public way to set the size of its reads.
        transport.max_size = _MAX_RECEIVED_BYTES  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        began_s = self._loop.time()
        self._received_s = began_s
        requests = self._request_count
        super().data_received(data)
        self._limit_fields(len(data), self._request_count - requests)
        self._processing_s += self._loop.time() - began_s
        if self._processing_s >= _LONG_PROCESSING_S:
            self._wait_for_turn()

    def _limit_fields(self, received_bytes: int, requests: int) -> None:
        """Take no more of a head or trailer that is too long.

        The parser limits each line and their number. Requests before it are
        still answered, and the connection is closed then.
        """
        if requests:
            self._last_body = self._messages[-1][1]
            self._body_bytes = 0
        body_bytes = self._last_body.total_bytes
        if requests or body_bytes > self._body_bytes:
            self._field_bytes = 0
            self._body_bytes = body_bytes
            return
        self._field_bytes += received_bytes
        limit_bytes = self.max_line_size + self.max_field_size
        if self._field_bytes > limit_bytes and not self._close:
            eliot.log_message('head_too_long', received_bytes=self._field_bytes)
            self.close()
            if self.transport is not None and not self._has_request_before():
                self.transport.abort()

    def _has_request_before(self) -> bool:
        """Return whether a request is in progress whose body has ended."""
        current = self._current_request
        return current is not None and (
            self._last_body.is_eof() or current.content is not self._last_body
        )

    def _wait_for_turn(self) -> None:
        """Receive no more until this connection's turn comes."""
        if self._waits_for_turn or self.transport is None:
            return
        self._waits_for_turn = True
        self._pause_reading_for_buffer()
        self._turns.wait(self._take_turn)

    def _take_turn(self) -> None:
        self._waits_for_turn = False
        self._processing_s = 0
        if len(self._messages) < self._max_msg_queue_size:
            self._resume_reading_for_buffer()

    def is_idle(self) -> bool:
        """Return whether no request is in progress or about to arrive.

        The handler of a request begins a few steps of the event loop after
        the request was received; the connection is not idle meanwhile.
        """
        if self._waiter is None or self._waiter.done():
            return False
        return self._loop.time() - self._received_s >= _QUIET_S

    @property
    def has_waiting_requests(self) -> bool:
        """Whether requests were received behind the one in progress."""
        return bool(self._messages)


def close_after_last(
    request: web.BaseRequest, answer: web.StreamResponse
) -> None:
    """Let an answer close its connection unless other requests wait there.

    Requests that were received behind it would otherwise get no answer.
    """
    connection = request.protocol
    is_last = not (
        isinstance(connection, CallerConnection)
        and connection.has_waiting_requests
    )
    if is_last:
        answer.force_close()


class CallersServer(web.Server):
    """An HTTP server whose connections are ``CallerConnection``."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._turns = read_turns.ReadTurns()

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self, self._turns, loop=self._loop, **self._kwargs
        )

    def abort_connections(self) -> None:
        """Abort all connections, so that a partial answer is noticed."""
        for connection in self.connections:
            if connection.transport is not None:
                connection.transport.abort()

    def close_idle_connections(self) -> None:
        """Close the connections that wait for a request."""
        for connection in self.connections:
            if (
                isinstance(connection, CallerConnection)
                and connection.is_idle()
            ):
                connection.force_close()
