"""Streaming an answer, resumed elsewhere when an attempt breaks."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.request_path import (
    attempt,
    errors,
    plan,
    retries,
    sender,
)
from yuccarouter_common import stream_events

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state

_EVENT_STREAM: Final = 'text/event-stream'


@attrs.define
class StreamState:
    """What the caller has received of a stream.

    ``answer`` is set when the stream is whole.
    """

    text: str = ''
    stream_id: str = ''
    has_opened: bool = False
    has_closed: bool = False
    prompt_tokens: int = 0
    completion_tokens: int = 0
    # Tokens that the present attempt has sent; its engine's own count replaces
    # them when it ends well.
    attempt_tokens: int = 0
    parts: list[bytes] = attrs.field(factory=list)
    answer: plan.Answer | None = None


async def stream(
    shared: entry_state.EntryState, first: sender.Sending, state: StreamState
) -> AsyncGenerator[bytes]:
    """Yield the events for the caller without a gap or a repetition.

    A broken attempt is resumed by another one of the same version, which gets
    the text sent so far and continues after it. Raises ``RefusalError``.
    """
    sending = first
    while state.answer is None:
        try:
            running = _attempt(shared, sending, state)
            async with contextlib.aclosing(running):
                async for data in running:
                    yield data
        except errors.AttemptError as fault:
            state.completion_tokens += state.attempt_tokens
            await retries.may_repeat(
                shared, sending.request, sending.progress, fault
            )
            sending = attrs.evolve(
                sending,
                attempt_id=sender.new_attempt_id(),
                resume_text=state.text,
            )
    shared.retry_budget.record_success()


async def _attempt(
    shared: entry_state.EntryState, sending: sender.Sending, state: StreamState
) -> AsyncGenerator[bytes]:
    # The last event waits until the agent says that the attempt is whole: a
    # caller who has seen it must not get more.
    last = b''
    state.attempt_tokens = 0
    running = sender.run(shared, sending)
    async with contextlib.aclosing(running):
        async for event in running:
            if isinstance(event, attempt.Finished):
                _finish(sending, event, state, last)
                yield last
                return
            # Events that have come together go on in one write.
            kept = []
            for part in stream_events.split(event.data):
                if part.is_done:
                    last = part.raw
                else:
                    kept.append(_pass_on(part, state))
            data = b''.join(kept)
            if data:
                state.parts.append(data)
                yield data


def _pass_on(event: stream_events.StreamEvent, state: StreamState) -> bytes:
    """Return the event as the caller gets it; empty if it is a repetition."""
    if event.document is None:
        return event.raw
    if not state.stream_id:
        state.stream_id = str(event.document.get('id', ''))
    text = event.text
    if text:
        state.text += text
        state.attempt_tokens += 1
    # Nearly all events have text, and those open or close nothing.
    if not text and event.is_opening:
        if state.has_opened:
            return b''
        state.has_opened = True
    if not text and event.is_closing:
        if state.has_closed:
            return b''
        state.has_closed = True
    return stream_events.with_id(event, state.stream_id).raw


def _finish(
    sending: sender.Sending,
    end: attempt.Finished,
    state: StreamState,
    last: bytes,
) -> None:
    if not last:
        raise errors.AttemptLostError('the stream ended without its last event')
    state.parts.append(last)
    state.prompt_tokens = state.prompt_tokens or end.prompt_tokens
    state.completion_tokens += end.completion_tokens
    state.answer = plan.Answer(
        status=end.status,
        body=b''.join(state.parts),
        content_type=end.content_type or _EVENT_STREAM,
        target=sending.target,
        prompt_tokens=state.prompt_tokens,
        completion_tokens=state.completion_tokens,
        attempt_id=sending.attempt_id,
    )
