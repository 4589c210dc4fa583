"""Records of the configuration stream and their JSON form."""

from __future__ import annotations

import enum
from typing import Any

import attrs
import cattrs
import orjson
from cattrs.preconf import orjson as orjson_preconf

from yuccarouter_common import errors


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
    """What must hold, in log order, for a change to have effect.

    ``expected_offset`` is the offset of the object's last change.
    ``expected`` maps fields of the object to the values they must have.
    """

    expected_offset: int | None = None
    expected: dict[str, Any] | None = None


@attrs.frozen
class Record:
    """A configuration change as it is written to the log.

    ``body`` holds the fields of the object of ``kind``; fields that are left
    out keep their values.
    """

    change_id: str
    author: str
    time_ms: int
    kind: Kind
    body: dict[str, Any]
    condition: Condition = Condition()


converter = orjson_preconf.make_converter(forbid_extra_keys=True)


def encode(record: Record) -> bytes:
    """Return the JSON form of a record."""
    return orjson.dumps(converter.unstructure(record))


def decode(payload: bytes | dict[str, Any]) -> Record:
    """Parse the JSON form of a record.

    Raises ``RecordError`` for anything that is not a valid record.
    """
    try:
        document = payload if isinstance(payload, dict) else _loads(payload)
        return converter.structure(document, Record)
    except (
        cattrs.BaseValidationError,
        AttributeError,
        ValueError,
        TypeError,
    ) as fault:
        raise RecordError(f'not a configuration record: {fault}') from fault


def _loads(payload: bytes) -> Any:
    return orjson.loads(payload)
