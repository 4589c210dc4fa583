"""Waiting until a change is in effect at every reachable daemon."""

from __future__ import annotations

import asyncio
import time
from typing import Final

import attrs

from yuccactl import errors, output, sources, views
from yuccarouter_common import model

# A daemon that does not answer is asked again before it counts as
# unreachable, because one lost connection says little.
_MIN_POLLS: Final = 2


@attrs.frozen
class Poll:
    """What the daemons answered, and which of them do not count."""

    answers: list[sources.Answer]
    behind: list[str]
    unreachable: list[str]

    @property
    def reached(self) -> int:
        return len(self.answers) - len(self.behind) - len(self.unreachable)


async def until_in_effect(
    context: sources.Context,
    position: model.Position,
) -> output.Answer:
    """Wait until every reachable daemon is at ``position`` or past it.

    Raises ``errors.NotYetError`` that names the daemons which are not, when
    ``wait_ms`` have passed or no daemon can be reached.
    """
    deadline = time.monotonic() + context.wait_ms / 1000
    polls = 0
    shown = ''
    while True:
        poll = sort(await sources.statuses(context), position)
        polls += 1
        line = _progress(poll)
        if line != shown:
            context.progress(line)
            shown = line
        if _is_done(poll) and (polls >= _MIN_POLLS or not poll.unreachable):
            return _done(poll, position)
        if time.monotonic() >= deadline:
            raise errors.NotYetError(_not_yet(poll, position))
        await asyncio.sleep(context.poll_ms / 1000)


def sort(answers: list[sources.Answer], position: model.Position) -> Poll:
    """Sort the daemons by whether they have applied ``position``."""
    return Poll(
        answers,
        behind=[
            f'{answer.daemon} (at offset {answer.position.offset})'
            for answer in answers
            if not answer.fault and _is_behind(answer, position)
        ],
        unreachable=[
            f'{answer.url} ({answer.fault})'
            for answer in answers
            if answer.fault
        ],
    )


def _is_behind(answer: sources.Answer, position: model.Position) -> bool:
    # After a rewind, offsets of the lost history and of the log don't compare.
    is_rewound = answer.document.get('log_state') == views.REWOUND
    return is_rewound or answer.position < position


def _is_done(poll: Poll) -> bool:
    return poll.reached > 0 and not poll.behind


def _progress(poll: Poll) -> str:
    return (
        f'in effect at {poll.reached} of {len(poll.answers)} daemons, '
        f'{len(poll.behind)} behind, {len(poll.unreachable)} unreachable'
    )


def _done(poll: Poll, position: model.Position) -> output.Answer:
    notes = [
        f'in effect at {poll.reached} of {len(poll.answers)} daemons '
        f'from offset {position.offset} on'
    ]
    notes.extend(f'unreachable: {name}' for name in poll.unreachable)
    return output.Answer(
        notes=notes, sources=views.daemon_sources(poll.answers)
    )


def _not_yet(poll: Poll, position: model.Position) -> str:
    waiting = '; '.join([*poll.behind, *poll.unreachable])
    if not poll.answers:
        waiting = 'the settings name no daemons'
    return (
        f'recorded at offset {position.offset}, not yet in effect at: {waiting}'
    )
