"""Digests as datagrams: a long one is sent in several parts."""

from __future__ import annotations

from typing import Any, Final

import eliot
import orjson

from yuccarouter.gateway import metrics

# A longer datagram is split by the network, and lost with any of its pieces.
_MAX_BYTES: Final = 8000
# In each part; they tell whose it is.
_SENDER_FIELDS: Final = ('name', 'process', 'sent_ms', 'data_centre')
# In the first part: what peers must know of the sender's replicas.
_REPLICA_FIELDS: Final = ('newest', 'generations', 'ages_ms', 'reads')


def encode(digest: dict[str, Any]) -> list[bytes]:
    """Return the datagrams of a digest, most often one.

    A field that is too long for a datagram is left out and logged.
    """
    payload = orjson.dumps(digest)
    metrics.DIGEST_BYTES.set(len(payload))
    if len(payload) <= _MAX_BYTES:
        return [payload]
    sender = _chosen(digest, _SENDER_FIELDS)
    part = {**sender, **_chosen(digest, _REPLICA_FIELDS)}
    payloads: list[bytes] = []
    for field in sorted(digest.keys() - part.keys()):
        if _is_long({**sender, field: digest[field]}):
            eliot.log_message('digest_field_too_long', field=field)
            continue
        if _is_long({**part, field: digest[field]}):
            payloads.append(orjson.dumps(part))
            part = dict(sender)
        part[field] = digest[field]
    return [*payloads, orjson.dumps(part)]


def tells_replicas(digest: dict[str, Any]) -> bool:
    """Return whether a datagram has what tells of the sender's replicas."""
    return any(field in digest for field in _REPLICA_FIELDS)


def _chosen(digest: dict[str, Any], fields: tuple[str, ...]) -> dict[str, Any]:
    return {field: digest[field] for field in fields if field in digest}


def _is_long(digest: dict[str, Any]) -> bool:
    return len(orjson.dumps(digest)) > _MAX_BYTES
