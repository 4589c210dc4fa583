"""Errors of the registry."""

from __future__ import annotations

from yuccarouter_common import errors


class RegistryError(errors.RouterError):
    """A registry partition can't be used."""

    code = 'registry_error'


class QueueFullError(RegistryError):
    """Too many items wait to be written to a partition."""

    code = 'registry_queue_full'


class ItemError(RegistryError):
    """An item of a registry stream can't be decoded."""

    code = 'bad_registry_item'
