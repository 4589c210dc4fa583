"""Chat completions: from a checked request to its answer."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final

import attrs
from aiohttp import web

from yuccarouter.request_path import (
    bills,
    cascading,
    chat,
    freshness,
    intake,
    plan,
    prefixes,
    replies,
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
    progress: plan.Progress,
) -> web.StreamResponse:
    """Answer ``POST /v1/chat/completions``.

    Raises ``RefusalError`` as long as no part of the answer has been sent.
    """
    body = await intake.read_body(request, shared.conf.limits)
    asked = chat.parse(body)
    planned = intake.make_plan(shared, request, organisation, body)
    planned = attrs.evolve(planned, is_stream=asked.is_stream)
    progress.of_kind(planned.kind)
    bills.check_room(shared)
    freshness.check(shared, organisation)
    held = _held(shared, planned)
    if held is not None:
        return replies.whole(shared, planned, held)
    try:
        planned, resolution = await _resolve(
            shared, request, planned, asked, progress
        )
    except routing_errors.RoutingError as fault:
        raise sender.refusal(fault, progress) from fault
    work = cascading.Work(
        planned,
        resolution,
        progress,
        prefixes.of_prompt(asked.prompt),
        asked.prompt,
    )
    if asked.is_stream:
        return await _stream(shared, request, work)
    try:
        answer = await cascading.answer(shared, work)
    except refusals.RefusalError:
        _observe_failure(shared, work)
        raise
    _close(shared, work, answer, cascading.text_of(answer.body))
    return replies.whole(shared, planned, answer)


async def _resolve(
    shared: entry_state.EntryState,
    request: web.Request,
    planned: plan.Plan,
    asked: chat.ChatRequest,
    progress: plan.Progress,
) -> tuple[plan.Plan, version_selection.Resolution]:
    organisation = planned.organisation
    header = request.headers.get('X-Session-Id', '')
    if not header:
        resolution = version_selection.resolve(
            shared.store.current(),
            organisation,
            asked.model,
            planned.request_id,
            planned.kind.name,
        )
        progress.explain(
            'resolve',
            asked=asked.model,
            versions=[version.name for version in resolution.versions],
        )
        return planned, resolution
    session = sessions.read((shared.session_key,), organisation.name, header)
    found = await session_versions.version_for(
        shared, organisation, session, asked.model, progress
    )
    return (
        attrs.evolve(planned, session=session),
        version_selection.Resolution((found.version,)),
    )


async def _stream(
    shared: entry_state.EntryState, request: web.Request, work: cascading.Work
) -> web.StreamResponse:
    """Stream the answer; refusals before its first event are plain JSON."""
    planned = work.request
    sending = cascading.streaming_attempt(shared, work)
    state = streaming.StreamState()
    response = web.StreamResponse(
        headers={
            **replies.headers_of(shared, planned, sending.target),
            'Content-Type': _EVENT_STREAM,
            'Cache-Control': 'no-cache',
        }
    )
    events = streaming.stream(shared, sending, state)
    async with contextlib.aclosing(events):
        first = await anext(events, b'')
        await response.prepare(request)
        try:
            await response.write(first)
            async for data in events:
                await response.write(data)
        except refusals.RefusalError as fault:
            work.progress.cut = fault
            _observe_failure(shared, work)
            work.progress.explain('stream_cut', code=fault.code)
            await response.write(replies.refusal_event(fault))
    if state.answer is not None:
        _close(shared, work, state.answer, state.text)
    await response.write_eof()
    return response


def _held(
    shared: entry_state.EntryState, planned: plan.Plan
) -> plan.Answer | None:
    if not planned.idempotency_key:
        return None
    return shared.answer_cache.find(planned.request_id, planned.body_digest)


def _close(
    shared: entry_state.EntryState,
    work: cascading.Work,
    answer: plan.Answer,
    text: str,
) -> None:
    planned = work.request
    bills.bill(shared, planned, answer, work.progress)
    if planned.idempotency_key:
        shared.answer_cache.keep(
            planned.request_id, planned.body_digest, answer
        )
    if answer.target.version is not None:
        shared.observations.record(
            observations.RequestResult(
                request_id=planned.request_id,
                version=answer.target.version,
                kind=planned.kind.name,
                failed=False,
                latency_ms=work.view().elapsed_ms,
                prompt=work.prompt,
                answer=text,
            )
        )


def _observe_failure(
    shared: entry_state.EntryState, work: cascading.Work
) -> None:
    """Count a lost request against the version that ran it last.

    A refusal that is certain says nothing about the version.
    """
    attempts = work.progress.attempts
    if not attempts or not work.progress.may_have_run:
        return
    versions = shared.store.current().versions
    version = versions.get(attempts[-1].version)
    if version is not None:
        shared.observations.record(
            observations.RequestResult(
                request_id=work.request.request_id,
                version=version,
                kind=work.request.kind.name,
                failed=True,
                latency_ms=work.view().elapsed_ms,
            )
        )
