"""Validation of the fields that an order sets."""

from __future__ import annotations

import re
from typing import Any, Final

import attrs

from yuccactl import errors, lookup, statements
from yuccarouter_common import model

# Fields that only other statements or the log itself can change.
_RESERVED_FIELDS: Final = frozenset(
    (
        'name',
        'model',
        'version',
        'pool',
        'state',
        'changed_offset',
    )
)
_NON_NEGATIVE_FIELDS: Final = ('max_concurrent', 'stale_limit_ms')
_DIGEST_PATTERN: Final = re.compile('[0-9a-f]{64}')


def fields_body(
    fields: tuple[statements.Field, ...],
    kind: type[Any],
) -> dict[str, Any]:
    """Return the record's body for the fields that an order sets.

    Raises ``errors.UsageError`` for a field that can't be set or a value of
    another type.
    """
    known = {field.name for field in attrs.fields(kind)} - _RESERVED_FIELDS
    body: dict[str, Any] = {}
    for field in fields:
        if field.name not in known:
            raise errors.UsageError(
                f'{field.name} can not be set; known: {lookup.names_of(known)}'
            )
        if field.name in body:
            raise errors.UsageError(f'{field.name} is set twice')
        body[field.name] = _wire_value(field, kind)
    return body


def _wire_value(field: statements.Field, kind: type[Any]) -> Any:
    # Checked here, because cattrs would turn "abc" into a list of letters
    # and a list into its string representation.
    default = attrs.fields_dict(kind)[field.name].default
    if isinstance(default, tuple) != isinstance(field.value, tuple):
        form = 'a list' if isinstance(default, tuple) else 'not a list'
        raise errors.UsageError(f'{field.name} must be {form}')
    if isinstance(field.value, tuple):
        return [str(part) for part in field.value]
    is_text = isinstance(field.value, str)
    if isinstance(default, str) != is_text or isinstance(field.value, bool):
        raise errors.UsageError(
            f'{field.name} must be a {type(default).__name__}'
        )
    if isinstance(default, int) and not isinstance(field.value, int):
        raise errors.UsageError(f'{field.name} must be a whole number')
    return field.value


def check_organisation(body: dict[str, Any]) -> None:
    """Raise ``errors.UsageError`` for values that are not valid."""
    if body.get('weight', 1) <= 0:
        raise errors.UsageError('weight must be above 0')
    if min(body.get(limit, 0) for limit in _NON_NEGATIVE_FIELDS) < 0:
        raise errors.UsageError(
            f'{lookup.names_of(_NON_NEGATIVE_FIELDS)} must not be negative'
        )
    if not all(map(_DIGEST_PATTERN.fullmatch, body.get('key_digests', ()))):
        raise errors.UsageError(
            'key_digests are SHA-256 digests of 64 hexadecimal digits'
        )
    for field, allowed in _ALLOWED_VALUES.items():
        if field in body and body[field] not in allowed:
            raise errors.UsageError(
                f'{field} must be one of: {lookup.names_of(allowed)}'
            )


_ALLOWED_VALUES: Final[dict[str, tuple[str, ...]]] = {
    'stale_policy': (model.SERVE, model.REFUSE),
    'on_withdrawn_session': ('refuse', 'move'),
}


def reject_if_different(
    existing: Any,
    body: dict[str, Any],
    instead: statements.Statement,
) -> None:
    """Raise ``errors.AmbiguousError`` if ``existing`` has other values.

    The message suggests the statement ``instead``.
    """
    different = [
        name
        for name, wanted in body.items()
        if _comparable(wanted) != getattr(existing, name)
    ]
    if different:
        raise errors.AmbiguousError(
            f'it exists with other values of {lookup.names_of(different)}; '
            f'to change them: {statements.text_of(instead)}'
        )


def _comparable(wanted: Any) -> Any:
    return tuple(wanted) if isinstance(wanted, list) else wanted
