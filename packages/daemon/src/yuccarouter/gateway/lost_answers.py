"""Investigation of answers to prompts whose connection was lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot
import xxhash

from yuccarouter.gateway import crash_suspicions
from yuccarouter_common import clocks

if TYPE_CHECKING:
    from yuccarouter.gateway import answer_progress, attempts


async def investigate(
    out: attempts.OutgoingCall, progress: answer_progress.Progress
) -> None:
    """Record a lost answer to a prompt if its endpoint has crashed."""
    if not out.part_ids:
        return
    crashed_ms = clocks.monotonic_ms()
    started_ms = progress.view.announced.incarnation.started_ms
    has_crashed = await out.gateway.crash_evidence.checks.has_crashed(
        progress.view
    )
    eliot.log_message(
        'prompt_answer_lost',
        request=out.call.request_id,
        attempt=out.sends,
        endpoint=progress.view.name,
        has_crashed=has_crashed,
        events=progress.events,
        parts=out.part_ids,
    )
    if not has_crashed or progress.has_proceeded(crashed_ms):
        return
    recorded = out.gateway.crash_evidence.record_crash(
        crash_suspicions.CrashedAttempt(
            request=_request_number(out),
            number=out.sends,
            engine=f'{progress.view.name}/{started_ms}',
            service=out.service,
            sent_ms=progress.sent_ms,
            crashed_ms=crashed_ms,
            suspects=frozenset(out.part_ids),
            answered=frozenset(),
            changed_ms=crashed_ms,
        ),
        clocks.monotonic_ms(),
    )
    out.crashes += bool(recorded.new_suspects)
    if out.gateway.gossip is not None:
        out.gateway.gossip.has_news.set()


def _request_number(out: attempts.OutgoingCall) -> int:
    """Return a number that identifies the request among all daemons."""
    name = f'{out.gateway.process_id}/{out.call.request_id}'
    return xxhash.xxh32_intdigest(name.encode('utf-8', 'surrogateescape'))
