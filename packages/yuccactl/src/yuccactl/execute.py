"""Carrying out statements."""

from __future__ import annotations

import functools
from typing import Final

import attrs

from yuccactl import bill, capacity, errors, orders, output, publishing
from yuccactl import queries, settings, sources, statements, suggestions
from yuccactl import views, waiting
from yuccarouter_common import model

_QUERIES: Final = (
    statements.Show,
    statements.ExplainRequest,
    statements.ExplainEndpoint,
    statements.WhyNot,
    statements.History,
)


async def execute(
    context: sources.Context,
    statement: statements.Statement,
) -> output.Answer:
    """Carry out a statement and return what there is to print.

    Raises ``errors.CommandError``, whose ``exit_status`` says how far it got.
    """
    if isinstance(statement, _QUERIES):
        return await queries.answer(context, statement)
    if isinstance(statement, statements.BillReconcile):
        return await bill.reconcile(context)
    if isinstance(statement, statements.SettingsCheck):
        return check_settings(statement)
    if isinstance(statement, statements.Incomplete):
        replay = await sources.replay(context.log)
        raise suggestions.error_for(statement, replay.configuration)
    return await _order(context, statement)


def check_settings(statement: statements.SettingsCheck) -> output.Answer:
    """Check a settings file without using it."""
    found = settings.load(statement.path)
    daemons = len(found.daemons)
    return output.Answer(
        notes=[f'{statement.path} is valid: {daemons} daemons']
    )


async def _order(
    context: sources.Context,
    order: statements.Order,
) -> output.Answer:
    if not context.settings.author:
        raise errors.UsageError('an order needs author in the settings')
    replay = await sources.replay(context.log)
    if not replay.complete:
        raise errors.RejectedError(
            'the log does not give the whole configuration; nothing was changed'
        )
    if isinstance(order, (statements.TakeOut, statements.BringBack)):
        await _check_data_centre(context, order, replay.configuration)
    plan = orders.plan(order, replay.configuration, context.settings.author)
    if plan.record is None:
        return output.Answer(
            notes=['nothing to change'],
            sources=[views.replay_source(context, replay)],
        )
    for line in plan.changes:
        context.progress(line)
    offset = await publishing.publish(
        context.log, plan.record, replay.end_offset, context.wait_ms
    )
    position = await _verify(context, order, offset)
    answer = await waiting.until_in_effect(context, position)
    notes = [*plan.changes, f'change {plan.record.change_id}', *answer.notes]
    return attrs.evolve(answer, notes=notes)


async def _check_data_centre(
    context: sources.Context,
    order: statements.TakeOut | statements.BringBack,
    configuration: model.Configuration,
) -> None:
    answers = await sources.statuses(context)
    endpoints = views.endpoints(answers)
    known = set(configuration.data_centres)
    known.update(str(row.get('data_centre', '')) for row in endpoints)
    known.update(
        str(answer.document.get('data_centre', '')) for answer in answers
    )
    known.discard('')
    if order.data_centre not in known:
        listed = ', '.join(sorted(known)) or 'none'
        raise errors.RejectedError(
            f'there is no data centre {order.data_centre}; known: {listed}'
        )
    if isinstance(order, statements.TakeOut):
        _report_capacity(context, order, endpoints, configuration)


def _report_capacity(
    context: sources.Context,
    order: statements.TakeOut,
    endpoints: list[output.Row],
    configuration: model.Configuration,
) -> None:
    loads = capacity.assess(endpoints, order.data_centre, configuration)
    for pool_load in loads:
        context.progress(pool_load.sentence())
    if not loads:
        context.progress('no daemon reports endpoints: the load is not known')
    if sum(load.shortfall for load in loads):
        context.progress(
            'the remaining endpoints do not carry the present load; '
            f'{order.data_centre} is taken out all the same'
        )


async def _verify(
    context: sources.Context,
    order: statements.Order,
    offset: int,
) -> model.Position:
    """Return the position of the change, once it is known to have effect.

    Raises ``errors.RejectedError`` with the change that won when the record
    is void, and ``errors.UnknownError`` when it can't be read back.
    """
    replay = await _replay_after(context, offset)
    own = [change for change in replay.changes if change.offset == offset]
    if not own:
        raise errors.UnknownError(
            f'recorded at offset {offset}, but the log does not hold it now; '
            'it may have been restored to older data'
        )
    void = own[0].void
    position = model.Position(replay.configuration.position.generation, offset)
    if void is None:
        return position
    author = context.settings.author
    plan = functools.partial(orders.plan, order, author=author)
    if plan(replay.configuration).record is None:
        context.progress('another change did the same first')
        return position
    raise errors.RejectedError(_void_text(replay, void))


async def _replay_after(
    context: sources.Context,
    offset: int,
) -> sources.Replay:
    try:
        return await sources.replay(context.log)
    except errors.CommandError as fault:
        raise errors.UnknownError(
            f'recorded at offset {offset}, but the log can not be read back: '
            f'{fault.message}'
        ) from fault


def _void_text(replay: sources.Replay, void: model.VoidChange) -> str:
    winner = next(
        (
            change.record
            for change in replay.changes
            if change.offset == void.winner_offset
        ),
        None,
    )
    author = 'unknown' if winner is None else winner.author
    return (
        f'the change has no effect: {void.reason}; change '
        f'{void.winner_change_id or "unknown"} of {author} '
        f'at offset {void.winner_offset} won'
    )
