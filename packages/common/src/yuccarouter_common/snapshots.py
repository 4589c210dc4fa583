"""Building snapshot records of a configuration."""

from __future__ import annotations

from typing import Final

import attrs

from yuccarouter_common import apply, history, model, records

# In a repair's body: its state begins where its own record lands.
_AT_RECORD: Final = -1


def snapshot_record(
    configuration: model.Configuration,
    record_digest: int,
    author: str,
    time_ms: int,
) -> records.Record:
    """Return a record from which starting processes continue.

    ``record_digest`` is that of the record at the configuration's position.
    """
    return records.Record(
        history.snapshot_id(configuration.position, record_digest),
        author,
        time_ms,
        records.Kind.SNAPSHOT,
        apply.snapshot_body(configuration),
    )


def repair_record(
    configuration: model.Configuration,
    change_id: str,
    author: str,
    time_ms: int,
) -> records.Record:
    """Return a record that repairs a log restored to older data.

    ``configuration`` is the one at the highest position found. The record's
    generation is higher, so every process takes this state at the record's
    place in the stream, whatever it has applied before. Of two repairs of one
    generation the first in order has effect.
    """
    generation = configuration.position.generation + 1
    position = model.Position(generation, _AT_RECORD)
    state = attrs.evolve(configuration, position=position)
    return records.Record(
        change_id,
        author,
        time_ms,
        records.Kind.SNAPSHOT,
        apply.snapshot_body(state),
    )
