"""The events of one attempt, in the form that the entry receives."""

from __future__ import annotations

import attrs

from yuccarouter.admission import counters, ports
from yuccarouter_common import refusals
from yuccarouter_common.proto import router_pb2


@attrs.define
class Events:
    """Writes the events of one attempt and numbers its chunks."""

    attempt_id: str
    write: ports.Write
    _sequence: int = 0

    async def accepted(self, queued_ms: int) -> None:
        """Say that the request is being sent to the endpoint."""
        accepted = router_pb2.Accepted(queued_ms=queued_ms)
        await self._send(router_pb2.RunEvent(accepted=accepted))

    async def refused(self, refusal: refusals.RefusalError) -> None:
        """Say that the request has not run."""
        refused = router_pb2.Refused(
            code=refusal.code,
            message=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
        )
        counters.ATTEMPTS.labels(refusal.code).inc()
        await self._send(router_pb2.RunEvent(refused=refused))

    async def chunk(self, payload: bytes) -> None:
        """Pass on a part of the answer."""
        chunk = router_pb2.Chunk(sequence=self._sequence, data=payload)
        self._sequence += 1
        await self._send(router_pb2.RunEvent(chunk=chunk))

    async def done(self, done: router_pb2.Done) -> None:
        """Say that the answer is complete."""
        counters.ATTEMPTS.labels('done').inc()
        await self._send(router_pb2.RunEvent(done=done))

    async def failed(self, code: str, message: str) -> None:
        """Say that the attempt has broken and may have run."""
        failed = router_pb2.Failed(
            code=code, message=message, outcome=refusals.UNKNOWN
        )
        counters.ATTEMPTS.labels(code).inc()
        await self._send(router_pb2.RunEvent(failed=failed))

    async def _send(self, event: router_pb2.RunEvent) -> None:
        event.attempt_id = self.attempt_id
        await self.write(event)
