"""Retries of a request at one endpoint after another."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.gateway import (
    attempts,
    lost_answers,
    promises,
    refusal_responses,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

    from yuccarouter.gateway import choice

_SERVER_ERROR: Final = 500
# Sends of one request, including those that endpoints refused.
_MAX_SENDS: Final = 8


async def until_answered(
    out: attempts.OutgoingCall,
    choose: Callable[[], choice.Choice | None],
    attempt: Callable[[choice.Choice], Awaitable[web.StreamResponse | None]],
) -> web.StreamResponse:
    """Return an endpoint's answer; raises ``RefusalError``.

    A request that is not idempotent is sent again only if it is certain that
    it has not run. Others are retried within the route's maximum of attempts
    and the retry budget. When no attempt is left, the last error that an
    endpoint answered is passed to the caller unchanged. ``attempt`` returns
    ``None`` when another model must answer.
    """
    outcomes = _Outcomes()
    while outcomes.may_continue(out):
        chosen = choose()
        if chosen is None:
            break
        answer = await _attempt_once(out, outcomes, attempt(chosen))
        if answer is not None:
            return answer
    if outcomes.failure is not None:
        return outcomes.failure
    raise refusal_responses.after_failed_attempts(out, outcomes.fault)


@attrs.define
class _Outcomes:
    """Outcomes of earlier attempts.

    ``failure`` is the newest error that an endpoint answered. ``fault`` is
    the newest attempt without an answer; once one may have run the request,
    it is kept.
    """

    failure: web.StreamResponse | None = None
    fault: attempts.AttemptError | None = None

    def may_continue(self, out: attempts.OutgoingCall) -> bool:
        """Return whether the request may be sent again."""
        if promises.may_have_run(out) and not out.route.is_idempotent:
            return False
        if out.sends and not out.can_retry_before_stop():
            return False
        return out.remaining_ms() > 0 and out.sends < _MAX_SENDS


async def _attempt_once(
    out: attempts.OutgoingCall,
    outcomes: _Outcomes,
    attempt: Awaitable[web.StreamResponse | None],
) -> web.StreamResponse | None:
    """Return an answer for the caller, or record how the attempt failed."""
    try:
        answer = await attempt
    except attempts.AttemptError as fault:
        if fault.lost is not None:
            await lost_answers.investigate(out, fault.lost)
        if outcomes.fault is None or not outcomes.fault.may_have_run:
            outcomes.fault = _without_frames(fault)
        return None
    if answer is not None and _is_final(out, answer):
        return answer
    outcomes.failure = answer or outcomes.failure
    return None


def _without_frames(fault: attempts.AttemptError) -> attempts.AttemptError:
    """Return an error without its traceback.

    The frames refer to what the attempt has received.
    """
    fault.__cause__ = None
    fault.__context__ = None
    return fault.with_traceback(None)


def _is_final(out: attempts.OutgoingCall, answer: web.StreamResponse) -> bool:
    return answer.status < _SERVER_ERROR or not out.route.is_idempotent
