"""What this daemon knows of the load of endpoints, and how old it is."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING, Any, Final

import attrs

from yuccarouter.gateway import numbers
from yuccarouter.gateway.overload import admission

if TYPE_CHECKING:
    from yuccarouter.gateway import model

# A queue of a few rounds of work changes within about this time. An older
# report counts less than the mean of the recent ones.
_REPORT_AGE_MS: Final = 300.0
# The mean and the share to shed fade with this time constant. A daemon that
# sheds most requests gets few reports, and would otherwise send everything
# between two of them.
_MEAN_AGE_MS: Final = 10_000.0
# Older figures of an endpoint are not used.
_MAX_AGE_MS: Final = 15_000.0
# Weight of a new figure in a mean.
_REPORT_WEIGHT: Final = 0.5
_TIME_WEIGHT: Final = 0.3
# Requests of this daemon since the report that are counted: beyond a few, the
# endpoint has ended some of them.
_MAX_SENT: Final = 3
# The controller of the share to shed, as in RFC 8033 (PIE): the share grows
# with the difference of the wait from its target, integrated over time, and
# with the change of the wait. Waits are in shares of the slack. The target
# keeps endpoints busy and leaves most of the slack for the age of reports.
_TARGET_WAIT: Final = 0.25
_INTEGRAL_GAIN_PER_S: Final = 0.5
_PROPORTIONAL_GAIN: Final = 0.2
_MAX_SHED_SHARE: Final = 0.98
# Longest time between reports over which a difference is integrated.
_MAX_STEP_MS: Final = 1000.0
# A shorter-lived share to shed does not call for shedding.
_MIN_SHED_SHARE: Final = 0.01
_MAX_ENDPOINTS: Final = 1024
# Endpoints in a message to peers, which has to stay below 400 bytes.
_MAX_REPORTED: Final = 8
# Older reports are not passed on.
_MAX_PASSED_ON_MS: Final = 1500.0
# An endpoint with more waiting requests or slots is not believed.
_MAX_COUNT: Final = 100_000
_MS_PER_S: Final = 1000


@attrs.define
class EndpointLoad:
    """The reports of an endpoint and the times of its answers.

    ``work_ms`` is the mean time of a request once it runs, ``None`` while
    unknown, and ``objective_ms`` the objective of the newest one that was
    answered. ``shed_share`` is the share of requests to shed.
    """

    slots: int = 1
    is_full: bool = False
    waiting: float = 0
    mean_waiting: float = 0
    reported_ms: float = -math.inf
    work_ms: float | None = None
    objective_ms: float = math.inf
    shed_share: float = 0
    last_wait: float = 0

    def record_report(
        self, waiting: float, slots: int, now_ms: float, *, is_full: bool
    ) -> None:
        """Record a report unless a newer one is known."""
        if now_ms <= self.reported_ms:
            return
        is_first = math.isinf(self.reported_ms)
        self.mean_waiting = _mean(
            None if is_first else self._faded(self.mean_waiting, now_ms),
            waiting,
            _REPORT_WEIGHT,
        )
        self.waiting = waiting
        self.slots = max(1, slots)
        self.is_full = is_full
        self._adapt_shed_share(now_ms)
        self.reported_ms = now_ms

    def record_answer(
        self, elapsed_ms: float, waiting_before: float, objective_ms: float
    ) -> None:
        """Record the time of an answer, after the report that came with it.

        ``waiting_before`` is the expected number of requests that waited when
        this one was sent. Where more wait now, so many have waited before: too
        long a time of work would keep requests away, and with them the answers
        that correct it.
        """
        waiting = max(self.waiting, waiting_before)
        self.objective_ms = objective_ms
        self.record_work(elapsed_ms / (1 + waiting / self.slots))

    def record_work(self, work_ms: float) -> None:
        """Record the time of a request once it runs."""
        self.work_ms = _mean(self.work_ms, work_ms, _TIME_WEIGHT)

    def waiting_at(self, sent: int, now_ms: float) -> float:
        """Return the expected number of requests that wait.

        ``sent`` counts this daemon's requests since the report.
        """
        weight = math.exp((self.reported_ms - now_ms) / _REPORT_AGE_MS)
        fresh = self.waiting + min(sent, _MAX_SENT) * self.is_full
        usual = self._faded(self.mean_waiting, now_ms)
        return weight * fresh + (1 - weight) * usual

    def wait_ms(self, sent: int, now_ms: float) -> float:
        """Return the expected wait of a request that is sent now."""
        return (self.work_ms or 0) * self.waiting_at(sent, now_ms) / self.slots

    def shed_share_at(self, now_ms: float) -> float:
        """Return the share of requests to shed, 0 without overload."""
        share = self._faded(self.shed_share, now_ms)
        return share if share >= _MIN_SHED_SHARE else 0

    def is_known(self, now_ms: float) -> bool:
        """Return whether the figures suffice for an estimate."""
        is_recent = now_ms - self.reported_ms <= _MAX_AGE_MS
        return is_recent and self.work_ms is not None

    def _faded(self, figure: float, now_ms: float) -> float:
        if not figure:
            return 0
        return figure * math.exp((self.reported_ms - now_ms) / _MEAN_AGE_MS)

    def _adapt_shed_share(self, now_ms: float) -> None:
        """Move the share to shed by the newest wait."""
        if self.work_ms is None or math.isinf(self.objective_ms):
            return
        slack_ms = admission.slack_ms(self.objective_ms, self.work_ms)
        wait = self.waiting * self.work_ms / self.slots / slack_ms
        step_ms = min(_MAX_STEP_MS, now_ms - self.reported_ms)
        integral = _INTEGRAL_GAIN_PER_S * step_ms / _MS_PER_S
        change = integral * (wait - _TARGET_WAIT) + _PROPORTIONAL_GAIN * (
            wait - self.last_wait
        )
        share = self._faded(self.shed_share, now_ms) + change
        self.shed_share = min(_MAX_SHED_SHARE, max(0, share))
        self.last_wait = wait


@attrs.define
class Loads:
    """The loads of the endpoints that have reported last, by name."""

    _by_endpoint: collections.OrderedDict[str, EndpointLoad] = attrs.field(
        factory=collections.OrderedDict
    )

    def get(self, endpoint: str) -> EndpointLoad | None:
        """Return what is known of an endpoint, ``None`` without any report."""
        return self._by_endpoint.get(endpoint)

    def record_report(
        self, endpoint: str, load: model.Load, now_ms: float
    ) -> None:
        """Record the load that an endpoint states in an answer or refusal."""
        self._entry(endpoint).record_report(
            load.waiting, load.slots, now_ms, is_full=load.running >= load.slots
        )

    def message(self, now_ms: float) -> dict[str, list[float]]:
        """Return the newest reports of endpoints with a queue, for peers.

        It holds the waiting requests, the slots, the age of the report and the
        time of work, by endpoint: the longest queues if there are many.
        """
        recent = [
            (load.waiting, name, load)
            for name, load in self._by_endpoint.items()
            if now_ms - load.reported_ms <= _MAX_PASSED_ON_MS
            and (load.waiting or load.shed_share_at(now_ms))
            and load.work_ms is not None
        ]
        recent.sort(reverse=True, key=lambda item: item[:2])
        return {
            name: [
                load.waiting,
                load.slots,
                round(now_ms - load.reported_ms),
                round(load.work_ms or 0),
            ]
            for _, name, load in recent[:_MAX_REPORTED]
        }

    def merge(self, message: dict[str, Any], now_ms: float) -> None:
        """Take over reports of a peer that are newer than the known ones.

        Raises ``AttributeError``, ``TypeError`` or ``ValueError`` for a
        malformed message, and changes nothing then.
        """
        checked = [
            (
                str(name),
                numbers.integer(waiting, _MAX_COUNT),
                numbers.integer(slots, _MAX_COUNT),
                now_ms - numbers.number(age_ms),
                numbers.number(work_ms),
            )
            for name, (waiting, slots, age_ms, work_ms) in message.items()
        ][:_MAX_REPORTED]
        for name, waiting, slots, reported_ms, work_ms in checked:
            load = self._entry(name)
            if reported_ms <= load.reported_ms:
                continue
            load.record_report(waiting, slots, reported_ms, is_full=waiting > 0)
            load.record_work(work_ms)

    def _entry(self, endpoint: str) -> EndpointLoad:
        load = self._by_endpoint.setdefault(endpoint, EndpointLoad())
        self._by_endpoint.move_to_end(endpoint)
        if len(self._by_endpoint) > _MAX_ENDPOINTS:
            self._by_endpoint.popitem(last=False)
        return load


def _mean(before: float | None, figure: float, weight: float) -> float:
    return figure if before is None else before + weight * (figure - before)
