"""Reading of callers' requests within the memory of the process."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.gateway import process_memory, refusal_responses
from yuccarouter_common import refusals

if TYPE_CHECKING:
    from collections.abc import Iterator

    from aiohttp import web

_BODY_TIMEOUT_S: Final = 10.0
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
# Objects of a header line, beside its text. A head of legal size may consist of
# thousands of short lines.
_LINE_BYTES: Final = 500
# While a body is joined, and while it is sent.
_BODY_COPIES: Final = 2


@attrs.define
class HeldRequest:
    """A caller's request that counts in the memory of the process."""

    request: web.BaseRequest
    memory: process_memory.ProcessMemory
    holding: process_memory.Holding = attrs.field(init=False)
    is_ended: bool = False
    _timeout: asyncio.Timeout | None = None

    def end(self) -> None:
        """Stop reading, so that the request is refused."""
        self.is_ended = True
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def read(self) -> bytes:
        """Return the body; raises ``RefusalError``, as it has not run."""
        if self.memory.is_over_share(self.holding.owner):
            raise refusal_responses.out_of_memory()
        head_bytes = _LINE_BYTES * len(self.request.headers)
        self.memory.resize(self.holding, head_bytes)
        body = b''
        if self.request.can_read_body and not self.is_ended:
            body = await self._read_body(head_bytes)
        if self.is_ended:
            raise refusal_responses.out_of_memory()
        # From now on an endpoint may run it.
        self.memory.protect(self.holding)
        return body

    async def _read_body(self, head_bytes: int) -> bytes:
        request = self.request
        if request.headers.get('Expect', '').lower() == '100-continue':
            await request.writer.write(_CONTINUE)
        timeout = asyncio.timeout(_BODY_TIMEOUT_S)
        self._timeout = timeout
        try:
            async with timeout:
                return await self._read_pieces(head_bytes)
        except TimeoutError as fault:
            if self.is_ended:
                return b''
            raise refusals.RefusalError(
                'request_timeout', 'the body did not arrive in time'
            ) from fault

    async def _read_pieces(self, head_bytes: int) -> bytes:
        pieces: list[bytes] = []
        length = 0
        try:
            while piece := await self.request.content.readany():
                length += len(piece)
                if length > self.request.client_max_size:
                    raise refusals.RefusalError(
                        'body_too_large', 'the body is too large'
                    )
                pieces.append(piece)
                held_bytes = head_bytes + _BODY_COPIES * length
                self.memory.resize(self.holding, held_bytes)
            return b''.join(pieces)
        finally:
            # An error that is kept refers to this frame.
            pieces.clear()


@contextlib.contextmanager
def hold(
    memory: process_memory.ProcessMemory,
    request: web.BaseRequest,
    organisation: str,
) -> Iterator[HeldRequest]:
    """Count a request of an organisation within the context."""
    owner = process_memory.Owner('organisation', organisation)
    held = HeldRequest(request, memory)
    with memory.hold(owner, process_memory.STALLED_FIRST, held.end) as holding:
        held.holding = holding
        yield held
