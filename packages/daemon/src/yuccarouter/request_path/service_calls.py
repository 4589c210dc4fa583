"""Calls of plain services, each run at most once unless marked idempotent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs
from aiohttp import web

from yuccarouter.request_path import (
    bills,
    claims,
    errors,
    freshness,
    intake,
    plan,
    replies,
    sender,
    whole,
)
from yuccarouter_common import model, refusals
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state

_BUSY_RETRY_MS: Final = 500
_LOG_RETRY_MS: Final = 2000
# '', 'services', the service's name and the rest.
_PATH_PARTS: Final = 3
_UNMARKED: Final = model.Call('', '')


async def call(
    shared: entry_state.EntryState,
    request: web.Request,
    organisation: model.Organisation,
    progress: plan.Progress,
) -> web.StreamResponse:
    """Answer ``ANY /services/{service}/{path}``.

    Raises ``RefusalError``.
    """
    service = _service(shared, organisation, request.match_info['service'])
    path = _path(request)
    marked = _call_of(service, request.method, path)
    body = await intake.read_body(request, shared.conf.limits)
    planned = intake.make_plan(shared, request, organisation, body, marked.kind)
    planned = attrs.evolve(planned, is_idempotent=marked.idempotent)
    progress.of_kind(planned.kind)
    bills.check_room(shared)
    freshness.check(shared, organisation)
    raw_path = request.rel_url.raw_path.split('/', _PATH_PARTS)[-1]
    raw_query = request.rel_url.raw_query_string
    query = f'?{raw_query}' if raw_query else ''
    sending = sender.Sending(
        planned,
        plan.Target(
            pool=service.pool,
            service=service.name,
            method=request.method,
            path=f'/{raw_path}{query}',
            content_type=request.headers.get('Content-Type', ''),
            price_microcents=marked.price_microcents,
        ),
        progress,
    )
    if planned.is_idempotent or not planned.idempotency_key:
        # Without a key no repeat can be told from a new request. This one is
        # sent once and again only after a certain refusal.
        answer = await _unclaimed(shared, sending)
    else:
        answer = await _claimed(shared, sending)
    return replies.whole(shared, planned, answer)


async def _unclaimed(
    shared: entry_state.EntryState, sending: sender.Sending
) -> plan.Answer:
    planned = sending.request
    is_held = planned.is_idempotent and planned.idempotency_key
    if is_held:
        held = shared.answer_cache.find(planned.request_id, planned.body_digest)
        if held is not None:
            return held
    answer = await whole.answer(shared, sending)
    bills.bill(shared, planned, answer, sending.progress)
    if is_held:
        shared.answer_cache.keep(
            planned.request_id, planned.body_digest, answer
        )
    return answer


async def _claimed(
    shared: entry_state.EntryState, sending: sender.Sending
) -> plan.Answer:
    """Run a non-idempotent call if its key can be claimed for this attempt."""
    planned = sending.request
    key = planned.request_id
    asked = router_pb2.ClaimRequest(
        key=key,
        value=planned.request_id,
        body_digest=planned.body_digest,
        key_time_ms=claims.key_time_ms(planned.idempotency_key),
    )
    try:
        reply = await claims.claim(shared, asked)
    except errors.RegistryUnavailableError as fault:
        raise refusals.RefusalError(
            'log_unavailable',
            'the call may not be repeated and can not be claimed now',
            retry_after_ms=_LOG_RETRY_MS,
        ) from fault
    sending.progress.explain(
        'claim', state=reply.state, holder=reply.holder_attempt_id
    )
    if reply.state != 'won':
        return _answer_of(sending, reply)
    sending = attrs.evolve(
        sending,
        attempt_id=reply.holder_attempt_id,
        claim=router_pb2.ClaimProof(
            partition=reply.partition, offset=reply.offset
        ),
    )
    try:
        answer = await whole.answer(shared, sending)
    except refusals.RefusalError as fault:
        if fault.outcome == refusals.NOT_RUN:
            await claims.release(shared, reply, key, sending.attempt_id)
        raise
    bills.bill(shared, planned, answer, sending.progress)
    return answer


def _answer_of(
    sending: sender.Sending, reply: router_pb2.ClaimReply
) -> plan.Answer:
    """Return the recorded answer of the attempt that holds the claim.

    Raises ``RefusalError`` when there is none.
    """
    if reply.state == 'conflict':
        raise refusals.RefusalError(
            'idempotency_conflict',
            'the Idempotency-Key was used with another request',
        )
    if reply.state == 'lost' and reply.has_outcome:
        return plan.Answer(
            status=reply.status,
            body=reply.body,
            content_type=reply.content_type,
            target=sending.target,
            attempt_id=reply.holder_attempt_id,
            is_replayed=True,
        )
    bound_ms = sending.request.kind.bound_ms
    if reply.state == 'lost' and reply.age_ms < bound_ms:
        raise refusals.RefusalError(
            'in_progress',
            'an earlier request with the Idempotency-Key is in progress',
            outcome=refusals.UNKNOWN,
            retry_after_ms=reply.retry_after_ms or _BUSY_RETRY_MS,
        )
    raise refusals.RefusalError(
        'outcome_unknown',
        'an earlier request with the Idempotency-Key may have run',
        outcome=refusals.UNKNOWN,
    )


def _path(request: web.Request) -> str:
    """Return the decoded path below the service.

    A client library would resolve dot segments, so that another call would
    run than the one that was looked up.
    """
    path = f'/{request.match_info["path"]}'
    if '\\' in path or {'.', '..'} & set(path.split('/')):
        raise refusals.RefusalError(
            'invalid_request', 'the path has a dot segment or a backslash'
        )
    return path


def _service(
    shared: entry_state.EntryState, organisation: model.Organisation, name: str
) -> model.Service:
    service = shared.store.current().services.get(name)
    if service is None:
        raise refusals.RefusalError(
            'unknown_service', f'there is no service {name!r}'
        )
    if name not in organisation.services:
        raise refusals.RefusalError(
            'version_not_allowed',
            f'the organisation may not use the service {name!r}',
        )
    return service


def _call_of(service: model.Service, method: str, path: str) -> model.Call:
    """Return the longest configured call that matches, else an unmarked one."""
    matching = [
        marked
        for marked in service.calls
        if marked.method == method and _is_below(path, marked.path)
    ]
    return max(matching, key=lambda marked: len(marked.path), default=_UNMARKED)


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(f'{prefix.rstrip("/")}/')
