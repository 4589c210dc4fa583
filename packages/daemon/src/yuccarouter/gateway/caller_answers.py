"""Whole answers that are written to callers, who may read them slowly."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, Final

from aiohttp import web

from yuccarouter.gateway import process_memory

if TYPE_CHECKING:
    from collections.abc import Iterator

# What is written at a time, and may wait for the caller as a second copy.
_PIECE_BYTES: Final = 65_536


class CallerAnswer(web.Response):
    """An answer that counts in the memory of the process while it is written.

    ``organisation`` is that of the caller, whose connection is closed if its
    answer has to be ended.
    """

    def __init__(
        self,
        memory: process_memory.ProcessMemory,
        organisation: str,
        **fields: Any,
    ) -> None:
        super().__init__(**fields)
        self._memory = memory
        self._owner = process_memory.Owner('organisation', organisation)

    async def write_eof(self, data: bytes = b'') -> None:
        """Write the body in pieces; raises ``ConnectionError``."""
        body = self._body
        if self._eof_sent or self._must_be_empty_body or not body:
            await super().write_eof(data)
            return
        # The connection keeps the response until its next one.
        self._body = None
        policy = process_memory.STALLED_FIRST
        head_bytes = sum(map(sys.getsizeof, self.headers.values()))
        with self._memory.hold(self._owner, policy, self._abort) as holding:
            for rest_bytes, piece in _pieces(body):
                held_bytes = head_bytes + rest_bytes + len(piece)
                self._memory.resize(holding, held_bytes)
                await self.write(piece)
            await web.StreamResponse.write_eof(self)

    def _abort(self) -> None:
        """Close the connection so that the caller sees that a part lacks."""
        if self._req is not None and self._req.transport is not None:
            self._req.transport.abort()


def _pieces(body: Any) -> Iterator[tuple[int, bytes]]:
    """Return the pieces of a body, each with the bytes from there on."""
    for start in range(0, len(body), _PIECE_BYTES):
        yield len(body) - start, body[start : start + _PIECE_BYTES]
