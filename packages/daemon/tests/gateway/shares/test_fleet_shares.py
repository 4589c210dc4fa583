"""Tests of fair shares across daemons that exchange digests.

They guard against the load pattern of one organisation that floods all daemons
with several times its usual requests, beside others that stay as they are.
"""

from __future__ import annotations

import random
from typing import Any

import attrs
import orjson
import pytest

from yuccarouter.gateway import model
from yuccarouter.gateway.shares import demand, fleet_shares

SERVICE = 'lookup'
ORGANISATIONS = [f'organisation-{number}' for number in range(24)]
FLOODING = ORGANISATIONS[3]
FLOOD = 6
WORK_MS = 75.0
# Requests of each organisation in a second, and the capacity for them all with
# a tenth to spare.
USUAL_PER_S = 20.0
CAPACITY = 1.1 * len(ORGANISATIONS) * USUAL_PER_S * WORK_MS
GOSSIP_MS = 400.0
FANOUT = 8


def shares_of(
    counted: demand.Demand, daemons: int = 1, **weights: float
) -> fleet_shares.FleetShares:
    configured = tuple(
        model.Organisation(name, (), None, weights.get(name, 1))
        for name in {*ORGANISATIONS, *weights}
    )
    return fleet_shares.FleetShares(
        counted, lambda: daemons, lambda: configured
    )


@attrs.define
class Fleet:
    """Daemons in virtual time that get requests at random.

    Each digest goes to the next peers in turn; a part of them is lost.
    """

    count: int
    lost_share: float
    rng: random.Random
    demands: list[demand.Demand] = attrs.field(init=False)
    fleet_shares: list[fleet_shares.FleetShares] = attrs.field(init=False)
    now_ms: float = 0
    _offset: int = 0

    def __attrs_post_init__(self) -> None:
        self.demands = [demand.Demand() for _ in range(self.count)]
        self.fleet_shares = [
            shares_of(counted, self.count) for counted in self.demands
        ]

    def run(self, seconds: float, per_s: dict[str, float]) -> None:
        for _ in range(round(seconds * 1000 / GOSSIP_MS)):
            for organisation, rate in per_s.items():
                for _ in range(round(rate * GOSSIP_MS / 1000)):
                    # In the middle of the time between two digests.
                    arrived_ms = self.now_ms + GOSSIP_MS / 2
                    self.rng.choice(self.demands).record_arrival(
                        SERVICE, organisation, 'key', WORK_MS, arrived_ms
                    )
            self.now_ms += GOSSIP_MS
            self._exchange()

    def _exchange(self) -> None:
        self._offset += FANOUT
        for index, sender in enumerate(self.demands):
            message = sender.message(self.now_ms)
            for step in range(min(FANOUT, self.count - 1)):
                # Daemons start at different times, and so at other peers.
                turn = 7 * index + self._offset + step
                receiver = (index + 1 + turn % (self.count - 1)) % self.count
                if self.rng.random() >= self.lost_share:
                    self.demands[receiver].merge(
                        f'd{index}', message, self.now_ms
                    )

    def shares(self, organisation: str, age_ms: float = 0) -> list[float]:
        """Return the share at each daemon, with figures of the given age."""
        return [
            shares.admitted_share(
                SERVICE, organisation, 'key', CAPACITY, self.now_ms + age_ms
            )
            for shares in self.fleet_shares
        ]


@pytest.mark.parametrize(
    ('count', 'least_share'),
    # A daemon of 400 knows an eighth of the demand: noise cuts a little.
    [(3, 0.99), (68, 0.99), (400, 0.97)],
)
@pytest.mark.parametrize('lost_share', [0, 0.3])
def test_flood_of_one_organisation(
    count: int, least_share: float, lost_share: float
) -> None:
    """Guards against a flood that takes other organisations' share.

    Also guards against a share that is too small for its capacity to be used,
    or so large that the flood exceeds it.
    """
    usual = dict.fromkeys(ORGANISATIONS, USUAL_PER_S)
    fleet = Fleet(count, lost_share, random.Random(1))
    fleet.run(5, usual)
    fleet.run(5, {**usual, FLOODING: FLOOD * USUAL_PER_S})
    for organisation in set(ORGANISATIONS) - {FLOODING}:
        shares = fleet.shares(organisation)
        assert sum(shares) / count > least_share, organisation
    # The others use 23 parts of the 26.4 that there are.
    admitted = FLOOD * sum(fleet.shares(FLOODING)) / count
    assert 3 < admitted < 4.5


@pytest.mark.parametrize('count', [3, 68, 400])
def test_figures_of_the_greatest_age(count: int) -> None:
    """Guards against figures that expire before the next digest arrives.

    Once they have, and the shares are computed anew, each daemon trusts its own
    figures only.
    """
    fleet = Fleet(count, 0, random.Random(2))
    fleet.run(5, {FLOODING: 100 * USUAL_PER_S, ORGANISATIONS[0]: USUAL_PER_S})
    assert max(fleet.shares(FLOODING, 2500)) < 0.9
    own = shares_of(demand.Demand()).admitted_share(
        SERVICE, FLOODING, 'key', CAPACITY, fleet.now_ms
    )
    assert own == 1
    if count > 3:
        assert set(fleet.shares(FLOODING, 2700)) == {1.0}


