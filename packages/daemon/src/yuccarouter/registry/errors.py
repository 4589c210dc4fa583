"""Errors of the registry."""

from __future__ import annotations

from yuccarouter_common import errors


class RegistryError(errors.RouterError):
    """A registry partition can't be read or written."""

    code = 'registry_error'


class QueueFullError(RegistryError):
    """The write queue of a partition is full."""

    code = 'registry_queue_full'


class ItemError(RegistryError):
    """An item of a registry stream can't be decoded."""

    code = 'bad_registry_item'
