"""Rate limits that endpoints state in their answers, for all daemons together.

An endpoint states a limit in each of its answers for as long as it applies. The
daemons exchange the newest statements and divide each limit among themselves:

    limits.record_answer('e1', per_s=2.0, sent_ms=100, now_ms=120)
    limits.exhausted(now_ms=130)    # {'e1': 1500.0}
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Final

import attrs
import eliot

from yuccarouter.gateway import metrics, model, numbers, senders

# The agreed tolerance: in a window, an endpoint may get this multiple of what
# its limit allows, and a few more requests.
_WINDOW_S: Final = 4.0
_OVERSHOOT: Final = 1.5
_SLACK: Final = 5.0
# Leaves room for requests that are sent in one window and arrive in the next.
_SAFETY_FACTOR: Final = 0.8
# An endpoint that accepts nothing is still asked now and then: only an answer
# shows that the limit has ended.
_MIN_PER_S: Final = 0.1
# A limit that this daemon has received itself is kept for this time if peers
# report a higher one: their answers may be older.
_KEEP_LOWER_MS: Final = 1000.0
# Only the newest statements are sent, so that a message fits a datagram.
_MAX_STATEMENTS: Final = 24

# The fields of each endpoint's statement.
Message = dict[str, tuple[int, int, float | None]]


@attrs.frozen
class Statement:
    """The rate limit of an endpoint, ``None`` once it states none.

    ``version`` counts the changes since the endpoint's start at ``started_ms``.
    """

    started_ms: int
    version: int
    per_s: float | None

    def is_newer_than(self, other: Statement | None) -> bool:
        """Return whether this statement replaces ``other``.

        Of two changes that were noticed at the same time, the lower limit wins.
        """
        return other is None or self._order > other._order  # noqa: WPS437

    @property
    def _order(self) -> tuple[int, int, float]:
        return (self.started_ms, self.version, -_rate(self.per_s))


def encode_statement(statement: Statement) -> tuple[int, int, float | None]:
    """Return a statement's fields for messages and records."""
    return (statement.started_ms, statement.version, statement.per_s)


def decode_statement(fields: Any) -> Statement:
    """Return a statement; raises ``TypeError`` or ``ValueError``."""
    started_ms, version, per_s = fields
    return Statement(
        numbers.integer(started_ms),
        numbers.integer(version),
        None if per_s is None else max(0, float(per_s)),
    )


@attrs.frozen
class Share:
    """This daemon's share of a limit: an interval between sends and a burst."""

    interval_ms: float
    burst: int


