"""A server that sends given bytes, also those that no HTTP library sends."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator, Callable
from typing import Final

import attrs

_CONTENT_LENGTH: Final = 'content-length'
# Long enough that a client on the same machine has read what came before.
_LATE_S: Final = 0.06


class Timing(enum.StrEnum):
    """When a server sends its surplus bytes.

    ``NEXT`` is when it has received the next request of the same connection,
    before the answer to that request.
    """

    AT_ONCE = 'at_once'
    LATE = 'late'
    NEXT = 'next'


@attrs.frozen
class Request:
    """A request as it was received; the names of headers are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@attrs.define
class RawServer:
    """Answers requests with given bytes and sends surplus bytes after them.

    ``answer`` and ``surplus`` return the bytes for a request. With
    ``closes`` the connection ends after them, otherwise it stays open.
    ``surplus_sent`` is set when the surplus bytes of the last request are
    sent, and for ``NEXT`` when its answer is sent.
    """

    answer: Callable[[Request], bytes]
    surplus: Callable[[Request], bytes]
    timing: Timing = Timing.AT_ONCE
    closes: bool = False
    url: str = ''
    requests: list[Request] = attrs.field(factory=list)
    surplus_sent: asyncio.Event = attrs.field(factory=asyncio.Event)
    _connections: set[asyncio.Task[None]] = attrs.field(factory=set)

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection in a task of its own."""
        task = asyncio.create_task(self.serve(reader, writer))
        self._connections.add(task)

    async def stop(self) -> None:
        """End the connections that are open."""
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until the client closes it."""
        try:
            await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()
            self.surplus_sent.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        held = b''
        while True:
            request = await _read(reader)
            self.requests.append(request)
            self.surplus_sent.clear()
            held = await self._send(writer, request, held)
            self.surplus_sent.set()
            if self.closes:
                return

    async def _send(
        self, writer: asyncio.StreamWriter, request: Request, held: bytes
    ) -> bytes:
        """Return the bytes to send before the next answer."""
        answer = held + self.answer(request)
        surplus = self.surplus(request)
        if self.timing is Timing.AT_ONCE:
            writer.write(answer + surplus)
        else:
            writer.write(answer)
        if self.timing is Timing.LATE:
            await writer.drain()
            await asyncio.sleep(_LATE_S)
            writer.write(surplus)
        await writer.drain()
        return surplus if self.timing is Timing.NEXT else b''


@contextlib.asynccontextmanager
async def running(server: RawServer) -> AsyncIterator[RawServer]:
    """Serve at a free port of the loopback address."""
    listening = await asyncio.start_server(server.accept, '127.0.0.1', 0)
    port = listening.sockets[0].getsockname()[1]
    server.url = f'http://127.0.0.1:{port}'
    try:
        yield server
    finally:
        listening.close()
        await server.stop()


async def _read(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.removesuffix('\r\n\r\n').split('\r\n')
    method, path, _ = first.split(' ')
    pairs = (line.partition(':') for line in lines)
    headers = {name.lower(): text.strip() for name, _, text in pairs}
    size = int(headers.get(_CONTENT_LENGTH, '0'))
    return Request(method, path, headers, await reader.readexactly(size))


def framed(
    body: bytes, *, framing: str = 'length', status: str = '200 OK'
) -> bytes:
    """Return an answer with a length, in chunks or up to its connection's end.

    ``framing`` is ``length``, ``chunks`` or ``none``.
    """
    headers = {
        'length': f'Content-Length: {len(body)}\r\n',
        'chunks': 'Transfer-Encoding: chunked\r\n',
        'none': '',
    }
    head = (
        f'HTTP/1.1 {status}\r\nContent-Type: application/json\r\n'
        f'{headers[framing]}\r\n'
    )
    if framing == 'chunks':
        body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
    return head.encode() + body
