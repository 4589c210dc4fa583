"""Reading the bill and writing rows that are missing from it."""

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
_GROUPED_BY: Final = ('organisation', 'model', 'version', 'kind')
_SUMMED: Final = ('prompt_tokens', 'completion_tokens', 'cost_microcents')


@attrs.frozen
class Bill:
    """The rows that count, and what did not count.

    ``rows`` holds the first row of each request id, in the log's order.
    """

    rows: list[output.Row]
    repeated: int
    end_offset: int


@attrs.frozen
class Missing:
    """Recorded outcomes without a bill row.

    ``rows`` can be written; ``not_rebuilt`` names the requests whose outcome
    does not hold the row.
    """

    rows: list[billing_rows.BillRow]
    not_rebuilt: list[str]


async def read(client: log.Client) -> Bill:
    """Read the stream ``billing``; the first row for a request id counts."""
    entries = await sources.entries(client, sources.BILLING_STREAM)
    first: dict[str, output.Row] = {}
    total = 0
    for entry in entries:
        for row in _rows(entry.payload):
            total += 1
            first.setdefault(str(row['request_id']), row)
    end_offset = entries[-1].offset if entries else -1
    return Bill(list(first.values()), total - len(first), end_offset)


def summary(rows: list[output.Row]) -> list[output.Row]:
    """Return sums by organisation, model, version and kind."""
    groups: dict[tuple[str, ...], output.Row] = {}
    for row in rows:
        key = tuple(str(row.get(field, '')) for field in _GROUPED_BY)
        group = groups.setdefault(
            key,
            {
                **dict(zip(_GROUPED_BY, key, strict=True)),
                'requests': 0,
                **dict.fromkeys(_SUMMED, 0),
            },
        )
        group['requests'] += 1
        for field in _SUMMED:
            group[field] += row.get(field) or 0
    return [groups[key] for key in sorted(groups)]


def source(context: sources.Context, found: Bill) -> output.Source:
    """Return the billing stream as a source, read just now."""
    return output.Source(
        f'log {context.settings.log_url}, stream billing',
        offset=found.end_offset,
        age_ms=0,
    )


async def missing(context: sources.Context) -> Missing:
    """Return what the registry's outcomes show to be missing in the bill.

    A registry key is the id of its request. The first outcome of a key
    counts.
    """
    # The registry is read first: a row that is written meanwhile is seen.
    streams = await asyncio.gather(
        *(
            sources.entries(context.log, f'registry-{partition:02d}')
            for partition in range(context.settings.registry_partitions)
        )
    )
    billed = await read(context.log)
    requests = {str(row['request_id']) for row in billed.rows}
    outcomes: dict[str, dict[str, Any]] = {}
    for entry in itertools.chain.from_iterable(streams):
        for outcome in _outcomes(entry.payload):
            outcomes.setdefault(outcome['key'], outcome)
    unbilled = [key for key in outcomes if key not in requests]
    rows = {key: _rebuilt(outcomes[key]) for key in unbilled}
    return Missing(
        [row for row in rows.values() if row is not None],
        [key for key, row in rows.items() if row is None],
    )


def _rebuilt(outcome: dict[str, Any]) -> billing_rows.BillRow | None:
    """Return the row in an outcome, none if it is not one of its request."""
    try:
        row = billing_rows.decode_row(outcome.get('bill_row'))
    except billing_rows.BillRowError:
        return None
    return row if row.request_id == outcome['key'] else None


async def reconcile(context: sources.Context) -> output.Answer:
    """Write the missing rows in one append.

    Repeating it is safe: the first row for a request id counts.
    """
    found = await missing(context)
    notes = [f'rows written: {len(found.rows)}']
    if found.not_rebuilt:
        notes.append(
            'requests without a row whose outcome does not hold one: '
            f'{", ".join(found.not_rebuilt)}'
        )
    if found.rows:
        await _append(context, found.rows)
    billed = await read(context.log)
    written = [attrs.asdict(row) for row in found.rows]
    return output.Answer(summary(written), notes, [source(context, billed)])


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
    except platform_errors.PlatformError as lost:
        raise errors.UnknownError(
            'the answer of the log was lost; repeating is safe'
        ) from lost


def _rows(payload: Any) -> list[output.Row]:
    rows = payload.get('rows') if isinstance(payload, dict) else None
    if not isinstance(rows, list):
        return []
    return [
        row for row in rows if isinstance(row, dict) and 'request_id' in row
    ]


def _outcomes(payload: Any) -> list[dict[str, Any]]:
    found = payload.get('items') if isinstance(payload, dict) else None
    if not isinstance(found, list):
        return []
    return [
        part
        for part in found
        if isinstance(part, dict)
        and part.get('item') == 'outcome'
        and isinstance(part.get('key'), str)
    ]
