"""Errors of the platform clients."""

from __future__ import annotations

from yuccarouter_common import errors


class PlatformError(errors.RouterError):
    """A call to a platform service failed."""

    code = 'platform_error'


class UnavailableError(PlatformError):
    """The service refused or was unreachable; the call had no effect."""

    code = 'platform_unavailable'


class AnswerLostError(PlatformError):
    """The answer was lost; the call may or may not have taken effect."""

    code = 'platform_answer_lost'


class RateLimitedError(UnavailableError):
    """The call exceeded the service's rate limit and had no effect."""

    code = 'platform_rate_limited'

    def __init__(self, message: str, retry_after_ms: int) -> None:
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class BadAnswerError(PlatformError):
    """The answer does not conform to the interface of the service."""

    code = 'platform_bad_answer'
