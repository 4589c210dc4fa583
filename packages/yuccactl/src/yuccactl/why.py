"""Reasons why an organisation's requests are not routed to a version."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from yuccactl import output, statements
from yuccarouter_common import model


@attrs.frozen
class Reason:
    """Why requests do not reach a version, and what an operator can do."""

    reason: str
    remedy: str


def reasons(
    query: statements.WhyNot,
    configuration: model.Configuration,
    endpoints: list[output.Row],
) -> list[Reason]:
    """Return every reason, those in the configuration first.

    ``endpoints`` holds a row with the newest report of each endpoint.
    """
    all_reasons = list(_permission_reasons(query, configuration))
    version = configuration.versions.get(query.version)
    if version is None:
        known = ', '.join(sorted(configuration.versions)) or 'none'
        return [
            *all_reasons,
            Reason('there is no such version', f'known: {known}'),
        ]
    if version.state == model.WITHDRAWN:
        all_reasons.append(
            Reason('the version is withdrawn', 'use another version')
        )
    all_reasons.extend(_rollout_reasons(query.version, configuration))
    all_reasons.extend(_endpoint_reasons(version, configuration, endpoints))
    return all_reasons


def _permission_reasons(
    query: statements.WhyNot,
    configuration: model.Configuration,
) -> Iterator[Reason]:
    organisation = configuration.organisations.get(query.organisation)
    if organisation is None:
        known = ', '.join(sorted(configuration.organisations)) or 'none'
        yield Reason('there is no such organisation', f'known: {known}')
    elif query.version not in organisation.allowed:
        remedy = statements.Allow(query.version, query.organisation)
        yield Reason(
            'the organisation is not allowed to use it',
            statements.text_of(remedy),
        )
    elif organisation.max_concurrent == 0:
        yield Reason(
            'the organisation is limited to 0 concurrent requests',
            statements.text_of(statements.Limit(query.organisation, 1)),
        )


def _rollout_reasons(
    version: str,
    configuration: model.Configuration,
) -> Iterator[Reason]:
    for rollout in configuration.rollouts.values():
        if f'{rollout.model}@{rollout.version}' != version:
            continue
        if rollout.state == 'withdrawn':
            yield Reason(
                f'its roll-out is withdrawn: {rollout.reason}',
                'use another version',
            )
        elif rollout.share < 1 and rollout.state != 'finished':
            yield Reason(
                f'its roll-out is {rollout.state} at share {rollout.share:g}: '
                'only that part of new sessions gets it',
                'ask for it by name',
            )


def _endpoint_reasons(
    version: model.ModelVersion,
    configuration: model.Configuration,
    endpoints: list[output.Row],
) -> Iterator[Reason]:
    in_pool = [row for row in endpoints if row.get('pool') == version.pool]
    if not in_pool:
        yield Reason(
            f'no daemon reports an endpoint of pool {version.pool}',
            'start agents for the pool',
        )
        return
    obstacles = [_obstacle(row, version.name, configuration) for row in in_pool]
    if not all(obstacles):
        return
    for row, obstacle in zip(in_pool, obstacles, strict=True):
        age_ms = row.get('age_ms', 'unknown')
        yield Reason(
            f'endpoint {row["endpoint"]} {obstacle} (report {age_ms} ms old, '
            f'according to {row.get("according_to")})',
            f'explain endpoint {row["endpoint"]}',
        )


def _obstacle(
    row: output.Row,
    version: str,
    configuration: model.Configuration,
) -> str:
    name = str(row.get('data_centre', ''))
    data_centre = configuration.data_centres.get(name)
    if data_centre is not None and data_centre.state != model.IN_SERVICE:
        return f'is in data centre {name}, which is out of service'
    if row.get('state') in {'leaving', 'down'}:
        return f'is {row["state"]}'
    # Without a list of versions it is unknown what the endpoint serves; this
    # is not reported as an obstacle.
    loaded = row.get('versions')
    if loaded and version not in loaded:
        return f'has not loaded {version}'
    return ''
