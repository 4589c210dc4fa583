"""The documented refusal codes, their HTTP status and JSON form."""

from __future__ import annotations

from typing import Final

import attrs

from yuccarouter_common import errors

# Outcomes of a refused request.
NOT_RUN: Final = 'not_run'
UNKNOWN: Final = 'unknown'

# By refusal code.
HTTP_STATUS: Final[dict[str, int]] = {
    'unauthenticated': 401,
    'version_not_allowed': 403,
    'unknown_model': 404,
    'unknown_service': 404,
    'not_found': 404,
    'method_not_allowed': 405,
    'invalid_request': 400,
    'body_too_large': 413,
    'headers_too_large': 431,
    'request_timeout': 408,
    'idempotency_conflict': 409,
    'in_progress': 409,
    'outcome_unknown': 409,
    'attempt_lost': 504,
    'deadline_exceeded': 504,
    'deadline_too_short': 503,
    'overloaded': 503,
    'organisation_limit': 429,
    'no_endpoint': 503,
    'prompt_held': 503,
    'request_held': 503,
    'log_unavailable': 503,
    'session_version_withdrawn': 409,
    'configuration_stale': 503,
    'upstream_failed': 502,
    'shutting_down': 503,
    'internal': 500,
}


class RefusalError(errors.RouterError):
    """A request was refused or failed; ``outcome`` says if it may have run.

    ``outcome`` is ``not_run`` only when it is certain that no endpoint has
    started the request. ``retry_after_ms`` is 0 when a retry is pointless.
    """

    def __init__(
        self,
        code: str,
        message: str,
        *,
        outcome: str = NOT_RUN,
        retry_after_ms: int = 0,
    ) -> None:
        super().__init__(message, code=code)
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return HTTP_STATUS.get(self.code, HTTP_STATUS['internal'])


@attrs.frozen
class RefusalBody:
    """The JSON object under ``error`` in a refusal."""

    message: str
    type: str
    code: str
    outcome: str
    retry_after_ms: int
    param: str | None = None


def error_body(error: RefusalError) -> RefusalBody:
    """Return the content of ``error`` in the answer to a refused request."""
    kind = 'server_error' if error.status >= 500 else 'invalid_request_error'
    return RefusalBody(
        message=error.message,
        type=kind,
        code=error.code,
        outcome=error.outcome,
        retry_after_ms=error.retry_after_ms,
    )
