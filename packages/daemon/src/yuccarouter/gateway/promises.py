"""What callers are promised by the status of an answer.

Some statuses state that a request has not run and never will, so that callers
send even those again that may run only once. Only the gateway knows all
attempts of a request: an endpoint's status states nothing for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from yuccarouter.gateway import attempts

_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


def states_not_run(status: int) -> bool:
    """Return whether callers take a status for that statement."""
    return status in _NOT_RUN_STATUSES


def may_have_run(out: attempts.OutgoingCall) -> bool:
    """Return whether an attempt may have run the request.

    Attempts that an endpoint refused or that never reached one have not.
    """
    return out.has_run or out.runs > 0
