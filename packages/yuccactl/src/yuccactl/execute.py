"""Execution of statements."""

from __future__ import annotations

from typing import Final

import attrs

from yuccactl import (
    bill,
    capacity,
    errors,
    orders,
    output,
    publishing,
    queries,
    repair,
    settings,
    sources,
    statements,
    suggestions,
    views,
    waiting,
)
from yuccarouter_common import model, publish

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
    """Execute a statement and return the answer to print.

    Raises ``errors.CommandError``; its ``exit_status`` tells apart invalid
    usage, a rejected statement, a change that is not yet in effect everywhere
    and an unknown outcome.
    """
    if isinstance(statement, _QUERIES):
        return await queries.answer(context, statement)
    if isinstance(statement, statements.BillReconcile):
        return await bill.reconcile(context)
    if isinstance(statement, statements.RepairConfiguration):
        return await repair.repair(context)
    if isinstance(statement, statements.SettingsCheck):
        return check_settings(statement)
    if isinstance(statement, statements.Incomplete):
        replay = await sources.replay(context.log)
        raise suggestions.error_for(statement, replay.configuration)
    return await _execute_order(context, statement)


def check_settings(statement: statements.SettingsCheck) -> output.Answer:
    """Validate a settings file of a daemon or of this program.

    Raises ``errors.UsageError`` with every fault found in a daemon's file.
    """
    path = statement.path
    if settings.is_of_daemon(path):
        daemon_settings = settings.load_of_daemon(path)
        return output.Answer(notes=[f'{path} is valid: {daemon_settings.role}'])
    daemons = len(settings.load(path).daemons)
    return output.Answer(notes=[f'{path} is valid: {daemons} daemons'])


async def _execute_order(
    context: sources.Context,
    order: statements.Order,
) -> output.Answer:
    if not context.settings.author:
        raise errors.UsageError('an order needs author in the settings')
    answers = await sources.statuses(context)
    replay = await sources.replay(context.log)
    ahead = repair.ahead_of_log(answers, replay)
    if ahead:
        # Daemons that applied the records lost from the log would not apply
        # this one.
        raise errors.RejectedError(
            f'nothing was changed: {repair.rewound_text(ahead)}'
        )
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
    published = await publishing.publish_record(context, plan.record)
    position = await _position_of(context, order, published)
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
        known_text = ', '.join(sorted(known)) or 'none'
        raise errors.RejectedError(
            f'there is no data centre {order.data_centre}; known: {known_text}'
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


async def _position_of(
    context: sources.Context,
    order: statements.Order,
    published: publish.Result,
) -> model.Position:
    """Return the position from which the ordered change is in effect.

    When the record is void because another change did the same first, that is
    the position of the void record.

    Raises ``errors.RejectedError``, which names the change that won, when the
    record is void for another reason.
    """
    if isinstance(published, publish.Published):
        return published.position
    try:
        replay = await sources.replay(context.log)
    except errors.CommandError as fault:
        raise errors.RejectedError(
            publishing.void_text(published.void_change, [])
        ) from fault
    author = context.settings.author
    if orders.plan(order, replay.configuration, author).record is None:
        context.progress('another change did the same first')
        return attrs.evolve(
            replay.configuration.position, offset=published.offset
        )
    raise errors.RejectedError(
        publishing.void_text(published.void_change, replay.changes)
    )
