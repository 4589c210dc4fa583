"""Rows of the bill and how readers of the stream count them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import attrs
import cattrs

from yuccarouter_common import errors, records

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarouter_common import model

STREAM: Final = 'billing'


class BillRowError(errors.RouterError):
    """A payload of the billing stream can't be decoded."""

    code = 'bad_bill_row'


@attrs.frozen
class BillRow:
    """What one request cost. Readers keep the first row of a request id."""

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
    """Return the price of the tokens at the version's prices."""
    if version is None:
        return 0
    return (
        prompt_tokens * version.prompt_price_microcents
        + completion_tokens * version.completion_price_microcents
    )


def payload_of(rows: Iterable[BillRow]) -> dict[str, Any]:
    """Return the payload of one append that holds the rows."""
    return {'rows': [records.converter.unstructure(row) for row in rows]}


def rows_of(payload: Any) -> list[BillRow]:
    """Return the rows of one record of the billing stream.

    Raises ``BillRowError`` when the payload is not a batch of rows.
    """
    try:
        return records.converter.structure(payload['rows'], list[BillRow])
    except (
        cattrs.BaseValidationError,
        KeyError,
        TypeError,
        ValueError,
    ) as fault:
        raise BillRowError(f'not a batch of bill rows: {fault}') from fault


def first_rows(payloads: Iterable[Any]) -> dict[str, BillRow]:
    """Return the row that counts for each request id, in stream order."""
    counted: dict[str, BillRow] = {}
    for payload in payloads:
        for row in rows_of(payload):
            counted.setdefault(row.request_id, row)
    return counted