def share_of(
    endpoint: str, per_s: float, daemon: str, others: tuple[str, ...]
) -> Share | None:
    """Return the share of ``daemon``, ``None`` if it may not send.

    The average rate of all daemons is the limit, and their bursts together
    stay within the agreed tolerance. Only as many daemons send as can have a
    burst of one request each.
    """
    tolerated = (_OVERSHOOT - 1) * _WINDOW_S * per_s + _SLACK
    bursts = max(1, int(_SAFETY_FACTOR * tolerated))
    count = min(1 + len(others), bursts)
    if not senders.is_sender(endpoint, daemon, others, count):
        return None
    interval_ms = model.MS_PER_S * count / max(per_s, _MIN_PER_S)
    return Share(interval_ms, bursts // count)


@attrs.define
class _EndpointLimit:
    """A statement and what this daemon has sent under it.

    ``learned_ms`` is when the statement was last received here, and
    ``observed_ms`` when it was last received from the endpoint itself.
    ``full_at_ms`` is when the whole burst is available again; it is ``None``
    until the first look at the limit.
    """

    statement: Statement
    learned_ms: float
    observed_ms: float = -math.inf
    full_at_ms: float | None = None

    def next_send_ms(self, share: Share, now_ms: float) -> float:
        """Return the time from which the next request may be sent.

        A new limit starts without a burst: this daemon, or its process before
        a restart, may have just sent requests.
        """
        latest_ms = now_ms + share.burst * share.interval_ms
        if self.full_at_ms is None:
            self.full_at_ms = latest_ms
        self.full_at_ms = min(self.full_at_ms, latest_ms)
        return self.full_at_ms - (share.burst - 1) * share.interval_ms

    def record_send(self, share: Share, now_ms: float) -> None:
        """Use up a part of the burst."""
        self.next_send_ms(share, now_ms)
        self.full_at_ms = (
            max(self.full_at_ms or now_ms, now_ms) + share.interval_ms
        )


@attrs.define
class RateLimits:
    """The stated rate limits as known to the daemon ``name``.

    ``started_ms`` returns when an endpoint started, ``None`` if it is not in
    use. What an endpoint stated before its latest start no longer counts.
    ``others`` returns the sorted names of the daemons that share the limits.
    """

    name: str
    started_ms: Callable[[str], int | None]
    others: Callable[[], tuple[str, ...]]
    _limits: dict[str, _EndpointLimit] = attrs.field(factory=dict)

    def record_answer(
        self,
        endpoint: str,
        *,
        per_s: float | None,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Record what an endpoint's answer to a request of ``sent_ms`` states.

        An answer without a limit ends one only if its request was sent after
        the limit was received: answers may overtake each other.
        """
        self._discard_outdated()
        known = self._limits.get(endpoint)
        started_ms = self.started_ms(endpoint)
        if started_ms is None:
            return
        if per_s is None and (
            known is None
            or known.statement.per_s is None
            or sent_ms <= known.learned_ms
        ):
            return
        if known is None:
            statement = Statement(started_ms, 1, per_s)
        elif per_s == known.statement.per_s:
            statement = known.statement
        else:
            statement = _next(known.statement, per_s)
        self._replace(endpoint, statement, now_ms)
        self._limits[endpoint].observed_ms = now_ms

    def record_send(self, endpoint: str, now_ms: float) -> None:
        """Count a request that is sent to a limited endpoint."""
        limit = self._limits.get(endpoint)
        if limit is None:
            return
        share = self._share(endpoint, limit, self.others())
        if share is not None:
            limit.record_send(share, now_ms)

    def exhausted(self, now_ms: float) -> dict[str, float]:
        """Return the endpoints that may not get a request now.

        The values are the times until the next request in milliseconds. An
        endpoint to which only other daemons send has an infinite one.
        """
        self._discard_outdated()
        limited = {
            endpoint: limit
            for endpoint, limit in self._limits.items()
            if limit.statement.per_s is not None
        }
        if not limited:
            return {}
        others = self.others()
        waits_ms: dict[str, float] = {}
        for endpoint, limit in limited.items():
            share = self._share(endpoint, limit, others)
            wait_ms = (
                math.inf
                if share is None
                else limit.next_send_ms(share, now_ms) - now_ms
            )
            if wait_ms > 0:
                waits_ms[endpoint] = wait_ms
        return waits_ms

    def message(self) -> Message:
        """Return the newest statements, for peers."""
        self._discard_outdated()
        metrics.RATE_LIMITED_ENDPOINTS.set(
            sum(
                limit.statement.per_s is not None
                for limit in self._limits.values()
            )
        )
        newest_first = sorted(
            self._limits.items(),
            key=lambda item: item[1].learned_ms,
            reverse=True,
        )
        return {
            endpoint: encode_statement(limit.statement)
            for endpoint, limit in newest_first[:_MAX_STATEMENTS]
        }

    def merge(self, message: Any, now_ms: float) -> None:
        """Merge the statements of a peer's message about endpoints in use.

        Raises ``AttributeError``, ``TypeError`` or ``ValueError`` for a
        malformed message.
        """
        for endpoint, fields in message.items():
            self._merge_statement(
                str(endpoint), decode_statement(fields), now_ms
            )
        self._discard_outdated()

    def statements(self) -> dict[str, Statement]:
        """Return the newest statement of each endpoint."""
        self._discard_outdated()
        return {
            endpoint: limit.statement
            for endpoint, limit in self._limits.items()
        }

    def _discard_outdated(self) -> None:
        """Discard the limits of endpoints that started again or are gone."""
        for endpoint, limit in list(self._limits.items()):
            started_ms = self.started_ms(endpoint)
            if started_ms is None or limit.statement.started_ms < started_ms:
                self._limits.pop(endpoint)

    def _merge_statement(
        self, endpoint: str, statement: Statement, now_ms: float
    ) -> None:
        known = self._limits.get(endpoint)
        started_ms = self.started_ms(endpoint)
        if started_ms is None or statement.started_ms < started_ms:
            return
        if known is None:
            self._replace(endpoint, statement, now_ms)
            return
        own = known.statement
        if not statement.is_newer_than(own):
            return
        is_recent = now_ms - known.observed_ms < _KEEP_LOWER_MS
        is_higher = _rate(statement.per_s) > _rate(own.per_s)
        if is_recent and is_higher and statement.started_ms == own.started_ms:
            known.statement = _next(statement, own.per_s)
        else:
            self._replace(endpoint, statement, now_ms)

    def _share(
        self, endpoint: str, limit: _EndpointLimit, others: tuple[str, ...]
    ) -> Share | None:
        per_s = limit.statement.per_s
        if per_s is None:
            return None
        return share_of(endpoint, per_s, self.name, others)

    def _replace(
        self, endpoint: str, statement: Statement, now_ms: float
    ) -> None:
        known = self._limits.get(endpoint)
        before_per_s = known.statement.per_s if known else None
        if known is None or before_per_s is None:
            self._limits[endpoint] = _EndpointLimit(statement, now_ms)
        else:
            known.statement = statement
            known.learned_ms = now_ms
        if statement.per_s == before_per_s:
            return
        eliot.log_message(
            'rate_limit_changed',
            endpoint=endpoint,
            per_s=statement.per_s,
            before_per_s=before_per_s,
            version=statement.version,
        )


def _next(statement: Statement, per_s: float | None) -> Statement:
    return Statement(statement.started_ms, statement.version + 1, per_s)


def _rate(per_s: float | None) -> float:
    return math.inf if per_s is None else per_s
