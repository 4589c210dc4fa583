"""Reports of unreachable endpoints, spread among the daemons by gossip.

A failed connection may be the fault of a single daemon. The others therefore
avoid an endpoint only if several daemons report it.
"""

from __future__ import annotations

import math
from typing import Any, Final

import attrs

# Daemons that must report an endpoint before the others avoid it.
_MIN_REPORTERS: Final = 2
# Reports expire at this age. An endpoint that is still unreachable is reported
# again by then, and one that is back is tried again.
_MAX_REPORT_AGE_MS: Final = 2000.0
# A daemon that can't reach more than this share of the endpoints is probably
# cut off from the network itself.
_MAX_FAILED_SHARE: Final = 0.5
# Only the newest reports are sent, so that a message fits a datagram.
_MAX_ENDPOINTS: Final = 32

# Age of each report in milliseconds, by endpoint and reporting daemon.
Message = dict[str, dict[str, int]]


@attrs.define
class FailureReports:
    """Failure reports of this daemon, ``name``, and of its peers.

    Daemons forward the reports of others, so that a report reaches all of them
    within a few rounds. ``_reports`` holds the time of the newest failure by
    endpoint and reporting daemon, on this daemon's clock. ``_answered_ms``
    holds when an endpoint last answered; older reports of peers are ignored.
    """

    name: str
    _reports: dict[str, dict[str, float]] = attrs.field(factory=dict)
    _answered_ms: dict[str, float] = attrs.field(factory=dict)

    def report_failure(self, endpoint: str, now_ms: float) -> None:
        """Report an endpoint that this daemon could not reach."""
        self._reports.setdefault(endpoint, {})[self.name] = now_ms

    def record_answer(self, endpoint: str, now_ms: float) -> None:
        """Discard the reports of an endpoint that has answered."""
        self._reports.pop(endpoint, None)
        self._answered_ms[endpoint] = now_ms

    def unreachable(self, now_ms: float) -> frozenset[str]:
        """Return the endpoints that enough daemons reported recently."""
        since_ms = now_ms - _MAX_REPORT_AGE_MS
        return frozenset(
            endpoint
            for endpoint, reports in self._reports.items()
            if sum(failed_ms > since_ms for failed_ms in reports.values())
            >= _MIN_REPORTERS
        )

    def message(self, endpoints: int, now_ms: float) -> Message:
        """Return the message to peers, where ``endpoints`` are in use.

        This daemon's own reports are left out if it is probably cut off.
        """
        self._expire(now_ms)
        own_reports = sum(
            1 for reports in self._reports.values() if self.name in reports
        )
        is_credible = own_reports <= _MAX_FAILED_SHARE * endpoints
        newest_ages: Message = {}
        newest_first = sorted(
            self._reports.items(), key=_newest_report_ms, reverse=True
        )
        for endpoint, reports in newest_first[:_MAX_ENDPOINTS]:
            ages = {
                reporter: math.ceil(now_ms - failed_ms)
                for reporter, failed_ms in _newest_reporters(reports)
                if is_credible or reporter != self.name
            }
            if ages:
                newest_ages[endpoint] = ages
        return newest_ages

    def merge(self, message: Any, now_ms: float) -> None:
        """Merge the reports of a peer's message.

        Raises ``TypeError``, ``ValueError`` or ``AttributeError`` for a
        malformed message.
        """
        for endpoint, ages in message.items():
            for reporter, age_ms in ages.items():
                failed_ms = now_ms - max(0, age_ms)
                self._merge_report(str(endpoint), str(reporter), failed_ms)

    def _merge_report(
        self, endpoint: str, reporter: str, failed_ms: float
    ) -> None:
        answered_ms = self._answered_ms.get(endpoint, -math.inf)
        # Peers send this daemon's own reports back, even discarded ones.
        if reporter == self.name or failed_ms <= answered_ms:
            return
        reports = self._reports.setdefault(endpoint, {})
        reports[reporter] = max(reports.get(reporter, -math.inf), failed_ms)

    def _expire(self, now_ms: float) -> None:
        since_ms = now_ms - _MAX_REPORT_AGE_MS
        for endpoint, reports in list(self._reports.items()):
            recent = _newer_than(reports, since_ms)
            if recent:
                self._reports[endpoint] = recent
            else:
                self._reports.pop(endpoint)
        self._answered_ms = _newer_than(self._answered_ms, since_ms)


def _newer_than(
    times_ms: dict[str, float], since_ms: float
) -> dict[str, float]:
    return {
        name: time_ms
        for name, time_ms in times_ms.items()
        if time_ms > since_ms
    }


def _newest_report_ms(reports: tuple[str, dict[str, float]]) -> float:
    return max(reports[1].values())


def _newest_reporters(reports: dict[str, float]) -> list[tuple[str, float]]:
    """Return the newest reports, as many as are needed."""
    ranked = sorted(reports.items(), key=lambda item: item[1], reverse=True)
    return ranked[:_MIN_REPORTERS]
