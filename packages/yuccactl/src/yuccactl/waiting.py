"""Waiting until a change is in effect at every reachable daemon."""

from __future__ import annotations

import asyncio
import time
from typing import Final

import attrs

from yuccactl import errors, output, sources, views
from yuccarouter_common import model

# A daemon that does not answer is polled again before it counts as
# unreachable, because a single connection can be lost without a fault of the
# daemon.
_MIN_POLLS: Final = 2


@attrs.frozen
class Poll:
    """Answers of the daemons, and which are behind or unreachable."""

    answers: list[sources.Answer]
    behind: list[str]
    unreachable: list[str]

    @property
    def applied_count(self) -> int:
        return len(self.answers) - len(self.behind) - len(self.unreachable)


async def until_in_effect(
    context: sources.Context,
    position: model.Position,
) -> output.Answer:
    """Wait until every reachable daemon has applied ``position``.

    Raises ``errors.NotYetError`` that names the other daemons when ``wait_ms``
    have passed first, also when no daemon can be reached.
    """
    deadline = time.monotonic() + context.wait_ms / 1000
    polls = 0
    last_line = ''
    while True:
        poll = classify(await sources.statuses(context), position)
        polls += 1
        line = _progress_line(poll)
        if line != last_line:
            context.progress(line)
            last_line = line
        if _is_in_effect(poll) and (
            polls >= _MIN_POLLS or not poll.unreachable
        ):
            return _in_effect_answer(poll, position)
        if time.monotonic() >= deadline:
            raise errors.NotYetError(_not_yet_message(poll, position))
        await asyncio.sleep(context.poll_ms / 1000)


def classify(answers: list[sources.Answer], position: model.Position) -> Poll:
    """Classify the daemons by whether they have applied ``position``."""
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
    # After a rewind, offsets of the daemon's history and of the log can't be
    # compared.
    is_rewound = answer.document.get('log_state') == views.REWOUND
    return is_rewound or answer.position < position


def _is_in_effect(poll: Poll) -> bool:
    return poll.applied_count > 0 and not poll.behind


def _progress_line(poll: Poll) -> str:
    return (
        f'in effect at {poll.applied_count} of {len(poll.answers)} daemons, '
        f'{len(poll.behind)} behind, {len(poll.unreachable)} unreachable'
    )


def _in_effect_answer(poll: Poll, position: model.Position) -> output.Answer:
    notes = [
        f'in effect at {poll.applied_count} of {len(poll.answers)} daemons '
        f'from offset {position.offset} on'
    ]
    notes.extend(f'unreachable: {name}' for name in poll.unreachable)
    return output.Answer(
        notes=notes, sources=views.daemon_sources(poll.answers)
    )


def _not_yet_message(poll: Poll, position: model.Position) -> str:
    missing = '; '.join([*poll.behind, *poll.unreachable])
    if not poll.answers:
        missing = 'the settings name no daemons'
    return (
        f'recorded at offset {position.offset}, not yet in effect at: {missing}'
    )
