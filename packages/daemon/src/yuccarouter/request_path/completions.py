"""Handler of chat completion requests."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final

import attrs
from aiohttp import web

from yuccarouter.request_path import (
    cascading,
    chat,
    freshness,
    prefixes,
    replies,
    request_billing,
    request_parsing,
    request_types,
    sender,
    session_versions,
    streaming,
)
from yuccarouter.rollout import observations
from yuccarouter.routing import errors as routing_errors
from yuccarouter.routing import sessions, version_selection
from yuccarouter_common import refusals

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state
    from yuccarouter_common import model

_EVENT_STREAM: Final = 'text/event-stream'


async def complete(
    shared: entry_state.EntryState,
    request: web.Request,
    organisation: model.Organisation,
    progress: request_types.Progress,
) -> web.StreamResponse:
    """Answer ``POST /v1/chat/completions``.

    Raises ``RefusalError`` until the first part of the answer is sent.
    """
    body = await request_parsing.read_body(request, shared.conf.limits)
    chat_request = chat.parse(body)
    caller_request = request_parsing.parse(shared, request, organisation, body)
    caller_request = attrs.evolve(
        caller_request, is_stream=chat_request.is_stream
    )
    progress.assign_kind(caller_request.kind)
    request_billing.check_capacity(shared)
    freshness.check(shared, organisation)
    cached = _cached_answer(shared, caller_request)
    if cached is not None:
        return replies.answer_response(shared, caller_request, cached)
    try:
        caller_request, resolution = await _resolve_versions(
            shared, request, caller_request, chat_request, progress
        )
    except routing_errors.RoutingError as fault:
        raise sender.routing_refusal(fault, progress) from fault
    completion = cascading.CompletionRequest(
        caller_request,
        resolution,
        progress,
        prefixes.prefix_hashes(chat_request.prompt),
        chat_request.prompt,
    )
    if chat_request.is_stream:
        return await _stream(shared, request, completion)
    try:
        answer = await cascading.answer(shared, completion)
    except refusals.RefusalError:
        _record_failure(shared, completion)
        raise
    _record_answer(
        shared, completion, answer, cascading.answer_text(answer.body)
    )
    return replies.answer_response(shared, caller_request, answer)


async def _resolve_versions(
    shared: entry_state.EntryState,
    request: web.Request,
    caller_request: request_types.CallerRequest,
    chat_request: chat.ChatRequest,
    progress: request_types.Progress,
) -> tuple[request_types.CallerRequest, version_selection.Resolution]:
    organisation = caller_request.organisation
    header = request.headers.get('X-Session-Id', '')
    if not header:
        resolution = version_selection.resolve(
            shared.store.current(),
            organisation,
            chat_request.model,
            caller_request.request_id,
            caller_request.kind.name,
        )
        progress.explain(
            'resolve',
            asked=chat_request.model,
            versions=[version.name for version in resolution.versions],
        )
        return caller_request, resolution
    session = sessions.read((shared.session_key,), organisation.name, header)
    session_version = await session_versions.version_for(
        shared, organisation, session, chat_request.model, progress
    )
    return (
        attrs.evolve(caller_request, session=session),
        version_selection.Resolution((session_version.version,)),
    )


async def _stream(
    shared: entry_state.EntryState,
    request: web.Request,
    completion: cascading.CompletionRequest,
) -> web.StreamResponse:
    """Stream the answer; raise a refusal that precedes its first event.

    A later refusal is sent as the last event of the stream.
    """
    caller_request = completion.request
    spec = cascading.first_stream_attempt(shared, completion)
    state = streaming.StreamState()
    response = web.StreamResponse(
        headers={
            **replies.answer_headers(shared, caller_request, spec.target),
            'Content-Type': _EVENT_STREAM,
            'Cache-Control': 'no-cache',
        }
    )
    events = streaming.stream(shared, spec, state)
    async with contextlib.aclosing(events):
        first = await anext(events, b'')
        await response.prepare(request)
        try:
            await response.write(first)
            async for data in events:
                await response.write(data)
        except refusals.RefusalError as fault:
            completion.progress.refusal = fault
            _record_failure(shared, completion)
            completion.progress.explain('stream_cut', code=fault.code)
            await response.write(replies.refusal_event(fault))
    if state.answer is not None:
        _record_answer(shared, completion, state.answer, state.text)
    await response.write_eof()
    return response


def _cached_answer(
    shared: entry_state.EntryState, caller_request: request_types.CallerRequest
) -> request_types.Answer | None:
    if not caller_request.idempotency_key:
        return None
    return shared.answer_cache.find(
        caller_request.request_id, caller_request.body_digest
    )


def _record_answer(
    shared: entry_state.EntryState,
    completion: cascading.CompletionRequest,
    answer: request_types.Answer,
    text: str,
) -> None:
    caller_request = completion.request
    request_billing.bill_request(
        shared, caller_request, answer, completion.progress
    )
    if caller_request.idempotency_key:
        shared.answer_cache.store(
            caller_request.request_id, caller_request.body_digest, answer
        )
    if answer.target.version is not None:
        shared.observations.record(
            observations.RequestResult(
                request_id=caller_request.request_id,
                version=answer.target.version,
                kind=caller_request.kind.name,
                failed=False,
                latency_ms=completion.cascade_request().elapsed_ms,
                prompt=completion.prompt,
                answer=text,
            )
        )


def _record_failure(
    shared: entry_state.EntryState, completion: cascading.CompletionRequest
) -> None:
    """Record a failed request for the version of its last attempt.

    A request that has certainly not run is no evidence about the version and
    is not recorded.
    """
    attempts = completion.progress.attempts
    if not attempts or not completion.progress.may_have_run:
        return
    versions = shared.store.current().versions
    version = versions.get(attempts[-1].version)
    if version is not None:
        shared.observations.record(
            observations.RequestResult(
                request_id=completion.request.request_id,
                version=version,
                kind=completion.request.kind.name,
                failed=True,
                latency_ms=completion.cascade_request().elapsed_ms,
            )
        )
