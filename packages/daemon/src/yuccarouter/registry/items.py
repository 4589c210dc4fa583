"""Items of the registry streams and their JSON form.

One log record holds a batch: ``{"items": [{"item": "claim", ...}, ...]}``.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

import attrs

from yuccarouter.registry import errors
from yuccarouter_common import billing_rows, records

_TAG: Final = 'item'


@attrs.frozen
class Claim:
    """An attempt's claim to a key.

    ``owner`` identifies the process run that wrote it: only this run reports
    the claim as won, so that its own release can't meet another one's report.
    ``body_digest`` tells a repeated request from another one with its key.
    """

    key: str
    attempt_id: str
    owner: str
    value: str = ''
    body_digest: str = ''


@attrs.frozen
class Outcome:
    """The response to the attempt that holds a key.

    ``bill_row`` lets operators bill a request whose entry and agent were both
    lost before its row was written.
    """

    key: str
    attempt_id: str
    status: int
    body: bytes = b''
    content_type: str = ''
    bill_row: billing_rows.BillRow | None = None


@attrs.frozen
class Release:
    """States that an attempt certainly did not run and never will.

    With ``owner``, it concerns only the claim that this process run wrote.
    """

    key: str
    attempt_id: str
    owner: str = ''


@attrs.frozen
class Gap:
    """States that claims before this record may be missing.

    Written by a process that found the stream rewound.
    """

    reason: str = ''


Item = Claim | Outcome | Release | Gap

_KINDS: Final[dict[str, type[Any]]] = {
    'claim': Claim,
    'outcome': Outcome,
    'release': Release,
    'gap': Gap,
}
_NAMES: Final = {kind: name for name, kind in _KINDS.items()}


def encode(batch: Iterable[Item]) -> dict[str, Any]:
    """Return the payload of a log record with these items."""
    return {'items': [_unstructure(item) for item in batch]}


def decode(payload: Any) -> list[Item]:
    """Return the items of a log record's payload.

    Raises ``ItemError`` for a payload of another form.
    """
    try:
        documents = records.structure_field(
            payload, 'items', list[dict[str, Any]]
        )
        return [_structure(document) for document in documents]
    except records.ShapeError as fault:
        raise errors.ItemError(f'not a registry record: {fault}') from fault


def _unstructure(item: Item) -> dict[str, Any]:
    document = dict(records.converter.unstructure(item))
    document[_TAG] = _NAMES[type(item)]
    return document


def _structure(document: dict[str, Any]) -> Item:
    tag = document.pop(_TAG, None)
    kind = _KINDS.get(tag) if isinstance(tag, str) else None
    if kind is None:
        raise records.ShapeError('unknown kind of item')
    item: Item = records.structure(document, kind)
    return item
