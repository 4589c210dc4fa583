"""Reports the versions of sessions to their owners, and asks the owners."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import math
import random
from typing import TYPE_CHECKING, Any, Final

import attrs
import eliot

from yuccarouter.gateway import metrics, model, rollout_control
from yuccarouter.gateway.sessions import (
    decisions,
    messages,
    owners,
    versions,
)
from yuccarouter_common import clocks

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator

    from yuccarouter.gateway import state

# The list of daemons is compared with the earlier one as often. A change that
# is noticed late makes an owner uncertain for longer than it has to be.
_NAMES_INTERVAL_S: Final = 1.0
# Peers and reasons that are logged once; beyond it, some are logged again.
_MAX_LOGGED_REPORTS: Final = 1024
# Messages about a failing exchange may come with each request. Fewer show the
# cause as well.
_LOG_INTERVAL_MS: Final = 1000.0
# Sessions that are looked up in one step when an order arrives. With 400
# daemons a step takes about 6 ms, in which no request is served.
_SESSIONS_PER_STEP: Final = 25


@attrs.define
class _Pending:
    """A question that waits for the answers of the ``asked`` owners."""

    asked: frozenset[str]
    answers: dict[str, decisions.Answer] = attrs.field(factory=dict)
    is_settled: asyncio.Event = attrs.field(factory=asyncio.Event)

    def record(self, owner: str, answer: decisions.Answer) -> None:
        """Record an owner's answer; a datagram may arrive twice."""
        if owner in self.asked:
            self.answers[owner] = answer
        if decisions.is_settled(self.answers.values(), len(self.asked)):
            self.is_settled.set()


@attrs.frozen
class Network:
    """Access to the other daemons.

    ``names`` returns those that share requests with this one, ``find`` the
    address of a daemon, ``None`` if it is unknown, and ``send`` sends a
    datagram.
    """

    names: Callable[[], tuple[str, ...]]
    find: Callable[[str], tuple[str, int] | None]
    send: Callable[[bytes, tuple[str, int]], None]


