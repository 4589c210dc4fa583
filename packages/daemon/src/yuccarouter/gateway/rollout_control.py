"""Roll-outs in progress: which version a call may use, and who decides."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, Final

import attrs
import eliot
import orjson

from yuccarouter.gateway import (
    ports,
    rollouts,
    routes,
    session_versions,
    latency_baselines,
)
from yuccarouter_common import clocks, records
from yuccarouter_common.platform import errors

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from yuccarouter.gateway import endpoints, model, topics

_PHASE_PREFIX: Final = 'phase/'
_TICK_S: Final = 0.25
# Daemons write a step one after the other, so that most see it written first.
_TURN_MS: Final = 300.0
# A version without an order may belong to one that is about to be read.
_UNORDERED_WAIT_MS: Final = 1500.0
# Pause after another daemon wrote first; reads may lag behind by seconds.
_OVERTAKEN_MS: Final = 1000.0


@attrs.define
class Rollout:
    """A roll-out order with its phase and the evidence of all daemons."""

    order: model.RolloutOrder
    seen_ms: float
    phase_ms: float
    phase: rollouts.Phase = rollouts.Phase.CANARY
    is_recorded: bool = False
    own_new: dict[str, rollouts.Tally] = attrs.field(factory=dict)
    own_old: dict[str, rollouts.Tally] = attrs.field(factory=dict)
    peers: dict[str, rollouts.Evidence] = attrs.field(factory=dict)
    wanted: rollouts.Phase | None = None
    wanted_since_ms: float = 0
    retry_at_ms: float = 0

    def evidence(self) -> rollouts.Evidence:
        """Return the answers that all daemons saw."""
        parts = [
            rollouts.Evidence(self.own_new, self.own_old),
            *self.peers.values(),
        ]
        return rollouts.Evidence(
            _merged(part.new for part in parts),
            _merged(part.old for part in parts),
        )


class RolloutControl:
    """All roll-outs of a deployment, as this daemon sees them.

    There is no leader. Each step is appended to the topic of shared state on
    the condition that nothing was written since it was read, so that one
    daemon's step wins and the others read it.
    """

    def __init__(
        self,
        encode_status: Callable[[model.RolloutOrder, str], tuple[str, bytes]],
        exposure_share: float,
        turn: Callable[[], int],
        session_ms: float = 0,
    ) -> None:
        self.sessions = session_versions.SessionVersions(session_ms)
        self._encode_status = encode_status
        self._exposure_share = exposure_share
        self._turn = turn
        self._rollouts: dict[str, Rollout] = {}
        self._phases: dict[str, dict[str, Any]] = {}
        self._first_seen_ms: dict[tuple[str, str], float] = {}
        self._usual = latency_baselines.LatencyBaselines()
        self._started_ms = clocks.monotonic_ms()

    def apply_order(self, order: model.RolloutOrder) -> None:
        """Take in an operator's order."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.number >= order.number:
            return
        now_ms = clocks.monotonic_ms()
        rollout = Rollout(order, seen_ms=now_ms, phase_ms=now_ms)
        self._rollouts[order.service] = rollout
        eliot.log_message(
            'rollout_ordered',
            service=order.service,
            target=order.target,
            order=order.number,
        )
        self._apply_phase(rollout)

    def state_changed(self, entry: ports.Entry) -> None:
        """Take in a phase that some daemon wrote."""
        if not entry.key.startswith(_PHASE_PREFIX) or not entry.value:
            return
        service = entry.key.removeprefix(_PHASE_PREFIX)
        try:
            written = records.loads(entry.value)
            self._phases[service] = {
                'order': int(written['order']),
                'phase': rollouts.Phase(written['phase']),
            }
        except (records.ShapeError, LookupError, TypeError, ValueError) as bad:
            eliot.log_message('bad_phase', key=entry.key, reason=str(bad))
            return
        rollout = self._rollouts.get(service)
        if rollout is not None:
            self._apply_phase(rollout)

    def allowed_versions(
        self,
        service: str,
        session: str,
        views: Iterable[endpoints.EndpointView],
    ) -> frozenset[str]:
        """Return the versions that a call of ``session`` may use.

        The draw depends on the session alone and the share of the new version
        only grows, so that a session moves to it once and never back. While
        the canary lasts, sessions in progress stay where they are.
        """
        present = {
            view.announced.version
            for view in views
            if view.announced.service == service
        }
        rollout = self._rollouts.get(service)
        if rollout is None:
            return frozenset(
                version
                for version in present
                if self._is_established(service, version, len(present))
            )
        target = rollout.order.target
        share = rollouts.new_share(rollout.phase, self._exposure_share)
        if rollout.wanted is rollouts.Phase.ROLLED_BACK:
            share = 0
        elif rollout.phase is rollouts.Phase.CANARY:
            version = self.sessions.version(
                service, session, clocks.monotonic_ms()
            )
            if version in present - {target}:
                share = 0
        if routes.hash_fraction(f'{rollout.order.number}/{session}') < share:
            return frozenset((target,)) & present or _others(rollout, present)
        return frozenset(present - {target})

    def fallback_versions(self, service: str, session: str) -> frozenset[str]:
        """Return versions to use when the drawn ones have no endpoint."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return frozenset()
        if rollout.phase in {rollouts.Phase.RAMP, rollouts.Phase.FULL}:
            if rollout.wanted is not rollouts.Phase.ROLLED_BACK:
                return frozenset((rollout.order.target,))
        return frozenset()

    def record_answers(
        self, view: endpoints.EndpointView, route: str, answers: rollouts.Tally
    ) -> None:
        """Count answers as evidence in a roll-out of their service."""
        self._tally(view, route).add(answers)

    def _tally(
        self, view: endpoints.EndpointView, route: str
    ) -> rollouts.Tally:
        rollout = self._rollouts.get(view.announced.service)
        if rollout is None or rollout.phase.is_final:
            return rollouts.Tally()
        is_new = view.announced.version == rollout.order.target
        tallies = rollout.own_new if is_new else rollout.own_old
        return tallies.setdefault(route, rollouts.Tally())

    def is_slow(
        self, view: endpoints.EndpointView, key: str, elapsed_ms: float
    ) -> bool:
        """Return whether an answer took far longer than the old version's.

        ``key`` names answers that take alike. Answers of the old version set
        the usual time.
        """
        is_slow = self._usual.is_slow(key, elapsed_ms)
        rollout = self._rollouts.get(view.announced.service)
        target = None if rollout is None else rollout.order.target
        if view.announced.version != target:
            self._usual.record(key, elapsed_ms)
        return is_slow

    def own_evidence(self) -> list[Any]:
        """Return this daemon's evidence, for peers."""
        return [
            [
                rollout.order.number,
                service,
                _counts(rollout.own_new),
                _counts(rollout.own_old),
            ]
            for service, rollout in self._rollouts.items()
            if not rollout.phase.is_final
        ]

    def merge_peer_evidence(self, peer: str, digest: list[Any]) -> None:
        """Take in a peer's evidence, which replaces its earlier one."""
        for number, service, new, old in digest:
            rollout = self._rollouts.get(service)
            if rollout is not None and rollout.order.number == number:
                rollout.peers[peer] = rollouts.Evidence(
                    _tallies(new), _tallies(old)
                )

    async def run(self, store: ports.Store, state: topics.Topic) -> None:
        """Take the steps that are due until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S)
            await self.take_due_steps(store, state)

    async def take_due_steps(
        self, store: ports.Store, state: topics.Topic
    ) -> None:
        """Write the steps that are due by now."""
        for rollout in list(self._rollouts.values()):
            if self._is_due(rollout, clocks.monotonic_ms()):
                await self._write(store, state, rollout)

    def _is_due(self, rollout: Rollout, now_ms: float) -> bool:
        if rollout.phase.is_final:
            return False
        wanted = rollouts.next_phase(
            rollout.phase,
            rollout.order,
            now_ms - rollout.seen_ms,
            now_ms - rollout.phase_ms,
            rollout.evidence(),
        )
        if wanted is rollout.phase and rollout.is_recorded:
            rollout.wanted = None
            return False
        if wanted is not rollout.wanted:
            rollout.wanted = wanted
            rollout.wanted_since_ms = now_ms
        due_ms = rollout.wanted_since_ms + self._turn() * _TURN_MS
        return now_ms >= max(due_ms, rollout.retry_at_ms)

    async def _write(
        self, store: ports.Store, state: topics.Topic, rollout: Rollout
    ) -> None:
        if rollout.wanted is None or state.is_failing or not state.is_loaded:
            return
        order = rollout.order
        value = orjson.dumps(
            {
                'order': order.number,
                'phase': rollout.wanted,
                'target': order.target,
            }
        )
        try:
            await store.append(
                state.name,
                [
                    (f'{_PHASE_PREFIX}{order.service}', value),
                    self._encode_status(order, rollout.wanted.status),
                ],
                state.table.next_offset,
            )
        except ports.OffsetConflictError as moved:
            # Another daemon wrote first; its step is read before the next try.
            eliot.log_message(
                'rollout_step_overtaken',
                service=order.service,
                phase=rollout.wanted,
                reason=str(moved),
            )
            rollout.retry_at_ms = clocks.monotonic_ms() + _OVERTAKEN_MS * (
                0.5 + random.random()
            )
            return
        except errors.PlatformError as fault:
            eliot.log_message(
                'rollout_step_lost',
                service=order.service,
                phase=rollout.wanted,
                code=fault.code,
            )
            return
        evidence = rollout.evidence()
        eliot.log_message(
            'rollout_step',
            service=order.service,
            target=order.target,
            phase=rollout.wanted,
            new=_counts(evidence.new),
            old=_counts(evidence.old),
        )

    def _apply_phase(self, rollout: Rollout) -> None:
        written = self._phases.get(rollout.order.service)
        if written is None or written['order'] != rollout.order.number:
            return
        rollout.is_recorded = True
        if written['phase'] is not rollout.phase:
            rollout.phase = written['phase']
            rollout.phase_ms = clocks.monotonic_ms()
            eliot.log_message(
                'rollout_phase',
                service=rollout.order.service,
                target=rollout.order.target,
                phase=rollout.phase,
            )

    def _is_established(self, service: str, version: str, present: int) -> bool:
        now_ms = clocks.monotonic_ms()
        first_ms = self._first_seen_ms.setdefault((service, version), now_ms)
        if present == 1 or first_ms - self._started_ms < _UNORDERED_WAIT_MS:
            return True
        return now_ms - first_ms >= _UNORDERED_WAIT_MS


def _others(rollout: Rollout, present: set[str]) -> frozenset[str]:
    """Return what serves while the new version has no endpoint."""
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
        route: rollouts.Tally(int(good), int(bad), int(slow))
        for route, (good, bad, slow) in counts.items()
    }


def _merged(parts: Iterable[Any]) -> dict[str, rollouts.Tally]:
    merged: dict[str, rollouts.Tally] = {}
    for tallies in parts:
        for route, tally in tallies.items():
            merged.setdefault(route, rollouts.Tally()).add(tally)
    return merged
