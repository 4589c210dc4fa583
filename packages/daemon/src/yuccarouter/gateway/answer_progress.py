"""Progress of an answer, to judge its latency also before it has ended."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.gateway import answer_times, stream_timeouts

if TYPE_CHECKING:
    from yuccarouter.gateway import endpoints

_MS_PER_EVENT: Final = 20.0


@attrs.define(eq=False)
class Progress:
    """An answer that is awaited or received.

    ``model`` is empty for plain services. ``events`` are those received so
    far and ``first_event_ms`` is when the first one arrived. ``is_judged`` is
    true once the answer has been counted as slow, and ``proceeded_ms`` is for
    how long it had gone on, as far as that was recorded, or infinite once it
    has ended well. ``has_ended`` is true once the
    endpoint has refused the request or ended its answer, and
    ``was_withdrawn`` once this daemon has decided to end the attempt because
    endpoints crash on the request. ``time_factor`` is the factor that was
    expected of the endpoint, ``None`` where the load is not controlled.
    endpoints crash on the request. ``waiting_before`` is the number of requests
    that were expected to wait at the endpoint before this one.
    """

    view: endpoints.EndpointView
    route: str
    model: str
    prefill_tokens: float
    sent_ms: float
    events: int = 0
    first_event_ms: float = math.inf
    is_judged: bool = False
    proceeded_ms: float = 0
    has_ended: bool = False
    was_withdrawn: bool = False
    time_factor: float | None = None
    waiting_before: float = 0

    def record_events(self, events: int, now_ms: float) -> None:
        """Record the number of events received so far."""
        if events and not self.events:
            self.first_event_ms = now_ms
        self.events = events

    def ran_ms(self, now_ms: float) -> float:
        """Return the time since the first event, 0 before it."""
        return max(0, now_ms - self.first_event_ms)

    def record_proceeding(self, now_ms: float) -> bool:
        """Record that the answer goes on; return whether that is news."""
        ran_ms = self.ran_ms(now_ms)
        reached_ms = max(
            (each for each in answer_times.PROCEEDED_MS if each <= ran_ms),
            default=0,
        )
        if reached_ms <= self.proceeded_ms:
            return False
        self.proceeded_ms = reached_ms
        return True

    @property
    def kinds(self) -> tuple[str, ...]:
        """Kinds of similar answers, from the narrowest to the widest."""
        service = self.view.announced.service
        if not self.model:
            return (f'{service}/{self.route}', service)
        return (
            f'{service}/{self.route}/{self.model}',
            f'{service}//{self.model}',
            service,
        )

    def relative_latency(self, elapsed_ms: float) -> float:
        """Return the latency in relation to the work that is done so far.

        The work of requests to plain services is unknown and taken as equal.
        """
        if not self.model:
            return elapsed_ms
        return elapsed_ms / expected_ms(self.prefill_tokens, self.events)


def expected_ms(prefill_tokens: float, events: int) -> float:
    """Return the time of a prefill and of so many events on an idle engine."""
    return stream_timeouts.expected_ms(prefill_tokens) + _MS_PER_EVENT * max(
        1, events
    )
