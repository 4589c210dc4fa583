"""Repairing the stream ``configuration`` after the log was rewound."""

from __future__ import annotations

from typing import Any, Final

import attrs

from yuccactl import errors, output, publishing, sources, views, waiting
from yuccarouter_common import (
    apply,
    clocks,
    history,
    model,
    publish,
    records,
    snapshots,
)

_STATEMENT: Final = 'repair configuration'


@attrs.frozen
class _Held:
    """A whole configuration and the daemon that holds it."""

    daemon: str
    configuration: model.Configuration
    digest: str


def ahead_of_log(
    answers: list[sources.Answer],
    replay: sources.Replay,
) -> list[sources.Answer]:
    """Return the daemons that hold a history which the log has lost.

    ``answers`` must have been read before ``replay``: a position that is
    later than the log's is then evidence of a rewound log. A daemon that
    reports the log as rewound holds the lost history even when the log has
    grown past its position since.
    """
    newest = replay.configuration.position
    return [
        answer
        for answer in answers
        if not answer.fault
        and (
            answer.document.get('log_state') == views.REWOUND
            or answer.position > newest
        )
    ]


def rewound_text(ahead: list[sources.Answer]) -> str:
    """Say that the log was rewound and which statement repairs it."""
    names = ', '.join(
        f'{answer.daemon} (at offset {answer.position.offset})'
        for answer in ahead
    )
    return (
        'the log was restored to older data than these daemons hold: '
        f'{names}; "{_STATEMENT}" writes their configuration to the log'
    )


async def repair(context: sources.Context) -> output.Answer:
    """Write the configuration at the highest position found to the log.

    Raises ``errors.RejectedError`` when the daemons' configurations at this
    position differ or none of them can be read.
    """
    if not context.settings.author:
        raise errors.UsageError('an order needs author in the settings')
    answers = await sources.statuses(context)
    replay = await sources.replay(context.log)
    ahead = ahead_of_log(answers, replay)
    if not ahead:
        return output.Answer(
            notes=['nothing to repair: no daemon is ahead of the log']
        )
    held = await _highest(context, ahead)
    record = _record(held, replay.configuration.position, context)
    position = held.configuration.position
    line = (
        f'configuration of {held.daemon} at generation {position.generation}, '
        f'offset {position.offset} becomes generation '
        f'{record.body["position"]["generation"]}'
    )
    context.progress(line)
    published = await publishing.publish_record(context, record)
    if isinstance(published, publish.Voided):
        raise errors.RejectedError(
            publishing.void_text(published.void_change, replay.changes)
        )
    answer = await waiting.until_in_effect(context, published.position)
    notes = [line, f'change {record.change_id}', *answer.notes]
    return attrs.evolve(answer, notes=notes)


def _record(
    held: _Held,
    newest: model.Position,
    context: sources.Context,
) -> records.Record:
    """Return the record; repeating the statement gives the same change id."""
    position = held.configuration.position
    generation = max(position.generation, newest.generation)
    configuration = attrs.evolve(
        held.configuration,
        position=attrs.evolve(position, generation=generation),
    )
    return snapshots.repair_record(
        configuration,
        f'repair/{generation + 1}/{position.offset}/{held.digest}',
        context.settings.author,
        clocks.wall_ms(),
    )


async def _highest(
    context: sources.Context,
    ahead: list[sources.Answer],
) -> _Held:
    """Return the latest configuration of the daemons that are ahead."""
    urls = {answer.url for answer in ahead}
    answers = await sources.ask(context, 'configuration')
    found = [
        held
        for answer in answers
        if answer.url in urls
        for held in _held(answer)
    ]
    if not found:
        raise errors.RejectedError(
            'nothing was changed: no daemon that is ahead of the log gives '
            'its configuration'
        )
    highest = max(held.configuration.position for held in found)
    expected = max(answer.position for answer in ahead)
    if highest < expected:
        raise errors.RejectedError(
            'nothing was changed: the configuration at the highest position, '
            f'offset {expected.offset}, could not be read'
        )
    best = [held for held in found if held.configuration.position == highest]
    # Digests may differ between equal configurations: one that was read from
    # a snapshot holds 1.0 where another one holds a field's default 1.
    if any(held.configuration != best[0].configuration for held in best):
        names = ', '.join(held.daemon for held in best)
        raise errors.RejectedError(
            f'nothing was changed: at offset {highest.offset} these daemons '
            f'hold different configurations: {names}'
        )
    return best[0]


def _held(answer: sources.Answer) -> list[_Held]:
    """Return the configuration in an answer, nothing if it is not intact."""
    body: Any = answer.document.get('body')
    digest = f'{history.digest(body):016x}'
    if digest != answer.document.get('digest'):
        return []
    try:
        configuration = apply.from_snapshot(body)
    except records.RecordError:
        return []
    return [_Held(answer.daemon, configuration, digest)]
