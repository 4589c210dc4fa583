"""Current speeds of endpoints, as they report them in their answers."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Final

import attrs
import eliot

from yuccarouter.gateway import metrics, numbers

# An endpoint takes this share of the usual time where it reports no time.
_USUAL_PERCENT: Final = 100
_MAX_PERCENT: Final = 10_000
# A factor of zero would make any queue seem empty.
_MIN_FACTOR: Final = 0.1
# A single defective endpoint must not set the mean of its whole service.
_MAX_FACTOR_IN_MEAN: Final = 10.0
# Time constant of the decay to the mean. The speed of a VM changes about twice
# a second, independently of its earlier speed.
_DECAY_MS: Final = 500.0
# A service counts as reporting its speed for this time after its last figure,
# so that gaps between the requests of a quiet service don't matter.
_MAX_AGE_MS: Final = 10_000.0
# Older figures have decayed to less than a third of their difference from the
# mean when they arrive.
_MAX_SENT_AGE_MS: Final = 600.0
# Differences up to this share of the mean don't change a choice.
_MIN_DIFFERENCE_SHARE: Final = 0.25
# Endpoints above this multiple of the mean count as slow in the metrics.
_SLOW_RATIO: Final = 1.5
# Endpoints whose malformed load reports have been logged.
_MAX_MALFORMED: Final = 1000
# Bounds of a message: the other fields of a digest need the rest of it.
_MAX_SENT: Final = 16
_MAX_SENT_BYTES: Final = 400
# JSON around the name of an entry: quotes, colon, brackets and two numbers.
_ENTRY_BYTES: Final = 15

# Time in per cent of the usual one, and its age in milliseconds, by endpoint.
Message = dict[str, tuple[int, int]]


@attrs.frozen
class _Figure:
    """A reported factor; ``is_own`` is false for those of peers."""

    service: str
    factor: float
    at_ms: float
    is_own: bool


@attrs.define
class _Mean:
    """The mean factor of a service's endpoints, by their newest figures."""

    total: float = 0
    count: int = 0
    newest_ms: float = -math.inf

    def add(self, figure: _Figure) -> None:
        self.total += min(_MAX_FACTOR_IN_MEAN, figure.factor)
        self.count += 1
        self.newest_ms = max(self.newest_ms, figure.at_ms)

    def discard(self, figure: _Figure) -> None:
        self.total -= min(_MAX_FACTOR_IN_MEAN, figure.factor)
        self.count -= 1


