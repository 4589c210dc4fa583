"""Controller that advances, holds and withdraws roll-outs."""

from __future__ import annotations

import collections
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol

import attrs
import eliot
import mode

from yuccarouter.rollout import evidence as evidence_module
from yuccarouter.rollout import policy
from yuccarouter_common import clocks, model, records
from yuccarouter_common.platform import errors as platform_errors

_INTERVAL_S: Final = 1.0
_ACTIVE_STATES: Final = frozenset(('created', 'rolling', 'held'))
_WITHDRAWN: Final = 'withdrawn'
_AUTHOR: Final = 'rollout-controller'


class Lease(Protocol):
    """The right to act on roll-outs."""

    def fencing_number(self) -> int:
        """Return the log offset of the record that acquired the lease."""

    def is_valid(self) -> bool:
        """Return whether the lease is held now."""


class EvidenceSource(Protocol):
    """Source of evidence on roll-outs."""

    def evidence(self, rollout: model.Rollout) -> evidence_module.Evidence:
        """Return the present evidence on a roll-out's version."""

    def start_step(self, rollout: model.Rollout) -> None:
        """Start to collect evidence on ``rollout.step``."""

    def stop(self, name: str) -> None:
        """Discard the evidence on a roll-out that has ended."""


Publish = Callable[[records.Record], Awaitable[Any]]
CurrentConfiguration = Callable[[], model.Configuration]


class Controller(mode.Service):
    """Advances, holds and withdraws roll-outs while its lease is valid.

    All state is in the ``rollout`` records, so that another controller
    continues from the recorded step, with new evidence. Every such record
    carries the fencing number and the condition that the roll-out has not
    changed since the decision. A late record of a controller that was paused
    is therefore void.
    """

    def __init__(
        self,
        *,
        lease: Lease,
        source: EvidenceSource,
        configuration: CurrentConfiguration,
        publish: Publish,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._lease = lease
        self._source = source
        self._configuration = configuration
        self._publish = publish
        # By roll-out, the step that evidence is collected on: whether weights
        # are being loaded, the step's index and the fencing number.
        self._collected_steps: dict[str, tuple[bool, int, int]] = {}

    async def step(self) -> None:
        """Decide once on every active roll-out and record the changes."""
        pending = collections.deque(sorted(self._configuration().rollouts))
        while pending and self._lease.is_valid():
            await self._decide(pending.popleft())

    async def _decide(self, name: str) -> None:
        configuration = self._configuration()
        rollout = configuration.rollouts[name]
        fencing_number = self._lease.fencing_number()
        if rollout.fencing_number > fencing_number:
            # A controller with a newer lease has changed the roll-out.
            return
        version = configuration.versions.get(_version_name(rollout))
        if rollout.state == _WITHDRAWN:
            # The record that withdraws the version may be void or unwritten.
            await self._withdraw_version(version, rollout.reason)
        if rollout.state not in _ACTIVE_STATES:
            self._stop_collecting(name)
            return
        self._start_new_step(rollout, fencing_number)
        if version is None or version.state == model.WITHDRAWN:
            decision: policy.Decision = policy.Withdraw(
                'the version is withdrawn'
            )
        else:
            decision = policy.decide(rollout, self._source.evidence(rollout))
        changed = apply_decision(rollout, decision, fencing_number)
        if isinstance(decision, policy.Withdraw):
            await self._withdraw_version(version, decision.reason)
        if changed != rollout:
            await self._record(rollout, changed)

    def _start_new_step(
        self, rollout: model.Rollout, fencing_number: int
    ) -> None:
        # The first step starts anew once the weights are loaded, so that its
        # duration does not include the loading.
        is_loading = rollout.state == 'created'
        step_key = (is_loading, rollout.step, fencing_number)
        if self._collected_steps.get(rollout.name) != step_key:
            self._collected_steps[rollout.name] = step_key
            self._source.start_step(rollout)

    def _stop_collecting(self, name: str) -> None:
        # A later roll-out of the same name must start without evidence.
        if self._collected_steps.pop(name, None) is not None:
            self._source.stop(name)

    async def _withdraw_version(
        self,
        version: model.ModelVersion | None,
        reason: str,
    ) -> None:
        # Written before the roll-out's record: if the controller stops in
        # between, the version gets no new work, and the next controller writes
        # the roll-out's record.
        if version is None or version.state == model.WITHDRAWN:
            return
        eliot.log_message(
            message_type='rollout:withdraw',
            version=version.name,
            reason=reason,
        )
        await self._write(
            records.Kind.WITHDRAW_VERSION,
            {'model': version.model, 'version': version.version},
            records.Condition(expected={'state': version.state}),
        )

    async def _record(
        self,
        rollout: model.Rollout,
        changed: model.Rollout,
    ) -> None:
        eliot.log_message(
            message_type='rollout:change',
            rollout=rollout.name,
            state=changed.state,
            step=changed.step,
            share=changed.share,
            reason=changed.reason,
        )
        body = {
            'name': rollout.name,
            'state': changed.state,
            'step': changed.step,
            'share': changed.share,
            'reason': changed.reason,
            'fencing_number': changed.fencing_number,
        }
        await self._write(
            records.Kind.ROLLOUT,
            body,
            records.Condition(expected_offset=rollout.changed_offset),
        )

    async def _write(
        self,
        kind: records.Kind,
        body: dict[str, Any],
        condition: records.Condition,
    ) -> None:
        if not self._lease.is_valid():
            return
        record = records.Record(
            change_id=uuid.uuid4().hex,
            author=_AUTHOR,
            time_ms=clocks.wall_ms(),
            kind=kind,
            body=body,
            condition=condition,
        )
        try:
            await self._publish(record)
        except platform_errors.PlatformError as fault:
            # The next step decides again. If this record was written although
            # its answer was lost, its condition makes a repetition void.
            eliot.log_message(
                message_type='rollout:not_recorded', reason=fault.code
            )

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.step()
            await self.sleep(_INTERVAL_S)


def apply_decision(
    rollout: model.Rollout,
    decision: policy.Decision,
    fencing_number: int,
) -> model.Rollout:
    """Return the roll-out as changed by a decision.

    A hold that keeps the share returns ``rollout`` itself, whatever its
    reason, so that waiting for evidence writes no records.
    """
    if isinstance(decision, policy.Hold):
        if decision.share == rollout.share:
            return rollout
        return attrs.evolve(
            rollout,
            share=decision.share,
            reason=decision.reason,
            fencing_number=fencing_number,
        )
    changes = _state_changes(rollout, decision)
    return attrs.evolve(
        rollout,
        reason=decision.reason,
        fencing_number=fencing_number,
        **changes,
    )


def _state_changes(
    rollout: model.Rollout,
    decision: policy.Advance | policy.Withdraw | policy.Finish,
) -> dict[str, Any]:
    if isinstance(decision, policy.Advance):
        return {
            'state': 'rolling',
            'step': decision.step,
            'share': decision.share,
        }
    if isinstance(decision, policy.Finish):
        return {'state': 'finished', 'share': 1}
    return {'state': _WITHDRAWN, 'share': 0}


def _version_name(rollout: model.Rollout) -> str:
    return f'{rollout.model}@{rollout.version}'
