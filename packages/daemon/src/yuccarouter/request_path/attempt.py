"""One attempt of a request at one agent."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, Final

import attrs
import grpc
from grpc import aio

from yuccarouter.request_path import errors

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable
    from contextlib import AbstractContextManager

    from yuccarouter.membership import channels
    from yuccarouter_common.proto import router_pb2

_CONNECT_TIMEOUT_S: Final = 1.0
_MS_PER_S: Final = 1000


@attrs.frozen
class Piece:
    """A part of the answer; whole events where the answer is a stream."""

    data: bytes


@attrs.frozen
class Finished:
    """The answer is whole."""

    status: int
    content_type: str
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int


Event = Piece | Finished


async def run(
    daemon: channels.DaemonClient,
    metadata: tuple[tuple[str, str], ...],
    request: router_pb2.RunRequest,
    calling: Callable[[Callable[[], object]], AbstractContextManager[None]],
) -> AsyncGenerator[Event]:
    """Run an attempt and yield its answer in order.

    The last event is ``Finished``. Raises ``AttemptRefusedError`` when the
    endpoint has certainly not seen the attempt and ``AttemptLostError``
    otherwise. Closing the generator cancels the attempt at the agent.
    ``calling`` gets the function that cancels the call while it lasts.
    """
    # A call that fails on a channel that never became ready was not sent;
    # later failures can't be told from a lost answer.
    await _connect(daemon)
    timeout_s = request.deadline_ms / _MS_PER_S
    call = daemon.stub.Run(request, metadata=metadata, timeout=timeout_s)
    abandoned: list[bool] = []

    def abandon() -> None:
        abandoned.append(True)
        call.cancel()

    try:
        with calling(abandon):
            async with contextlib.aclosing(
                _events(call, request.attempt_id)
            ) as events:
                async for event in events:
                    yield event
    except aio.AioRpcError as fault:
        raise _converted(fault) from fault
    except asyncio.CancelledError:
        # A call that is cancelled here cancels its reader in the same way as
        # a caller who leaves or a deadline, which go first.
        task = asyncio.current_task()
        is_cancelled = task is not None and task.cancelling() > 0
        if abandoned and not is_cancelled:
            raise errors.AttemptLostError('the agent is silent') from None
        raise
    finally:
        call.cancel()


async def _events(call: Any, attempt_id: str) -> AsyncGenerator[Event]:
    sequence = 0
    # A generator that is not closed here is closed by the event loop's hook,
    # in a task of its own and after a wake-up by the loop's own socket.
    async with contextlib.aclosing(aiter(call)) as messages:
        async for message in messages:
            for part in (message, *message.following):
                event = _event(part, attempt_id, sequence)
                if event is None:
                    continue
                yield event
                if isinstance(event, Finished):
                    return
                sequence += 1
    raise errors.AttemptLostError('the agent ended the attempt early')


def _event(
    message: router_pb2.RunEvent, attempt_id: str, sequence: int
) -> Event | None:
    """Return the event of a message, or ``None`` for ``Accepted``.

    Events are matched by attempt, never by the order of calls.
    """
    if message.attempt_id != attempt_id:
        raise errors.AttemptLostError('event of another attempt')
    kind = message.WhichOneof('event')
    if kind == 'refused':
        raise errors.AttemptRefusedError(
            message.refused.message,
            code=message.refused.code,
            retry_after_ms=message.refused.retry_after_ms,
        )
    if kind == 'failed':
        raise _failed(message.failed)
    if kind == 'done':
        return _finished(message.done)
    if kind == 'accepted':
        return None
    if message.chunk.sequence != sequence:
        raise errors.AttemptLostError('a chunk is missing')
    return Piece(message.chunk.data)


async def _connect(daemon: channels.DaemonClient) -> None:
    if daemon.channel.get_state() is grpc.ChannelConnectivity.READY:
        return
    try:
        await asyncio.wait_for(
            daemon.channel.channel_ready(), _CONNECT_TIMEOUT_S
        )
    except asyncio.TimeoutError as fault:
        raise errors.AttemptRefusedError(
            f'agent {daemon.address} is unreachable', code='no_endpoint'
        ) from fault


def _failed(failed: router_pb2.Failed) -> errors.AttemptError:
    if failed.outcome == 'not_run':
        return errors.AttemptRefusedError(failed.message, code=failed.code)
    return errors.AttemptLostError(failed.message, code=failed.code)


def _converted(fault: aio.AioRpcError) -> errors.AttemptError:
    if fault.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
        return errors.AttemptLostError(
            'the attempt took too long', code='deadline_exceeded'
        )
    if fault.code() is grpc.StatusCode.UNAUTHENTICATED:
        return errors.AttemptRefusedError(
            'the agent has another peer key', code='no_endpoint'
        )
    return errors.AttemptLostError(f'the call broke: {fault.code().name}')


def _finished(done: router_pb2.Done) -> Finished:
    return Finished(
        status=done.status,
        content_type=done.content_type,
        finish_reason=done.finish_reason,
        prompt_tokens=done.usage.prompt_tokens,
        completion_tokens=done.usage.completion_tokens,
    )
