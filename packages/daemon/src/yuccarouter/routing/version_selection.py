"""Which versions an organisation may use and which one a request gets."""

from __future__ import annotations

import operator
from typing import Final

import attrs
import xxhash

from yuccarouter.routing import errors
from yuccarouter_common import model

_HASH_RANGE: Final = 2**64

_ROLLING: Final = frozenset(('rolling', 'held'))
_FINISHED: Final = 'finished'
_WITHDRAWN: Final = 'withdrawn'


@attrs.frozen
class Resolution:
    """The versions that may answer a request, from cheap to best.

    There is one version unless ``cascade`` is set.
    """

    versions: tuple[model.ModelVersion, ...]
    cascade: model.Cascade | None = None


def resolve(
    configuration: model.Configuration,
    organisation: model.Organisation,
    requested: str,
    share_key: str,
    kind: str = '',
) -> Resolution:
    """Resolve the request field ``model``.

    ``requested`` is a cascade, a model or ``model@version``. ``share_key``
    (a session or request id) decides by its hash whether a roll-out's new
    version is used. Raises ``RoutingError`` with the code ``unknown_model`` or
    ``version_not_allowed``.
    """
    cascade = configuration.cascades.get(requested)
    if cascade is None:
        found = _resolve_one(configuration, organisation, requested, share_key)
        return Resolution((found,))
    versions: dict[str, model.ModelVersion] = {}
    for step in cascade.steps:
        try:
            found = _resolve_one(
                configuration, organisation, step.target, share_key
            )
        except errors.RoutingError:
            continue
        versions[found.name] = found
    if not versions:
        raise _not_allowed(organisation, requested)
    steps = tuple(versions.values())
    if cascade.kinds and kind not in cascade.kinds:
        # The best step meets every quality target.
        return Resolution(steps[-1:])
    return Resolution(steps, cascade)


def usable_versions(
    configuration: model.Configuration, organisation: model.Organisation
) -> list[model.ModelVersion]:
    """Return the versions that an organisation may use now."""
    return [
        version
        for name, version in configuration.versions.items()
        if is_usable(configuration, organisation, name)
    ]


def is_usable(
    configuration: model.Configuration,
    organisation: model.Organisation,
    name: str,
) -> bool:
    """Return whether an organisation may use a ``model@version`` name."""
    return name in organisation.allowed and not is_withdrawn(
        configuration, name
    )


def is_withdrawn(configuration: model.Configuration, name: str) -> bool:
    """Return whether a version is withdrawn or not configured at all.

    A version is withdrawn by its own record or by its newest roll-out.
    """
    version = configuration.versions.get(name)
    if version is None or version.state == model.WITHDRAWN:
        return True
    rollouts = _rollouts(configuration, version.model, version.version)
    return bool(rollouts) and rollouts[0].state == _WITHDRAWN


def choose_version(
    configuration: model.Configuration,
    organisation: model.Organisation,
    model_name: str,
    share_key: str,
) -> model.ModelVersion:
    """Choose the version of a model for a new session or a single request.

    A version in a roll-out gets its share only. It gets more only where the
    organisation has no other usable version of the model. Raises
    ``RoutingError`` with the code ``version_not_allowed``.
    """
    rollouts = _rollouts(configuration, model_name)
    order = _order(configuration, model_name, rollouts)
    if rollouts and rollouts[0].state in _ROLLING:
        if in_share(rollouts[0], organisation.name, share_key):
            order.insert(0, rollouts[0].version)
    for version in order:
        name = f'{model_name}@{version}'
        if is_usable(configuration, organisation, name):
            return configuration.versions[name]
    raise _not_allowed(organisation, model_name)


def in_share(rollout: model.Rollout, organisation: str, share_key: str) -> bool:
    """Return whether a key is in the share of a roll-out.

    The hash does not depend on the share, so a key stays in as it grows.
    """
    text = f'{rollout.model}@{rollout.version}/{organisation}/{share_key}'
    return xxhash.xxh3_64_intdigest(text.encode()) / _HASH_RANGE < rollout.share


def _resolve_one(
    configuration: model.Configuration,
    organisation: model.Organisation,
    requested: str,
    share_key: str,
) -> model.ModelVersion:
    if '@' in requested:
        version = configuration.versions.get(requested)
        if version is None:
            raise _unknown(requested)
        if not is_usable(configuration, organisation, requested):
            raise _not_allowed(organisation, requested)
        return version
    known = configuration.versions.values()
    if all(version.model != requested for version in known):
        raise _unknown(requested)
    return choose_version(configuration, organisation, requested, share_key)


def _order(
    configuration: model.Configuration,
    model_name: str,
    rollouts: list[model.Rollout],
) -> list[str]:
    """Return the versions of a model, with the most proven one first.

    These are the results and baselines of roll-outs from the newest to the
    oldest, then versions without a roll-out in the order of their creation,
    and at last versions whose roll-out isn't finished.
    """
    proven = []
    for rollout in rollouts:
        if rollout.state == _FINISHED:
            proven.append(rollout.version)
        proven.append(rollout.baseline)
    unfinished = {rolled.version for rolled in rollouts}
    names = [
        version.version
        for version in configuration.versions.values()
        if version.model == model_name
    ]
    names.sort(key=unfinished.__contains__)
    return proven + names


def _rollouts(
    configuration: model.Configuration, model_name: str, version: str = ''
) -> list[model.Rollout]:
    """Return the roll-outs of a model or of one version, newest first."""
    found = [
        rollout
        for rollout in configuration.rollouts.values()
        if rollout.model == model_name and version in {'', rollout.version}
    ]
    found.sort(key=operator.attrgetter('changed_offset'), reverse=True)
    return found


def _unknown(requested: str) -> errors.RoutingError:
    return errors.RoutingError(
        f'there is no model, version or cascade {requested!r}',
        code='unknown_model',
    )


def _not_allowed(
    organisation: model.Organisation, requested: str
) -> errors.RoutingError:
    return errors.RoutingError(
        f'organisation {organisation.name!r} may not use {requested!r}',
        code='version_not_allowed',
    )
