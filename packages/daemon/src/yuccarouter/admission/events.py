"""Events of an attempt, as they are sent to the entry."""

from __future__ import annotations

import attrs

from yuccarouter.admission import counters, ports
from yuccarouter_common import refusals
from yuccarouter_common.proto import router_pb2


@attrs.define
class EventWriter:
    """Writes the events of one attempt and numbers its chunks.

    ``may_combine`` says that the entry reads several events from one message.
    A message costs both processes as much as several events in it, so events
    that the entry does not act on alone are held and sent with the next one.
    """

    attempt_id: str
    write: ports.Write
    may_combine: bool = False
    _sequence: int = 0
    _held: list[router_pb2.RunEvent] = attrs.field(factory=list)

    async def send_accepted(self, queued_ms: int) -> None:
        """Send that the request is being sent to the endpoint."""
        accepted = router_pb2.Accepted(queued_ms=queued_ms)
        await self._send(router_pb2.RunEvent(accepted=accepted), may_hold=True)

    async def send_refused(self, refusal: refusals.RefusalError) -> None:
        """Send that the request has not run."""
        refused = router_pb2.Refused(
            code=refusal.code,
            message=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
        )
        counters.ATTEMPTS.labels(refusal.code).inc()
        await self._send(router_pb2.RunEvent(refused=refused))

    async def send_chunk(
        self, payload: bytes, *, is_last: bool = False
    ) -> None:
        """Send a part of the answer; the last may be held until ``done``."""
        chunk = router_pb2.Chunk(sequence=self._sequence, data=payload)
        self._sequence += 1
        await self._send(router_pb2.RunEvent(chunk=chunk), may_hold=is_last)

    async def send_done(self, done: router_pb2.Done) -> None:
        """Send that the answer is complete."""
        counters.ATTEMPTS.labels('done').inc()
        await self._send(router_pb2.RunEvent(done=done))

    async def send_failed(self, code: str, message: str) -> None:
        """Send that the attempt failed and may have run."""
        failed = router_pb2.Failed(
            code=code, message=message, outcome=refusals.UNKNOWN
        )
        counters.ATTEMPTS.labels(code).inc()
        await self._send(router_pb2.RunEvent(failed=failed))

    async def _send(
        self, event: router_pb2.RunEvent, *, may_hold: bool = False
    ) -> None:
        event.attempt_id = self.attempt_id
        self._held.append(event)
        if may_hold and self.may_combine:
            return
        first, *following = self._held
        self._held.clear()
        first.following.extend(following)
        await self.write(first)