@attrs.define
class SessionExchange:
    """What the daemons tell each other of sessions during a canary.

    Only sessions that the draw selects for the new version are exchanged; the
    others stay on the old one anyway. ``canary`` returns the draw of a
    service's canary, ``None`` if there is none, and ``present`` the versions of
    its endpoints.
    """

    name: str
    sessions: versions.SessionVersions
    network: Network
    canary: Callable[[str], decisions.Draw | None]
    present: Callable[[str], Collection[str]]
    started_ms: float
    _daemons: owners.DaemonList = attrs.field(factory=owners.DaemonList)
    _orders: asyncio.Queue[str] = attrs.field(factory=asyncio.Queue)
    _pending: dict[int, _Pending] = attrs.field(factory=dict)

    def record_start(self, service: str, session: str, version: str) -> None:
        """Record a request that is sent, and report it if others need it."""
        with _errors_logged():
            self.sessions.record_start(
                service, session, version, clocks.monotonic_ms()
            )
            self._report(service, session)

    def record_answer(self, service: str, session: str, version: str) -> None:
        """Record that a request has its answer, and report it."""
        with _errors_logged():
            self.sessions.record_answer(
                service, session, version, clocks.monotonic_ms()
            )
            self._report(service, session)

    def record_end(self, service: str, session: str, version: str) -> None:
        """Record that a request runs no more, and report it."""
        with _errors_logged():
            self.sessions.record_end(
                service, session, version, clocks.monotonic_ms()
            )
            self._report(service, session)

    def _report(self, service: str, session: str) -> None:
        canary = self.canary(service)
        if canary is not None and decisions.is_selected(canary, session):
            key = versions.session_key(service, session)
            payload = _encode(self.sessions, key, messages.Kind.REPORT)
            for owner in self._owners(key):
                self._send(payload, owner)

    async def look_up(
        self,
        service: str,
        session: str,
        remaining_ms: float,
    ) -> None:
        """Learn the version of a selected session that is not known here.

        Waits at most a third of the request's ``remaining_ms``, and not
        at all if there is no need to ask.
        """
        with _errors_logged():
            timeout_ms = decisions.answer_timeout_ms(remaining_ms)
            await self._look_up(service, session, timeout_ms)

    async def _look_up(
        self, service: str, session: str, timeout_ms: float
    ) -> None:
        canary = self.canary(service) if session else None
        if canary is None or not decisions.needs_version(
            canary, session, self.present(service)
        ):
            return
        asked_ms = clocks.monotonic_ms()
        key = versions.session_key(service, session)
        if self.sessions.newest(key, asked_ms) is not None:
            return
        answers = await self._ask(key, timeout_ms)
        if decisions.is_answered(answers):
            metrics.SESSION_QUESTIONS.labels('answered').inc()
        else:
            metrics.SESSION_QUESTIONS.labels('unanswered').inc()
            if _may_log('session_unanswered', clocks.monotonic_ms()):
                eliot.log_message(
                    'session_unanswered', service=service, key=key
                )
        kept = decisions.version_to_keep(
            answers, canary.target, self.present(service)
        )
        if kept is not None:
            now_ms = clocks.monotonic_ms()
            self.sessions.merge(
                key,
                versions.NewestRequest(
                    kept.version or '',
                    now_ms - kept.age_ms,
                    now_ms - kept.held_ms,
                ),
                now_ms,
            )

    def receive(self, message: dict[str, Any], sender: tuple[str, int]) -> None:
        """Process a datagram.

        Raises ``LookupError``, ``TypeError`` or ``ValueError`` if it is
        malformed.
        """
        content = messages.decode(message)
        now_ms = clocks.monotonic_ms()
        if isinstance(content, messages.Question):
            answer = self._answer(content.key, now_ms)
            reply = messages.Reply(content.number, self.name, answer)
            self.network.send(messages.encode_reply(reply), sender)
        elif isinstance(content, messages.Reply):
            # The answer may come after the wait has ended.
            pending = self._pending.get(content.number)
            if pending is not None:
                pending.record(content.owner, content.answer)
        else:
            self._merge_reports(content, sender, now_ms)

    def _merge_reports(
        self, reports: messages.Reports, sender: tuple[str, int], now_ms: float
    ) -> None:
        if reports.problem:
            _log_bad_report(sender[0], reports.problem)
        for report in reports.rows:
            address = _merge(self.sessions, report, sender, now_ms)
            if address is not None and not reports.is_correction:
                self._correct(report, address)

    def _correct(
        self, report: messages.Report, address: tuple[str, int]
    ) -> None:
        """Send the version of a session to a daemon that has another one.

        That daemon knows the session, so that it would never ask for its
        version. Only an owner corrects.
        """
        if self.name in self._owners(report.key):
            metrics.SESSION_CORRECTIONS.inc()
            payload = _encode(
                self.sessions, report.key, messages.Kind.CORRECTION
            )
            self.network.send(payload, address)

    def on_order(self, service: str) -> None:
        """Have the sessions of a service reported to their owners."""
        self._orders.put_nowait(service)

    async def run(self) -> None:
        """Report sessions after each order until cancelled."""
        while True:
            with _errors_logged():
                self._daemons.observe(
                    self.network.names(), clocks.monotonic_ms()
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_NAMES_INTERVAL_S):
                    service = await self._orders.get()
                with _errors_logged():
                    await self.report_sessions(service)

    async def report_sessions(self, service: str) -> None:
        """Report the selected sessions in progress to their owners."""
        canary = self.canary(service)
        if canary is None:
            return
        now_ms = clocks.monotonic_ms()
        selected = (
            _report_of(key, newest, now_ms)
            for key, newest in self.sessions.in_progress(service, now_ms)
            if decisions.is_selected(canary, newest.session)
        )
        by_owner: dict[str, list[messages.Report]] = {}
        for step in _batches(selected, _SESSIONS_PER_STEP):
            for report in step:
                for owner in self._owners(report.key):
                    by_owner.setdefault(owner, []).append(report)
            await asyncio.sleep(0)
        for owner, reports in by_owner.items():
            for batch in _batches(reports, messages.MAX_REPORTS):
                self._send(messages.encode_reports(batch), owner)

    async def _ask(
        self, key: str, timeout_ms: float
    ) -> Collection[decisions.Answer]:
        """Return the answers of a session's owners that arrive in time."""
        metrics.SESSION_QUESTIONS.labels('asked').inc()
        pending = _Pending(frozenset(self._owners(key)))
        number = random.getrandbits(messages.QUESTION_BITS)
        self._pending[number] = pending
        payload = messages.encode_question(messages.Question(number, key))
        try:
            for owner in pending.asked - {self.name}:
                self._send(payload, owner)
            pending.record(self.name, self._answer(key, clocks.monotonic_ms()))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_ms / model.MS_PER_S):
                    await pending.is_settled.wait()
        finally:
            self._pending.pop(number)
        return pending.answers.values()

    def _answer(self, key: str, now_ms: float) -> decisions.Answer:
        newest = self.sessions.newest(key, now_ms)
        self._daemons.observe(self.network.names(), now_ms)
        # A daemon that has become an owner since then lacks earlier reports.
        owner_ms = now_ms - max(self.started_ms, self._daemons.since_ms)
        return decisions.Answer(
            None if newest is None else newest.version,
            0 if newest is None else now_ms - newest.at_ms,
            is_certain=owner_ms >= self.sessions.session_timeout_ms,
            held_ms=0 if newest is None else now_ms - newest.since_ms,
        )

    def _owners(self, key: str) -> tuple[str, ...]:
        names = {*self.network.names(), self.name}
        return owners.owners(key, tuple(sorted(names)))

    def _send(self, payload: bytes, name: str) -> None:
        """Send a datagram to another daemon if its address is known."""
        if name == self.name:
            return
        address = self.network.find(name)
        if address is not None:
            self.network.send(payload, address)


