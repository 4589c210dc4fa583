"""Orders that start, hold and resume roll-outs."""

from __future__ import annotations

from typing import Final

from yuccactl import errors, lookup, statements
from yuccarouter_common import model, records

_ACTIVE_STATES: Final = frozenset(('created', 'rolling', 'held'))


def roll_out(
    order: statements.RollOut,
    configuration: model.Configuration,
) -> lookup.Change:
    """Return the change that starts a roll-out at its share of 0."""
    version = lookup.serving(configuration, order.version)
    baseline = lookup.serving(configuration, order.baseline)
    if version.model != baseline.model or version == baseline:
        raise errors.RejectedError(
            'a roll-out replaces a version by another one of the same model'
        )
    existing = configuration.rollouts.get(order.version)
    _check_rollouts(order, configuration)
    if existing is not None and existing.state in _ACTIVE_STATES | {'finished'}:
        return _rollout_change(existing, existing.state, existing.reason)
    body = {
        **lookup.version_body(order.version),
        'name': order.version,
        'baseline': baseline.version,
        # The controller takes the first step, so that no caller gets the
        # version while there is no controller to withdraw it.
        'state': 'created',
        'share': 0,
        'step': 0,
        'reason': '',
    }
    return lookup.Change(records.Kind.ROLLOUT, body, lookup.unchanged(existing))


def _check_rollouts(
    order: statements.RollOut,
    configuration: model.Configuration,
) -> None:
    model_name = order.version.partition('@')[0]
    for rollout in configuration.rollouts.values():
        if rollout.state in _ACTIVE_STATES and rollout.model == model_name:
            _check_rollout(order, rollout)


def _check_rollout(order: statements.RollOut, rollout: model.Rollout) -> None:
    if rollout.name != order.version:
        raise errors.RejectedError(
            f'roll-out {rollout.name} of the same model is '
            f'{rollout.state}; to end it: withdraw {rollout.name}'
        )
    compared = f'{rollout.model}@{rollout.baseline}'
    if compared != order.baseline:
        raise errors.RejectedError(
            f'{rollout.name} is being rolled out over {compared}'
        )
    if rollout.state == 'held':
        instead = statements.Resume(rollout.name)
        raise errors.AmbiguousError(
            'the roll-out is held; to go on with it: '
            f'{statements.text_of(instead)}'
        )


def _active(configuration: model.Configuration, name: str) -> model.Rollout:
    rollout = lookup.rollout(configuration, name)
    if rollout.state not in _ACTIVE_STATES:
        raise errors.RejectedError(
            f'roll-out {rollout.name} is {rollout.state}'
        )
    return rollout


def hold(
    order: statements.Hold,
    configuration: model.Configuration,
) -> lookup.Change:
    """Return the change that keeps a roll-out at its share."""
    rollout = _active(configuration, order.rollout)
    if rollout.state == 'held':
        return _rollout_change(rollout, rollout.state, rollout.reason)
    return _rollout_change(rollout, 'held', 'held by an operator')


def resume(
    order: statements.Resume,
    configuration: model.Configuration,
) -> lookup.Change:
    """Return the change that lets a held roll-out go on."""
    rollout = _active(configuration, order.rollout)
    if rollout.state != 'held':
        return _rollout_change(rollout, rollout.state, rollout.reason)
    # A roll-out at a later step may have share 0 while ratings are missing.
    has_begun = rollout.share > 0 or rollout.step > 0
    state = 'rolling' if has_begun else 'created'
    return _rollout_change(rollout, state, 'resumed by an operator')


def _rollout_change(
    rollout: model.Rollout, state: str, reason: str
) -> lookup.Change:
    return lookup.Change(
        records.Kind.ROLLOUT,
        {'name': rollout.name, 'state': state, 'reason': reason},
        # The state alone: a share step of the controller at the same time
        # must not void an operator's order.
        records.Condition(expected={'state': rollout.state}),
    )
