"""Reading the bill and appending rows that are missing from it."""

from __future__ import annotations

import asyncio
import itertools
import uuid
from typing import Any, Final

import attrs

from yuccactl import errors, output, sources
from yuccarouter_common import billing_rows
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.platform import log

FIELDS: Final = (
    'request_id',
    'organisation',
    'model',
    'version',
    'kind',
    'prompt_tokens',
    'completion_tokens',
    'cost_microcents',
    'entry',
    'attempt_id',
    'time_ms',
)
_GROUP_FIELDS: Final = ('organisation', 'model', 'version', 'kind')
_SUMMED_FIELDS: Final = (
    'prompt_tokens',
    'completion_tokens',
    'cost_microcents',
)


@attrs.frozen
class Bill:
    """The effective rows of the bill and the number of repeated rows.

    ``rows`` holds the first row of each request id, in the log's order;
    ``repeated`` counts the later rows of the same ids, which have no effect.
    """

    rows: list[output.Row]
    repeated: int
    end_offset: int


@attrs.frozen
class Missing:
    """Recorded outcomes without a bill row.

    ``rows`` can be appended to the bill; ``not_rebuilt`` holds the ids of the
    requests whose outcome does not contain a valid row.
    """

    rows: list[billing_rows.BillRow]
    not_rebuilt: list[str]


async def read(client: log.Client) -> Bill:
    """Return the bill; of rows with the same request id the first one counts.

    Raises ``errors.CommandError`` when the log can't be read.
    """
    entries = await sources.entries(client, sources.BILLING_STREAM)
    first_rows: dict[str, output.Row] = {}
    total = 0
    for entry in entries:
        for row in _rows(entry.payload):
            total += 1
            first_rows.setdefault(str(row['request_id']), row)
    end_offset = entries[-1].offset if entries else -1
    return Bill(list(first_rows.values()), total - len(first_rows), end_offset)


def summary(rows: list[output.Row]) -> list[output.Row]:
    """Return request counts and sums for each group of rows.

    A group has the same organisation, model, version and kind.
    """
    groups: dict[tuple[str, ...], output.Row] = {}
    for row in rows:
        key = tuple(str(row.get(field, '')) for field in _GROUP_FIELDS)
        group = groups.setdefault(
            key,
            {
                **dict(zip(_GROUP_FIELDS, key, strict=True)),
                'requests': 0,
                **dict.fromkeys(_SUMMED_FIELDS, 0),
            },
        )
        group['requests'] += 1
        for field in _SUMMED_FIELDS:
            group[field] += row.get(field) or 0
    return [groups[key] for key in sorted(groups)]


def source(context: sources.Context, bill: Bill) -> output.Source:
    """Return the billing stream as a source of age 0."""
    return output.Source(
        f'log {context.settings.log_url}, stream billing',
        offset=bill.end_offset,
        age_ms=0,
    )


async def missing(context: sources.Context) -> Missing:
    """Return the registry's outcomes that have no row in the bill.

    A registry key is the id of its request. The first outcome of a key
    counts.

    Raises ``errors.CommandError`` when the log can't be read.
    """
    # The registry is read before the bill, so that a row written between the
    # two reads is not taken for a missing one.
    streams = await asyncio.gather(
        *(
            sources.entries(context.log, f'registry-{partition:02d}')
            for partition in range(context.settings.registry_partitions)
        )
    )
    bill = await read(context.log)
    requests = {str(row['request_id']) for row in bill.rows}
    outcomes: dict[str, dict[str, Any]] = {}
    for entry in itertools.chain.from_iterable(streams):
        for outcome in _outcomes(entry.payload):
            outcomes.setdefault(outcome['key'], outcome)
    unbilled = [key for key in outcomes if key not in requests]
    rows = {key: _row_of_outcome(outcomes[key]) for key in unbilled}
    return Missing(
        [row for row in rows.values() if row is not None],
        [key for key, row in rows.items() if row is None],
    )


def _row_of_outcome(outcome: dict[str, Any]) -> billing_rows.BillRow | None:
    """Return the bill row in an outcome, ``None`` without a valid one.

    A row with the id of another request is not valid.
    """
    try:
        row = billing_rows.decode_row(outcome.get('bill_row'))
    except billing_rows.BillRowError:
        return None
    return row if row.request_id == outcome['key'] else None


async def reconcile(context: sources.Context) -> output.Answer:
    """Append the missing rows to the bill and return their sums.

    All rows go into one append. Repeating it is safe: of rows with the same
    request id the first one counts.

    Raises ``errors.CommandError`` when the log can't be read,
    ``errors.RejectedError`` when nothing was written and
    ``errors.UnknownError`` when that is not known.
    """
    missing_rows = await missing(context)
    notes = [f'rows written: {len(missing_rows.rows)}']
    if missing_rows.not_rebuilt:
        notes.append(
            'requests without a row whose outcome does not hold one: '
            f'{", ".join(missing_rows.not_rebuilt)}'
        )
    if missing_rows.rows:
        await _append(context, missing_rows.rows)
    bill = await read(context.log)
    written = [attrs.asdict(row) for row in missing_rows.rows]
    return output.Answer(summary(written), notes, [source(context, bill)])


async def _append(
    context: sources.Context, rows: list[billing_rows.BillRow]
) -> None:
    try:
        await context.log.append(
            sources.BILLING_STREAM,
            uuid.uuid4().hex,
            billing_rows.batch_payload(rows),
        )
    except platform_errors.UnavailableError as fault:
        raise errors.RejectedError(
            f'nothing was written: {fault.message}'
        ) from fault
    except platform_errors.PlatformError as fault:
        raise errors.UnknownError(
            'the answer of the log was lost; repeating is safe'
        ) from fault


def _rows(payload: Any) -> list[output.Row]:
    rows = payload.get('rows') if isinstance(payload, dict) else None
    if not isinstance(rows, list):
        return []
    return [
        row for row in rows if isinstance(row, dict) and 'request_id' in row
    ]


def _outcomes(payload: Any) -> list[dict[str, Any]]:
    registry_items = payload.get('items') if isinstance(payload, dict) else None
    if not isinstance(registry_items, list):
        return []
    return [
        registry_item
        for registry_item in registry_items
        if isinstance(registry_item, dict)
        and registry_item.get('item') == 'outcome'
        and isinstance(registry_item.get('key'), str)
    ]
