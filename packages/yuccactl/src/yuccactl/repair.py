"""Repair of the stream ``configuration`` after the log lost records.

A log that was restored to older data is called rewound.
"""

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
class _DaemonConfiguration:
    """A complete configuration and the daemon that reported it."""

    daemon: str
    configuration: model.Configuration
    digest: str


def ahead_of_log(
    answers: list[sources.Answer],
    replay: sources.Replay,
) -> list[sources.Answer]:
    """Return the answers of daemons that applied records the log has lost.

    ``answers`` must have been read before ``replay``: a daemon's position
    beyond the end of the log then shows that the log was rewound. A daemon
    that reports the log as rewound is included even when the log has since
    grown past its position.
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
    """Return a message that the log was rewound and how to repair it."""
    names = ', '.join(
        f'{answer.daemon} (at offset {answer.position.offset})'
        for answer in ahead
    )
    return (
        'the log was restored to older data than these daemons hold: '
        f'{names}; "{_STATEMENT}" writes their configuration to the log'
    )


async def repair(context: sources.Context) -> output.Answer:
    """Append the configuration at the daemons' highest position to the log.

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
    restored = await _highest_configuration(context, ahead)
    record = _repair_record(restored, replay.configuration.position, context)
    position = restored.configuration.position
    line = (
        f'configuration of {restored.daemon} '
        f'at generation {position.generation}, '
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


def _repair_record(
    restored: _DaemonConfiguration,
    newest: model.Position,
    context: sources.Context,
) -> records.Record:
    """Return the repair record; its change id is the same on repetition."""
    position = restored.configuration.position
    generation = max(position.generation, newest.generation)
    configuration = attrs.evolve(
        restored.configuration,
        position=attrs.evolve(position, generation=generation),
    )
    return snapshots.repair_record(
        configuration,
        f'repair/{generation + 1}/{position.offset}/{restored.digest}',
        context.settings.author,
        clocks.wall_ms(),
    )


async def _highest_configuration(
    context: sources.Context,
    ahead: list[sources.Answer],
) -> _DaemonConfiguration:
    """Return the configuration at the highest position of ``ahead``.

    Raises ``errors.RejectedError`` when it can't be read or daemons differ.
    """
    urls = {answer.url for answer in ahead}
    answers = await sources.ask(context, 'configuration')
    configurations = [
        decoded
        for answer in answers
        if answer.url in urls
        for decoded in _decode_configuration(answer)
    ]
    if not configurations:
        raise errors.RejectedError(
            'nothing was changed: no daemon that is ahead of the log gives '
            'its configuration'
        )
    highest = max(each.configuration.position for each in configurations)
    expected = max(answer.position for answer in ahead)
    if highest < expected:
        raise errors.RejectedError(
            'nothing was changed: the configuration at the highest position, '
            f'offset {expected.offset}, could not be read'
        )
    newest = [
        each
        for each in configurations
        if each.configuration.position == highest
    ]
    # Configurations are compared, not digests: these differ between equal
    # configurations when one was read from a snapshot, which has 1.0 for a
    # field's default 1.
    if any(each.configuration != newest[0].configuration for each in newest):
        names = ', '.join(each.daemon for each in newest)
        raise errors.RejectedError(
            f'nothing was changed: at offset {highest.offset} these daemons '
            f'hold different configurations: {names}'
        )
    return newest[0]


def _decode_configuration(answer: sources.Answer) -> list[_DaemonConfiguration]:
    """Return the configuration in an answer, or an empty list if invalid.

    It is invalid when its digest does not match or it can't be decoded.
    """
    body: Any = answer.document.get('body')
    digest = f'{history.digest(body):016x}'
    if digest != answer.document.get('digest'):
        return []
    try:
        configuration = apply.from_snapshot(body)
    except records.RecordError:
        return []
    return [_DaemonConfiguration(answer.daemon, configuration, digest)]
