"""Outcomes of requests as their callers see them, on which alerts rely."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from yuccarouter.request_path import request_types

OK: Final = 'ok'
REJECTED: Final = 'rejected'
LOST: Final = 'lost'
LATE: Final = 'late'
CALLER_ERROR: Final = 'caller_error'
CALLER_LEFT: Final = 'caller_left'

# Outcomes that alerts use. Load checks count wrong answers.
ALERTED: Final = (OK, REJECTED, LOST, LATE)

_LOST_CODES: Final = frozenset(('attempt_lost', 'upstream_failed'))
_LATE_CODES: Final = frozenset(('deadline_exceeded',))
_MIN_SERVER_ERROR_STATUS: Final = 500
_MS_PER_S: Final = 1000


def request_outcome(progress: request_types.Progress, elapsed_s: float) -> str:
    """Return the outcome of a request whose answer has been sent."""
    fault = progress.refusal
    if fault is None:
        is_late = 0 < progress.bound_ms < elapsed_s * _MS_PER_S
        return LATE if is_late else OK
    if fault.code in _LOST_CODES:
        return LOST
    if fault.code in _LATE_CODES:
        return LATE
    # A caller's mistake is no failure of the service.
    return (
        REJECTED if fault.status >= _MIN_SERVER_ERROR_STATUS else CALLER_ERROR
    )
