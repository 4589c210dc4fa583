"""Errors of the operators' program, each with its exit status."""

from __future__ import annotations

from typing import Final

from yuccarouter_common import errors

DONE: Final = 0
BAD_USAGE: Final = 2
REJECTED: Final = 3
NOT_YET: Final = 4
UNKNOWN: Final = 5


class CommandError(errors.RouterError):
    """A statement was not executed."""

    code = 'rejected'
    exit_status = REJECTED


class UsageError(CommandError):
    """The text, a field, a flag or a settings file is not valid."""

    code = 'bad_usage'
    exit_status = BAD_USAGE


class AmbiguousError(CommandError):
    """The statement is ambiguous; the message suggests exact statements."""

    code = 'ambiguous'


class RejectedError(CommandError):
    """The order conflicts with the configuration; nothing was changed."""


class NotYetError(CommandError):
    """The change is recorded but not confirmed by every daemon."""

    code = 'not_yet_in_effect'
    exit_status = NOT_YET


class UnknownError(CommandError):
    """It is not known whether the change was recorded."""

    code = 'unknown'
    exit_status = UNKNOWN
