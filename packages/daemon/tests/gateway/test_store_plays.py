"""Tests of a fleet beside drawn troubles of the store and of daemons."""

from __future__ import annotations

import os

import pytest
import store_plays

from yuccarouter.gateway import topics

NAMES = ('a1', 'a2', 'b1', 'c1')
# `make store-plays` plays more.
COUNT = int(os.environ.get('STORE_PLAYS', '12'))


@pytest.mark.parametrize('turn_s', [0.0005, 0.02])
def test_changes_beside_troubles(
    monkeypatch: pytest.MonkeyPatch, turn_s: float
) -> None:
    """Guards against late or older configurations after any trouble.

    Daemons in touch have a change within the limit, also after series of
    troubles, starts and several changes in a row, and where turns of the event
    loop take long.
    """
    found = {
        seed: play.found[:3]
        for seed in range(COUNT)
        if store_plays.run(
            play := store_plays.Play(NAMES, seed, turn_s), monkeypatch
        )
    }
    assert found == {}


def test_plays_find_a_known_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against plays that would pass without what keeps daemons current.

    Without checks, reads that are never answered are noticed by chance.
    """
    for name in ('_FIRST_CHECK_SHARE', '_OTHER_CHECK_SHARE'):
        monkeypatch.setattr(topics, name, 1e9)
    play = store_plays.Play(NAMES, 0, 0.0005)
    assert store_plays.run(play, monkeypatch)