@functools.lru_cache(maxsize=_MAX_LOGGED_REPORTS)
def _log_bad_report(peer: str, reason: str) -> None:
    """Log a malformed report once for each peer and reason."""
    eliot.log_message('bad_session_report', sender=peer, reason=reason)


def _report_of(
    key: str, newest: versions.NewestRequest, now_ms: float
) -> messages.Report:
    return messages.Report(
        key, newest.version, now_ms - newest.at_ms, now_ms - newest.since_ms
    )


def _encode(
    sessions: versions.SessionVersions, key: str, kind: messages.Kind
) -> bytes:
    """Return the datagram with what this daemon knows of a session."""
    now_ms = clocks.monotonic_ms()
    newest = sessions.newest(key, now_ms)
    known = [] if newest is None else [_report_of(key, newest, now_ms)]
    return messages.encode_reports(known, kind)


def _merge(
    sessions: versions.SessionVersions,
    report: messages.Report,
    sender: tuple[str, int],
    now_ms: float,
) -> tuple[str, int] | None:
    """Record a report, and return the daemon that has another version."""
    known = sessions.newest(report.key, now_ms)
    reported = versions.NewestRequest(
        report.version,
        now_ms - report.age_ms,
        now_ms - max(report.age_ms, report.held_ms),
        reporter=sender,
    )
    sessions.merge(report.key, reported, now_ms)
    if known is None or known.version == report.version:
        return None
    kept = sessions.version_of(report.key, now_ms)
    return known.reporter if kept == report.version else sender


@contextlib.contextmanager
def _errors_logged() -> Iterator[None]:
    """Log an error instead of raising it: requests are served without it."""
    try:
        yield
    except Exception as fault:
        if _may_log('session_exchange_failed', clocks.monotonic_ms()):
            eliot.log_message('session_exchange_failed', reason=repr(fault))
            eliot.write_traceback()


def _make_log_limit() -> Callable[[str, float], bool]:
    """Return a function that tells whether a message may be logged again."""
    logged_ms: dict[str, float] = {}

    def may_log(name: str, now_ms: float) -> bool:
        if now_ms - logged_ms.get(name, -math.inf) < _LOG_INTERVAL_MS:
            return False
        logged_ms[name] = now_ms
        return True

    return may_log


_may_log = _make_log_limit()


def _batches(
    reports: Iterable[messages.Report], size: int
) -> Iterable[list[messages.Report]]:
    """Return the reports in lists of at most ``size``."""
    iterator = iter(reports)
    return iter(lambda: list(itertools.islice(iterator, size)), [])


def make_exchange(gateway: state.Gateway) -> SessionExchange:
    """Return the exchange of a gateway, which uses its gossip's port."""

    def names() -> tuple[str, ...]:
        return gateway.gossip.sharing_names() if gateway.gossip else ()

    def find(name: str) -> tuple[str, int] | None:
        members = gateway.gossip.members if gateway.gossip else {}
        address = members.get(name)
        return (address.host, address.port) if address else None

    def send(payload: bytes, address: tuple[str, int]) -> None:
        if gateway.gossip and gateway.gossip.transport:
            gateway.gossip.transport.sendto(payload, address)

    return SessionExchange(
        gateway.conf.name,
        gateway.control.sessions,
        Network(names, find, send),
        functools.partial(rollout_control.canary, gateway.control),
        functools.partial(
            rollout_control.versions_present, views=gateway.directory
        ),
        clocks.monotonic_ms(),
    )
