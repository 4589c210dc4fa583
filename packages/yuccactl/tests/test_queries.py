"""Tests of queries and of the sources that their answers name."""

from __future__ import annotations

import json
from typing import Any

import pytest
import yaml

from yuccactl import errors, execute, output, parser, sources
from yuccarouter_common import billing_rows, history, records, snapshots


async def _execute(harness: Any, text: str) -> output.Answer:
    return await execute.execute(harness.context, parser.parse(text))


_ENDPOINTS: list[dict[str, Any]] = [
    {
        'endpoint': 'a',
        'data_centre': 'kochi',
        'pool': 'p',
        'state': 'cold',
        'age_ms': 5,
        'versions': ['c@1'],
    },
    {'endpoint': 'b', 'data_centre': 'thrissur', 'pool': 'p', 'state': 'ready'},
]


@pytest.mark.parametrize(
    ('text', 'field', 'expected'),
    [
        ('show organisations', 'name', ['o']),
        ('show versions where version = 2', 'name', ['c@2']),
        ('show pools', 'name', ['p']),
        ('show services', 'name', []),
        ('show data_centres where state = in_service', 'name', ['kochi']),
        ('show endpoints', 'endpoint', ['a', 'b']),
        (
            'show endpoints where data_centre = kochi and state = cold',
            'endpoint',
            ['a'],
        ),
        ('show endpoints where versions = c@1', 'endpoint', ['a']),
        ('explain endpoint a', 'state', ['cold']),
        ('explain endpoint x', 'state', []),
        ('explain request r', 'value', ['ok', 1]),
        ('explain request x', 'value', []),
        ('history of c@1', 'kind', ['model_version', 'organisation']),
        (
            'why not c@2 for o',
            'remedy',
            ['allow c@2 for o', 'explain endpoint a', 'explain endpoint b'],
        ),
        ('show bill', 'cost_microcents', [3, 7]),
        ('show bill where organisation = o', 'requests', [1]),
        (
            'show configuration where author = setup',
            'object',
            [
                'data_centres/kochi',
                'organisations/o',
                'pools/p',
                'versions/c@1',
                'versions/c@2',
            ],
        ),
    ],
)
async def test_query(
    harness: Any, text: str, field: str, expected: list[Any]
) -> None:
    """Guards against rows that are missing, repeated or not filtered."""
    harness.platform.explanations['r'] = {'outcome': 'ok', 'attempts': [1]}
    harness.platform.status_documents = [
        {
            'endpoints': [
                _ENDPOINTS[0],
                {**_ENDPOINTS[1], 'versions': ['c@3']},
            ]
        }
    ]
    for request, organisation, cost in (
        ('1', 'o', 3),
        ('1', 'o', 9),
        ('2', 'x', 7),
    ):
        row = {
            'request_id': request,
            'organisation': organisation,
            'cost_microcents': cost,
        }
        harness.platform.put('billing', request, {'rows': [row]})
    answer = await _execute(harness, text)
    assert [row[field] for row in answer.rows] == expected
    if 'explain request' not in text:
        assert answer.sources


async def test_sources(harness: Any) -> None:
    """Guards against an answer without its source, position or age."""
    harness.platform.status_documents = [
        {'endpoints': _ENDPOINTS, 'confirmed_age_ms': 9}
    ]
    answer = await _execute(harness, 'show endpoints')
    text = output.render(answer, 'table')
    assert (
        'according to entry-1: offset 4 (generation 0), 9 ms old, log ok'
    ) in text
    assert (
        json.loads(output.render(answer, 'json'))['sources'][0]['offset'] == 4
    )
    assert (
        yaml.safe_load(output.render(answer, 'yaml'))['rows'][0]['age_ms'] == 5
    )
    assert harness.platform.authorizations == {'Bearer secret'}


async def test_unknown_field(harness: Any) -> None:
    """Guards against a misspelt field that silently matches nothing."""
    with pytest.raises(errors.UsageError, match='no field naem'):
        await _execute(harness, 'show versions where naem = c')


