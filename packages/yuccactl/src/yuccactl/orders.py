"""Conversion of an order into the configuration record that executes it."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Any, Final

import attrs

from yuccactl import errors, fields, lookup, rollout_orders, statements
from yuccarouter_common import apply, clocks, model, records


@attrs.frozen
class Plan:
    """The record that an order appends and a description of its changes.

    ``record`` is ``None`` when the configuration already matches the order.
    """

    record: records.Record | None
    changes: list[str]


def plan(
    order: statements.Order,
    configuration: model.Configuration,
    author: str,
) -> Plan:
    """Return the record for ``order`` and a description of its changes.

    Raises ``errors.RejectedError`` when the order conflicts with the
    configuration.
    """
    change = _PLANNERS[type(order)](order, configuration)
    record = records.Record(
        change_id=uuid.uuid4().hex,
        author=author,
        time_ms=clocks.wall_ms(),
        kind=change.kind,
        body=change.body,
        condition=change.condition,
    )
    changes = describe(configuration, record)
    return Plan(record if changes else None, changes)


def describe(
    configuration: model.Configuration,
    record: records.Record,
) -> list[str]:
    """Return one line for each field that ``record`` would change.

    Raises ``errors.RejectedError`` when the record would be void.
    """
    offset = configuration.position.offset + 1
    applied, void = apply.apply_record(configuration, offset, record)
    if void is not None:
        raise errors.RejectedError(void.reason)
    table = _TABLES[record.kind]
    name = apply.object_name(record)
    before = getattr(configuration, table).get(name)
    after = getattr(applied, table)[name]
    label = f'{_LABELS[table]} {name}'
    if before is None:
        return [f'{label}: created', *_set_fields(label, after, record.body)]
    return [
        f'{label}: {field} {_text(old)} -> {_text(new)}'
        for field, old, new in _differences(before, after)
    ]


def _differences(before: Any, after: Any) -> list[tuple[str, Any, Any]]:
    names = [field.name for field in attrs.fields(type(after))]
    pairs = [
        (name, getattr(before, name), getattr(after, name)) for name in names
    ]
    return [
        (name, old, new)
        for name, old, new in pairs
        if old != new and name != 'changed_offset'
    ]


def _set_fields(label: str, created: Any, body: dict[str, Any]) -> list[str]:
    return [
        f'{label}: {name} = {_text(getattr(created, name))}'
        for name in body
        if name not in {'name', 'model', 'version'}
    ]


def _text(field_value: Any) -> str:
    if isinstance(field_value, tuple):
        return '[{0}]'.format(', '.join(map(_text, field_value)))
    return str(field_value)


def _create_organisation(
    order: statements.CreateOrganisation,
    configuration: model.Configuration,
) -> lookup.Change:
    existing = configuration.organisations.get(order.name)
    body = fields.fields_body(order.fields, model.Organisation)
    fields.check_organisation(body)
    change = lookup.Change(
        records.Kind.ORGANISATION,
        {'name': order.name, **body},
        lookup.unchanged(existing),
    )
    if existing is not None and order.fields:
        suggestion = statements.ChangeOrganisation(order.name, order.fields)
        fields.reject_if_different(existing, body, suggestion)
    return change


def _change_organisation(
    order: statements.ChangeOrganisation,
    configuration: model.Configuration,
) -> lookup.Change:
    existing = lookup.organisation(configuration, order.name)
    body = fields.fields_body(order.fields, model.Organisation)
    fields.check_organisation(body)
    return lookup.Change(
        records.Kind.ORGANISATION,
        {'name': order.name, **body},
        lookup.unchanged(existing),
    )


def _create_version(
    order: statements.CreateVersion,
    configuration: model.Configuration,
) -> lookup.Change:
    if order.pool not in configuration.pools:
        known = lookup.names_of(configuration.pools)
        raise errors.RejectedError(
            f'there is no pool {order.pool}; known: {known}'
        )
    existing = configuration.versions.get(order.version)
    body = fields.fields_body(order.fields, model.ModelVersion)
    if existing is not None:
        if existing.pool != order.pool:
            raise errors.RejectedError(
                f'{order.version} exists in pool {existing.pool}; '
                'a version does not move between pools'
            )
        suggestion = statements.ChangeVersion(order.version, order.fields)
        fields.reject_if_different(existing, body, suggestion)
    version_fields = {**lookup.version_body(order.version), 'pool': order.pool}
    return lookup.Change(
        records.Kind.MODEL_VERSION,
        {**version_fields, **body},
        lookup.unchanged(existing),
    )


def _change_version(
    order: statements.ChangeVersion,
    configuration: model.Configuration,
) -> lookup.Change:
    existing = lookup.version(configuration, order.version)
    body = fields.fields_body(order.fields, model.ModelVersion)
    return lookup.Change(
        records.Kind.MODEL_VERSION,
        {**lookup.version_body(order.version), **body},
        lookup.unchanged(existing),
    )


def _allow(
    order: statements.Allow,
    configuration: model.Configuration,
) -> lookup.Change:
    existing = lookup.organisation(configuration, order.organisation)
    lookup.serving(configuration, order.version)
    return lookup.Change(
        records.Kind.ALLOW,
        {'name': order.organisation, 'allowed': [order.version]},
        lookup.unchanged(existing),
    )


def _disallow(
    order: statements.Disallow,
    configuration: model.Configuration,
) -> lookup.Change:
    existing = lookup.organisation(configuration, order.organisation)
    return lookup.Change(
        records.Kind.DISALLOW,
        {'name': order.organisation, 'allowed': [order.version]},
        lookup.unchanged(existing),
    )


def _limit(
    order: statements.Limit,
    configuration: model.Configuration,
) -> lookup.Change:
    existing = lookup.organisation(configuration, order.organisation)
    return lookup.Change(
        records.Kind.LIMITS,
        {'name': order.organisation, 'max_concurrent': order.max_concurrent},
        lookup.unchanged(existing),
    )


def _withdraw(
    order: statements.Withdraw,
    configuration: model.Configuration,
) -> lookup.Change:
    lookup.version(configuration, order.version)
    # Unconditional: a concurrent change of the version must not void the
    # withdrawal and so keep a faulty version in use.
    return lookup.Change(
        records.Kind.WITHDRAW_VERSION,
        lookup.version_body(order.version),
        records.Condition(),
    )


def _take_out(
    order: statements.TakeOut,
    configuration: model.Configuration,
) -> lookup.Change:
    return _set_data_centre_state(
        configuration, order.data_centre, model.OUT_OF_SERVICE
    )


def _bring_back(
    order: statements.BringBack,
    configuration: model.Configuration,
) -> lookup.Change:
    return _set_data_centre_state(
        configuration, order.data_centre, model.IN_SERVICE
    )


def _set_data_centre_state(
    configuration: model.Configuration,
    name: str,
    state: str,
) -> lookup.Change:
    existing = configuration.data_centres.get(name)
    condition = lookup.unchanged(existing)
    if existing is not None:
        condition = records.Condition(expected={'state': existing.state})
    return lookup.Change(
        records.Kind.DATA_CENTRE,
        {'name': name, 'state': state},
        condition,
    )


# Field of ``model.Configuration`` that each kind of record changes.
_TABLES: Final[dict[records.Kind, str]] = {
    records.Kind.ORGANISATION: 'organisations',
    records.Kind.ALLOW: 'organisations',
    records.Kind.DISALLOW: 'organisations',
    records.Kind.LIMITS: 'organisations',
    records.Kind.MODEL_VERSION: 'versions',
    records.Kind.WITHDRAW_VERSION: 'versions',
    records.Kind.DATA_CENTRE: 'data_centres',
    records.Kind.ROLLOUT: 'rollouts',
}

_LABELS: Final[dict[str, str]] = {
    'organisations': 'organisation',
    'versions': 'version',
    'data_centres': 'data centre',
    'rollouts': 'roll-out',
}

_PLANNERS: Final[dict[type, Callable[..., lookup.Change]]] = {
    statements.CreateOrganisation: _create_organisation,
    statements.ChangeOrganisation: _change_organisation,
    statements.CreateVersion: _create_version,
    statements.ChangeVersion: _change_version,
    statements.Allow: _allow,
    statements.Disallow: _disallow,
    statements.Limit: _limit,
    statements.Withdraw: _withdraw,
    statements.RollOut: rollout_orders.roll_out,
    statements.Hold: rollout_orders.hold,
    statements.Resume: rollout_orders.resume,
    statements.TakeOut: _take_out,
    statements.BringBack: _bring_back,
}
