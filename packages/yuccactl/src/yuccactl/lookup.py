"""Looking up what an order names, and the change that it leads to."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

import attrs

from yuccactl import errors
from yuccarouter_common import model, records

_Object = TypeVar('_Object')


@attrs.frozen
class Change:
    """Kind, body and condition of the record of an order."""

    kind: records.Kind
    body: dict[str, Any]
    condition: records.Condition


def unchanged(existing: Any) -> records.Condition:
    """The condition that an object has not changed since it was read."""
    offset = -1 if existing is None else existing.changed_offset
    return records.Condition(expected_offset=offset)


def organisation(
    configuration: model.Configuration,
    name: str,
) -> model.Organisation:
    return _found('organisation', configuration.organisations, name)


def version(
    configuration: model.Configuration,
    name: str,
) -> model.ModelVersion:
    return _found('version', configuration.versions, name)


def serving(
    configuration: model.Configuration,
    name: str,
) -> model.ModelVersion:
    found = version(configuration, name)
    if found.state == model.WITHDRAWN:
        raise errors.RejectedError(f'version {name} is withdrawn')
    return found


def rollout(configuration: model.Configuration, name: str) -> model.Rollout:
    return _found('roll-out', configuration.rollouts, name)


def version_body(name: str) -> dict[str, Any]:
    model_name, _, version = name.partition('@')
    return {'model': model_name, 'version': version}


def names_of(names: Iterable[str]) -> str:
    return ', '.join(sorted(names)) or 'none'


def _found(kind: str, table: Mapping[str, _Object], name: str) -> _Object:
    found = table.get(name)
    if found is None:
        raise errors.RejectedError(
            f'there is no {kind} {name}; known: {names_of(table)}'
        )
    return found
