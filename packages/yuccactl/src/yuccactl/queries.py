"""Answers to queries, from the log and the daemons' reports."""

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
# Columns of an endpoint row; ``where`` may name each of them, also one that no
# endpoint reports at present.
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
# Fault of a daemon that has no data on a request.
_NOT_FOUND_FAULT: Final = 'answered 404'


async def answer(
    context: sources.Context,
    query: statements.Query,
) -> output.Answer:
    """Return the answer to a query.

    Raises ``errors.CommandError`` when its sources can't be read.
    """
    return await _QUERY_HANDLERS[type(query)](context, query)


async def _show(
    context: sources.Context,
    query: statements.Show,
) -> output.Answer:
    if query.thing in _TABLES:
        return await _show_table(context, query)
    return await _SHOW_HANDLERS[query.thing](context, query)


async def _show_table(
    context: sources.Context,
    query: statements.Show,
) -> output.Answer:
    replay = await sources.replay(context.log)
    table = getattr(replay.configuration, query.thing)
    rows = [_object_row(table[name]) for name in sorted(table)]
    return output.Answer(
        rows=_filter_rows(rows, query.where),
        notes=[] if rows else [f'there are no {query.thing}'],
        sources=[views.replay_source(context, replay)],
    )


async def _show_endpoints(
    context: sources.Context,
    query: statements.Show,
) -> output.Answer:
    answers = await sources.statuses(context)
    rows = views.endpoints(answers)
    matching = _filter_rows(rows, query.where, _ENDPOINT_FIELDS)
    return output.Answer(
        rows=[_endpoint_row(row) for row in matching],
        notes=[] if rows else ['no daemon reports an endpoint'],
        sources=views.daemon_sources(answers),
    )


async def _show_bill(
    context: sources.Context,
    query: statements.Show,
) -> output.Answer:
    current_bill = await bill.read(context.log)
    matching = _filter_rows(current_bill.rows, query.where, bill.FIELDS)
    notes = [f'{len(matching)} rows, the first of each request']
    if current_bill.repeated:
        notes.append(f'{current_bill.repeated} repeated rows do not count')
    return output.Answer(
        rows=bill.summary(matching),
        notes=notes,
        sources=[bill.source(context, current_bill)],
    )


async def _show_alerts(
    context: sources.Context,
    query: statements.Show,
) -> output.Answer:
    answers = await sources.statuses(context)
    firing = [
        f'{answer.daemon}: {alert}'
        for answer in answers
        for alert in answer.document.get('alerts') or ()
    ]
    return output.Answer(
        rows=_filter_rows(alerts.rows(), query.where),
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
        rows=_filter_rows(rows, query.where),
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
    successful = [answer for answer in answers if not answer.fault]
    rows = [
        {'according_to': answer.daemon, 'field': field, 'value': field_value}
        for answer in successful
        for field, field_value in _flatten(answer.document)
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
        if answer.fault and answer.fault != _NOT_FOUND_FAULT
    ]
    return output.Answer(rows, notes, failed)


async def _explain_endpoint(
    context: sources.Context,
    query: statements.ExplainEndpoint,
) -> output.Answer:
    answers = await sources.statuses(context)
    rows = [
        _endpoint_row(row)
        for row in views.endpoint_views(answers)
        if row['endpoint'] == query.endpoint
    ]
    notes = []
    if not rows:
        known = [str(row['endpoint']) for row in views.endpoints(answers)]
        names_text = ', '.join(known) or 'none'
        notes.append(
            f'no reachable daemon knows endpoint {query.endpoint}; '
            f'known: {names_text}'
        )
    states = {str(row.get('state')) for row in rows}
    if len(states) > 1:
        states_text = ', '.join(sorted(states))
        notes.append(f'daemons disagree on its state: {states_text}')
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
        if change.record is not None
        and _changes_version(change.record, query.version)
    ]
    notes = [] if rows else [f'no recorded change touches {query.version}']
    return output.Answer(rows, notes, [views.replay_source(context, replay)])


def _object_row(config_object: Any) -> output.Row:
    document: output.Row = records.converter.unstructure(config_object)
    digests = document.pop('key_digests', None)
    if digests is not None:
        # Only the number of keys is shown, since a digest identifies its key.
        document['keys'] = len(digests)
    if 'version' in document and 'name' not in document:
        return {'name': config_object.name, **document}
    return document


def _endpoint_row(row: output.Row) -> output.Row:
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


def _changes_version(record: records.Record, version: str) -> bool:
    body = record.body
    version_name = f'{body.get("model", "")}@{body.get("version", "")}'
    baseline_name = f'{body.get("model", "")}@{body.get("baseline", "")}'
    named = {version_name, body.get('name'), baseline_name}
    allowed = body.get('allowed') or ()
    return version in named or version in allowed


def _filter_rows(
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


def _equal(field_value: Any, expected: statements.Value) -> bool:
    if isinstance(field_value, (list, tuple)):
        if isinstance(expected, tuple):
            return list(field_value) == list(expected)
        return expected in field_value
    if isinstance(field_value, bool) or isinstance(expected, bool):
        return field_value is expected
    return bool(field_value == expected) or str(field_value) == str(expected)


def _flatten(document: Any, prefix: str = '') -> list[tuple[str, Any]]:
    if not isinstance(document, (dict, list)):
        return [(prefix, document)]
    pairs = (
        document.items() if isinstance(document, dict) else enumerate(document)
    )
    flat: list[tuple[str, Any]] = []
    for key, element in pairs:
        path = f'{prefix}.{key}' if prefix else str(key)
        flat.extend(_flatten(element, path))
    return flat


_ShowHandler = Callable[
    [sources.Context, statements.Show], Awaitable[output.Answer]
]

_SHOW_HANDLERS: Final[dict[str, _ShowHandler]] = {
    'endpoints': _show_endpoints,
    'bill': _show_bill,
    'alerts': _show_alerts,
    'configuration': _show_configuration,
}

_QUERY_HANDLERS: Final[dict[type, Callable[..., Awaitable[output.Answer]]]] = {
    statements.Show: _show,
    statements.ExplainRequest: _explain_request,
    statements.ExplainEndpoint: _explain_endpoint,
    statements.WhyNot: _why_not,
    statements.History: _history,
}
