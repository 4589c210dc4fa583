"""Investigation of answers to prompts whose connection was lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

from yuccarouter.gateway import prompt_parts

if TYPE_CHECKING:
    from yuccarouter.gateway import answer_progress, attempts


async def investigate(
    out: attempts.OutgoingCall, progress: answer_progress.Progress
) -> None:
    """Log a lost answer to a prompt and whether its endpoint has crashed."""
    parts = prompt_parts.shared_part_ids(out.call)
    if not parts:
        return
    has_crashed = await out.gateway.crash_checks.has_crashed(progress.view)
    eliot.log_message(
        'prompt_answer_lost',
        request=out.call.request_id,
        attempt=out.sends,
        endpoint=progress.view.name,
        has_crashed=has_crashed,
        events=progress.events,
        parts=parts,
    )
