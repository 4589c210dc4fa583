"""Investigation of answers whose connection was lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import eliot
import xxhash

from yuccarouter.gateway import crash_suspicions
from yuccarouter_common import clocks

if TYPE_CHECKING:
    from yuccarouter.gateway import answer_progress, attempts, endpoints

# A copy of the request may just have crashed another endpoint. Peers tell of
# that within this time.
_PEER_EVIDENCE_DELAY_S: Final = 0.08
# A second crash leaves one endpoint of such a service.
_SMALL_SERVICE_ENDPOINTS: Final = 3


async def investigate(
    out: attempts.OutgoingCall, progress: answer_progress.Progress
) -> None:
    """Record a lost answer if its endpoint has crashed.

    Where endpoints are few, it returns only once peers may have told of other
    crashes on the same request.
    """
    attempt = _crashed_attempt(out, progress, clocks.monotonic_ms())
    has_crashed = await out.gateway.crash_evidence.checks.has_crashed(
        progress.view
    )
    eliot.log_message(
        'answer_lost',
        request=out.call.request_id,
        digest=out.digest,
        attempt=out.sends,
        endpoint=progress.view.name,
        has_crashed=has_crashed,
        events=progress.events,
        ran_ms=round(attempt.ran_ms),
        suspects=sorted(attempt.suspects),
    )
    if not has_crashed:
        return
    recorded = out.gateway.crash_evidence.record_crash(
        attempt, clocks.monotonic_ms()
    )
    out.crashes += bool(recorded.new_suspects)
    if out.gateway.gossip is not None:
        out.gateway.gossip.has_news.set()
    if out.digest in recorded.new_suspects and _would_retry_at_few(out):
        await asyncio.sleep(_PEER_EVIDENCE_DELAY_S)


def _would_retry_at_few(out: attempts.OutgoingCall) -> bool:
    """Return whether a request may run again, in a service of few endpoints."""
    endpoint_count = out.gateway.crash_evidence.engine_count(out.service)
    return (
        out.may_run_again(after=0)
        and endpoint_count <= _SMALL_SERVICE_ENDPOINTS
    )


def record_dropped(
    out: attempts.OutgoingCall, progress: answer_progress.Progress
) -> None:
    """Record an attempt that this daemon ended before its answer went on.

    The engine may still crash on the request a moment later.
    """
    if not (progress.proceeded_ms or progress.has_ended):
        out.gateway.crash_evidence.dropped.record(
            _crashed_attempt(out, progress, clocks.monotonic_ms())
        )


def record_refused_connection(
    out: attempts.OutgoingCall, view: endpoints.EndpointView
) -> None:
    """Record that an engine has crashed, as it refuses connections."""
    now_ms = clocks.monotonic_ms()
    out.gateway.crash_evidence.record_engine_crash(
        _engine(view), now_ms, now_ms
    )


def _crashed_attempt(
    out: attempts.OutgoingCall,
    progress: answer_progress.Progress,
    crashed_ms: float,
) -> crash_suspicions.CrashedAttempt:
    ran_ms = progress.ran_ms(crashed_ms)
    return crash_suspicions.CrashedAttempt(
        request=_request_number(out),
        number=out.sends,
        engine=_engine(progress.view),
        service=out.service,
        sent_ms=progress.sent_ms,
        crashed_ms=crashed_ms,
        suspects=out.gateway.crash_evidence.suspects_of_crash(
            out.service, out.digest, out.part_ids, ran_ms
        ),
        answered=frozenset(),
        changed_ms=crashed_ms,
        ran_ms=ran_ms,
    )


def _engine(view: endpoints.EndpointView) -> str:
    """Return a short name of the engine from its start to its end."""
    started_ms = view.announced.incarnation.started_ms
    return xxhash.xxh3_64_hexdigest(f'{view.name}/{started_ms}'.encode())


def _request_number(out: attempts.OutgoingCall) -> int:
    """Return a number that identifies the request among all daemons."""
    name = f'{out.gateway.process_id}/{out.call.request_id}'
    return xxhash.xxh32_intdigest(name.encode('utf-8', 'surrogateescape'))
