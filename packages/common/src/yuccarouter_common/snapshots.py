"""Builds snapshot records of a configuration."""

from __future__ import annotations

from typing import Final

import attrs

from yuccarouter_common import apply, history, model, records

# Offset in a repair's body: readers replace it by the offset of its record.
_RECORD_OFFSET: Final = -1


def snapshot_record(
    configuration: model.Configuration,
    record_digest: int,
    author: str,
    time_ms: int,
) -> records.Record:
    """Return a snapshot record, from which starting processes replay.

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

    ``configuration`` is the one at the highest known position. The record has
    a higher generation, so every process that reads it replaces its state,
    whatever it has applied before. Of two repairs of one generation, the first
    in log order takes effect.
    """
    generation = configuration.position.generation + 1
    position = model.Position(generation, _RECORD_OFFSET)
    state = attrs.evolve(configuration, position=position)
    return records.Record(
        change_id,
        author,
        time_ms,
        records.Kind.SNAPSHOT,
        apply.snapshot_body(state),
    )
