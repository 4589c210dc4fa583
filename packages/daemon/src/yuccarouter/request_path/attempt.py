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
class Chunk:
    """Bytes of the answer; complete events if the answer is a stream."""

    data: bytes


@attrs.frozen
class Finished:
    """The end of a complete answer, with its status and usage."""

    status: int
    content_type: str
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int


Event = Chunk | Finished


async def run(
    daemon: channels.DaemonClient,
    metadata: tuple[tuple[str, str], ...],
    request: router_pb2.RunRequest,
    track_call: Callable[[Callable[[], object]], AbstractContextManager[None]],
) -> AsyncGenerator[Event]:
    """Run an attempt and yield its answer in order.

    The last event is ``Finished``. Raises ``AttemptRefusedError`` when the
    endpoint has certainly not received the attempt and ``AttemptLostError``
    otherwise. Closing the generator cancels the attempt at the agent.
    ``track_call`` is given a function that cancels the call; the context
    manager that it returns is open for as long as the call runs.
    """
    # A call on a channel that never became ready was not sent. A later failure
    # can't be distinguished from a lost answer.
    await _connect(daemon)
    timeout_s = request.deadline_ms / _MS_PER_S
    call = daemon.stub.Run(request, metadata=metadata, timeout=timeout_s)
    cancellations: list[bool] = []

    def cancel_call() -> None:
        cancellations.append(True)
        call.cancel()

    try:
        with track_call(cancel_call):
            async with contextlib.aclosing(
                _events(call, request.attempt_id)
            ) as events:
                async for event in events:
                    yield event
    except aio.AioRpcError as fault:
        raise _from_rpc_error(fault) from fault
    except asyncio.CancelledError:
        # ``cancel_call`` raises ``CancelledError`` in the reader, as a
        # disconnected caller or a deadline does; those two take precedence.
        task = asyncio.current_task()
        is_cancelled = task is not None and task.cancelling() > 0
        if cancellations and not is_cancelled:
            raise errors.AttemptLostError(
                'the agent stopped responding'
            ) from None
        raise
    finally:
        call.cancel()


async def _events(call: Any, attempt_id: str) -> AsyncGenerator[Event]:
    sequence = 0
    # Without ``aclosing``, the event loop's hook would close the generator in a
    # separate task, after a wake-up through the loop's own socket.
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
    raise errors.AttemptLostError('the agent ended the call too soon')


def _event(
    message: router_pb2.RunEvent, attempt_id: str, sequence: int
) -> Event | None:
    """Return the event of a message, or ``None`` for ``Accepted``.

    Events are matched by attempt id, never by the order of calls.
    """
    if message.attempt_id != attempt_id:
        raise errors.AttemptLostError('received an event of another attempt')
    kind = message.WhichOneof('event')
    if kind == 'refused':
        raise errors.AttemptRefusedError(
            message.refused.message,
            code=message.refused.code,
            retry_after_ms=message.refused.retry_after_ms,
        )
    if kind == 'failed':
        raise _from_failure(message.failed)
    if kind == 'done':
        return _finished(message.done)
    if kind == 'accepted':
        return None
    if message.chunk.sequence != sequence:
        raise errors.AttemptLostError('a chunk is missing')
    return Chunk(message.chunk.data)


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


def _from_failure(failed: router_pb2.Failed) -> errors.AttemptError:
    if failed.outcome == 'not_run':
        return errors.AttemptRefusedError(failed.message, code=failed.code)
    return errors.AttemptLostError(failed.message, code=failed.code)


def _from_rpc_error(fault: aio.AioRpcError) -> errors.AttemptError:
    if fault.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
        return errors.AttemptLostError(
            'the attempt exceeded its deadline', code='deadline_exceeded'
        )
    if fault.code() is grpc.StatusCode.UNAUTHENTICATED:
        return errors.AttemptRefusedError(
            'the agent uses another peer key', code='no_endpoint'
        )
    return errors.AttemptLostError(f'the call failed: {fault.code().name}')


def _finished(done: router_pb2.Done) -> Finished:
    return Finished(
        status=done.status,
        content_type=done.content_type,
        finish_reason=done.finish_reason,
        prompt_tokens=done.usage.prompt_tokens,
        completion_tokens=done.usage.completion_tokens,
    )
