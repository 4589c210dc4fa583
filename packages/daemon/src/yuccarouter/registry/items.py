"""Items of the registry streams and their JSON encoding.

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

    ``owner`` is the id of the owner instance that wrote the claim. Only this
    instance may report the claim as won: another one could do so while the
    writer releases it. ``body_digest`` distinguishes a repeated request from
    a different request with the same key.
    """

    key: str
    attempt_id: str
    owner: str
    value: str = ''
    body_digest: str = ''


@attrs.frozen
class Outcome:
    """The response to the attempt that holds a key.

    ``bill_row`` lets operators bill a request when both its entry and its
    agent failed before the row was written.
    """

    key: str
    attempt_id: str
    status: int
    body: bytes = b''
    content_type: str = ''
    bill_row: billing_rows.BillRow | None = None


@attrs.frozen
class Release:
    """States that an attempt did not run and never will.

    With ``owner``, it applies only to the claim that this instance wrote.
    """

    key: str
    attempt_id: str
    owner: str = ''


@attrs.frozen
class Gap:
    """States that claims before this record may be missing.

    Written by an owner that has found the stream rewound or emptied.
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
    """Return the payload of a log record with the items of ``batch``."""
    return {'items': [_unstructure(item) for item in batch]}


def decode(payload: Any) -> list[Item]:
    """Return the items in the payload of a log record.

    Raises ``ItemError`` when the payload is malformed.
    """
    try:
        documents = records.structure_field(
            payload, 'items', list[dict[str, Any]]
        )
        return [_structure(document) for document in documents]
    except records.ShapeError as fault:
        raise errors.ItemError(f'malformed registry record: {fault}') from fault


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