@attrs.define
class EndpointSpeeds:
    """The newest figure of each endpoint, by this daemon's answers or peers'.

    ``service_of`` returns the service of an endpoint, ``None`` for one that is
    not in use; its figures are ignored, which bounds the state.
    """

    service_of: Callable[[str], str | None]
    _figures: dict[str, _Figure] = attrs.field(factory=dict)
    _means: dict[str, _Mean] = attrs.field(factory=dict)
    _malformed: set[str] = attrs.field(factory=set)

    def record_malformed(self, endpoint: str, text: str) -> None:
        """Log a malformed load report, once for each endpoint."""
        if endpoint in self._malformed:
            return
        if len(self._malformed) < _MAX_MALFORMED:
            self._malformed.add(endpoint)
            eliot.log_message(
                'malformed_load_report', endpoint=endpoint, report=text
            )

    def record(
        self, endpoint: str, time_percent: int | None, now_ms: float
    ) -> None:
        """Record the figure of an answer, if it states one."""
        if time_percent is not None and 1 <= time_percent <= _MAX_PERCENT:
            self._add(endpoint, time_percent, now_ms, is_own=True)

    def time_factor(self, endpoint: str, now_ms: float) -> float:
        """Return the expected time of work as a multiple of the usual one.

        It decays from the last figure to the mean of the service's endpoints,
        and is 1.0 without any figure.
        """
        figure = self._figures.get(endpoint)
        service = figure.service if figure else self.service_of(endpoint)
        mean = self.mean_factor(service or '', now_ms)
        if figure is None:
            return mean
        weight = math.exp(min(0, figure.at_ms - now_ms) / _DECAY_MS)
        return mean + weight * (figure.factor - mean)

    def mean_factor(self, service: str, now_ms: float) -> float:
        """Return the mean factor of a service's endpoints."""
        if not self.reports_speed(service, now_ms):
            return 1.0
        mean = self._means[service]
        return mean.total / mean.count

    def reports_speed(self, service: str, now_ms: float) -> bool:
        """Return whether a service's endpoints have reported their speed."""
        mean = self._means.get(service)
        return (
            mean is not None
            and mean.count > 0
            and now_ms - mean.newest_ms <= _MAX_AGE_MS
        )

    def message(self, now_ms: float) -> Message:
        """Return this daemon's recent figures that differ from the mean."""
        self._expire(now_ms)
        recent = [
            (endpoint, figure)
            for endpoint, figure in self._figures.items()
            if figure.is_own
            and now_ms - figure.at_ms <= _MAX_SENT_AGE_MS
            and self._differs(figure, now_ms)
        ]
        # Peers learn most from what is still far from the mean.
        recent.sort(
            key=lambda item: abs(
                self.time_factor(item[0], now_ms)
                - self.mean_factor(item[1].service, now_ms)
            ),
            reverse=True,
        )
        sent: Message = {}
        left_bytes = _MAX_SENT_BYTES
        for endpoint, figure in recent[:_MAX_SENT]:
            entry_bytes = len(endpoint.encode()) + _ENTRY_BYTES
            if entry_bytes <= left_bytes:
                left_bytes -= entry_bytes
                sent[endpoint] = (
                    round(figure.factor * _USUAL_PERCENT),
                    max(0, round(now_ms - figure.at_ms)),
                )
        return sent

    def merge(self, message: Any, now_ms: float) -> None:
        """Record the figures of a peer's message that are newer than known.

        Raises ``AttributeError``, ``TypeError`` or ``ValueError`` for a
        malformed message, and changes nothing then.
        """
        checked = [
            (
                str(endpoint),
                numbers.integer(time_percent, _MAX_PERCENT),
                numbers.number(age_ms),
            )
            for endpoint, (time_percent, age_ms) in message.items()
        ]
        for endpoint, time_percent, age_ms in checked[:_MAX_SENT]:
            if time_percent and age_ms <= _MAX_AGE_MS:
                self._add(endpoint, time_percent, now_ms - age_ms, is_own=False)

    def _add(
        self, endpoint: str, time_percent: int, at_ms: float, *, is_own: bool
    ) -> None:
        service = self.service_of(endpoint)
        known = self._figures.get(endpoint)
        if service is None or (known is not None and known.at_ms > at_ms):
            return
        if known is not None:
            self._means[known.service].discard(known)
        factor = max(_MIN_FACTOR, time_percent / _USUAL_PERCENT)
        figure = _Figure(service, factor, at_ms, is_own)
        self._figures[endpoint] = figure
        if service not in self._means:
            eliot.log_message('service_reports_speed', service=service)
        self._means.setdefault(service, _Mean()).add(figure)

    def _differs(self, figure: _Figure, now_ms: float) -> bool:
        mean = self.mean_factor(figure.service, now_ms)
        return abs(figure.factor - mean) > _MIN_DIFFERENCE_SHARE * mean

    def _expire(self, now_ms: float) -> None:
        """Discard old figures, and rounding errors of the means."""
        since_ms = now_ms - _MAX_AGE_MS
        self._figures = {
            endpoint: figure
            for endpoint, figure in self._figures.items()
            if figure.at_ms >= since_ms
        }
        means: dict[str, _Mean] = {}
        for figure in self._figures.values():
            means.setdefault(figure.service, _Mean()).add(figure)
        for service in self._means.keys() - means.keys():
            eliot.log_message('service_without_speed', service=service)
            metrics.MEAN_TIME_FACTOR.labels(service).set(1)
            metrics.SLOW_ENDPOINTS.labels(service).set(0)
        self._means = means
        self._observe(now_ms)

    def _observe(self, now_ms: float) -> None:
        slow = dict.fromkeys(self._means, 0)
        for figure in self._figures.values():
            mean = self.mean_factor(figure.service, now_ms)
            slow[figure.service] += figure.factor > _SLOW_RATIO * mean
        for service, count in slow.items():
            mean = self.mean_factor(service, now_ms)
            metrics.MEAN_TIME_FACTOR.labels(service).set(mean)
            metrics.SLOW_ENDPOINTS.labels(service).set(count)
