"""Records what answers show of speeds and times, and announces long reads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.gateway import metrics, model

if TYPE_CHECKING:
    from yuccarouter.gateway import attempts, choice, endpoints, state

_OK: Final = 200
_USUAL_PERCENT: Final = 100
# All other requests to an engine wait while it reads a prompt. Peers learn of
# longer reads before their next regular digest.
_LONG_READ_MS: Final = 250.0
# Announcements in a second on average, and at once: each is a digest to eight
# peers, and control may take 25 KB a second.
_ANNOUNCEMENTS_PER_S: Final = 1.0
_MAX_BURST: Final = 3.0


@attrs.define
class ReadNews:
    """The announcements of long reads that are allowed (a token bucket)."""

    allowed: float = _MAX_BURST
    updated_ms: float = 0

    def is_due(self, read_ms: float, now_ms: float) -> bool:
        """Return whether to announce a read now, and count it as announced.

        A read that is not announced is in the next regular digest.
        """
        if read_ms <= _LONG_READ_MS:
            return False
        elapsed_ms = now_ms - self.updated_ms
        self.updated_ms = now_ms
        self.allowed = min(
            _MAX_BURST,
            self.allowed + elapsed_ms * _ANNOUNCEMENTS_PER_S / model.MS_PER_S,
        )
        is_due = self.allowed >= 1
        self.allowed -= is_due
        return is_due


def record_load(
    gateway: state.Gateway,
    view: endpoints.EndpointView,
    head: model.AnswerHead,
    now_ms: float,
) -> None:
    """Record the load report of an answer of this endpoint or another one."""
    if head.malformed_load:
        gateway.speeds.record_malformed(view.name, head.malformed_load)
    if head.load is None:
        return
    view.record_load(head.load, now_ms)
    if not head.is_misdirected and head.load.time_percent is not None:
        gateway.speeds.record(view.name, head.load.time_percent, now_ms)


def usual_read_ms(
    gateway: state.Gateway,
    chosen: choice.Choice,
    model_name: str,
    tokens: float,
    now_ms: float,
) -> float:
    """Return the time of a read that begins now, at the usual speed.

    Peers are told of a long one where the load is controlled.
    """
    if chosen.time_factor is None:
        return gateway.prefill_speeds.expected_ms(model_name, tokens)
    read_ms = gateway.service_times.read_ms(model_name, tokens)
    is_due = gateway.read_news.is_due(read_ms * chosen.time_factor, now_ms)
    if is_due and gateway.gossip is not None:
        metrics.ANNOUNCED_READS.inc()
        gateway.gossip.has_news.set()
    return read_ms


def record_read(
    gateway: state.Gateway,
    opened: attempts.OpenAnswer,
    elapsed_ms: float,
    waited_ms: float,
) -> None:
    """Record the time to the head of an engine's answer.

    ``waited_ms`` is the expected time of the prompts before it, at the usual
    speed.
    """
    progress = opened.progress
    if progress.time_factor is None or opened.head.status != _OK:
        return
    factor = _factor_in_force(opened, progress.time_factor)
    gateway.service_times.record_read(
        progress.model, progress.prefill_tokens, elapsed_ms / factor, waited_ms
    )


def record_service(
    out: attempts.OutgoingCall, opened: attempts.OpenAnswer, elapsed_ms: float
) -> None:
    """Record the time of a complete answer of a plain route."""
    progress = opened.progress
    is_plain = out.call.generation is None and (
        out.route.kind is not model.Kind.STREAM
    )
    if progress.time_factor is None or not is_plain:
        return
    factor = _factor_in_force(opened, progress.time_factor)
    load = opened.head.load
    if load is not None:
        factor *= 1 + load.waiting / max(1, load.slots)
    out.gateway.service_times.record_service(
        out.service, out.route.name, elapsed_ms, factor
    )


def _factor_in_force(
    opened: attempts.OpenAnswer, expected_factor: float
) -> float:
    """Return the factor that the answer states, or else the expected one."""
    load = opened.head.load
    if load is None or load.time_percent is None:
        return expected_factor
    return load.time_percent / _USUAL_PERCENT
