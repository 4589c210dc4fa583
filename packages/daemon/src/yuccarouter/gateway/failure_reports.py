"""Endpoints that daemons lost contact to, as reports that pass among them.

One daemon's failed connection may be its own fault, so that an endpoint is
avoided on the word of others only where several of them lost it.
"""

from __future__ import annotations

import math
from typing import Any, Final

import attrs

# Daemons that must have lost an endpoint before the others avoid it.
_WITNESSES: Final = 2
# Age from which a report says nothing; an endpoint that stays away is found
# lost again by then, and one that is back is tried again.
_REPORT_AGE_MS: Final = 2000.0
# A daemon that lost more than this part of its endpoints is likely cut off.
_CREDIBLE_PART: Final = 0.5
# Reports in one message, the newest ones, so that it fits a datagram.
_MAX_ENDPOINTS: Final = 32

# What a message carries: by endpoint, each witness with the report's age.
Message = dict[str, dict[str, int]]


@attrs.define
class FailureReports:
    """Reports of lost endpoints: own ones and those that peers passed on.

    Peers pass on what they heard, so that a report reaches all daemons in a
    few rounds. ``_reports`` holds the time of the newest loss by endpoint and
    witness, on this daemon's clock, and ``_answered_ms`` when an endpoint last
    answered, so that older reports of peers say nothing.
    """

    name: str
    _reports: dict[str, dict[str, float]] = attrs.field(factory=dict)
    _answered_ms: dict[str, float] = attrs.field(factory=dict)

    def report_failure(self, endpoint: str, now_ms: float) -> None:
        """Report an endpoint that this daemon lost."""
        self._reports.setdefault(endpoint, {})[self.name] = now_ms

    def record_answer(self, endpoint: str, now_ms: float) -> None:
        """Withdraw what is known of an endpoint that has answered."""
        self._reports.pop(endpoint, None)
        self._answered_ms[endpoint] = now_ms

    def unreachable(self, now_ms: float) -> frozenset[str]:
        """Return the endpoints that enough daemons lost a moment ago."""
        since_ms = now_ms - _REPORT_AGE_MS
        return frozenset(
            endpoint
            for endpoint, reports in self._reports.items()
            if sum(lost > since_ms for lost in reports.values()) >= _WITNESSES
        )

    def message(self, endpoints: int, now_ms: float) -> Message:
        """Return what peers are told, where ``endpoints`` are in use.

        The own reports of a daemon that is likely cut off are left out.
        """
        self._forget(now_ms)
        own = sum(1 for seen in self._reports.values() if self.name in seen)
        is_credible = own <= _CREDIBLE_PART * endpoints
        told: Message = {}
        newest_first = sorted(
            self._reports.items(), key=_newest_ms, reverse=True
        )
        for endpoint, reports in newest_first[:_MAX_ENDPOINTS]:
            ages = {
                witness: math.ceil(now_ms - lost_ms)
                for witness, lost_ms in _newest(reports)
                if is_credible or witness != self.name
            }
            if ages:
                told[endpoint] = ages
        return told

    def merge(self, message: Any, now_ms: float) -> None:
        """Take in what a peer knows.

        Raises ``TypeError``, ``ValueError`` or ``AttributeError`` for what is
        no message.
        """
        for endpoint, ages in message.items():
            for witness, age_ms in ages.items():
                lost_ms = now_ms - max(0, age_ms)
                self._merge_one(str(endpoint), str(witness), lost_ms)

    def _merge_one(self, endpoint: str, witness: str, lost_ms: float) -> None:
        answered_ms = self._answered_ms.get(endpoint, -math.inf)
        # An own report that was withdrawn does not come back.
        if witness == self.name or lost_ms <= answered_ms:
            return
        reports = self._reports.setdefault(endpoint, {})
        reports[witness] = max(reports.get(witness, -math.inf), lost_ms)

    def _forget(self, now_ms: float) -> None:
        since_ms = now_ms - _REPORT_AGE_MS
        for endpoint, reports in list(self._reports.items()):
            recent = _since(reports, since_ms)
            if recent:
                self._reports[endpoint] = recent
            else:
                self._reports.pop(endpoint)
        self._answered_ms = _since(self._answered_ms, since_ms)


def _since(times_ms: dict[str, float], since_ms: float) -> dict[str, float]:
    return {
        name: time_ms
        for name, time_ms in times_ms.items()
        if time_ms > since_ms
    }


def _newest_ms(reports: tuple[str, dict[str, float]]) -> float:
    return max(reports[1].values())


def _newest(reports: dict[str, float]) -> list[tuple[str, float]]:
    """Return as many witnesses as are needed, the newest ones."""
    ranked = sorted(reports.items(), key=lambda item: item[1], reverse=True)
    return ranked[:_WITNESSES]
