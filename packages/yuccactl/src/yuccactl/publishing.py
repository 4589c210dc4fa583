"""Publication of records, with errors and messages for the operator."""

from __future__ import annotations

from yuccactl import errors, sources
from yuccarouter_common import history, model, publish, records


async def publish_record(
    context: sources.Context,
    record: records.Record,
) -> publish.Result:
    """Append ``record`` at most once and return whether it has effect.

    Raises ``errors.RejectedError`` when nothing was changed and
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
    """Return a message that says why a change is void and which one won."""
    winner_authors = [
        change.record.author
        for change in changes
        if change.offset == void.winner_offset and change.record is not None
    ]
    winner_author = winner_authors[0] if winner_authors else 'unknown'
    return (
        f'the change has no effect: {void.reason}; change '
        f'{void.winner_change_id or "unknown"} of {winner_author} '
        f'at offset {void.winner_offset} won'
    )
