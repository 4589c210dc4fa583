"""Typed statements of the operators' language and their formatting as text."""

from __future__ import annotations

import functools
import json
import re
from typing import Final

import attrs

Scalar = str | int | float | bool
Value = Scalar | tuple[Scalar, ...]

_UNQUOTED_NAME: Final = re.compile(r'[A-Za-z0-9_/.][\w.:/-]*', re.ASCII)
_VERSION: Final = re.compile(
    r'[A-Za-z0-9_][\w.:/-]*@[A-Za-z0-9_][\w.:/-]*', re.ASCII
)
_LITERAL: Final = re.compile(r'true|false|-?\d+(\.\d+)?([eE][+-]?\d+)?')


@attrs.frozen
class Field:
    """A field and the value that it is compared with or set to."""

    name: str
    value: Value


@attrs.frozen
class Show:
    """Lists objects that match every condition of ``where``."""

    thing: str
    where: tuple[Field, ...] = ()


@attrs.frozen
class ExplainRequest:
    """Shows how each daemon handled a request."""

    request_id: str


@attrs.frozen
class ExplainEndpoint:
    """Shows what each daemon reports about an endpoint."""

    endpoint: str


@attrs.frozen
class WhyNot:
    """Lists what prevents an organisation's requests from using a version."""

    version: str
    organisation: str


@attrs.frozen
class History:
    """Lists the recorded changes that concern a version."""

    version: str


@attrs.frozen
class CreateOrganisation:
    """Creates an organisation."""

    name: str
    fields: tuple[Field, ...] = ()


@attrs.frozen
class ChangeOrganisation:
    """Changes fields of an existing organisation."""

    name: str
    fields: tuple[Field, ...]


@attrs.frozen
class CreateVersion:
    """Creates a version of a model, served by a pool."""

    version: str
    pool: str
    fields: tuple[Field, ...] = ()


@attrs.frozen
class ChangeVersion:
    """Changes fields of an existing version."""

    version: str
    fields: tuple[Field, ...]


@attrs.frozen
class Allow:
    """Allows an organisation to use a version."""

    version: str
    organisation: str


@attrs.frozen
class Disallow:
    """Revokes what ``Allow`` granted."""

    version: str
    organisation: str


@attrs.frozen
class RollOut:
    """Starts replacing one version by another."""

    version: str
    baseline: str


@attrs.frozen
class Hold:
    """Pauses a roll-out at its present share."""

    rollout: str


@attrs.frozen
class Resume:
    """Resumes a held roll-out."""

    rollout: str


@attrs.frozen
class Withdraw:
    """Withdraws a version permanently."""

    version: str


@attrs.frozen
class TakeOut:
    """Takes a data centre out of service."""

    data_centre: str


@attrs.frozen
class BringBack:
    """Brings a data centre back into service."""

    data_centre: str


@attrs.frozen
class Limit:
    """Sets an organisation's maximum number of concurrent requests."""

    organisation: str
    max_concurrent: int


@attrs.frozen
class BillReconcile:
    """Appends bill rows that are missing for recorded outcomes."""


@attrs.frozen
class RepairConfiguration:
    """Appends the daemons' configuration to a log that was rewound."""


@attrs.frozen
class SettingsCheck:
    """Checks a settings file of this program or of a daemon."""

    path: str


@attrs.frozen
class Incomplete:
    """Text that omits part of a statement.

    ``words`` are the names in the text, in order, and ``form`` holds the
    keywords that identify the statement.
    """

    form: str
    words: tuple[str, ...]


Query = Show | ExplainRequest | ExplainEndpoint | WhyNot | History
Order = (
    CreateOrganisation
    | ChangeOrganisation
    | CreateVersion
    | ChangeVersion
    | Allow
    | Disallow
    | RollOut
    | Hold
    | Resume
    | Withdraw
    | TakeOut
    | BringBack
    | Limit
)
Statement = (
    Query
    | Order
    | BillReconcile
    | RepairConfiguration
    | SettingsCheck
    | Incomplete
)

# Text of every statement except ``Show`` and ``Incomplete``, without its
# fields.
_TEMPLATES: Final[dict[type, str]] = {
    ExplainRequest: 'explain request {request_id}',
    ExplainEndpoint: 'explain endpoint {endpoint}',
    WhyNot: 'why not {version} for {organisation}',
    History: 'history of {version}',
    CreateOrganisation: 'create organisation {name}',
    ChangeOrganisation: 'change organisation {name}',
    CreateVersion: 'create version {version} in pool {pool}',
    ChangeVersion: 'change version {version}',
    Allow: 'allow {version} for {organisation}',
    Disallow: 'disallow {version} for {organisation}',
    RollOut: 'roll out {version} over {baseline}',
    Hold: 'hold rollout {rollout}',
    Resume: 'resume rollout {rollout}',
    Withdraw: 'withdraw {version}',
    TakeOut: 'take out data_centre {data_centre}',
    BringBack: 'bring back data_centre {data_centre}',
    Limit: 'limit {organisation} to {max_concurrent} concurrent',
    BillReconcile: 'bill reconcile',
    RepairConfiguration: 'repair configuration',
    SettingsCheck: 'settings check {path}',
}


def text_of(statement: Statement) -> str:
    """Return the text that parses to ``statement``.

    >>> text_of(Show('endpoints', (Field('state', 'cold'),)))
    'show endpoints where state = cold'
    """
    if isinstance(statement, Show):
        conditions = ' and '.join(map(_field_text, statement.where))
        suffix = f' where {conditions}' if conditions else ''
        return f'show {statement.thing}{suffix}'
    if isinstance(statement, Incomplete):
        return ' '.join((statement.form, *map(_name_text, statement.words)))
    names = {
        attribute.name: _attribute_text(
            attribute.name, getattr(statement, attribute.name)
        )
        for attribute in attrs.fields(type(statement))
        if attribute.name != 'fields'
    }
    text = _TEMPLATES[type(statement)].format(**names)
    assignments = ', '.join(map(_field_text, getattr(statement, 'fields', ())))
    return f'{text} with {assignments}' if assignments else text


@functools.singledispatch
def value_text(value: Value) -> str:
    """Return the text that the grammar parses to ``value``."""
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


@value_text.register
def _(value: str) -> str:
    if _UNQUOTED_NAME.fullmatch(value) and not _LITERAL.fullmatch(value):
        return value
    return json.dumps(value)


@value_text.register(tuple)
def _list_text(value: tuple[Scalar, ...]) -> str:
    return '[{0}]'.format(', '.join(map(value_text, value)))


def _field_text(field: Field) -> str:
    return f'{field.name} = {value_text(field.value)}'


def _attribute_text(attribute: str, value: Value) -> str:
    if attribute in {'version', 'baseline'} or not isinstance(value, str):
        return str(value)
    if attribute == 'rollout' and _VERSION.fullmatch(value):
        return value
    return _name_text(value)


def _name_text(name: str) -> str:
    return name if _UNQUOTED_NAME.fullmatch(name) else json.dumps(name)
