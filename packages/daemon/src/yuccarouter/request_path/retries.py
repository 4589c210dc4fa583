"""Retries of failed attempts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import prometheus_client

from yuccarouter.request_path import errors, sender
from yuccarouter.routing import retry_budget
from yuccarouter_common import refusals

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state, request_types

# Refusals with these codes would be the same at every endpoint.
_FINAL_CODES: Final = frozenset(
    ('version_not_allowed', 'invalid_request', 'body_too_large'),
)
_MAX_ATTEMPTS: Final = 4
# An answer that must be complete is worth more attempts, also at endpoints that
# have failed before.
_MAX_COMPLETE_ATTEMPTS: Final = 24
_MIN_RESET_PAUSE_MS: Final = 250
_MS_PER_S: Final = 1000
_DEFAULT_RETRY_MS: Final = 500

_RETRIES = prometheus_client.Counter(
    'yuccarouter_retries',
    'Attempts after the first one of a request',
    ('reason',),
)


async def wait_for_retry(
    shared: entry_state.EntryState,
    request: request_types.CallerRequest,
    progress: request_types.Progress,
    fault: errors.AttemptError,
) -> None:
    """Wait until the next attempt of a request may start.

    Raises the ``RefusalError`` for the caller if no other attempt is allowed:
    the attempt may have run a non-idempotent request, the refusal would be the
    same anywhere, the step has had its maximum of attempts, the retry budget is
    spent or the deadline has passed.
    """
    was_refused = isinstance(fault, errors.AttemptRefusedError)
    is_final = fault.code in _FINAL_CODES
    if not was_refused and not request.is_idempotent:
        is_final = True
    must_complete = request.kind.whole and request.is_idempotent
    max_attempts = _MAX_COMPLETE_ATTEMPTS if must_complete else _MAX_ATTEMPTS
    if is_final or progress.step_attempts >= max_attempts:
        raise attempt_refusal(fault, progress)
    if not request.remaining_ms() and not must_complete:
        raise attempt_refusal(fault, progress)
    if not shared.retry_budget.take_retry():
        progress.explain('retry_budget_spent')
        raise attempt_refusal(fault, progress)
    _RETRIES.labels(fault.code).inc()
    progress.explain('retry', code=fault.code, message=fault.message)
    pause_ms = retry_budget.backoff_ms(
        progress.step_attempts, 0, shared.rng.random
    )
    await asyncio.sleep(pause_ms / _MS_PER_S)
    if must_complete:
        await _reset_tried_endpoints(shared, progress)


async def _reset_tried_endpoints(
    shared: entry_state.EntryState, progress: request_types.Progress
) -> None:
    """Wait and allow every endpoint again once several have been tried.

    Endpoints that have just failed are in backoff. Without the pause, the next
    attempt could find no endpoint.
    """
    if len(progress.tried_endpoints) < _MAX_ATTEMPTS - 1:
        return
    progress.tried_endpoints.clear()
    pause_ms = max(_MIN_RESET_PAUSE_MS, shared.fleet.retry_after_ms())
    await asyncio.sleep(pause_ms / _MS_PER_S)


def attempt_refusal(
    fault: errors.AttemptError, progress: request_types.Progress
) -> refusals.RefusalError:
    """Return the refusal for the caller after a failed attempt."""
    if isinstance(fault, errors.AttemptRefusedError):
        is_final = fault.code in _FINAL_CODES
        default_retry_ms = 0 if is_final else _DEFAULT_RETRY_MS
        return refusals.RefusalError(
            fault.code,
            fault.message,
            outcome=sender.refusal_outcome(progress),
            retry_after_ms=fault.retry_after_ms or default_retry_ms,
        )
    return refusals.RefusalError(
        fault.code,
        fault.message,
        outcome=refusals.UNKNOWN,
        retry_after_ms=_DEFAULT_RETRY_MS,
    )
