"""Errors of the platform clients."""

from __future__ import annotations

from yuccarouter_common import errors


class PlatformError(errors.RouterError):
    """A platform service could not be used."""

    code = 'platform_error'


class UnavailableError(PlatformError):
    """The service refused or could not be reached; nothing took effect."""

    code = 'platform_unavailable'


class AnswerLostError(PlatformError):
    """The answer was lost; the call may or may not have taken effect."""

    code = 'platform_answer_lost'


class RateLimitedError(UnavailableError):
    """The service asks to come back later; nothing took effect."""

    code = 'platform_rate_limited'

    def __init__(self, message: str, retry_after_ms: int) -> None:
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class BadAnswerError(PlatformError):
    """The service answered with something that its interface does not allow."""

    code = 'platform_bad_answer'
