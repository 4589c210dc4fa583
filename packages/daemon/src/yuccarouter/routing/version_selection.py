"""Which versions an organisation may use and which one a request uses."""

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
    """The versions that may answer a request, from the cheapest to the best.

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
    """Return the versions that the request field ``model`` stands for.

    ``requested`` is a cascade, a model or ``model@version``. The hash of
    ``share_key`` (a session or request id) decides whether a roll-out's new
    version is used. Raises ``RoutingError`` with the code ``unknown_model`` or
    ``version_not_allowed``.
    """
    cascade = configuration.cascades.get(requested)
    if cascade is None:
        version = _resolve_one(
            configuration, organisation, requested, share_key
        )
        return Resolution((version,))
    versions: dict[str, model.ModelVersion] = {}
    for step in cascade.steps:
        try:
            version = _resolve_one(
                configuration, organisation, step.target, share_key
            )
        except errors.RoutingError:
            continue
        versions[version.name] = version
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
    """Return the version of a model for a new session or a single request.

    A version in a roll-out gets only its share of requests, unless the
    organisation has no other usable version of the model. Raises
    ``RoutingError`` with the code ``version_not_allowed``.
    """
    rollouts = _rollouts(configuration, model_name)
    order = _preferred_versions(configuration, model_name, rollouts)
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

    The hash does not depend on the share, so a key stays in the share
    as it grows.
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
    versions = configuration.versions.values()
    if all(version.model != requested for version in versions):
        raise _unknown(requested)
    return choose_version(configuration, organisation, requested, share_key)


def _preferred_versions(
    configuration: model.Configuration,
    model_name: str,
    rollouts: list[model.Rollout],
) -> list[str]:
    """Return the versions of a model in order of preference.

    First come the versions of finished roll-outs and the baselines, from the
    newest roll-out to the oldest, then versions without a roll-out in the
    order of their creation, and last those with an unfinished roll-out.
    """
    preferred = []
    for rollout in rollouts:
        if rollout.state == _FINISHED:
            preferred.append(rollout.version)
        preferred.append(rollout.baseline)
    with_rollout = {one.version for one in rollouts}
    names = [
        version.version
        for version in configuration.versions.values()
        if version.model == model_name
    ]
    names.sort(key=with_rollout.__contains__)
    return preferred + names


def _rollouts(
    configuration: model.Configuration, model_name: str, version: str = ''
) -> list[model.Rollout]:
    """Return the roll-outs of a model or of one version, newest first."""
    rollouts = [
        rollout
        for rollout in configuration.rollouts.values()
        if rollout.model == model_name and version in {'', rollout.version}
    ]
    rollouts.sort(key=operator.attrgetter('changed_offset'), reverse=True)
    return rollouts


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
