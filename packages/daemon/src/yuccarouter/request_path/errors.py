"""Errors inside the request path; callers see refusals instead."""

from __future__ import annotations

from yuccarouter_common import errors


class AttemptError(errors.RouterError):
    """An attempt has not given a complete answer."""

    code = 'attempt_failed'


class AttemptRefusedError(AttemptError):
    """The agent refused the attempt; its endpoint has not received it."""

    code = 'attempt_refused'

    def __init__(
        self, message: str, *, code: str, retry_after_ms: int = 0
    ) -> None:
        super().__init__(message, code=code)
        self.retry_after_ms = retry_after_ms


class AttemptLostError(AttemptError):
    """The attempt failed; its endpoint may have run it in part or in full."""

    code = 'attempt_lost'


class RegistryUnavailableError(errors.RouterError):
    """No owner of a registry partition has answered."""

    code = 'log_unavailable'
