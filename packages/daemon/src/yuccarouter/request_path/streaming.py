"""Streamed answers, resumed at another endpoint after a failure."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.request_path import (
    attempt,
    errors,
    request_types,
    retries,
    sender,
)
from yuccarouter_common import stream_events

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state

_EVENT_STREAM: Final = 'text/event-stream'


@attrs.define
class StreamState:
    """The part of a stream that the caller has received.

    ``has_opened`` and ``has_closed`` state whether the opening and the closing
    event have been sent, which a resumed attempt sends again. ``parts`` are the
    bytes sent. ``answer`` is set when the stream is complete.
    """

    text: str = ''
    stream_id: str = ''
    has_opened: bool = False
    has_closed: bool = False
    prompt_tokens: int = 0
    completion_tokens: int = 0
    # Tokens that the current attempt has sent. The engine's own count replaces
    # them when the attempt is complete.
    attempt_tokens: int = 0
    parts: list[bytes] = attrs.field(factory=list)
    answer: request_types.Answer | None = None


async def stream(
    shared: entry_state.EntryState,
    first: sender.AttemptSpec,
    state: StreamState,
) -> AsyncGenerator[bytes]:
    """Yield the events for the caller without a gap or a repetition.

    After a failed attempt, another one of the same version gets the text sent
    so far and continues after it. Raises ``RefusalError``.
    """
    spec = first
    while state.answer is None:
        try:
            attempt_events = _run_attempt(shared, spec, state)
            async with contextlib.aclosing(attempt_events):
                async for data in attempt_events:
                    yield data
        except errors.AttemptError as fault:
            state.completion_tokens += state.attempt_tokens
            await retries.wait_for_retry(
                shared, spec.request, spec.progress, fault
            )
            spec = attrs.evolve(
                spec,
                attempt_id=sender.new_attempt_id(),
                resume_text=state.text,
            )
    shared.retry_budget.record_success()


async def _run_attempt(
    shared: entry_state.EntryState, spec: sender.AttemptSpec, state: StreamState
) -> AsyncGenerator[bytes]:
    # The ``[DONE]`` event is held back until the agent reports that the attempt
    # is complete, since the caller must receive nothing after it.
    done_event = b''
    state.attempt_tokens = 0
    attempt_events = sender.run(shared, spec)
    async with contextlib.aclosing(attempt_events):
        async for event in attempt_events:
            if isinstance(event, attempt.Finished):
                _finish(spec, event, state, done_event)
                yield done_event
                return
            # Events that arrive together are forwarded in one write.
            forwarded = []
            for part in stream_events.split(event.data):
                if part.is_done:
                    done_event = part.raw
                else:
                    forwarded.append(_forward(part, state))
            data = b''.join(forwarded)
            if data:
                state.parts.append(data)
                yield data


def _forward(event: stream_events.StreamEvent, state: StreamState) -> bytes:
    """Return the event's bytes for the caller; empty for a repetition."""
    if event.document is None:
        return event.raw
    if not state.stream_id:
        state.stream_id = str(event.document.get('id', ''))
    text = event.text
    if text:
        state.text += text
        state.attempt_tokens += 1
    # Nearly all events have text, and these are never opening or closing ones.
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
    spec: sender.AttemptSpec,
    end: attempt.Finished,
    state: StreamState,
    done_event: bytes,
) -> None:
    if not done_event:
        raise errors.AttemptLostError(
            'the stream ended without its [DONE] event'
        )
    state.parts.append(done_event)
    state.prompt_tokens = state.prompt_tokens or end.prompt_tokens
    state.completion_tokens += end.completion_tokens
    state.answer = request_types.Answer(
        status=end.status,
        body=b''.join(state.parts),
        content_type=end.content_type or _EVENT_STREAM,
        target=spec.target,
        prompt_tokens=state.prompt_tokens,
        completion_tokens=state.completion_tokens,
        attempt_id=spec.attempt_id,
    )
