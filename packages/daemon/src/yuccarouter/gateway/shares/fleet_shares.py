"""Fair shares of the capacity of the whole fleet, computed by each daemon.

shares = FleetShares(demand, daemon_count, organisations)
shares.admitted_share('lookup', 'acme', 'key-1', 6000, now_ms)    # 0.4
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Final

import attrs
import eliot

from yuccarouter.gateway import metrics, model
from yuccarouter.gateway.shares import demand, figures, max_min

# Shares are computed anew at this age, or if the capacity has changed by more
# than this part. A computation takes up to 2 ms with 400 daemons, so that more
# of them would exceed the limit of 1% of a core.
_REFRESH_MS: Final = 200.0
_CAPACITY_TOLERANCE: Final = 0.05
# Below this part of the capacity, peers need no details of the demand. It
# leaves two exchanges of digests until demand that doubles exceeds the
# capacity.
_PLENTIFUL_PART: Final = 0.5
# Peers get details again at this time after the last look at the shares.
_PLENTIFUL_MS: Final = 1000.0
# Least time between log lines about the shares of one service.
_LOG_INTERVAL_MS: Final = 1000.0
_MAX_LOGGED: Final = 8
# Stands for the names that no daemon lists; hashes are never empty.
_OTHERS: Final = 'others'


@attrs.frozen
class _Division:
    """The admitted parts of demand by organisation, and by key of those cut.

    ``by_key`` holds only organisations that get less than their demand.
    """

    computed_ms: float
    capacity_ms_per_s: float
    by_organisation: dict[str, float]
    by_key: dict[str, dict[str, float]]

    def admitted_share(self, organisation: str, key: str) -> float:
        by_key = self.by_key.get(organisation)
        if by_key is None:
            return _share(self.by_organisation, organisation)
        return _share(by_key, key)

    def is_current(self, capacity_ms_per_s: float, now_ms: float) -> bool:
        change = abs(capacity_ms_per_s - self.capacity_ms_per_s)
        return (
            0 <= now_ms - self.computed_ms < _REFRESH_MS
            and change <= _CAPACITY_TOLERANCE * self.capacity_ms_per_s
        )


@attrs.define
class _Logged:
    """What was last logged about a service, and when."""

    logged_ms: float
    above_share: frozenset[str] = frozenset()


@attrs.define
class FleetShares:
    """Max-min fair shares of organisations and, within these, of their keys.

    ``daemon_count`` returns the number of live daemons with this one, and
    ``organisations`` the configured ones, which have the weights.
    """

    demand: demand.Demand
    daemon_count: Callable[[], int]
    organisations: Callable[[], tuple[model.Organisation, ...]]
    _divisions: dict[str, _Division] = attrs.field(factory=dict)
    _logged: dict[str, _Logged] = attrs.field(factory=dict)

    def admitted_share(
        self,
        service: str,
        organisation: str,
        key: str,
        capacity_ms_per_s: float,
        now_ms: float,
    ) -> float:
        """Return the part of the demand of a key that is within its share.

        ``capacity_ms_per_s`` is the endpoint time that the service offers each
        second to all daemons. The result is 1.0 for demand that is not known.
        """
        division = self._divisions.get(service)
        if division is None or not division.is_current(
            capacity_ms_per_s, now_ms
        ):
            division = self._divide(service, capacity_ms_per_s, now_ms)
            self._divisions[service] = division
        return division.admitted_share(
            demand.organisation_hash(organisation), demand.key_hash(key)
        )

    def _divide(
        self, service: str, capacity_ms_per_s: float, now_ms: float
    ) -> _Division:
        samples = self.demand.samples(service, self.daemon_count(), now_ms)
        wanted = figures.estimate(samples)
        if wanted.ms_per_s < _PLENTIFUL_PART * capacity_ms_per_s:
            self.demand.mark_plentiful(service, now_ms + _PLENTIFUL_MS)
        weights = {
            demand.organisation_hash(organisation.name): organisation.weight
            for organisation in self.organisations()
        }
        allocated = _allocate(wanted, weights, capacity_ms_per_s)
        by_organisation = _shares(wanted, allocated)
        by_key = {
            name: _shares_of_keys(samples, name, share)
            for name, share in by_organisation.items()
            if share < 1 and name != _OTHERS
        }
        division = _Division(now_ms, capacity_ms_per_s, by_organisation, by_key)
        self._report(service, wanted.ms_per_s, division)
        return division

    def _report(
        self, service: str, demand_ms_per_s: float, division: _Division
    ) -> None:
        """Update the metrics, and log changes of which organisations are cut.

        Hashes of organisations that are not configured are logged as they are.
        """
        shares = division.by_organisation
        above_share = frozenset(name for name in shares if shares[name] < 1)
        metrics.ORGANISATIONS_ABOVE_SHARE.labels(service).set(len(above_share))
        if division.capacity_ms_per_s > 0:
            metrics.DEMAND_PER_CAPACITY.labels(service).set(
                demand_ms_per_s / division.capacity_ms_per_s
            )
        logged = self._logged.setdefault(service, _Logged(-math.inf))
        is_due = division.computed_ms - logged.logged_ms >= _LOG_INTERVAL_MS
        if above_share == logged.above_share or not is_due:
            return
        self._logged[service] = _Logged(division.computed_ms, above_share)
        names = {
            demand.organisation_hash(organisation.name): organisation.name
            for organisation in self.organisations()
        }
        lowest = sorted(above_share, key=lambda name: (shares[name], name))
        eliot.log_message(
            'shares_changed',
            service=service,
            demand_ms_per_s=round(demand_ms_per_s),
            capacity_ms_per_s=round(division.capacity_ms_per_s),
            above_share=len(above_share),
            admitted={
                names.get(name, name): round(shares[name], 2)
                for name in lowest[:_MAX_LOGGED]
            },
        )


def _allocate(
    wanted: figures.Estimate,
    weights: Mapping[str, float],
    capacity_ms_per_s: float,
) -> dict[str, float]:
    """Divide a capacity; names that nobody lists count as equal ones."""
    return max_min.allocate(
        {**wanted.by_name, _OTHERS: wanted.others_ms_per_s},
        {**weights, _OTHERS: max(1, wanted.others_count)},
        capacity_ms_per_s,
    )


def _shares(
    wanted: figures.Estimate, allocated: Mapping[str, float]
) -> dict[str, float]:
    """Return the allocated parts of the demands."""
    demands = {**wanted.by_name, _OTHERS: wanted.others_ms_per_s}
    return {
        name: min(1, allocated[name] / wanted_ms) if wanted_ms > 0 else 1
        for name, wanted_ms in demands.items()
    }


def _shares_of_keys(
    samples: list[tuple[figures.Figures, float]],
    organisation: str,
    admitted_share: float,
) -> dict[str, float]:
    """Divide what an organisation gets among its keys.

    Of the organisation's demand, that at daemons that don't list it is unknown
    by key. It is taken to be distributed as the known demand is.
    """
    wanted = figures.estimate(
        [
            (sample.parts[organisation], scale)
            for sample, scale in samples
            if organisation in sample.parts
        ]
    )
    return _shares(
        wanted, _allocate(wanted, {}, admitted_share * wanted.ms_per_s)
    )


def _share(shares: Mapping[str, float], name: str) -> float:
    return shares.get(name, shares.get(_OTHERS, 1))
