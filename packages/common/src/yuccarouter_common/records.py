"""Records of the configuration stream and their JSON form."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, Final, TypeVar

import attrs
import cattrs
import orjson
from cattrs.preconf import orjson as orjson_preconf

from yuccarouter_common import errors

if TYPE_CHECKING:
    from collections.abc import Iterable

_Value = TypeVar('_Value')

# The parser accepts 1,024 levels. At about as many, functions that call
# themselves for each level, such as ``repr``, raise ``RecursionError``.
_MAX_LEVELS: Final = 500


class ShapeError(errors.RouterError):
    """JSON does not match the structure of the expected type."""

    code = 'bad_shape'


class RecordError(errors.RouterError):
    """A configuration record can't be decoded."""

    code = 'bad_record'


class Kind(enum.StrEnum):
    """What a configuration record changes."""

    ORGANISATION = 'organisation'
    MODEL_VERSION = 'model_version'
    WITHDRAW_VERSION = 'withdraw_version'
    ALLOW = 'allow'
    DISALLOW = 'disallow'
    CASCADE = 'cascade'
    REQUEST_KIND = 'request_kind'
    POOL = 'pool'
    SERVICE = 'service'
    DATA_CENTRE = 'data_centre'
    LIMITS = 'limits'
    ROLLOUT = 'rollout'
    SNAPSHOT = 'snapshot'


@attrs.frozen
class Condition:
    """Preconditions of a change, checked when its record is applied.

    ``expected_offset`` is the offset of the object's last change, or -1 when
    the object must not exist. ``expected`` maps fields of the object to the
    values they must have.
    """

    expected_offset: int | None = None
    expected: dict[str, Any] | None = None


@attrs.frozen
class Record:
    """A configuration change as it is written to the log.

    ``body`` contains the fields of the changed object; omitted fields keep
    their values.
    """

    change_id: str
    author: str
    time_ms: int
    kind: Kind
    body: dict[str, Any]
    condition: Condition = Condition()


converter = orjson_preconf.make_converter(forbid_extra_keys=True)


def loads(text: bytes) -> Any:
    """Parse a JSON text; raises ``ShapeError``."""
    try:
        document = orjson.loads(text)
    except (orjson.JSONDecodeError, TypeError) as fault:
        raise ShapeError(f'not JSON: {fault}') from fault
    if _is_too_deep(document):
        raise ShapeError('JSON is nested too deeply')
    return document


def _is_too_deep(document: Any) -> bool:
    level = [document]
    for _ in range(_MAX_LEVELS):
        level = [inner for each in level for inner in _inner_values(each)]
        if not level:
            return False
    return True


def _inner_values(value: Any) -> Iterable[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def structure(document: Any, value_type: type[_Value]) -> _Value:
    """Convert parsed JSON to ``value_type``; raises ``ShapeError``.

    Also converts the built-in errors that the converter raises for JSON of
    another type, such as a string or null, so that decoders need not know them.
    """
    try:
        return converter.structure(document, value_type)
    except (
        cattrs.BaseValidationError,
        AttributeError,
        LookupError,
        TypeError,
        ValueError,
    ) as fault:
        raise ShapeError(str(fault)) from fault


def structure_field(
    document: Any, name: str, value_type: type[_Value]
) -> _Value:
    """Convert one field of a JSON object; raises ``ShapeError``."""
    if not isinstance(document, dict) or name not in document:
        raise ShapeError(f'expected an object with field {name!r}')
    return structure(document[name], value_type)


def encode(record: Record) -> bytes:
    """Return the JSON form of a record."""
    return orjson.dumps(converter.unstructure(record))


def decode(payload: bytes | dict[str, Any]) -> Record:
    """Parse the JSON form of a record.

    Raises ``RecordError`` for anything that is not a valid record.
    """
    try:
        document = loads(payload) if isinstance(payload, bytes) else payload
        return structure(document, Record)
    except ShapeError as fault:
        raise RecordError(f'not a configuration record: {fault}') from fault
