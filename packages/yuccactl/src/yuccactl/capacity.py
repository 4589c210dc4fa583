"""Capacity that remains when a data centre is taken out of service."""

from __future__ import annotations

from typing import Any

import attrs

from yuccactl import output
from yuccarouter_common import model


@attrs.frozen
class PoolLoad:
    """A pool's load and the limit of its remaining endpoints, in requests."""

    pool: str
    in_flight: int
    queued: int
    remaining_endpoints: int
    remaining_limit: int

    @property
    def shortfall(self) -> int:
        """Requests of the present load above the remaining limit."""
        return max(self.in_flight + self.queued - self.remaining_limit, 0)

    def sentence(self) -> str:
        """Return the load, the limit and any shortfall as one line."""
        verdict = 'enough'
        if self.shortfall:
            verdict = f'not enough, {self.shortfall} short'
        return (
            f'pool {self.pool}: present load {self.in_flight + self.queued} '
            f'({self.in_flight} in flight, {self.queued} queued); the '
            f'remaining {self.remaining_endpoints} endpoints admit '
            f'{self.remaining_limit}: {verdict}'
        )


def assess(
    endpoints: list[output.Row],
    data_centre: str,
    configuration: model.Configuration,
) -> list[PoolLoad]:
    """Return each pool's load and its limit without ``data_centre``.

    ``endpoints`` are rows of endpoint reports. The limit of an endpoint whose
    report holds none is its pool's ``max_in_flight``.
    """
    by_pool: dict[str, list[output.Row]] = {}
    for row in endpoints:
        by_pool.setdefault(str(row.get('pool', '')), []).append(row)
    return [
        _pool_load(pool, rows, data_centre, configuration)
        for pool, rows in sorted(by_pool.items())
    ]


def _pool_load(
    pool: str,
    rows: list[output.Row],
    data_centre: str,
    configuration: model.Configuration,
) -> PoolLoad:
    remaining = [
        row
        for row in rows
        if row.get('data_centre') != data_centre
        and row.get('state') in {'ready', 'cold'}
        and _in_service(row, configuration)
    ]
    settings = configuration.pools.get(pool, model.Pool(pool))
    return PoolLoad(
        pool,
        in_flight=sum(_count(row.get('in_flight')) for row in rows),
        queued=sum(_count(row.get('queued')) for row in rows),
        remaining_endpoints=len(remaining),
        remaining_limit=sum(
            _count(row.get('limit', settings.max_in_flight))
            for row in remaining
        ),
    )


def _in_service(row: output.Row, configuration: model.Configuration) -> bool:
    data_centre = configuration.data_centres.get(str(row.get('data_centre')))
    return data_centre is None or data_centre.state == model.IN_SERVICE


def _count(reported: Any) -> int:
    return int(reported) if isinstance(reported, (int, float)) else 0
