"""Looking up what an order names, and the change that it leads to."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs
from yuccarouter_common import model, records

from yuccactl import errors


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
    found = configuration.organisations.get(name)
    if found is None:
        known = names_of(configuration.organisations)
        raise errors.RejectedError(
            f'there is no organisation {name}; known: {known}'
        )
    return found


def version(
    configuration: model.Configuration,
    name: str,
) -> model.ModelVersion:
    found = configuration.versions.get(name)
    if found is None:
        known = names_of(configuration.versions)
        raise errors.RejectedError(
            f'there is no version {name}; known: {known}'
        )
    return found


def serving(
    configuration: model.Configuration,
    name: str,
) -> model.ModelVersion:
    found = version(configuration, name)
    if found.state == model.WITHDRAWN:
        raise errors.RejectedError(f'version {name} is withdrawn')
    return found


def rollout(configuration: model.Configuration, name: str) -> model.Rollout:
    found = configuration.rollouts.get(name)
    if found is None:
        known = names_of(configuration.rollouts)
        raise errors.RejectedError(
            f'there is no roll-out {name}; known: {known}'
        )
    return found


def version_body(name: str) -> dict[str, Any]:
    model_name, _, version = name.partition('@')
    return {'model': model_name, 'version': version}


def names_of(names: Iterable[str]) -> str:
    return ', '.join(sorted(names)) or 'none'
