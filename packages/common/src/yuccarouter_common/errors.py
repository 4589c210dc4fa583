"""Base class of the errors of every layer."""

from __future__ import annotations


class RouterError(Exception):
    """An error with a machine-readable code.

    Each layer derives its own errors from this class and converts the errors
    of the layer below, so that a caller handles the errors of one layer only.
    """

    code = 'internal'

    def __init__(self, message: str, *, code: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code
