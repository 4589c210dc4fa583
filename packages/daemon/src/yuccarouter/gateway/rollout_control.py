"""Roll-outs in progress: allowed versions, evidence and next steps."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING, Any, Final

import attrs
import eliot
import orjson

from yuccarouter.gateway import (
    latency_judge,
    numbers,
    ports,
    rollouts,
)
from yuccarouter.gateway.sessions import decisions, versions
from yuccarouter_common import clocks, records
from yuccarouter_common.platform import errors

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from yuccarouter.gateway import endpoints, model, topics

_PHASE_PREFIX: Final = 'phase/'
_CHECK_INTERVAL_S: Final = 0.25
# Daemons write a step at staggered times, so that most read it before writing.
_WRITE_STAGGER_MS: Final = 300.0
# A new version gets no requests while its order may not have been read yet.
_UNKNOWN_VERSION_WAIT_MS: Final = 1500.0
# Delay after another daemon wrote first; reads may lag behind by seconds.
_CONFLICT_RETRY_MS: Final = 1000.0
# Larger counts of a peer's answers are malformed. The comparison of versions
# takes as many steps as the square root of the count.
_MAX_ANSWERS: Final = 10**8
# The evidence of all daemons is not merged again within this time: a late
# canary is asked for it with each request.
_NEEDS_INTERVAL_MS: Final = 100.0


@attrs.define
class Rollout:
    """A roll-out order with its phase and the evidence of all daemons.

    ``due_phase`` is the phase to write next, ``None`` if no step is due.
    """

    order: model.RolloutOrder
    order_read_ms: float
    phase_read_ms: float
    phase: rollouts.Phase = rollouts.Phase.CANARY
    is_phase_written: bool = False
    own_new: dict[str, rollouts.Tally] = attrs.field(factory=dict)
    own_old: dict[str, rollouts.Tally] = attrs.field(factory=dict)
    peers: dict[str, rollouts.Evidence] = attrs.field(factory=dict)
    due_phase: rollouts.Phase | None = None
    due_since_ms: float = 0
    retry_at_ms: float = 0
    _needs_sessions: bool = False
    _needs_since_ms: float = -math.inf

    def evidence(self) -> rollouts.Evidence:
        """Return the evidence of all daemons."""
        parts = [
            rollouts.Evidence(self.own_new, self.own_old),
            *self.peers.values(),
        ]
        return rollouts.Evidence(
            _merged(part.new for part in parts),
            _merged(part.old for part in parts),
        )

    def draw(self, exposure_share: float) -> decisions.Draw:
        """Return which sessions the phase gives to the new version."""
        share = rollouts.new_version_share(self.phase, exposure_share)
        if self.due_phase is rollouts.Phase.ROLLED_BACK:
            share = 0
        return decisions.Draw(self.order.service, self.order.target, share)

    def holds_sessions(self, now_ms: float) -> bool:
        """Return whether sessions in progress stay on their version.

        They do in the canary, which covers the first half of the ordered time,
        unless it is late and needs them.
        """
        if self.phase is not rollouts.Phase.CANARY:
            return False
        elapsed_ms = now_ms - self.order_read_ms
        if not rollouts.is_late_canary(self.phase, self.order, elapsed_ms):
            return True
        if now_ms - self._needs_since_ms >= _NEEDS_INTERVAL_MS:
            self._needs_since_ms = now_ms
            self._needs_sessions = rollouts.needs_sessions(self.evidence())
        return not self._needs_sessions


class RolloutControl:
    """All roll-outs of a deployment, as this daemon sees them.

    ``by_service`` holds the newest roll-out of each service. ``on_order`` is
    called with the service of each new order.

    There is no leader. Each step is a conditional append to the topic of
    shared state, which succeeds only if nothing was written since the topic
    was read. One daemon's step wins and the others read it.
    """

    def __init__(
        self,
        encode_status: Callable[[model.RolloutOrder, str], tuple[str, bytes]],
        exposure_share: float,
        write_rank: Callable[[], int],
        session_ms: float = 0,
    ) -> None:
        self.sessions = versions.SessionVersions(session_ms)
        self.on_order: Callable[[str], None] = _ignore_order
        self._encode_status = encode_status
        self.exposure_share = exposure_share
        self._write_rank = write_rank
        self.by_service: dict[str, Rollout] = {}
        self._phases: dict[str, dict[str, Any]] = {}
        self._first_seen_ms: dict[tuple[str, str], float] = {}
        self.latencies = latency_judge.LatencyJudge(
            self._is_new, self.record_answers
        )
        self._started_ms = clocks.monotonic_ms()

    def apply_order(self, order: model.RolloutOrder) -> None:
        """Start the roll-out of an operator's order, unless it is outdated.

        An order that is written again after a restore of the store goes on in
        its phase.
        """
        known = self.by_service.get(order.service)
        if known is not None and not order.is_newer_than(known.order):
            return
        if known is not None and order.repeats(known.order):
            known.order = order
            known.is_phase_written = False
            self._apply_phase(known)
            return
        now_ms = clocks.monotonic_ms()
        rollout = Rollout(order, order_read_ms=now_ms, phase_read_ms=now_ms)
        self.by_service[order.service] = rollout
        eliot.log_message(
            'rollout_ordered',
            service=order.service,
            target=order.target,
            order=order.number,
        )
        self._apply_phase(rollout)
        self.on_order(order.service)

    def state_changed(self, entry: ports.Entry) -> None:
        """Apply a phase that a daemon wrote, or its loss in a restore."""
        if not entry.key.startswith(_PHASE_PREFIX):
            return
        service = entry.key.removeprefix(_PHASE_PREFIX)
        rollout = self.by_service.get(service)
        if not entry.value:
            self._phases.pop(service, None)
            if rollout is not None:
                rollout.is_phase_written = False
            return
        try:
            written = records.loads(entry.value)
            self._phases[service] = {
                'order': int(written['order']),
                'target': str(written.get('target', '')),
                'phase': rollouts.Phase(written['phase']),
            }
        except (
            records.ShapeError,
            LookupError,
            TypeError,
            ValueError,
        ) as fault:
            eliot.log_message('bad_phase', key=entry.key, reason=str(fault))
            return
        if rollout is not None:
            self._apply_phase(rollout)

    def allowed_versions(
        self,
        service: str,
        session: str,
        views: Iterable[endpoints.EndpointView],
    ) -> frozenset[str]:
        """Return the versions that a call of ``session`` may use.

        The draw depends on the session and the version, and its share only
        grows, so that a session moves to it once and never back. During the
        canary, sessions in progress stay on their version, and new ones get the
        new version only once all daemons know the order.
        """
        present = versions_present(service, views)
        rollout = self.by_service.get(service)
        if rollout is None:
            return frozenset(
                version
                for version in present
                if self._is_established(service, version, len(present))
            )
        target = rollout.order.target
        now_ms = clocks.monotonic_ms()
        draw = rollout.draw(self.exposure_share)
        is_drawn = decisions.is_selected(draw, session)
        if is_drawn and rollout.holds_sessions(now_ms):
            is_drawn = decisions.may_move(
                self.sessions.version(service, session, now_ms),
                target,
                present,
                now_ms - rollout.order_read_ms,
            )
        if is_drawn:
            return frozenset((target,)) & present or _old_versions(
                rollout, present
            )
        return frozenset(present - {target})

    def fallback_versions(self, service: str, session: str) -> frozenset[str]:
        """Return the versions to use when the drawn ones have no endpoint."""
        rollout = self.by_service.get(service)
        if rollout is None:
            return frozenset()
        if rollout.phase in {rollouts.Phase.RAMP, rollouts.Phase.FULL}:
            if rollout.due_phase is not rollouts.Phase.ROLLED_BACK:
                return frozenset((rollout.order.target,))
        return frozenset()

    def record_answers(
        self, view: endpoints.EndpointView, route: str, answers: rollouts.Tally
    ) -> None:
        """Record answers as evidence in a roll-out of their service."""
        rollout = self.by_service.get(view.announced.service)
        if rollout is None or rollout.phase.is_final:
            return
        tallies = rollout.own_new if self._is_new(view) else rollout.own_old
        tallies.setdefault(route, rollouts.Tally()).add(answers)

    def _is_new(self, view: endpoints.EndpointView) -> bool:
        """Return whether an endpoint runs the version of the newest order."""
        rollout = self.by_service.get(view.announced.service)
        return (
            rollout is not None
            and view.announced.version == rollout.order.target
        )

    def own_evidence(self) -> list[Any]:
        """Return this daemon's evidence, for peers."""
        return [
            [
                rollout.order.number,
                service,
                _counts(rollout.own_new),
                _counts(rollout.own_old),
            ]
            for service, rollout in self.by_service.items()
            if not rollout.phase.is_final
        ]

    def evidence(self, service: str) -> rollouts.Evidence:
        """Return all daemons' evidence of the newest roll-out of a service."""
        return self.by_service[service].evidence()

    def merge_peer_evidence(self, peer: str, digest: Iterable[Any]) -> None:
        """Record a peer's evidence, which replaces its earlier one.

        ``peer`` names a process: a restarted daemon counts from zero, and what
        its earlier process has counted remains.
        """
        for number, service, new, old in digest:
            rollout = self.by_service.get(service)
            if rollout is not None and rollout.order.number == number:
                rollout.peers[peer] = rollouts.Evidence(
                    _tallies(new), _tallies(old)
                )

    async def run(self, store: ports.Store, state: topics.Topic) -> None:
        """Write due steps until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.latencies.judge_pending()
            await self.take_due_steps(store, state)

    async def take_due_steps(
        self, store: ports.Store, state: topics.Topic
    ) -> None:
        """Write the steps that are due."""
        for rollout in list(self.by_service.values()):
            if self._is_due(rollout, clocks.monotonic_ms()):
                await self._write_step(store, state, rollout)

    def _is_due(self, rollout: Rollout, now_ms: float) -> bool:
        if rollout.phase.is_final and rollout.is_phase_written:
            return False
        due_phase = rollouts.next_phase(
            rollout.phase,
            rollout.order,
            now_ms - rollout.order_read_ms,
            now_ms - rollout.phase_read_ms,
            rollout.evidence(),
        )
        if due_phase is rollout.phase and rollout.is_phase_written:
            rollout.due_phase = None
            return False
        if due_phase is not rollout.due_phase:
            rollout.due_phase = due_phase
            rollout.due_since_ms = now_ms
        due_ms = rollout.due_since_ms + self._write_rank() * _WRITE_STAGGER_MS
        return now_ms >= max(due_ms, rollout.retry_at_ms)

    async def _write_step(
        self, store: ports.Store, state: topics.Topic, rollout: Rollout
    ) -> None:
        if rollout.due_phase is None or state.is_failing or not state.is_loaded:
            return
        order = rollout.order
        value = orjson.dumps(
            {
                'order': order.number,
                'phase': rollout.due_phase,
                'target': order.target,
            }
        )
        try:
            await store.append(
                state.name,
                [
                    (f'{_PHASE_PREFIX}{order.service}', value),
                    self._encode_status(order, rollout.due_phase.status),
                ],
                state.table.next_offset,
            )
        except ports.OffsetConflictError as fault:
            # Another daemon wrote first. Its record is read before a retry,
            # also if the read that waits for it is never answered.
            state.reload()
            eliot.log_message(
                'rollout_step_overtaken',
                service=order.service,
                phase=rollout.due_phase,
                reason=str(fault),
            )
            rollout.retry_at_ms = clocks.monotonic_ms() + _CONFLICT_RETRY_MS * (
                0.5 + random.random()
            )
            return
        except errors.PlatformError as fault:
            eliot.log_message(
                'rollout_step_lost',
                service=order.service,
                phase=rollout.due_phase,
                code=fault.code,
            )
            return
        evidence = rollout.evidence()
        eliot.log_message(
            'rollout_step',
            service=order.service,
            target=order.target,
            phase=rollout.due_phase,
            new=_counts(evidence.new),
            old=_counts(evidence.old),
        )

    def _apply_phase(self, rollout: Rollout) -> None:
        order = rollout.order
        written = self._phases.get(order.service)
        if written is None or (written['order'], written['target']) != (
            order.number,
            order.target,
        ):
            return
        # A restored store may hold an earlier phase.
        rollout.is_phase_written = written['phase'].rank >= rollout.phase.rank
        if not rollout.is_phase_written:
            return
        if written['phase'] is not rollout.phase:
            rollout.phase = written['phase']
            rollout.phase_read_ms = clocks.monotonic_ms()
            eliot.log_message(
                'rollout_phase',
                service=rollout.order.service,
                target=rollout.order.target,
                phase=rollout.phase,
            )

    def _is_established(self, service: str, version: str, present: int) -> bool:
        now_ms = clocks.monotonic_ms()
        first_seen_ms = self._first_seen_ms.setdefault(
            (service, version), now_ms
        )
        if (
            present == 1
            or first_seen_ms - self._started_ms < _UNKNOWN_VERSION_WAIT_MS
        ):
            return True
        return now_ms - first_seen_ms >= _UNKNOWN_VERSION_WAIT_MS


def versions_present(
    service: str, views: Iterable[endpoints.EndpointView]
) -> set[str]:
    """Return the versions of a service's endpoints."""
    return {
        view.announced.version
        for view in views
        if view.announced.service == service
    }


