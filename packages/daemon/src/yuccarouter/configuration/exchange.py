"""What two peers tell each other about their configurations."""

from __future__ import annotations

import math
from typing import Any, Final

import attrs
import orjson

from yuccarouter.configuration import errors, recent_records
from yuccarouter.configuration import store as stores
from yuccarouter_common import apply, model, records
from yuccarouter_common.proto import router_pb2

# More records follow with the next exchange, a second later.
MAX_DELTA_BYTES: Final = 65_536
_NEVER_MS: Final = -1


@attrs.frozen
class Applied:
    """What a peer's answer has changed."""

    records: int = 0
    installed: bool = False


def build_digest(
    store: stores.Store,
    sender: str,
    data_centre: str = '',
) -> router_pb2.Digest:
    """Return what a process tells its peers about itself."""
    return router_pb2.Digest(
        sender=sender,
        position=_position(store.position),
        first_offset_held=store.recent.first_offset() or 0,
        confirmed_age_ms=_age(store),
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
    """Return what the sender of a digest lacks, in a bounded message.

    Raises ``DivergedError`` when both know different things at one position;
    then neither may take records from the other.
    """
    asked = model.Position(digest.position.generation, digest.position.offset)
    _check(
        store,
        asked,
        digest.record_digest,
        digest.state_digest,
        digest.sender,
    )
    delta = router_pb2.Delta(
        position=_position(store.position),
        confirmed_age_ms=_age(store),
        record_digest=_digest_at(store, asked),
        state_digest=store.state_digest() if store.ready else 0,
        first_offset=asked.offset + 1,
    )
    if asked >= store.position:
        return delta
    held = None
    if asked.generation == store.position.generation:
        held = store.recent.after(asked.offset)
    if held:
        delta.records.extend(_bounded(held))
    elif with_snapshot:
        delta.snapshot = _encode_snapshot(store)
    return delta


def apply_delta(
    store: stores.Store,
    delta: router_pb2.Delta,
    sender: str,
    age_ms: float = 0,
) -> Applied:
    """Take what a peer's answer adds; never goes back.

    ``age_ms`` is the time since the answer was asked for. Raises
    ``DivergedError`` when both know different things at one position.
    """
    theirs = model.Position(delta.position.generation, delta.position.offset)
    before = store.position
    if theirs.generation == before.generation and store.rewound:
        # The peer may follow the rewound log; only a repair ends this state.
        return Applied()
    if theirs == before:
        _check(store, theirs, 0, delta.state_digest, sender)
    asked_here = delta.first_offset == before.offset + 1
    if asked_here and theirs.generation == before.generation:
        _check(store, before, delta.record_digest, 0, sender)
    installed = bool(delta.snapshot) and _install(store, delta.snapshot)
    applied = 0
    # The store may have moved to another generation since it asked.
    if theirs.generation == store.position.generation:
        for index, payload in enumerate(delta.records):
            offset = delta.first_offset + index
            applied += store.apply(offset, orjson.loads(payload))
    if store.position == theirs and delta.confirmed_age_ms >= 0:
        store.freshness.confirm(delta.confirmed_age_ms + age_ms)
    return Applied(applied, installed)


def _check(
    store: stores.Store,
    theirs: model.Position,
    record_digest: int,
    state_digest: int,
    sender: str,
) -> None:
    if theirs.generation != store.position.generation or theirs.offset < 0:
        return
    known = store.digest_at(theirs.offset)
    records_differ = known and record_digest and known != record_digest
    states_differ = (
        theirs == store.position
        and state_digest
        and state_digest != store.state_digest()
    )
    if records_differ or states_differ:
        part = 'record' if records_differ else 'state'
        raise errors.DivergedError(
            f'{sender} has another {part} at {theirs.generation}'
            f'/{theirs.offset}',
        )


def _digest_at(store: stores.Store, position: model.Position) -> int:
    if position.generation != store.position.generation:
        return 0
    return store.digest_at(position.offset)


def _bounded(held: list[recent_records.HeldRecord]) -> list[bytes]:
    """Return the first records up to the size limit, but at least one."""
    chosen: list[bytes] = []
    size_bytes = 0
    for record in held:
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


def _install(store: stores.Store, payload: bytes) -> bool:
    try:
        document: dict[str, Any] = orjson.loads(payload)
        held = apply.from_snapshot(document['configuration'])
        record_digest = int(document['record_digest'])
    except (ValueError, KeyError, TypeError, records.RecordError) as fault:
        raise errors.ConfigurationError(
            f'bad snapshot of a peer: {fault}',
        ) from fault
    return store.install(held, record_digest)


def _position(position: model.Position) -> router_pb2.Position:
    return router_pb2.Position(
        generation=position.generation,
        offset=position.offset,
    )


def _age(store: stores.Store) -> int:
    age_ms = store.freshness.age_ms()
    return _NEVER_MS if math.isinf(age_ms) else int(age_ms)
