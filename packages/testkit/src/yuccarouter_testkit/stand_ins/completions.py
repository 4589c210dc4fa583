"""Chat completions of the engine emulator, as JSON and as an event stream."""

from __future__ import annotations

import uuid
from collections.abc import AsyncIterator
from typing import Any, Final

import attrs
import orjson
from aiohttp import web

from yuccarouter_common import clocks
from yuccarouter_testkit.stand_ins import batch, engine_state, faults, texts

_DONE: Final = b'data: [DONE]\n\n'


@attrs.frozen
class _Call:
    """The validated body of a request."""

    model: str
    prompt: str
    stream: bool
    priority: int
    max_tokens: int | None
    resume_text: str


@attrs.define(eq=False)
class _Run:
    """A request in progress; ``usage`` counts the tokens of this attempt."""

    engine: engine_state.Engine
    request: web.Request
    call: _Call
    served: engine_state.Served
    stream: batch.Stream
    finish_reason: str

    @property
    def usage(self) -> dict[str, int]:
        prompt_tokens = self.served.prompt_tokens
        completion_tokens = self.served.completion_tokens
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': completion_tokens,
            'total_tokens': prompt_tokens + completion_tokens,
        }

    def is_disconnected(self) -> bool:
        """Return whether a fault or the caller has ended the connection."""
        injected = self.engine.injector.current
        limit = injected.die_after_tokens
        if injected.down:
            return True
        if limit is not None and self.served.completion_tokens >= limit:
            return True
        transport = self.request.transport
        return transport is None or transport.is_closing()

    def end(self, state: str) -> None:
        self.served.state = state
        self.engine.streams.pop(self.stream.stream_id, None)
        self.engine.batching.remove(self.stream)
        if state == engine_state.COMPLETED:
            self.engine.complete()
        self.engine.record_load()


async def complete(
    engine: engine_state.Engine,
    request: web.Request,
) -> web.StreamResponse:
    """Answer one chat completion.

    The id for ``POST /streams/{id}/cancel`` is the caller's ``X-Attempt-Id``,
    or a generated one if that is missing or in use. The answer names it in
    ``X-Stream-Id``.
    """
    try:
        call = _parse(await request.read())
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return faults.error_response(400, 'invalid_request', repr(error))
    if call.model not in engine.versions:
        return faults.error_response(404, 'model_not_found', call.model)
    if engine.batching.waiting >= engine.settings.max_queued:
        return faults.error_response(503, 'overloaded', 'the queue is full')
    try:
        run = _start(engine, request, call)
    except ValueError as error:
        return faults.error_response(400, 'invalid_resume_text', str(error))
    if engine.is_cold_overloaded():
        run.served.over_cold_limit = True
        run.end(engine_state.FAILED)
        return faults.error_response(500, 'overloaded', 'the engine is cold')
    engine.streams[run.stream.stream_id] = run.stream
    engine.batching.add(run.stream)
    engine.record_load()
    return await _answer(run)


def _parse(body: bytes) -> _Call:
    document = orjson.loads(body)
    max_tokens = document.get('max_tokens')
    if max_tokens is not None and int(max_tokens) < 1:
        raise ValueError('max_tokens must be positive')
    return _Call(
        model=str(document['model']),
        prompt=texts.prompt_text(document['messages']),
        stream=bool(document.get('stream', False)),
        priority=int(document.get('priority', 0)),
        max_tokens=None if max_tokens is None else int(max_tokens),
        resume_text=str(document.get('resume_text', '')),
    )


def _start(
    engine: engine_state.Engine,
    request: web.Request,
    call: _Call,
) -> _Run:
    remaining, is_complete = _remaining(engine, call)
    attempt_id = request.headers.get('X-Attempt-Id', '')
    prefixes = texts.prefix_hashes(call.prompt)
    uncached_blocks = len(prefixes) - engine.cache.use(prefixes)
    served = engine_state.Served(
        stream_id=_stream_id(engine, attempt_id),
        attempt_id=attempt_id,
        idempotency_key=request.headers.get('Idempotency-Key', ''),
        model=call.model,
        stream=call.stream,
        resumed=bool(call.resume_text),
        prompt_tokens=texts.count_tokens(call.prompt),
        time_ms=clocks.wall_ms(),
    )
    engine.served.append(served)
    stream = batch.Stream(
        served.stream_id,
        call.priority,
        remaining,
        # The part of the prompt after its last full block is never cached.
        (uncached_blocks + 1) * engine.settings.timing.prefill_ms,
    )
    reason = 'stop' if is_complete else 'length'
    return _Run(engine, request, call, served, stream, reason)