def test_same_figures_give_the_same_shares() -> None:
    """Guards against daemons that divide the same demand differently."""
    rng = random.Random(3)
    fleet = Fleet(5, 0, rng)
    rates = {name: rng.uniform(1, 200) for name in ORGANISATIONS}
    fleet.run(5, rates)
    for organisation in ORGANISATIONS:
        shares = fleet.shares(organisation)
        assert shares == pytest.approx([shares[0]] * len(shares), abs=0.02)


def record(counted: demand.Demand, **work_ms: float) -> None:
    """Record arrivals, for example ``a_k1=10`` of the key ``k1`` of ``a``."""
    for name, work in work_ms.items():
        organisation, _, key = name.partition('_')
        counted.record_arrival(SERVICE, organisation, key, work, 0)


@pytest.mark.parametrize(
    ('arrivals', 'weights', 'capacity', 'asked', 'expected'),
    [
        # The rates equal the work, as it decays within a second.
        ({'a_k': 2000, 'b_k': 200}, {}, 1200, 'a_k', 0.5),
        ({'a_k': 2000, 'b_k': 200}, {}, 1200, 'b_k', 1),
        ({'a_k': 2000, 'b_k': 2000}, {'a': 3}, 2000, 'a_k', 0.75),
        ({'a_k': 1800, 'a_l': 200, 'b_k': 200}, {}, 1200, 'a_l', 1),
        ({'a_k': 1800, 'a_l': 200, 'b_k': 200}, {}, 1200, 'a_k', 4 / 9),
        ({'a_k': 2000}, {}, 1200, 'unknown_k', 1),
        ({}, {}, 1200, 'a_k', 1),
        ({'a_k': 2000}, {}, 0, 'a_k', 0),
        ({'a_\udcff': 2000, 'b_k': 200}, {}, 1200, 'a_\udcff', 0.5),
    ],
)
def test_table(
    arrivals: dict[str, float],
    weights: dict[str, float],
    capacity: float,
    asked: str,
    expected: float,
) -> None:
    """Guards against a flood by one key that costs other keys their share.

    A key whose bytes are no text must not make the request fail.
    """
    counted = demand.Demand()
    record(counted, **arrivals)
    organisation, _, key = asked.partition('_')
    share = shares_of(counted, **weights).admitted_share(
        SERVICE, organisation, key, capacity, 0
    )
    assert share == pytest.approx(expected, abs=0.01)


def test_callers_who_leave() -> None:
    """Guards against demand that stays after its callers have left."""
    counted = demand.Demand()
    shares = shares_of(counted)
    record(counted, a_k=4000)
    assert shares.admitted_share(SERVICE, 'a', 'k', 600, 0) < 0.5
    counted.record_departure(SERVICE, 'a', 'k', 4000, arrived_ms=0, now_ms=200)
    assert shares.admitted_share(SERVICE, 'a', 'k', 600, 200) == 1
    assert counted.message(200) == {}


def test_messages_are_bounded() -> None:
    """Guards against digests that grow with organisations, keys and services.

    Where there is room for all requests, only little is sent.
    """
    counted = demand.Demand()
    for number in range(40_000):
        counted.record_arrival(
            f'service-{number % 20}',
            f'organisation-{number % 300}',
            f'key-{number}',
            1e6,
            0,
        )
    assert len(orjson.dumps(counted.message(0))) < 1800
    brief = demand.Demand()
    for organisation in ORGANISATIONS:
        for service in ('plain', 'chat'):
            brief.record_arrival(service, organisation, 'k', 100, 0)
            brief.mark_plentiful(service, 1000)
    assert len(orjson.dumps(brief.message(0))) < 100


@pytest.mark.parametrize(
    ('message', 'fault'),
    [
        ([], AttributeError),
        ({SERVICE: 'x'}, ValueError),
        ({SERVICE: [-1, 1, {}]}, ValueError),
        ({SERVICE: [1, 1]}, ValueError),
        ({SERVICE: [1, 1, {'0123456': 1}]}, ValueError),
        ({SERVICE: [1, 9, {str(name): 1 for name in range(9)}]}, ValueError),
        ({str(name): 1 for name in range(9)}, ValueError),
        ({SERVICE: [1, 1, {'a': [1, 1, {'b': [1, 1, {'c': 1}]}]}]}, ValueError),
    ],
)
def test_bad_messages(message: Any, fault: type[Exception]) -> None:
    """Guards against malformed figures of a peer that replace known ones."""
    counted = demand.Demand()
    counted.merge('d1', {SERVICE: [2000, 1, {'a': 2000}, 'newer']}, 0)
    counted.merge('d1', None, 0)
    before = counted.samples(SERVICE, 2, 0)
    with pytest.raises(fault):
        counted.merge('d1', message, 0)
    assert counted.samples(SERVICE, 2, 0) == before
    assert len(before) == 2
