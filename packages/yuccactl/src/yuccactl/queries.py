"""Answers to queries, from the log and from what the daemons report."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs
import orjson

from yuccactl import (
    bill,
    errors,
    output,
    repair,
    sources,
    statements,
    views,
    why,
)
from yuccarouter_common import alerts, records

# Attributes of the configuration that ``show`` lists under the same name.
_TABLES: Final = frozenset(
    (
        'organisations',
        'versions',
        'pools',
        'services',
        'cascades',
        'rollouts',
        'data_centres',
    )
)
# Fields that ``where`` may name although no endpoint reports them just now.
_ENDPOINT_FIELDS: Final = (
    'endpoint',
    'vm',
    'data_centre',
    'pool',
    'state',
    'limit',
    'in_flight',
    'queued',
    'age_ms',
    'versions',
    'according_to',
)
_NOT_FOUND: Final = 'answered 404'


async def answer(
    context: sources.Context,
    query: statements.Query,
) -> output.Answer:
    """Return the answer to a query.

    Raises ``errors.CommandError`` when its sources can't be read.
    """
    return await _QUERIES[type(query)](context, query)


async def _show(
    context: sources.Context,
    query: statements.Show,
) -> output.Answer:
    if query.thing in _TABLES:
        return await _show_table(context, query)
    return await _SHOWS[query.thing](context, query)


async def _show_table(
    context: sources.Context,
    query: statements.Show,
) -> output.Answer:
    replay = await sources.replay(context.log)
    table = getattr(replay.configuration, query.thing)
    rows = [_object_row(table[name]) for name in sorted(table)]
    return output.Answer(
        rows=_matching(rows, query.where),
        notes=[] if rows else [f'there are no {query.thing}'],
        sources=[views.replay_source(context, replay)],
    )


async def _show_endpoints(
    context: sources.Context,
    query: statements.Show,
) -> output.Answer:
    answers = await sources.statuses(context)
    rows = views.endpoints(answers)
    matching = _matching(rows, query.where, _ENDPOINT_FIELDS)
    return output.Answer(
        rows=[_shown_endpoint(row) for row in matching],
        notes=[] if rows else ['no daemon reports an endpoint'],
        sources=views.daemon_sources(answers),
    )


async def _show_bill(
    context: sources.Context,
    query: statements.Show,
) -> output.Answer:
    read = await bill.read(context.log)
    matching = _matching(read.rows, query.where, bill.FIELDS)
    notes = [f'{len(matching)} rows, the first of each request']
    if read.repeated:
        notes.append(f'{read.repeated} repeated rows do not count')
    return output.Answer(
        rows=bill.summary(matching),
        notes=notes,
        sources=[bill.source(context, read)],
    )


async def _show_alerts(
    context: sources.Context,
    query: statements.Show,
) -> output.Answer:
    answers = await sources.statuses(context)
    firing = [
        f'{answer.daemon}: {raised}'
        for answer in answers
        for raised in answer.document.get('alerts') or ()
    ]
    return output.Answer(
        rows=_matching(alerts.rows(), query.where),
        notes=[f'raised by {line}' for line in firing],
        sources=views.daemon_sources(answers),
    )


async def _show_configuration(
    context: sources.Context,
    query: statements.Show,
) -> output.Answer:
    answers = await sources.statuses(context)
    replay = await sources.replay(context.log)
    changes = replay.configuration.last_changes
    authors = {
        change.record.change_id: change.record.author
        for change in replay.changes
        if change.record is not None
    }
    rows = [
        {
            'object': key,
            'change_id': change_id,
            'author': authors.get(change_id, ''),
        }
        for key, change_id in sorted(changes.items())
    ]
    ahead = repair.ahead_of_log(answers, replay)
    return output.Answer(
        rows=_matching(rows, query.where),
        notes=[repair.rewound_text(ahead)] if ahead else [],
        sources=[
            views.replay_source(context, replay),
            *views.daemon_sources(answers),
        ],
    )


async def _explain_request(
    context: sources.Context,
    query: statements.ExplainRequest,
) -> output.Answer:
    answers = await sources.ask(
        context, f'explain/{sources.quote(query.request_id)}'
    )
    knowing = [answer for answer in answers if not answer.fault]
    rows = [
        {'according_to': answer.daemon, 'field': field, 'value': found}
        for answer in knowing
        for field, found in _flattened(answer.document)
    ]
    notes = []
    if not rows:
        notes.append(
            f'no reachable daemon knows request {query.request_id}; '
            'daemons keep recent requests only'
        )
    failed = [
        output.Source(answer.url, fault=answer.fault)
        for answer in answers
        if answer.fault and answer.fault != _NOT_FOUND
    ]
    return output.Answer(rows, notes, failed)


async def _explain_endpoint(
    context: sources.Context,
    query: statements.ExplainEndpoint,
) -> output.Answer:
    answers = await sources.statuses(context)
    rows = [
        _shown_endpoint(row)
        for row in views.endpoint_views(answers)
        if row['endpoint'] == query.endpoint
    ]
    notes = []
    if not rows:
        known = [str(row['endpoint']) for row in views.endpoints(answers)]
        listed = ', '.join(known) or 'none'
        notes.append(
            f'no reachable daemon knows endpoint {query.endpoint}; '
            f'known: {listed}'
        )
    states = {str(row.get('state')) for row in rows}
    if len(states) > 1:
        listed = ', '.join(sorted(states))
        notes.append(f'daemons disagree on its state: {listed}')
    return output.Answer(rows, notes, views.daemon_sources(answers))


async def _why_not(
    context: sources.Context,
    query: statements.WhyNot,
) -> output.Answer:
    replay = await sources.replay(context.log)
    answers = await sources.statuses(context)
    reasons = why.reasons(query, replay.configuration, views.endpoints(answers))
    notes = []
    if not reasons:
        notes.append(
            f'nothing keeps requests of {query.organisation} '
            f'off {query.version}'
        )
    return output.Answer(
        rows=[attrs.asdict(reason) for reason in reasons],
        notes=notes,
        sources=[
            views.replay_source(context, replay),
            *views.daemon_sources(answers),
        ],
    )


async def _history(
    context: sources.Context,
    query: statements.History,
) -> output.Answer:
    replay = await sources.replay(context.log)
    rows = [
        _change_row(change, change.record)
        for change in replay.changes
        if change.record is not None and _touches(change.record, query.version)
    ]
    notes = [] if rows else [f'no recorded change touches {query.version}']
    return output.Answer(rows, notes, [views.replay_source(context, replay)])


def _object_row(found: Any) -> output.Row:
    document: output.Row = records.converter.unstructure(found)
    digests = document.pop('key_digests', None)
    if digests is not None:
        # Digests identify keys; their number is all that a listing needs.
        document['keys'] = len(digests)
    if 'version' in document and 'name' not in document:
        return {'name': found.name, **document}
    return document


def _shown_endpoint(row: output.Row) -> output.Row:
    return {field: row.get(field) for field in _ENDPOINT_FIELDS}


def _change_row(change: sources.Change, record: records.Record) -> output.Row:
    effect = 'applied'
    if change.void is not None:
        effect = f'void: {change.void.reason}'
    return {
        'offset': change.offset,
        'time_ms': change.time_ms,
        'author': record.author,
        'kind': record.kind.value,
        'change': orjson.dumps(record.body).decode(),
        'effect': effect,
        'change_id': record.change_id,
    }


def _touches(record: records.Record, version: str) -> bool:
    body = record.body
    own = f'{body.get("model", "")}@{body.get("version", "")}'
    compared = f'{body.get("model", "")}@{body.get("baseline", "")}'
    named = {own, body.get('name'), compared}
    allowed = body.get('allowed') or ()
    return version in named or version in allowed


def _matching(
    rows: list[output.Row],
    where: tuple[statements.Field, ...],
    fields: tuple[str, ...] = (),
) -> list[output.Row]:
    known = set(fields).union(*rows)
    unknown = {field.name for field in where} - known
    if rows and unknown:
        raise errors.UsageError(
            f'there is no field {", ".join(sorted(unknown))}; '
            f'known: {", ".join(sorted(known))}'
        )
    return [
        row
        for row in rows
        if all(_equal(row.get(field.name), field.value) for field in where)
    ]


def _equal(found: Any, wanted: statements.Value) -> bool:
    if isinstance(found, (list, tuple)):
        if isinstance(wanted, tuple):
            return list(found) == list(wanted)
        return wanted in found
    if isinstance(found, bool) or isinstance(wanted, bool):
        return found is wanted
    return bool(found == wanted) or str(found) == str(wanted)


def _flattened(document: Any, prefix: str = '') -> list[tuple[str, Any]]:
    if not isinstance(document, (dict, list)):
        return [(prefix, document)]
    pairs = (
        document.items() if isinstance(document, dict) else enumerate(document)
    )
    flat: list[tuple[str, Any]] = []
    for key, held in pairs:
        path = f'{prefix}.{key}' if prefix else str(key)
        flat.extend(_flattened(held, path))
    return flat


_Shower = Callable[[sources.Context, statements.Show], Awaitable[output.Answer]]

_SHOWS: Final[dict[str, _Shower]] = {
    'endpoints': _show_endpoints,
    'bill': _show_bill,
    'alerts': _show_alerts,
    'configuration': _show_configuration,
}

_QUERIES: Final[dict[type, Callable[..., Awaitable[output.Answer]]]] = {
    statements.Show: _show,
    statements.ExplainRequest: _explain_request,
    statements.ExplainEndpoint: _explain_endpoint,
    statements.WhyNot: _why_not,
    statements.History: _history,
}