def _stream_id(engine: engine_state.Engine, attempt_id: str) -> str:
    # Streams are keyed by id: reusing a running stream's id would drop that
    # stream from the batch.
    if attempt_id and attempt_id not in engine.streams:
        return attempt_id
    return uuid.uuid4().hex


def _remaining(
    engine: engine_state.Engine,
    call: _Call,
) -> tuple[list[str], bool]:
    effective, configured = engine.qualities(call.model)
    # An answer that started before a fault changed the quality is resumed
    # with the configured quality.
    for quality in (effective, configured):
        answer = texts.answer_tokens(call.prompt, call.model, quality)
        tokens = answer[: call.max_tokens]
        if ''.join(tokens).startswith(call.resume_text):
            remaining = texts.remaining_tokens(tokens, call.resume_text)
            return remaining, len(tokens) == len(answer)
    raise ValueError('resume_text is not the start of the answer')


async def _answer(run: _Run) -> web.StreamResponse:
    state = engine_state.BROKEN
    try:
        if run.call.stream:
            response = await _answer_stream(run)
        else:
            response = await _answer_json(run)
        if response is not None:
            state = engine_state.COMPLETED
            if run.stream.cancelled:
                state = engine_state.CANCELLED
    except ConnectionError:
        response = None
    finally:
        run.end(state)
    return faults.drop_connection(run.request) if response is None else response


async def _tokens(run: _Run) -> AsyncIterator[str]:
    token = await run.stream.emitted.get()
    while token is not None:
        yield token
        token = await run.stream.emitted.get()
    if run.stream.cancelled:
        run.finish_reason = 'cancelled'


async def _answer_json(run: _Run) -> web.Response | None:
    parts: list[str] = []
    async for token in _tokens(run):
        if run.is_disconnected():
            return None
        parts.append(token)
        run.served.completion_tokens += 1
    message = {'role': 'assistant', 'content': ''.join(parts)}
    response = faults.json_response(
        {
            **_common_fields(run, 'chat.completion'),
            'choices': [
                {
                    'index': 0,
                    'message': message,
                    'finish_reason': run.finish_reason,
                }
            ],
            'usage': run.usage,
        }
    )
    response.headers['X-Stream-Id'] = run.stream.stream_id
    return response


async def _answer_stream(run: _Run) -> web.StreamResponse | None:
    response = web.StreamResponse(
        headers={
            'Content-Type': 'text/event-stream',
            'Cache-Control': 'no-cache',
            'X-Stream-Id': run.stream.stream_id,
        }
    )
    sends_answer = not run.request[faults.LOSE_ANSWER]
    if sends_answer:
        await response.prepare(run.request)
        await response.write(_chunk(run, {'role': 'assistant', 'content': ''}))
    async for token in _tokens(run):
        if run.is_disconnected():
            return None
        run.served.completion_tokens += 1
        if sends_answer:
            await response.write(_chunk(run, {'content': token}))
    if not sends_answer:
        return response
    await response.write(_chunk(run, {}, run.finish_reason))
    usage = {
        **_common_fields(run, 'chat.completion.chunk'),
        'choices': [],
        'usage': run.usage,
    }
    await response.write(_event(usage))
    await response.write(_DONE)
    await response.write_eof()
    return response


def _chunk(
    run: _Run,
    delta: dict[str, Any],
    finish_reason: str | None = None,
) -> bytes:
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
    return _event(
        {**_common_fields(run, 'chat.completion.chunk'), 'choices': [choice]}
    )


def _common_fields(run: _Run, kind: str) -> dict[str, Any]:
    return {
        'id': run.stream.stream_id,
        'object': kind,
        'created': run.served.time_ms // 1000,
        'model': run.call.model,
    }


def _event(document: dict[str, Any]) -> bytes:
    return b'data: %b\n\n' % orjson.dumps(document)
