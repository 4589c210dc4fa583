"""Applies configuration records in log order."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import attrs
import cattrs

from yuccarouter_common import model, records

_Table = tuple[str, type[Any]]

# Field of Configuration and type of the object that a record kind changes.
_TABLES: Final[dict[records.Kind, _Table]] = {
    records.Kind.ORGANISATION: ('organisations', model.Organisation),
    records.Kind.ALLOW: ('organisations', model.Organisation),
    records.Kind.DISALLOW: ('organisations', model.Organisation),
    records.Kind.LIMITS: ('organisations', model.Organisation),
    records.Kind.MODEL_VERSION: ('versions', model.ModelVersion),
    records.Kind.WITHDRAW_VERSION: ('versions', model.ModelVersion),
    records.Kind.CASCADE: ('cascades', model.Cascade),
    records.Kind.REQUEST_KIND: ('kinds', model.RequestKind),
    records.Kind.POOL: ('pools', model.Pool),
    records.Kind.SERVICE: ('services', model.Service),
    records.Kind.DATA_CENTRE: ('data_centres', model.DataCentre),
    records.Kind.ROLLOUT: ('rollouts', model.Rollout),
}

Outcome = model.Configuration | model.VoidChange


def apply_record(
    current: model.Configuration,
    offset: int,
    record: records.Record,
) -> tuple[model.Configuration, model.VoidChange | None]:
    """Return the configuration after the record at ``offset``.

    A record whose condition fails or whose body is invalid is void: it changes
    only the position, and the second value gives the reason. The result depends
    only on the records and their order, so it is the same in every process.
    """
    if record.kind is records.Kind.SNAPSHOT:
        return _apply_snapshot(current, offset, record)
    advanced = attrs.evolve(
        current,
        position=attrs.evolve(current.position, offset=offset),
    )
    field, object_type = _TABLES[record.kind]
    table: dict[str, Any] = getattr(current, field)
    name = object_name(record)
    existing = table.get(name)
    key = f'{field}/{name}'
    reason = _failed_condition(record.condition, existing)
    if reason:
        winner_offset = -1 if existing is None else existing.changed_offset
        return advanced, model.VoidChange(
            change_id=record.change_id,
            offset=offset,
            reason=reason,
            winner_change_id=current.last_changes.get(key, ''),
            winner_offset=winner_offset,
        )
    try:
        updated = _UPDATES.get(record.kind, _merge)(
            existing, record, object_type
        )
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as bad:
        return advanced, model.VoidChange(
            record.change_id, offset, f'invalid body: {bad}'
        )
    updated = attrs.evolve(updated, changed_offset=offset)
    changes: dict[str, Any] = {
        'last_changes': {**current.last_changes, key: record.change_id},
        field: {**table, name: updated},
    }
    return attrs.evolve(advanced, **changes), None


def object_name(record: records.Record) -> str:
    """Return the name of the object that a record changes."""
    if record.kind in {
        records.Kind.MODEL_VERSION,
        records.Kind.WITHDRAW_VERSION,
    }:
        model_name = record.body.get('model', '')
        return f'{model_name}@{record.body.get("version", "")}'
    return str(record.body.get('name', ''))


def snapshot_body(configuration: model.Configuration) -> dict[str, Any]:
    """Return the body of a snapshot record of a configuration."""
    document: dict[str, Any] = records.converter.unstructure(configuration)
    return document


def from_snapshot(body: dict[str, Any]) -> model.Configuration:
    """Return the configuration in a snapshot record's body.

    Raises ``records.RecordError`` when the body is not a configuration.
    """
    try:
        return records.structure(body, model.Configuration)
    except records.ShapeError as fault:
        raise records.RecordError(f'not a snapshot: {fault}') from fault


def _apply_snapshot(
    current: model.Configuration,
    offset: int,
    record: records.Record,
) -> tuple[model.Configuration, model.VoidChange | None]:
    try:
        snapshot = from_snapshot(record.body)
    except records.RecordError as fault:
        position = attrs.evolve(current.position, offset=offset)
        return attrs.evolve(current, position=position), model.VoidChange(
            record.change_id, offset, fault.message
        )
    generation = snapshot.position.generation
    if generation > current.position.generation:
        # A repair after the log was restored to older data: its state replaces
        # the current one.
        position = model.Position(generation, offset)
        return attrs.evolve(snapshot, position=position), None
    position = attrs.evolve(current.position, offset=offset)
    if current.position.offset < 0:
        return attrs.evolve(snapshot, position=position), None
    return attrs.evolve(current, position=position), None


def _failed_condition(condition: records.Condition, existing: Any) -> str:
    last_offset = -1 if existing is None else existing.changed_offset
    expected_offset = condition.expected_offset
    if expected_offset is not None and expected_offset != last_offset:
        return f'expected last change at {expected_offset}, found {last_offset}'
    for field, expected in (condition.expected or {}).items():
        actual = getattr(existing, field, None)
        if actual != expected:
            return f'expected {field} = {expected!r}, found {actual!r}'
    return ''


def _merge(
    existing: Any, record: records.Record, object_type: type[Any]
) -> Any:
    body = {
        field: value
        for field, value in record.body.items()
        if field != 'changed_offset'
    }
    if existing is not None:
        body = {**records.converter.unstructure(existing), **body}
    return records.converter.structure(body, object_type)


def _withdraw(
    existing: Any, record: records.Record, object_type: type[Any]
) -> Any:
    _require_exists(existing, record)
    return attrs.evolve(existing, state=model.WITHDRAWN)


def _allow(
    existing: Any, record: records.Record, object_type: type[Any]
) -> Any:
    _require_exists(existing, record)
    added = tuple(
        name for name in record.body['allowed'] if name not in existing.allowed
    )
    return attrs.evolve(existing, allowed=existing.allowed + added)


def _disallow(
    existing: Any, record: records.Record, object_type: type[Any]
) -> Any:
    _require_exists(existing, record)
    removed = set(record.body['allowed'])
    kept = tuple(name for name in existing.allowed if name not in removed)
    return attrs.evolve(existing, allowed=kept)


def _change_limits(
    existing: Any, record: records.Record, object_type: type[Any]
) -> Any:
    _require_exists(existing, record)
    return _merge(existing, record, object_type)


def _require_exists(existing: Any, record: records.Record) -> None:
    if existing is None:
        raise ValueError(f'{object_name(record)!r} does not exist')


_UPDATES: Final[
    dict[records.Kind, Callable[[Any, records.Record, type[Any]], Any]]
] = {
    records.Kind.WITHDRAW_VERSION: _withdraw,
    records.Kind.ALLOW: _allow,
    records.Kind.DISALLOW: _disallow,
    records.Kind.LIMITS: _change_limits,
}
