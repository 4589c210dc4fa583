"""A fake agent for tests: a script decides how each attempt goes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs
import grpc
import orjson

from yuccarouter_common.proto import router_pb2, router_pb2_grpc

WORDS: Final = ('grid', 'is', 'fair', 'and', 'light')

Script = Callable[['FakeAgent', router_pb2.RunRequest, Any], Awaitable[None]]


def _event(request: router_pb2.RunRequest, **event: Any) -> Any:
    return router_pb2.RunEvent(attempt_id=request.attempt_id, **event)


def sse(document: dict[str, Any]) -> bytes:
    return b''.join((b'data: ', orjson.dumps(document), b'\n\n'))


def delta(stream_id: str, **content: str) -> bytes:
    return sse({'id': stream_id, 'choices': [{'index': 0, 'delta': content}]})


@attrs.define
class FakeAgent(router_pb2_grpc.AgentServicer):
    """Plays one script for each attempt, the last one for all further."""

    scripts: list[Script] = attrs.field(factory=list)
    requests: list[router_pb2.RunRequest] = attrs.field(factory=list)
    settled: list[router_pb2.Settlement] = attrs.field(factory=list)
    recorded: list[router_pb2.RecordRequest] = attrs.field(factory=list)
    claims: dict[str, router_pb2.ClaimReply] = attrs.field(factory=dict)
    is_registry_down: bool = False
    cancelled: int = 0

    async def Run(self, request: Any, context: Any) -> None:  # noqa: N802
        self.requests.append(request)
        index = min(len(self.requests), len(self.scripts)) - 1
        try:
            await self.scripts[index](self, request, context)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def Claim(self, request: Any, context: Any) -> Any:  # noqa: N802
        if self.is_registry_down:
            return router_pb2.ClaimReply(state='unavailable')
        held = self.claims.get(request.key)
        if held is None:
            held = router_pb2.ClaimReply(
                state='won',
                holder_attempt_id=request.attempt_id,
                value=request.value,
                partition=request.partition,
            )
            self.claims[request.key] = held
            return held
        lost = router_pb2.ClaimReply()
        lost.CopyFrom(held)
        lost.state = 'lost'
        return lost

    async def Record(self, request: Any, context: Any) -> Any:  # noqa: N802
        self.recorded.append(request)
        if request.item == 'release':
            self.claims.pop(request.key, None)
        return router_pb2.RecordReply(recorded=True)

    async def Settle(self, request: Any, context: Any) -> Any:  # noqa: N802
        self.settled += request.settlements
        return router_pb2.SettleReply()


async def answer(agent: FakeAgent, request: Any, context: Any) -> None:
    """Answer in full: JSON, or a stream that continues after resume_text."""
    await context.write(_event(request, accepted=router_pb2.Accepted()))
    sent = len(request.resume_text.split())
    for sequence, data in enumerate(_parts(request, sent)):
        chunk = router_pb2.Chunk(sequence=sequence, data=data)
        await context.write(_event(request, chunk=chunk))
    done = router_pb2.Done(
        status=200,
        content_type='text/event-stream'
        if request.stream
        else 'application/json',
        usage=router_pb2.Usage(
            prompt_tokens=7, completion_tokens=len(WORDS) - sent
        ),
    )
    await context.write(_event(request, done=done))


def _parts(request: Any, sent: int) -> list[bytes]:
    if not request.stream:
        return [b'{"answer": ', b'true}']
    stream_id = f's-{request.attempt_id}'
    return [
        delta(stream_id, role='assistant', content=''),
        *(delta(stream_id, content=f'{word} ') for word in WORDS[sent:]),
        b'data: [DONE]\n\n',
    ]


def break_after(words: int) -> Script:
    """Send some words of a stream and break the call."""

    async def script(agent: FakeAgent, request: Any, context: Any) -> None:
        sent = len(request.resume_text.split())
        parts = _parts(request, sent)[: words + 1]
        for sequence, data in enumerate(parts):
            chunk = router_pb2.Chunk(sequence=sequence, data=data)
            await context.write(_event(request, chunk=chunk))
        await context.abort(grpc.StatusCode.INTERNAL, 'broken')

    return script


def refuse(code: str, retry_after_ms: int = 0) -> Script:
    async def script(agent: FakeAgent, request: Any, context: Any) -> None:
        refused = router_pb2.Refused(
            code=code, message=code, retry_after_ms=retry_after_ms
        )
        await context.write(_event(request, refused=refused))

    return script


async def lose(agent: FakeAgent, request: Any, context: Any) -> None:
    """Break the call after the endpoint may have run the attempt."""
    await context.write(_event(request, accepted=router_pb2.Accepted()))
    await context.abort(grpc.StatusCode.UNAVAILABLE, 'gone')


async def hang(agent: FakeAgent, request: Any, context: Any) -> None:
    await asyncio.sleep(60)


async def answer_another(agent: FakeAgent, request: Any, context: Any) -> None:
    """Send the events of another attempt."""
    other = router_pb2.RunRequest()
    other.CopyFrom(request)
    other.attempt_id = 'another'
    await answer(agent, other, context)
