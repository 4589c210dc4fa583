"""Errors of the configuration layer."""

from __future__ import annotations

from yuccarouter_common import errors


class ConfigurationError(errors.RouterError):
    """The configuration can't be read or exchanged."""

    code = 'configuration_error'


class DivergedError(ConfigurationError):
    """A peer has a different record or state at a position known to both."""

    code = 'configuration_diverged'
