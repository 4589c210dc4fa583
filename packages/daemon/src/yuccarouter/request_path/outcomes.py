"""How a request ended, as its caller saw it; the base of all alerts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from yuccarouter.request_path import plan

OK: Final = 'ok'
REJECTED: Final = 'rejected'
LOST: Final = 'lost'
LATE: Final = 'late'
CALLER_ERROR: Final = 'caller_error'
CALLER_LEFT: Final = 'caller_left'

# Outcomes that alerts count; wrong answers are counted by load checks.
ALERTED: Final = (OK, REJECTED, LOST, LATE)

_LOST_CODES: Final = frozenset(('attempt_lost', 'upstream_failed'))
_LATE_CODES: Final = frozenset(('deadline_exceeded',))
_SERVER_ERRORS: Final = 500
_MS_PER_S: Final = 1000


def of_request(progress: plan.Progress, elapsed_s: float) -> str:
    """Return the outcome of a request that has got its last byte."""
    fault = progress.cut
    if fault is None:
        is_late = 0 < progress.bound_ms < elapsed_s * _MS_PER_S
        return LATE if is_late else OK
    if fault.code in _LOST_CODES:
        return LOST
    if fault.code in _LATE_CODES:
        return LATE
    # A caller's own mistake says nothing about the service.
    return REJECTED if fault.status >= _SERVER_ERRORS else CALLER_ERROR
