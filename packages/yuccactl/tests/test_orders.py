"""Tests of orders, from the text to the appended record and its effect."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from yuccactl import errors, execute, output, parser
from yuccarouter_common import records


async def _execute(harness: Any, text: str) -> output.Answer:
    return await execute.execute(harness.context, parser.parse(text))


_ROLLOUT = {
    'name': 'c@2',
    'model': 'c',
    'version': '2',
    'baseline': '1',
    'state': 'rolling',
    'share': 0.05,
}


@pytest.mark.parametrize(
    ('text', 'kind', 'body'),
    [
        (
            'create organisation n with weight = 2',
            'organisation',
            {'name': 'n', 'weight': 2},
        ),
        (
            'change organisation o with on_withdrawn_session = move',
            'organisation',
            {'name': 'o', 'on_withdrawn_session': 'move'},
        ),
        (
            'create version c@3 in pool p with prompt_price_microcents = 4',
            'model_version',
            {
                'model': 'c',
                'version': '3',
                'pool': 'p',
                'prompt_price_microcents': 4,
            },
        ),
        (
            'change version c@2 with completion_price_microcents = 4',
            'model_version',
            {'model': 'c', 'version': '2', 'completion_price_microcents': 4},
        ),
        ('allow c@2 for o', 'allow', {'name': 'o', 'allowed': ['c@2']}),
        ('disallow c@1 for o', 'disallow', {'name': 'o', 'allowed': ['c@1']}),
        (
            'limit o to 5 concurrent',
            'limits',
            {'name': 'o', 'max_concurrent': 5},
        ),
        ('withdraw c@2', 'withdraw_version', {'model': 'c', 'version': '2'}),
        (
            'take out data_centre kochi',
            'data_centre',
            {'name': 'kochi', 'state': 'out_of_service'},
        ),
    ],
)
async def test_order(
    harness: Any, text: str, kind: str, body: dict[str, Any]
) -> None:
    """Guards against a wrong record, and a second one for a repeated order."""
    answer = await _execute(harness, text)
    written = harness.platform.last()
    assert (written['kind'], written['body']) == (kind, body)
    assert written['author'] == 'asha'
    assert 'in effect at 1 of 1 daemons from offset 5 on' in answer.notes
    repeated = await _execute(harness, text)
    assert repeated.notes == ['nothing to change']
    assert harness.platform.appends == 1


async def test_rollout_orders(harness: Any) -> None:
    """Guards against an order that gives a roll-out a share of the requests.

    Only the controller may raise the share, so a new roll-out has share 0.
    """
    await _execute(harness, 'roll out c@2 over c@1')
    body = harness.platform.last()['body']
    assert (body['state'], body['share']) == ('created', 0)
    await _execute(harness, 'hold rollout c@2')
    assert harness.platform.last()['body']['state'] == 'held'
    with pytest.raises(errors.AmbiguousError, match='resume rollout c@2'):
        await _execute(harness, 'roll out c@2 over c@1')
    await _execute(harness, 'resume rollout c@2')
    assert harness.platform.last()['body']['state'] == 'created'
    harness.platform.change('rollout', {**_ROLLOUT, 'state': 'finished'})
    with pytest.raises(errors.RejectedError, match='is finished'):
        await _execute(harness, 'hold rollout c@2')


async def test_hold_after_concurrent_step(harness: Any) -> None:
    """Guards against a controller's step voiding an operator's hold.

    The step is appended between the read for the hold and its record.
    """
    harness.platform.change('rollout', _ROLLOUT)
    step = records.Record(
        'step',
        'controller',
        0,
        records.Kind.ROLLOUT,
        {**_ROLLOUT, 'share': 0.2},
    )
    harness.platform.before_append.append(step)
    await _execute(harness, 'hold rollout c@2')
    answer = await _execute(harness, 'show rollouts')
    assert answer.rows[0]['state'] == 'held'


@pytest.mark.parametrize(
    ('text', 'error', 'message'),
    [
        ('allow c@9 for o', errors.RejectedError, 'known: c@1, c@2'),
        ('allow c@2 for x', errors.RejectedError, 'known: o'),
        ('create version d@1 in pool q', errors.RejectedError, 'known: p'),
        ('take out data_centre x', errors.RejectedError, 'known: kochi'),
        ('hold rollout x', errors.RejectedError, 'no roll-out x'),
        ('roll out c@2 over c@2', errors.RejectedError, 'another one'),
        (
            'create organisation o with weight = 2',
            errors.AmbiguousError,
            'change organisation o with weight = 2',
        ),
        (
            'create organisation n with weigth = 2',
            errors.UsageError,
            'weigth can not be set',
        ),
        (
            'create organisation n with weight = 0',
            errors.UsageError,
            'above 0',
        ),
        (
            'create organisation n with max_concurrent = -1',
            errors.UsageError,
            'negative',
        ),
        (
            'create organisation n with weight = 1, weight = 2',
            errors.UsageError,
            'twice',
        ),
        (
            'create organisation n with key_digests = ["secret"]',
            errors.UsageError,
            'SHA-256',
        ),
        (
            'create organisation n with allowed = c',
            errors.UsageError,
            'a list',
        ),
        (
            'create organisation n with stale_policy = x',
            errors.UsageError,
            'refuse, serve',
        ),
        ('take out kochi', errors.AmbiguousError, 'take out data_centre kochi'),
        ('bring back a', errors.AmbiguousError, 'bring back data_centre a'),
        ('withdraw c', errors.AmbiguousError, 'withdraw c@1\n  withdraw c@2'),
        ('allow c for o', errors.AmbiguousError, 'allow c@2 for o'),
        ('disallow c for o', errors.AmbiguousError, 'disallow c@2 for o'),
        ('why not c for o', errors.AmbiguousError, 'why not c@2 for o'),
        ('history of c', errors.AmbiguousError, 'history of c@2'),
        ('roll out c@2', errors.AmbiguousError, 'roll out c@2 over c@1'),
        ('limit o to 5', errors.AmbiguousError, 'limit o to 5 concurrent'),
        ('explain e', errors.AmbiguousError, 'explain endpoint e'),
        ('hold x', errors.AmbiguousError, 'matches nothing'),
        ('resume x', errors.AmbiguousError, 'matches nothing'),
    ],
)
async def test_refusal(
    harness: Any, text: str, error: type[Exception], message: str
) -> None:
    """Guards against executing an order that is ambiguous or not valid.

    The message names the cause, the known names or the exact statements.
    """
    with pytest.raises(error) as caught:
        await _execute(harness, text)
    assert message in str(caught.value)
    assert harness.platform.appends == 0


@pytest.mark.parametrize('takes_effect', [True, False])
async def test_lost_answer(harness: Any, takes_effect: bool) -> None:
    """Guards against a second append after the log's answer was lost."""
    harness.platform.drop_answers = True
    harness.platform.dropped_takes_effect = takes_effect
    if takes_effect:
        await _execute(harness, 'allow c@2 for o')
    else:
        with pytest.raises(errors.UnknownError):
            await _execute(harness, 'allow c@2 for o')
    assert harness.platform.appends == 1


