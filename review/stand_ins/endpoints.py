"""Workers of the platform, as the users' pages describe them.

A worker runs a request only if it is the expected instance, answers with the
request's id and a seal, and stops work when its connection closes. ``answer``
is what a case changes: it gets the run and writes the answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Any

from stand_ins import deployment as deployments
from stand_ins import record

_NUMBERS = itertools.count(1)


class Run:
    """A request that a worker read: its headers, body and arrival."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request = headers.get('x-yuccarouter-request-id', '')


Answer = Callable[['Endpoint', Run, asyncio.StreamWriter], Awaitable[None]]


class Endpoint:
    """A worker that announces itself in the store by heartbeats."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        service: str,
        answer: Answer,
        *,
        slots: int = 64,
        zone: str = 'zone-a',
        version: str = 'v1',
    ) -> None:
        self.deployment = deployment
        self.log = deployment.log
        self.service = service
        self.answer = answer
        self.slots = slots
        self.zone = zone
        self.version = version
        self.name = f'i-{next(_NUMBERS):04d}'
        self.state = 'ready'
        self.running = 0
        self.port = 0
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        deployment.endpoints.append(self)

    async def start(self) -> None:
        """Listen and announce the worker."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.announce()
        self._heartbeats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """End the worker: its connections close."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def announce(self) -> None:
        """Write the worker's entry; the store accepts it at once."""
        self._sequence += 1
        self.deployment.store.write(
            'keyed.servers',
            self.name,
            {
                'service': self.service,
                'address': f'127.0.0.1:{self.port}',
                'zone': self.zone,
                'version': self.version,
                'slots': self.slots,
                'state': self.state,
                'coldLeftMs': 0,
                'sequence': self._sequence,
                'born': self._born,
            },
        )

    def head(self, run: Run, status: int, extra: str = '') -> bytes:
        """Return the head of an answer to a request that has run."""
        return (
            f'HTTP/1.1 {status} X\r\n'
            f'X-Yuccarouter-Request-Id: {run.request}\r\n'
            f'X-Yuccarouter-Response-Seal: {seal(run.request, self.name)}\r\n'
            f'X-Yuccarouter-Server-Load: {self.running},0,{self.slots}\r\n'
            f'{extra}\r\n'
        ).encode()

    def complete(self, run: Run, status: int, body: bytes) -> bytes:
        """Return a complete answer."""
        length = f'Content-Length: {len(body)}\r\n'
        return self.head(run, status, length) + body

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(deployments.HEARTBEAT_S)
            self.announce()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._serve_requests(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            run = await _read_request(reader)
            if run is None:
                return
            expected = run.headers.get('x-yuccarouter-expect-instance')
            if expected not in {None, self.name}:
                writer.write(self._refusal(run, 421))
                await writer.drain()
                continue
            if self.running >= self.slots:
                writer.write(self._refusal(run, 503))
                await writer.drain()
                continue
            await self._run(run, reader, writer)

    async def _run(
        self,
        run: Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.running += 1
        self.log.write(
            'run',
            request=run.request,
            worker=self.name,
            deadline_ms=run.headers.get('x-yuccarouter-deadline-ms'),
            target=run.target,
        )
        task = asyncio.ensure_future(self.answer(self, run, writer))
        left = asyncio.ensure_future(reader.read(1))
        outcome = 'ended'
        try:
            await asyncio.wait(
                (task, left), return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                outcome = 'connection_closed'
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await task
            left.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                if await left == b'':
                    outcome += '/closed'
        finally:
            self.running -= 1
            self.log.write(
                'run_ended',
                request=run.request,
                worker=self.name,
                outcome=outcome,
            )

    def _refusal(self, run: Run, status: int) -> bytes:
        return (
            f'HTTP/1.1 {status} X\r\n'
            f'X-Yuccarouter-Request-Id: {run.request}\r\n'
            'X-Yuccarouter-Not-Executed: 1\r\n'
            f'X-Yuccarouter-Server-Load: {self.running},0,{self.slots}\r\n'
            'Content-Length: 0\r\n\r\n'
        ).encode()


def seal(request: str, worker: str) -> str:
    """Return the seal of a worker's answer to a request."""
    return hashlib.sha256(f'{request}/{worker}'.encode()).hexdigest()[:16]


def event(request: str, number: int) -> bytes:
    """Return an event of a request's stream."""
    text = hashlib.sha256(f'{request}/{number}'.encode()).hexdigest()
    return f'id: {number}\ndata: {text}\n\n'.encode()


def chunk(data: bytes) -> bytes:
    """Return data as a chunk of a body."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def arrivals(log: record.Record, what: str) -> list[tuple[float, str, str]]:
    """Return time, worker and request of the recorded events of a kind."""
    return [
        (line['at_s'], line['worker'], line['request'])
        for line in log.lines
        if line['what'] == what
    ]


async def _read_request(reader: asyncio.StreamReader) -> Run | None:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            body += data[:-2]
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Run(method, target, headers, body)
