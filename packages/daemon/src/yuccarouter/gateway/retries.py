"""Attempts of one request at one endpoint after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.gateway import attempts, refusal_responses

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

    from yuccarouter.gateway import choice

_SERVER_ERROR: Final = 500
# Sends of one request, with those that endpoints refused.
_MAX_SENDS: Final = 8


async def until_answered(
    out: attempts.OutgoingCall,
    choose: Callable[[], choice.Choice | None],
    attempt: Callable[[choice.Choice], Awaitable[web.StreamResponse | None]],
) -> web.StreamResponse:
    """Return an endpoint's answer; raises ``RefusalError``.

    A request that may run once only is sent again only after a promise that
    it has not run. Others are repeated within the route's attempts and the
    budget; the last failure of an endpoint is passed on as it is. ``attempt``
    returns ``None`` when another model has to be asked.
    """
    ended = _Ended()
    while ended.may_go_on(out):
        chosen = choose()
        if chosen is None:
            break
        answer = await _try(out, ended, attempt(chosen))
        if answer is not None:
            return answer
    if ended.failure is not None:
        return ended.failure
    raise refusal_responses.after_failed_attempts(out, ended.lost)


@attrs.define
class _Ended:
    """How earlier attempts ended, with the failure that leaves most open."""

    failure: web.StreamResponse | None = None
    lost: attempts.AttemptError | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether one of the attempts may have run."""
        return self.lost is not None and self.lost.may_have_run

    def may_go_on(self, out: attempts.OutgoingCall) -> bool:
        """Return whether the request may be sent once more."""
        if self.may_have_run and not out.route.is_idempotent:
            return False
        return out.remaining_ms() > 0 and out.sends < _MAX_SENDS


async def _try(
    out: attempts.OutgoingCall,
    ended: _Ended,
    attempt: Awaitable[web.StreamResponse | None],
) -> web.StreamResponse | None:
    """Return an answer for the caller, or note how the attempt ended."""
    try:
        answer = await attempt
    except attempts.AttemptError as fault:
        if not ended.may_have_run:
            ended.lost = fault
        return None
    if answer is not None and _is_final(out, answer):
        return answer
    ended.failure = answer or ended.failure
    return None


def _is_final(out: attempts.OutgoingCall, answer: web.StreamResponse) -> bool:
    return answer.status < _SERVER_ERROR or not out.route.is_idempotent