def canary(control: RolloutControl, service: str) -> decisions.Draw | None:
    """Return the draw of a service's canary, ``None`` if there is none.

    It is ``None`` as well once sessions in progress may move.
    """
    rollout = control.by_service.get(service)
    if rollout is None or not rollout.holds_sessions(clocks.monotonic_ms()):
        return None
    draw = attrs.evolve(
        rollout.draw(control.exposure_share),
        order_age_ms=clocks.monotonic_ms() - rollout.order_read_ms,
    )
    return draw if draw.share > 0 else None


def _ignore_order(service: str) -> None:
    """Ignore an order."""


def _old_versions(rollout: Rollout, present: set[str]) -> frozenset[str]:
    """Return the versions to use while the new one has no endpoint."""
    if rollout.phase is rollouts.Phase.COMPLETED:
        return frozenset()
    return frozenset(present - {rollout.order.target})


def _counts(tallies: Any) -> dict[str, list[int]]:
    return {
        route: [tally.good, tally.bad, tally.slow]
        for route, tally in tallies.items()
    }


def _tallies(counts: dict[str, list[int]]) -> dict[str, rollouts.Tally]:
    return {
        route: rollouts.Tally(
            *(
                numbers.integer(count, _MAX_ANSWERS)
                for count in (good, bad, slow)
            )
        )
        for route, (good, bad, slow) in counts.items()
    }


def _merged(parts: Iterable[Any]) -> dict[str, rollouts.Tally]:
    merged: dict[str, rollouts.Tally] = {}
    for tallies in parts:
        for route, tally in tallies.items():
            merged.setdefault(route, rollouts.Tally()).add(tally)
    return merged
