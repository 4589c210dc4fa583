"""Tests of the repair of the configuration after the log was rewound."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from yuccactl import errors, execute, output, parser, sources, waiting
from yuccarouter_common import apply, history, model


async def _execute(harness: Any, text: str) -> output.Answer:
    return await execute.execute(harness.context, parser.parse(text))


async def _rewind(harness: Any) -> model.Configuration:
    """Drop a withdrawal that the daemon has applied.

    Returns the daemon's configuration.
    """
    harness.platform.change('withdraw_version', {'model': 'c', 'version': '1'})
    configuration = (await sources.replay(harness.context.log)).configuration
    harness.platform.streams['configuration'].pop()
    _serve_configuration(harness, '0', configuration)
    harness.platform.status_documents = [_document(configuration.position)]
    return configuration


def _document(position: model.Position) -> dict[str, Any]:
    return {'position': attrs.asdict(position), 'log_state': 'rewound'}


def _serve_configuration(
    harness: Any, number: str, configuration: model.Configuration
) -> None:
    harness.platform.configurations[number] = {
        'daemon': f'entry-{number}',
        'digest': f'{history.state_digest(configuration):016x}',
        'body': apply.snapshot_body(configuration),
    }


async def test_repaired(harness: Any) -> None:
    """Guards against a withdrawn version that is served again.

    The log was rewound to a state from before the withdrawal.
    """
    await _rewind(harness)
    shown = await _execute(harness, 'show configuration')
    assert 'repair configuration' in shown.notes[0]
    # The stand-in daemon keeps reporting its old position, so the effect is
    # not confirmed.
    with pytest.raises(errors.NotYetError):
        await _execute(harness, 'repair configuration')
    replay = await sources.replay(harness.context.log)
    assert replay.configuration.position == model.Position(1, 5)
    assert replay.configuration.versions['c@1'].state == model.WITHDRAWN
    assert replay.complete
    harness.platform.status_documents[0] = {
        'position': attrs.asdict(replay.configuration.position),
    }
    answer = await _execute(harness, 'repair configuration')
    assert answer.notes == ['nothing to repair: no daemon is ahead of the log']
    assert harness.platform.appends == 1


async def test_order_refused(harness: Any) -> None:
    """Guards against an order that only new daemons would apply.

    The others are ahead of the rewound log.
    """
    await _rewind(harness)
    with pytest.raises(errors.RejectedError, match='repair configuration'):
        await _execute(harness, 'limit o to 5 concurrent')
    assert harness.platform.appends == 0


async def test_unconfirmed_while_rewound(harness: Any) -> None:
    """Guards against comparing offsets of two histories.

    A daemon may have a higher offset only because the log was rewound.
    """
    answer = sources.Answer('u', _document(model.Position(0, 90)))
    answers = [answer, attrs.evolve(answer, document=_document_following())]
    poll = waiting.classify(answers, model.Position(0, 5))
    assert len(poll.behind) == 1


def _document_following() -> dict[str, Any]:
    return {**_document(model.Position(0, 90)), 'log_state': 'following'}


def _differing(harness: Any, configuration: model.Configuration) -> None:
    harness.platform.status_documents.append(_document(configuration.position))
    _serve_configuration(harness, '1', attrs.evolve(configuration, pools={}))


def _damaged(harness: Any, configuration: model.Configuration) -> None:
    harness.platform.configurations['0']['body']['pools'] = {}


def _missing(harness: Any, configuration: model.Configuration) -> None:
    harness.platform.configurations.clear()


def _newest_unreadable(
    harness: Any, configuration: model.Configuration
) -> None:
    newer = attrs.evolve(
        configuration.position, offset=configuration.position.offset + 1
    )
    harness.platform.status_documents.append(_document(newer))


@pytest.mark.parametrize(
    ('arrange', 'message'),
    [
        (_differing, 'different configurations: entry-0, entry-1'),
        (_damaged, 'no daemon that is ahead'),
        (_missing, 'no daemon that is ahead'),
        (_newest_unreadable, 'highest position, offset 6, could not be read'),
    ],
)
async def test_not_repaired(harness: Any, arrange: Any, message: str) -> None:
    """Guards against a repair from a disputed, damaged or older state.

    The daemons differ, or the newest configuration could not be read.
    """
    configuration = await _rewind(harness)
    url = harness.context.settings.daemons[0].removesuffix('/0')
    daemons = [f'{url}/0', f'{url}/1']
    settings = attrs.evolve(harness.context.settings, daemons=daemons)
    harness.context = attrs.evolve(harness.context, settings=settings)
    arrange(harness, configuration)
    with pytest.raises(errors.RejectedError) as caught:
        await _execute(harness, 'repair configuration')
    assert message in caught.value.message
    assert harness.platform.appends == 0
