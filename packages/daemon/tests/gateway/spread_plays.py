"""A fleet in virtual time, and how far apart its daemons apply a change."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, Final, cast

import attrs
import gateway_store
import test_lost_readers
import test_silent_store

from yuccarouter.gateway import peers
from yuccarouter_testkit import virtual_time

if TYPE_CHECKING:
    import aiohttp
    import pytest

# The limits that the users state, less the time in which a connection to an
# endpoint that was chosen before is opened.
LIMITS_S: Final = {'orders': 2.0, 'endpoints': 2.0 - 0.4, 'state': 5.0}
CHANGES: Final = {
    'orders': ('orders', 'config', b'new'),
    'draining': ('endpoints', 'e1', b'draining'),
    'gone': ('endpoints', 'e1', b''),
    'state': ('state', 'phase', b'new'),
}
START_INTERVAL_S: Final = 0.05
# Until all daemons know each other, and those without the store know that.
CALM_S: Final = 9.0
AFTER_S: Final = 12.0


class Daemon(test_lost_readers.Daemon):
    """A daemon that also fetches records that it misses from its peers."""

    def start(self) -> None:
        """Start a process that knows the others."""
        super().start()
        fetching = peers.fetch_missing_records(
            cast('aiohttp.ClientSession', self), self.gossip, self.replicas
        )
        self.tasks.append(asyncio.create_task(fetching))

    async def lose_power(self) -> None:
        """End the process so that nothing answers or resets calls to it."""
        await self.freeze()


Lose = Callable[[Daemon], Any]
LOSSES: Final[dict[str, Lose]] = {
    'power': Daemon.lose_power,
    'kill': Daemon.kill,
    'cut from peers': Daemon.cut_from_peers,
}


@attrs.frozen
class Play:
    """A change beside trouble of the store and of peers.

    ``names`` are those of the daemons, which begin with their data centre. The
    store answers ``answered`` only; ``lost`` are lost in the way ``how``,
    ``loss_after_s`` after the change.
    """

    names: tuple[str, ...]
    answered: frozenset[str]
    lost: frozenset[str]
    how: str
    change: str
    loss_after_s: float
    seed: int = 1

    def sound_names(self) -> list[str]:
        """Return the daemons that must apply the change."""
        return [name for name in self.names if name not in self.lost]


def all_plays(
    names: tuple[str, ...], moments_s: tuple[float, ...]
) -> Iterator[Play]:
    """Return each play in which a sound daemon can read the store.

    One daemon or one data centre is lost.
    """
    centres = {
        frozenset(name for name in names if name[0] == centre)
        for centre in {name[0] for name in names}
    }
    losses = sorted(
        {*centres, *(frozenset([name]) for name in names)}, key=sorted
    )
    for count in range(1, len(names)):
        for answered in itertools.combinations(names, count):
            for lost, how, change, loss_after_s in itertools.product(
                losses, LOSSES, CHANGES, moments_s
            ):
                if frozenset(answered) - lost:
                    yield Play(
                        names,
                        frozenset(answered),
                        lost,
                        how,
                        change,
                        loss_after_s,
                    )


def lateness_s(play: Play, monkeypatch: pytest.MonkeyPatch) -> float:
    """Return how long after the change the last sound daemon applies it."""
    random.seed(play.seed)
    loop = virtual_time.VirtualTimeLoop()
    test_silent_store.use_clock_of(loop, monkeypatch)
    try:
        return loop.run_until_complete(_lateness_s(play))
    finally:
        loop.close()


async def _lateness_s(play: Play) -> float:
    loop = asyncio.get_running_loop()
    store = gateway_store.SilentStore()
    for topic in ('orders', 'endpoints', 'state'):
        for key in ('e1', 'e2'):
            store.write(topic, key, b'1')
    fleet: list[Daemon] = []
    for name in play.names:
        fleet.append(
            Daemon(
                name,
                cast('list[test_lost_readers.Daemon]', fleet),
                test_lost_readers.Link(store),
                name[0],
            )
        )
    for each in fleet:
        each.start()
        await asyncio.sleep(START_INTERVAL_S)
    await asyncio.sleep(1)
    for each in fleet:
        each.link.is_cut = each.name not in play.answered
    await asyncio.sleep(CALM_S + random.random())
    topic, key, content = CHANGES[play.change]
    store.write(topic, key, content)
    changed_s = loop.time()
    await asyncio.sleep(play.loss_after_s)
    for each in fleet:
        if each.name in play.lost:
            await LOSSES[play.how](each)
    await asyncio.sleep(AFTER_S)
    for each in fleet:
        await each.kill()
    sound = frozenset(play.sound_names())
    return max(
        each.applied_s.get((topic, content), float('inf')) - changed_s
        for each in fleet
        if each.name in sound
    )


def late_plays(
    plays: list[Play], monkeypatch: pytest.MonkeyPatch
) -> list[tuple[float, Play]]:
    """Return the plays whose change is late, the latest one first."""
    late = []
    for play in plays:
        late_s = lateness_s(play, monkeypatch)
        if late_s > LIMITS_S[CHANGES[play.change][0]]:
            late.append((round(late_s, 2), play))
    return sorted(late, key=lambda row: -row[0])
