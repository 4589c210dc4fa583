"""Tests of the repair after a rewound log."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from yuccactl import errors, execute, output, parser, sources, waiting
from yuccarouter_common import apply, history, model


async def _do(bench: Any, text: str) -> output.Answer:
    return await execute.execute(bench.context, parser.parse(text))


async def _rewind(bench: Any) -> model.Configuration:
    """Drop a withdrawal that the daemon has applied; return what it holds."""
    bench.platform.change('withdraw_version', {'model': 'c', 'version': '1'})
    held = (await sources.replay(bench.context.log)).configuration
    bench.platform.streams['configuration'].pop()
    _hold(bench, '0', held)
    bench.platform.documents = [_document(held.position)]
    return held


def _document(position: model.Position) -> dict[str, Any]:
    return {'position': attrs.asdict(position), 'log_state': 'rewound'}


def _hold(bench: Any, number: str, held: model.Configuration) -> None:
    bench.platform.configurations[number] = {
        'daemon': f'entry-{number}',
        'digest': f'{history.state_digest(held):016x}',
        'body': apply.snapshot_body(held),
    }


async def test_repaired(bench: Any) -> None:
    """Guards against a withdrawn version that returns with an older log."""
    await _rewind(bench)
    shown = await _do(bench, 'show configuration')
    assert 'repair configuration' in shown.notes[0]
    # The stand-in's daemon stays where it is, so the effect is not confirmed.
    with pytest.raises(errors.NotYetError):
        await _do(bench, 'repair configuration')
    replay = await sources.replay(bench.context.log)
    assert replay.configuration.position == model.Position(1, 5)
    assert replay.configuration.versions['c@1'].state == model.WITHDRAWN
    assert replay.complete
    bench.platform.documents[0] = {
        'position': attrs.asdict(replay.configuration.position),
    }
    answer = await _do(bench, 'repair configuration')
    assert answer.notes == ['nothing to repair: no daemon is ahead of the log']
    assert bench.platform.appends == 1


async def test_order_refused(bench: Any) -> None:
    """Guards against an order that only new daemons would apply."""
    await _rewind(bench)
    with pytest.raises(errors.RejectedError, match='repair configuration'):
        await _do(bench, 'limit o to 5 concurrent')
    assert bench.platform.appends == 0


async def test_unconfirmed_while_rewound(bench: Any) -> None:
    """Guards against comparing offsets of two histories."""
    answer = sources.Answer('u', _document(model.Position(0, 90)))
    answers = [answer, attrs.evolve(answer, document=_document_following())]
    poll = waiting.classify(answers, model.Position(0, 5))
    assert len(poll.behind) == 1


def _document_following() -> dict[str, Any]:
    return {**_document(model.Position(0, 90)), 'log_state': 'following'}


def _differing(bench: Any, held: model.Configuration) -> None:
    bench.platform.documents.append(_document(held.position))
    _hold(bench, '1', attrs.evolve(held, pools={}))


def _damaged(bench: Any, held: model.Configuration) -> None:
    bench.platform.configurations['0']['body']['pools'] = {}


def _missing(bench: Any, held: model.Configuration) -> None:
    bench.platform.configurations.clear()


def _newer_unread(bench: Any, held: model.Configuration) -> None:
    newer = attrs.evolve(held.position, offset=held.position.offset + 1)
    bench.platform.documents.append(_document(newer))


@pytest.mark.parametrize(
    ('arrange', 'message'),
    [
        (_differing, 'different configurations: entry-0, entry-1'),
        (_damaged, 'no daemon that is ahead'),
        (_missing, 'no daemon that is ahead'),
        (_newer_unread, 'highest position, offset 6, could not be read'),
    ],
)
async def test_not_repaired(bench: Any, arrange: Any, message: str) -> None:
    """Guards against a repair from a doubtful or older configuration."""
    held = await _rewind(bench)
    url = bench.context.settings.daemons[0].removesuffix('/0')
    daemons = [f'{url}/0', f'{url}/1']
    settings = attrs.evolve(bench.context.settings, daemons=daemons)
    bench.context = attrs.evolve(bench.context, settings=settings)
    arrange(bench, held)
    with pytest.raises(errors.RejectedError) as caught:
        await _do(bench, 'repair configuration')
    assert message in caught.value.message
    assert bench.platform.appends == 0