async def test_why_not_withdrawn(harness: Any) -> None:
    """Guards against an answer that omits one of several obstacles."""
    harness.platform.change('withdraw_version', {'model': 'c', 'version': '2'})
    harness.platform.change(
        'data_centre', {'name': 'kochi', 'state': 'out_of_service'}
    )
    harness.platform.status_documents = [{'endpoints': [_ENDPOINTS[0]]}]
    answer = await _execute(harness, 'why not c@2 for o')
    reasons = '\n'.join(row['reason'] for row in answer.rows)
    for part in ('not allowed', 'withdrawn', 'out of service', '5 ms old'):
        assert part in reasons


async def test_reconcile(harness: Any) -> None:
    """Guards against billing an outcome twice, or not at all."""
    row = billing_rows.BillRow('r', 'o', '', '', 'k', 0, 0, 7, 'e', 'a', 1)
    document = records.converter.unstructure(row)
    claim = {'item': 'claim', 'key': 'c', 'attempt_id': 'c', 'owner': 'x'}
    outcome = {'item': 'outcome', 'attempt_id': 'a', 'status': 201}
    batch = [
        claim,
        {**outcome, 'key': 'r', 'bill_row': document},
        {**outcome, 'key': 'r', 'bill_row': document},
        {**outcome, 'key': 'without'},
        {**outcome, 'key': 'other', 'bill_row': document},
        {**outcome, 'key': 'billed', 'bill_row': None},
    ]
    billed = {**document, 'request_id': 'billed'}
    harness.platform.put('registry-07', 'x', {'items': batch})
    harness.platform.put('billing', 'y', {'rows': [billed]})
    answer = await _execute(harness, 'bill reconcile')
    assert answer.notes == [
        'rows written: 1',
        'requests without a row whose outcome does not hold one: '
        'without, other',
    ]
    assert answer.rows[0]['cost_microcents'] == 7
    repeated = await _execute(harness, 'bill reconcile')
    assert repeated.notes[0] == 'rows written: 0'
    assert len(harness.platform.streams['billing']) == 2


@pytest.mark.parametrize('part', ['oldest', 'newest'])
async def test_partial_history(harness: Any, part: str) -> None:
    """Guards against changing a configuration that is only partly known.

    The log has dropped its oldest records or does not return the newest.
    """
    if part == 'oldest':
        del harness.platform.streams['configuration'][:2]
    else:
        harness.platform.withheld_count = 2
    answer = await _execute(harness, 'show versions')
    assert 'incomplete' in answer.sources[0].log_state
    with pytest.raises(errors.RejectedError, match='does not give the whole'):
        await _execute(harness, 'limit o to 5 concurrent')


async def test_history_from_a_snapshot(harness: Any) -> None:
    """Guards against rejecting all orders once the log drops old records.

    The configuration then starts from a snapshot record.
    """
    configuration = (await sources.replay(harness.context.log)).configuration
    stream = harness.platform.streams['configuration']
    digest = history.digest(stream[-1]['payload'])
    harness.platform.change('limits', {'name': 'o', 'max_concurrent': 4})
    harness.platform.put_record(
        snapshots.snapshot_record(configuration, digest, 'entry-1', 0)
    )
    del stream[:2]
    replay = await sources.replay(harness.context.log)
    assert replay.complete
    assert replay.configuration.organisations['o'].max_concurrent == 4
    assert set(replay.configuration.versions) == {'c@1', 'c@2'}
    harness.platform.status_documents = [
        {'position': {'generation': 0, 'offset': 7}}
    ]
    with pytest.raises(errors.RejectedError, match='ahead|restored'):
        await _execute(harness, 'limit o to 5 concurrent')
    harness.platform.status_documents = [
        {'position': {'generation': 0, 'offset': 6}}
    ]
    with pytest.raises(errors.NotYetError):
        await _execute(harness, 'limit o to 5 concurrent')
    assert harness.platform.last()['body']['max_concurrent'] == 5