async def test_log_refuses(harness: Any) -> None:
    """Guards against reporting a refused append as possibly recorded."""
    harness.platform.refuse_appends = True
    with pytest.raises(errors.RejectedError, match='nothing was changed'):
        await _execute(harness, 'allow c@2 for o')


async def test_rewound(harness: Any) -> None:
    """Guards against reporting success for a record that the log has lost."""
    harness.platform.rewind_appends = True
    with pytest.raises(errors.UnknownError, match='does not hold it'):
        await _execute(harness, 'allow c@2 for o')


async def test_resume_keeps_step(harness: Any) -> None:
    """Guards against restarting a roll-out that waited for ratings.

    Its share is 0 while it waits, as before its first step.
    """
    held = {**_ROLLOUT, 'state': 'held', 'step': 2, 'share': 0}
    harness.platform.change('rollout', held)
    await _execute(harness, 'resume rollout c@2')
    assert harness.platform.last()['body']['state'] == 'rolling'


async def test_voided_change(harness: Any) -> None:
    """Guards against reporting success for a change that was voided.

    A conflicting change of another operator is appended just before it.
    """
    winner = records.Record(
        'w', 'bela', 0, records.Kind.LIMITS, {'name': 'o', 'max_concurrent': 9}
    )
    harness.platform.before_append.append(winner)
    with pytest.raises(errors.RejectedError, match='change w of bela'):
        await _execute(harness, 'limit o to 5 concurrent')
    harness.platform.before_append.append(attrs.evolve(winner, change_id='v'))
    answer = await _execute(harness, 'limit o to 9 concurrent')
    assert answer.notes == ['nothing to change']


async def test_same_change_made_first(harness: Any) -> None:
    """Guards against rejecting an order whose change was just made.

    Another operator appends the same change first.
    """
    same = records.Record(
        'w', 'bela', 0, records.Kind.LIMITS, {'name': 'o', 'max_concurrent': 5}
    )
    harness.platform.before_append.append(same)
    await _execute(harness, 'limit o to 5 concurrent')
    assert 'another change did the same first' in harness.progress


@pytest.mark.parametrize(
    ('status_documents', 'named'),
    [
        (
            [{'position': {'generation': 0, 'offset': 4}}],
            'entry-1 (at offset 4)',
        ),
        ([{'position': None}], 'entry-1 (at offset -1)'),
        ([], 'answered 500'),
    ],
)
async def test_not_yet(
    harness: Any, status_documents: list[dict[str, Any]], named: str
) -> None:
    """Guards against reporting an effect that no daemon has confirmed."""
    harness.platform.status_documents = status_documents
    with pytest.raises(errors.NotYetError) as caught:
        await _execute(harness, 'allow c@2 for o')
    assert 'offset 5' in caught.value.message
    assert named in caught.value.message


async def test_take_out_over_capacity(harness: Any) -> None:
    """Guards against taking out a data centre without showing the shortfall."""
    endpoint = {'pool': 'p', 'state': 'ready', 'limit': 4, 'age_ms': 1}
    harness.platform.status_documents = [
        {
            'endpoints': [
                {
                    **endpoint,
                    'endpoint': name,
                    'data_centre': data_centre,
                    'in_flight': 3,
                }
                for name, data_centre in (('a', 'kochi'), ('b', 'thrissur'))
            ]
        }
    ]
    await _execute(harness, 'take out data_centre kochi')
    assert (
        'pool p: present load 6 (6 in flight, 0 queued); the remaining '
        '1 endpoints admit 4: not enough, 2 short'
    ) in harness.progress
    assert harness.platform.last()['body']['state'] == 'out_of_service'
