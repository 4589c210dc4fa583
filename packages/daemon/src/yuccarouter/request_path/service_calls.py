"""Handler of calls of plain services.

A call that is not configured as idempotent is run at most once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs
from aiohttp import web

from yuccarouter.request_path import (
    claims,
    errors,
    freshness,
    non_streaming,
    replies,
    request_billing,
    request_parsing,
    request_types,
    sender,
)
from yuccarouter_common import model, refusals
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state

_BUSY_RETRY_MS: Final = 500
_LOG_RETRY_MS: Final = 2000
# Splits of the path into '', 'services', the service's name and the rest.
_PATH_SPLITS: Final = 3
_DEFAULT_CALL: Final = model.Call('', '')


async def call(
    shared: entry_state.EntryState,
    request: web.Request,
    organisation: model.Organisation,
    progress: request_types.Progress,
) -> web.StreamResponse:
    """Answer ``ANY /services/{service}/{path}``.

    Raises ``RefusalError``.
    """
    service = _service(shared, organisation, request.match_info['service'])
    path = _decoded_path(request)
    configured_call = _matching_call(service, request.method, path)
    body = await request_parsing.read_body(request, shared.conf.limits)
    caller_request = request_parsing.parse(
        shared, request, organisation, body, configured_call.kind
    )
    caller_request = attrs.evolve(
        caller_request, is_idempotent=configured_call.idempotent
    )
    progress.assign_kind(caller_request.kind)
    request_billing.check_capacity(shared)
    freshness.check(shared, organisation)
    raw_path = request.rel_url.raw_path.split('/', _PATH_SPLITS)[-1]
    raw_query = request.rel_url.raw_query_string
    query = f'?{raw_query}' if raw_query else ''
    spec = sender.AttemptSpec(
        caller_request,
        request_types.Target(
            pool=service.pool,
            service=service.name,
            method=request.method,
            path=f'/{raw_path}{query}',
            content_type=request.headers.get('Content-Type', ''),
            price_microcents=configured_call.price_microcents,
        ),
        progress,
    )
    if caller_request.is_idempotent or not caller_request.idempotency_key:
        # Without a key, a repeat can't be distinguished from a new request. A
        # non-idempotent call is retried only if it has certainly not run.
        answer = await _run_unclaimed(shared, spec)
    else:
        answer = await _run_claimed(shared, spec)
    return replies.answer_response(shared, caller_request, answer)


async def _run_unclaimed(
    shared: entry_state.EntryState, spec: sender.AttemptSpec
) -> request_types.Answer:
    caller_request = spec.request
    is_cacheable = (
        caller_request.is_idempotent and caller_request.idempotency_key
    )
    if is_cacheable:
        cached = shared.answer_cache.find(
            caller_request.request_id, caller_request.body_digest
        )
        if cached is not None:
            return cached
    answer = await non_streaming.answer(shared, spec)
    request_billing.bill_request(shared, caller_request, answer, spec.progress)
    if is_cacheable:
        shared.answer_cache.store(
            caller_request.request_id, caller_request.body_digest, answer
        )
    return answer


async def _run_claimed(
    shared: entry_state.EntryState, spec: sender.AttemptSpec
) -> request_types.Answer:
    """Run a non-idempotent call if this attempt can claim its key."""
    caller_request = spec.request
    key = caller_request.request_id
    claim_request = router_pb2.ClaimRequest(
        key=key,
        value=caller_request.request_id,
        body_digest=caller_request.body_digest,
        key_time_ms=claims.key_time_ms(caller_request.idempotency_key),
    )
    try:
        reply = await claims.claim(shared, claim_request)
    except errors.RegistryUnavailableError as fault:
        raise refusals.RefusalError(
            'log_unavailable',
            'the call must run at most once; its key cannot be claimed now',
            retry_after_ms=_LOG_RETRY_MS,
        ) from fault
    spec.progress.explain(
        'claim', state=reply.state, holder=reply.holder_attempt_id
    )
    if reply.state != 'won':
        return _recorded_answer(spec, reply)
    spec = attrs.evolve(
        spec,
        attempt_id=reply.holder_attempt_id,
        claim=router_pb2.ClaimProof(
            partition=reply.partition, offset=reply.offset
        ),
    )
    try:
        answer = await non_streaming.answer(shared, spec)
    except refusals.RefusalError as fault:
        if fault.outcome == refusals.NOT_RUN:
            await claims.release(shared, reply, key, spec.attempt_id)
        raise
    request_billing.bill_request(shared, caller_request, answer, spec.progress)
    return answer


def _recorded_answer(
    spec: sender.AttemptSpec, reply: router_pb2.ClaimReply
) -> request_types.Answer:
    """Return the recorded answer of the attempt that holds the claim.

    Raises ``RefusalError`` when there is none.
    """
    if reply.state == 'conflict':
        raise refusals.RefusalError(
            'idempotency_conflict',
            'the Idempotency-Key was used with another request',
        )
    if reply.state == 'lost' and reply.has_outcome:
        return request_types.Answer(
            status=reply.status,
            body=reply.body,
            content_type=reply.content_type,
            target=spec.target,
            attempt_id=reply.holder_attempt_id,
            is_replayed=True,
        )
    bound_ms = spec.request.kind.bound_ms
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


def _decoded_path(request: web.Request) -> str:
    """Return the decoded path below the service.

    Raises ``RefusalError`` for dot segments and backslashes. A client library
    would resolve them, and another call than the one looked up would run.
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


def _matching_call(
    service: model.Service, method: str, path: str
) -> model.Call:
    """Return the configured call with the longest matching path.

    A call without a match is not idempotent and has no price.
    """
    matching = [
        candidate
        for candidate in service.calls
        if candidate.method == method and _has_prefix(path, candidate.path)
    ]
    return max(
        matching,
        key=lambda candidate: len(candidate.path),
        default=_DEFAULT_CALL,
    )


def _has_prefix(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(f'{prefix.rstrip("/")}/')
