"""Lookup of the objects that an order names, and the resulting change."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

import attrs

from yuccactl import errors
from yuccarouter_common import model, records

_Object = TypeVar('_Object')


@attrs.frozen
class Change:
    """Kind, body and condition of the record that an order appends."""

    kind: records.Kind
    body: dict[str, Any]
    condition: records.Condition


def unchanged(existing: Any) -> records.Condition:
    """Return the condition that an object is unchanged since it was read."""
    offset = -1 if existing is None else existing.changed_offset
    return records.Condition(expected_offset=offset)


def organisation(
    configuration: model.Configuration,
    name: str,
) -> model.Organisation:
    return _existing('organisation', configuration.organisations, name)


def version(
    configuration: model.Configuration,
    name: str,
) -> model.ModelVersion:
    return _existing('version', configuration.versions, name)


def serving(
    configuration: model.Configuration,
    name: str,
) -> model.ModelVersion:
    """Return a version that is not withdrawn.

    Raises ``errors.RejectedError`` when it is withdrawn or does not exist.
    """
    model_version = version(configuration, name)
    if model_version.state == model.WITHDRAWN:
        raise errors.RejectedError(f'version {name} is withdrawn')
    return model_version


def rollout(configuration: model.Configuration, name: str) -> model.Rollout:
    return _existing('roll-out', configuration.rollouts, name)


def version_body(name: str) -> dict[str, Any]:
    model_name, _, version = name.partition('@')
    return {'model': model_name, 'version': version}


def names_of(names: Iterable[str]) -> str:
    return ', '.join(sorted(names)) or 'none'


def _existing(kind: str, table: Mapping[str, _Object], name: str) -> _Object:
    existing = table.get(name)
    if existing is None:
        raise errors.RejectedError(
            f'there is no {kind} {name}; known: {names_of(table)}'
        )
    return existing
