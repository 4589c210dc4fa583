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
    """Return the change that starts a roll-out at share 0.

    Raises ``errors.RejectedError`` when the versions or an active roll-out
    of the model do not allow it and ``errors.AmbiguousError`` when the
    roll-out is held.
    """
    version = lookup.serving(configuration, order.version)
    baseline = lookup.serving(configuration, order.baseline)
    if version.model != baseline.model or version == baseline:
        raise errors.RejectedError(
            'a roll-out replaces a version by another one of the same model'
        )
    existing = configuration.rollouts.get(order.version)
    _check_active_rollouts(order, configuration)
    if existing is not None and existing.state in _ACTIVE_STATES | {'finished'}:
        return _rollout_change(existing, existing.state, existing.reason)
    body = {
        **lookup.version_body(order.version),
        'name': order.version,
        'baseline': baseline.version,
        # The controller takes the first step, so that no caller is served by
        # the version while no controller runs that could withdraw it.
        'state': 'created',
        'share': 0,
        'step': 0,
        'reason': '',
    }
    return lookup.Change(records.Kind.ROLLOUT, body, lookup.unchanged(existing))


def _check_active_rollouts(
    order: statements.RollOut,
    configuration: model.Configuration,
) -> None:
    model_name = order.version.partition('@')[0]
    for rollout in configuration.rollouts.values():
        if rollout.state in _ACTIVE_STATES and rollout.model == model_name:
            _check_active_rollout(order, rollout)


def _check_active_rollout(
    order: statements.RollOut, rollout: model.Rollout
) -> None:
    if rollout.name != order.version:
        raise errors.RejectedError(
            f'roll-out {rollout.name} of the same model is '
            f'{rollout.state}; to end it: withdraw {rollout.name}'
        )
    current_baseline = f'{rollout.model}@{rollout.baseline}'
    if current_baseline != order.baseline:
        raise errors.RejectedError(
            f'{rollout.name} is being rolled out over {current_baseline}'
        )
    if rollout.state == 'held':
        suggestion = statements.Resume(rollout.name)
        raise errors.AmbiguousError(
            'the roll-out is held; to go on with it: '
            f'{statements.text_of(suggestion)}'
        )


def _active_rollout(
    configuration: model.Configuration, name: str
) -> model.Rollout:
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
    """Return the change that holds a roll-out at its current share.

    Raises ``errors.RejectedError`` when the roll-out is not active.
    """
    rollout = _active_rollout(configuration, order.rollout)
    if rollout.state == 'held':
        return _rollout_change(rollout, rollout.state, rollout.reason)
    return _rollout_change(rollout, 'held', 'held by an operator')


def resume(
    order: statements.Resume,
    configuration: model.Configuration,
) -> lookup.Change:
    """Return the change that resumes a held roll-out.

    Raises ``errors.RejectedError`` when the roll-out is not active.
    """
    rollout = _active_rollout(configuration, order.rollout)
    if rollout.state != 'held':
        return _rollout_change(rollout, rollout.state, rollout.reason)
    # A roll-out at a later step may have share 0 while ratings are missing.
    has_started = rollout.share > 0 or rollout.step > 0
    state = 'rolling' if has_started else 'created'
    return _rollout_change(rollout, state, 'resumed by an operator')


def _rollout_change(
    rollout: model.Rollout, state: str, reason: str
) -> lookup.Change:
    return lookup.Change(
        records.Kind.ROLLOUT,
        {'name': rollout.name, 'state': state, 'reason': reason},
        # Conditional on the state alone: a concurrent share step of the
        # controller must not void an operator's order.
        records.Condition(expected={'state': rollout.state}),
    )
