"""Builds and applies the messages by which peers exchange configuration.

Anti-entropy: a process sends a digest of its state to a peer, and the peer
returns a delta with the records that the process lacks.
"""

from __future__ import annotations

import math
from typing import Any, Final

import attrs
import orjson

from yuccarouter.configuration import errors, recent_records
from yuccarouter.configuration import store as stores
from yuccarouter_common import apply, model, records
from yuccarouter_common.proto import router_pb2

# Further records follow with the next exchange, a second later.
MAX_DELTA_BYTES: Final = 65_536
_NEVER_CONFIRMED_MS: Final = -1


@attrs.frozen
class Applied:
    """What applying a delta has changed."""

    record_count: int = 0
    installed: bool = False


def build_digest(
    store: stores.Store,
    sender: str,
    data_centre: str = '',
) -> router_pb2.Digest:
    """Return the digest of a process's state that it sends to peers."""
    return router_pb2.Digest(
        sender=sender,
        position=_encode_position(store.position),
        first_offset_held=store.recent.first_offset() or 0,
        confirmed_age_ms=_confirmed_age_ms(store),
        data_centre=data_centre,
        record_digest=store.digest_at(store.position.offset),
        state_digest=store.state_digest() if store.ready else 0,
    )


def build_delta(
    store: stores.Store,
    digest: router_pb2.Digest,
    *,
    with_snapshot: bool = True,
) -> router_pb2.Delta:
    """Return what the sender of a digest lacks.

    Records are limited to ``MAX_DELTA_BYTES``. A snapshot takes their place
    when some of them are no longer held. Raises ``DivergedError`` when both
    have different records or states at one position; then neither may take
    records from the other.
    """
    peer_position = model.Position(
        digest.position.generation, digest.position.offset
    )
    _check_same_history(
        store,
        peer_position,
        digest.record_digest,
        digest.state_digest,
        digest.sender,
    )
    delta = router_pb2.Delta(
        position=_encode_position(store.position),
        confirmed_age_ms=_confirmed_age_ms(store),
        record_digest=_digest_at(store, peer_position),
        state_digest=store.state_digest() if store.ready else 0,
        first_offset=peer_position.offset + 1,
    )
    if peer_position >= store.position:
        return delta
    missing = None
    if peer_position.generation == store.position.generation:
        missing = store.recent.after(peer_position.offset)
    if missing:
        delta.records.extend(_limit_payloads(missing))
    elif with_snapshot:
        delta.snapshot = _encode_snapshot(store)
    return delta


def apply_delta(
    store: stores.Store,
    delta: router_pb2.Delta,
    sender: str,
    age_ms: float = 0,
) -> Applied:
    """Apply what a peer's delta adds; the position never goes back.

    ``age_ms`` is the time since the request. Raises ``DivergedError`` when
    both have different records or states at one position, and
    ``ConfigurationError`` for an invalid snapshot.
    """
    peer_position = model.Position(
        delta.position.generation, delta.position.offset
    )
    own_position = store.position
    if peer_position.generation == own_position.generation and store.rewound:
        # The peer may follow the rewound log. Records of another generation
        # come from a repair and are accepted.
        return Applied()
    if peer_position == own_position:
        _check_same_history(store, peer_position, 0, delta.state_digest, sender)
    is_from_own_position = delta.first_offset == own_position.offset + 1
    if (
        is_from_own_position
        and peer_position.generation == own_position.generation
    ):
        _check_same_history(store, own_position, delta.record_digest, 0, sender)
    installed = bool(delta.snapshot) and _install_snapshot(
        store, delta.snapshot
    )
    applied = 0
    # The store may have entered another generation since the request.
    if peer_position.generation == store.position.generation:
        for index, payload in enumerate(delta.records):
            offset = delta.first_offset + index
            applied += store.apply(offset, orjson.loads(payload))
    if store.position == peer_position and delta.confirmed_age_ms >= 0:
        store.freshness.confirm(delta.confirmed_age_ms + age_ms)
    return Applied(applied, installed)


def _check_same_history(
    store: stores.Store,
    position: model.Position,
    record_digest: int,
    state_digest: int,
    sender: str,
) -> None:
    """Raise ``DivergedError`` if a peer's digests at a position differ.

    A digest of 0 stands for one that is not known.
    """
    if position.generation != store.position.generation or position.offset < 0:
        return
    own_digest = store.digest_at(position.offset)
    records_differ = (
        own_digest and record_digest and own_digest != record_digest
    )
    states_differ = (
        position == store.position
        and state_digest
        and state_digest != store.state_digest()
    )
    if records_differ or states_differ:
        part = 'record' if records_differ else 'state'
        raise errors.DivergedError(
            f'{sender} has a different {part} at {position.generation}'
            f'/{position.offset}',
        )


def _digest_at(store: stores.Store, position: model.Position) -> int:
    if position.generation != store.position.generation:
        return 0
    return store.digest_at(position.offset)


def _limit_payloads(
    missing: list[recent_records.HeldRecord],
) -> list[bytes]:
    """Return the first payloads up to the size limit, but at least one."""
    chosen: list[bytes] = []
    size_bytes = 0
    for record in missing:
        size_bytes += len(record.payload)
        if chosen and size_bytes > MAX_DELTA_BYTES:
            break
        chosen.append(record.payload)
    return chosen


def _encode_snapshot(store: stores.Store) -> bytes:
    return orjson.dumps(
        {
            'configuration': apply.snapshot_body(store.current()),
            'record_digest': store.digest_at(store.position.offset),
        },
    )


def _install_snapshot(store: stores.Store, payload: bytes) -> bool:
    try:
        document: dict[str, Any] = orjson.loads(payload)
        configuration = apply.from_snapshot(document['configuration'])
        record_digest = int(document['record_digest'])
    except (ValueError, KeyError, TypeError, records.RecordError) as fault:
        raise errors.ConfigurationError(
            f'invalid snapshot from a peer: {fault}',
        ) from fault
    return store.install(configuration, record_digest)


def _encode_position(position: model.Position) -> router_pb2.Position:
    return router_pb2.Position(
        generation=position.generation,
        offset=position.offset,
    )


def _confirmed_age_ms(store: stores.Store) -> int:
    age_ms = store.freshness.age_ms()
    return _NEVER_CONFIRMED_MS if math.isinf(age_ms) else int(age_ms)
