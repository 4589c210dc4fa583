"""Tests of how far apart the daemons of a fleet apply a change."""

from __future__ import annotations

import itertools
import os
import random

import pytest
import spread_plays

# Small fleets, in which each combination can be played: data centres of one and
# two daemons, and of three, where one reads endpoints from the two others.
SMALL_FLEETS = (('a1', 'a2', 'b1', 'c1'), ('a1', 'a2', 'a3', 'b1'))
MOMENTS_S = (0.02, 0.2, 0.4, 0.6)
# Digests reach only a part of this fleet in each interval.
LARGE_FLEET = tuple(
    f'{centre}{number:02}' for centre in 'abc' for number in range(8)
)
# CI plays each 43rd combination; `make spreads` plays all.
STRIDE = int(os.environ.get('SPREAD_STRIDE', '43'))
LARGE_PLAYS = 24


def drawn_plays(count: int) -> list[spread_plays.Play]:
    """Return plays of the large fleet that lose a part of it."""
    draws = random.Random(1)
    plays: list[spread_plays.Play] = []
    while len(plays) < count:
        answered = frozenset(
            draws.sample(LARGE_FLEET, draws.randint(1, len(LARGE_FLEET) - 1))
        )
        centre = draws.choice('abc')
        lost = draws.choice(
            [
                frozenset([draws.choice(LARGE_FLEET)]),
                frozenset(name for name in LARGE_FLEET if name[0] == centre),
                frozenset(draws.sample(LARGE_FLEET, len(LARGE_FLEET) // 4)),
            ]
        )
        if answered - lost:
            plays.append(
                spread_plays.Play(
                    LARGE_FLEET,
                    answered,
                    lost,
                    draws.choice(list(spread_plays.LOSSES)),
                    draws.choice(list(spread_plays.CHANGES)),
                    draws.choice(MOMENTS_S),
                    seed=len(plays),
                )
            )
    return plays


@pytest.mark.parametrize('names', SMALL_FLEETS, ids=','.join)
def test_changes_beside_a_lost_peer(
    monkeypatch: pytest.MonkeyPatch, names: tuple[str, ...]
) -> None:
    """Guards against a daemon that asks a dead peer while others could tell.

    The store does not answer it. It used a configuration for up to 4.2 s after
    a newer one was in force at its peers.
    """
    plays = spread_plays.all_plays(names, MOMENTS_S)
    some = list(itertools.islice(plays, 0, None, STRIDE))
    assert spread_plays.late_plays(some, monkeypatch) == []


def test_changes_beside_lost_peers_of_a_large_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the same where digests come from each peer in turn."""
    plays = drawn_plays(LARGE_PLAYS)
    assert spread_plays.late_plays(plays, monkeypatch) == []
