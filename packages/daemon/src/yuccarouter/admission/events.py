"""The events of one attempt, in the form that the entry receives."""

from __future__ import annotations

import attrs

from yuccarouter.admission import counters, ports
from yuccarouter_common import refusals
from yuccarouter_common.proto import router_pb2


@attrs.define
class Events:
    """Writes the events of one attempt and numbers its chunks.

    ``may_combine`` says that the entry reads several events in one message.
    Each message costs both processes as much as several events in it, so
    events that the entry does not act on by themselves wait for the next one.
    """

    attempt_id: str
    write: ports.Write
    may_combine: bool = False
    _sequence: int = 0
    _held: list[router_pb2.RunEvent] = attrs.field(factory=list)

    async def accepted(self, queued_ms: int) -> None:
        """Say that the request is being sent to the endpoint."""
        accepted = router_pb2.Accepted(queued_ms=queued_ms)
        await self._send(router_pb2.RunEvent(accepted=accepted), may_wait=True)

    async def refused(self, refusal: refusals.RefusalError) -> None:
        """Say that the request has not run."""
        refused = router_pb2.Refused(
            code=refusal.code,
            message=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
        )
        counters.ATTEMPTS.labels(refusal.code).inc()
        await self._send(router_pb2.RunEvent(refused=refused))

    async def chunk(self, payload: bytes, *, is_last: bool = False) -> None:
        """Pass on a part of the answer; the last may wait for the end."""
        chunk = router_pb2.Chunk(sequence=self._sequence, data=payload)
        self._sequence += 1
        await self._send(router_pb2.RunEvent(chunk=chunk), may_wait=is_last)

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

    async def _send(
        self, event: router_pb2.RunEvent, *, may_wait: bool = False
    ) -> None:
        event.attempt_id = self.attempt_id
        self._held.append(event)
        if may_wait and self.may_combine:
            return
        first, *following = self._held
        self._held.clear()
        first.following.extend(following)
        await self.write(first)
