"""Publishing a record and reporting what became of it to the operator."""

from __future__ import annotations

from yuccactl import errors, sources
from yuccarouter_common import history, model, publish, records


async def publish_record(
    context: sources.Context,
    record: records.Record,
) -> publish.Result:
    """Append ``record`` at most once and return whether it has effect.

    Raises ``errors.RejectedError`` when nothing took effect and
    ``errors.UnknownError`` when that is not known.
    """
    try:
        return await publish.publish(context.log, record)
    except publish.OutcomeUnknownError as unknown:
        raise errors.UnknownError(
            f'{unknown.message}; '
            'repeat the statement later: it changes nothing twice'
        ) from unknown
    except (publish.NotPublishedError, history.HistoryError) as fault:
        raise errors.RejectedError(
            f'nothing was changed: {fault.message}'
        ) from fault


def void_text(void: model.VoidChange, changes: list[sources.Change]) -> str:
    """Say why a change has no effect and which change won."""
    authors = [
        change.record.author
        for change in changes
        if change.offset == void.winner_offset and change.record is not None
    ]
    author = authors[0] if authors else 'unknown'
    return (
        f'the change has no effect: {void.reason}; change '
        f'{void.winner_change_id or "unknown"} of {author} '
        f'at offset {void.winner_offset} won'
    )
