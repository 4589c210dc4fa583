"""Errors of routing decisions."""

from __future__ import annotations

from yuccarouter_common import errors


class RoutingError(errors.RouterError):
    """A request can't be routed; nothing has been sent to an endpoint.

    ``retry_after_ms`` is 0 when a retry is pointless.
    """

    code = 'no_endpoint'

    def __init__(
        self,
        message: str,
        *,
        code: str | None = None,
        retry_after_ms: int = 0,
    ) -> None:
        super().__init__(message, code=code)
        self.retry_after_ms = retry_after_ms
