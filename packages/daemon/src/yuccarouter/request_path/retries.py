"""Whether and when a request is tried again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import prometheus_client

from yuccarouter.request_path import errors, sender
from yuccarouter.routing import retry_budget
from yuccarouter_common import refusals

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state, plan

# Refusals of these codes hold at every endpoint.
_FINAL_CODES: Final = frozenset(
    ('version_not_allowed', 'invalid_request', 'body_too_large'),
)
_MAX_ATTEMPTS: Final = 4
# An answer that must arrive whole is worth more attempts, at endpoints that
# have failed before too.
_MAX_WHOLE_ATTEMPTS: Final = 24
_WHOLE_PAUSE_MS: Final = 250
_MS_PER_S: Final = 1000
_DEFAULT_RETRY_MS: Final = 500

_RETRIES = prometheus_client.Counter(
    'yuccarouter_retries',
    'Attempts after the first one of a request',
    ('reason',),
)


async def may_repeat(
    shared: entry_state.EntryState,
    request: plan.Plan,
    progress: plan.Progress,
    fault: errors.AttemptError,
) -> None:
    """Return when another attempt may be made.

    Raises the ``RefusalError`` to answer with when none may: the attempt may
    have run a non-idempotent request, the refusal would be the same anywhere,
    the budget is spent or the deadline is too near.
    """
    is_refused = isinstance(fault, errors.AttemptRefusedError)
    is_final = fault.code in _FINAL_CODES
    if not is_refused and not request.is_idempotent:
        is_final = True
    is_whole = request.kind.whole and request.is_idempotent
    limit = _MAX_WHOLE_ATTEMPTS if is_whole else _MAX_ATTEMPTS
    if is_final or progress.attempts_of_step >= limit:
        raise refusal_of(fault, progress)
    if not request.remaining_ms() and not is_whole:
        raise refusal_of(fault, progress)
    if not shared.retry_budget.take_retry():
        progress.explain('retry_budget_spent')
        raise refusal_of(fault, progress)
    _RETRIES.labels(fault.code).inc()
    progress.explain('retry', code=fault.code, message=fault.message)
    pause_ms = retry_budget.backoff_ms(
        progress.attempts_of_step, 0, shared.rng.random
    )
    await asyncio.sleep(pause_ms / _MS_PER_S)
    if is_whole:
        await _wait_for_endpoint(shared, progress)


async def _wait_for_endpoint(
    shared: entry_state.EntryState, progress: plan.Progress
) -> None:
    """Let a request that must be whole use every endpoint again.

    Endpoints that have just failed are in backoff; the pause lets one of them
    come back before the attempt that would find none.
    """
    if len(progress.tried) < _MAX_ATTEMPTS - 1:
        return
    progress.tried.clear()
    pause_ms = max(_WHOLE_PAUSE_MS, shared.fleet.retry_after_ms())
    await asyncio.sleep(pause_ms / _MS_PER_S)


def refusal_of(
    fault: errors.AttemptError, progress: plan.Progress
) -> refusals.RefusalError:
    """Return the refusal that tells the caller of a failed attempt."""
    if isinstance(fault, errors.AttemptRefusedError):
        is_final = fault.code in _FINAL_CODES
        hint_ms = 0 if is_final else _DEFAULT_RETRY_MS
        return refusals.RefusalError(
            fault.code,
            fault.message,
            outcome=sender.outcome(progress),
            retry_after_ms=fault.retry_after_ms or hint_ms,
        )
    return refusals.RefusalError(
        fault.code,
        fault.message,
        outcome=refusals.UNKNOWN,
        retry_after_ms=_DEFAULT_RETRY_MS,
    )
