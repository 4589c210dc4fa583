"""Bill rows and their encoding in the billing stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import attrs
import orjson

from yuccarouter_common import errors, records

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarouter_common import model
    from yuccarouter_common.proto import router_pb2

STREAM: Final = 'billing'


class BillRowError(errors.RouterError):
    """A payload of the billing stream can't be decoded."""

    code = 'bad_bill_row'


@attrs.frozen
class BillRow:
    """The cost of one request; only its first row in the stream counts."""

    request_id: str
    organisation: str
    model: str
    version: str
    kind: str
    prompt_tokens: int
    completion_tokens: int
    cost_microcents: int
    entry: str
    attempt_id: str
    time_ms: int


def cost_microcents(
    version: model.ModelVersion | None,
    prompt_tokens: int,
    completion_tokens: int,
) -> int:
    """Return the price of the tokens, 0 for an unknown version."""
    if version is None:
        return 0
    return (
        prompt_tokens * version.prompt_price_microcents
        + completion_tokens * version.completion_price_microcents
    )


def attempt_row(
    request: router_pb2.RunRequest,
    usage: router_pb2.Usage,
    configuration: model.Configuration,
    time_ms: int,
) -> BillRow:
    """Return the bill row of an attempt whose answer is complete."""
    cost = cost_microcents(
        configuration.versions.get(f'{request.model}@{request.version}'),
        usage.prompt_tokens,
        usage.completion_tokens,
    )
    return BillRow(
        request_id=request.request_id,
        organisation=request.organisation,
        model=request.model,
        version=request.version,
        kind=request.kind,
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        cost_microcents=cost + request.price_microcents,
        entry=request.entry,
        attempt_id=request.attempt_id,
        time_ms=time_ms,
    )


def encode_row(row: BillRow) -> bytes:
    """Return the JSON form of one row."""
    return orjson.dumps(records.converter.unstructure(row))


def decode_row(document: Any) -> BillRow:
    """Decode a row from JSON text or from parsed JSON.

    Raises ``BillRowError`` when it is not a row.
    """
    try:
        if isinstance(document, bytes):
            document = records.loads(document)
        return records.structure(document, BillRow)
    except records.ShapeError as fault:
        raise BillRowError(f'not a bill row: {fault}') from fault


def batch_payload(rows: Iterable[BillRow]) -> dict[str, Any]:
    """Return the payload that appends the rows as one record."""
    return {'rows': [records.converter.unstructure(row) for row in rows]}


def decode_rows(payload: Any) -> list[BillRow]:
    """Decode the rows of one record of the billing stream.

    Raises ``BillRowError`` when the payload is not a batch of rows.
    """
    try:
        return records.structure_field(payload, 'rows', list[BillRow])
    except records.ShapeError as fault:
        raise BillRowError(f'not a batch of bill rows: {fault}') from fault


def first_rows(payloads: Iterable[Any]) -> dict[str, BillRow]:
    """Return the first row of each request id, in stream order."""
    first_by_id: dict[str, BillRow] = {}
    for payload in payloads:
        for row in decode_rows(payload):
            first_by_id.setdefault(row.request_id, row)
    return first_by_id
