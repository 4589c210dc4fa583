"""A fleet in virtual time beside troubles of the store and of daemons.

Each play draws several troubles and a series of changes of the configuration.
All daemons are watched all the time: one that is in touch must not be late,
none may go back to an older version, and none may claim more than the store has
shown.
"""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING, Final, cast

import attrs
import gateway_store
import spread_plays
import test_lost_readers
import test_silent_store

from yuccarouter.gateway import offsets, ports
from yuccarouter_common.platform import errors
from yuccarouter_testkit import virtual_time

if TYPE_CHECKING:
    import pytest

    from yuccarouter.gateway import topics

# The limits of the smallest deployment: a change is in force after the first,
# and from the second on after trouble.
APPLY_S: Final = 2.0
CONTACT_S: Final = 3.0
WATCH_INTERVAL_S: Final = 0.05
CHANGES_END_S: Final = 24.0
END_S: Final = 32.0
CALL_TIMEOUT_S: Final = 1.5
STALE_S: Final = 2.5
SLOW_ANSWER_S: Final = 0.5
STORE_TROUBLES: Final = (
    'silent',
    'refuses',
    'slow',
    'deaf',
    'stale',
    'compacted',
)
DAEMON_TROUBLES: Final = ('cut', 'refused', 'killed', 'frozen')


@attrs.define
class TroubledStore(gateway_store.MemoryStore):
    """A store with one trouble at a time.

    While it is ``deaf``, reads that wait are never answered. While it is
    ``stale``, answers are ``STALE_S`` old.
    """

    trouble: str = ''
    written_s: list[float] = attrs.field(factory=list)

    def write_version(self, version: int) -> None:
        """Write a configuration."""
        self.written_s.append(asyncio.get_running_loop().time())
        self.write('orders', 'config', str(version).encode())

    async def newest(self, topic: str) -> ports.Page:
        """Return the newest records."""
        await self._begin(0)
        rows = self._visible(topic)
        newest = {row.key: row for row in rows}
        return ports.Page(tuple(newest.values()), self._offset(len(rows)))

    async def read(self, topic: str, offset: int, wait_ms: int) -> ports.Page:
        """Return the records from an offset on, and wait for the first."""
        wait_s = wait_ms / 1000
        await self._begin(wait_s)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while True:
            number = offsets.number(offset)
            if offset != self._offset(number) or number < self.first_offset:
                raise ports.CompactedError(topic)
            rows = self._visible(topic)[number:]
            if rows or loop.time() >= end_s:
                return ports.Page(tuple(rows), offset + len(rows))
            await asyncio.sleep(0.01)
            if self.trouble in {'silent', 'deaf'}:
                await asyncio.sleep(max(0, end_s - loop.time()))
                await self._fail_late()

    def _visible(self, topic: str) -> list[ports.Entry]:
        rows = self.records[topic]
        if self.trouble != 'stale' or topic != 'orders':
            return rows
        known_s = asyncio.get_running_loop().time() - STALE_S
        return rows[: sum(at_s <= known_s for at_s in self.written_s)]

    async def _begin(self, wait_s: float) -> None:
        is_slow = self.trouble == 'slow'
        await asyncio.sleep(SLOW_ANSWER_S if is_slow else 0.01)
        if self.trouble == 'refuses':
            raise errors.UnavailableError('refused')
        if self.trouble == 'silent':
            await asyncio.sleep(wait_s)
            await self._fail_late()

    async def _fail_late(self) -> None:
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise errors.UnavailableError('silent')


@attrs.frozen
class Trouble:
    """A trouble of the store, or of the daemons named."""

    kind: str
    begin_s: float
    end_s: float
    names: frozenset[str] = frozenset()


@attrs.define
class Play:
    """A fleet, its troubles and changes, and what was found."""

    names: tuple[str, ...]
    seed: int
    turn_s: float
    troubles: list[Trouble] = attrs.field(factory=list)
    changes_s: list[float] = attrs.field(factory=list)
    found: list[str] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Draw the troubles and the changes."""
        rng = random.Random(self.seed)
        begin_s = rng.uniform(3, 8)
        while begin_s < CHANGES_END_S:
            end_s = begin_s + rng.choice([0.3, 1, 2, 4, 7])
            self.troubles.append(
                Trouble(rng.choice(STORE_TROUBLES), begin_s, end_s)
            )
            begin_s = end_s + rng.choice([0.1, 1, 3, 6])
        for _ in range(rng.randint(0, 3)):
            begin_s = rng.uniform(3, CHANGES_END_S)
            count = rng.randint(1, len(self.names) - 1)
            self.troubles.append(
                Trouble(
                    rng.choice(DAEMON_TROUBLES),
                    begin_s,
                    begin_s + rng.choice([0.3, 1, 3, 6]),
                    frozenset(rng.sample(self.names, count)),
                )
            )
        at_s = 3.0
        while at_s < CHANGES_END_S:
            self.changes_s.append(at_s)
            at_s += rng.choice([0.1, 0.5, 1.5, 3])

    def is_in_touch(self, name: str, at_s: float) -> bool:
        """Return whether a daemon is held to the limits."""
        return not any(
            each.begin_s <= at_s <= each.end_s + CONTACT_S
            for each in self.troubles
            if not each.names or name in each.names
        )

    def tells_truth(self) -> bool:
        """Return whether all answers of the store are current."""
        return all(each.kind != 'stale' for each in self.troubles)


def run(play: Play, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Play it and return what was found."""
    random.seed(play.seed)
    loop = virtual_time.VirtualTimeLoop()
    loop.turn_s = play.turn_s
    test_silent_store.use_clock_of(loop, monkeypatch)
    try:
        loop.run_until_complete(_run(play))
    finally:
        loop.close()
    return play.found


async def _run(play: Play) -> None:
    store = TroubledStore()
    for topic in ('endpoints', 'state'):
        store.write(topic, 'e1', b'1')
    store.write_version(0)
    fleet: list[spread_plays.Daemon] = []
    for name in play.names:
        link = test_lost_readers.Link(cast('gateway_store.SilentStore', store))
        others = cast('list[test_lost_readers.Daemon]', fleet)
        fleet.append(spread_plays.Daemon(name, others, link, name[0]))
    zero_s = asyncio.get_running_loop().time()
    for each in fleet:
        each.start()
    async with asyncio.TaskGroup() as tasks:
        for trouble in play.troubles:
            tasks.create_task(_trouble(trouble, store, fleet))
        tasks.create_task(_change(play, store))
        tasks.create_task(_watch(play, store, fleet, zero_s))
    for each in fleet:
        await each.kill()


async def _change(play: Play, store: TroubledStore) -> None:
    now_s = asyncio.get_running_loop().time
    zero_s = now_s()
    for version, at_s in enumerate(play.changes_s, start=1):
        await asyncio.sleep(max(0, zero_s + at_s - now_s()))
        store.write_version(version)


async def _trouble(
    trouble: Trouble, store: TroubledStore, fleet: list[spread_plays.Daemon]
) -> None:
    await asyncio.sleep(trouble.begin_s)
    hit = [each for each in fleet if each.name in trouble.names]
    match trouble.kind:
        case 'compacted':
            store.first_offset = len(store.records['orders'])
        case 'cut' | 'refused':
            for each in hit:
                each.link.is_cut = True
        case 'killed' | 'frozen':
            for each in hit:
                await (each.kill if trouble.kind == 'killed' else each.freeze)()
        case _:
            store.trouble = trouble.kind
    await asyncio.sleep(trouble.end_s - trouble.begin_s)
    if not trouble.names:
        store.trouble = ''
    for each in hit:
        each.link.is_cut = False
        if trouble.kind in {'killed', 'frozen'}:
            # It may have been started meanwhile, after another trouble.
            await each.kill()
            each.start()


async def _watch(
    play: Play,
    store: TroubledStore,
    fleet: list[spread_plays.Daemon],
    zero_s: float,
) -> None:
    """Note daemons that are late, go back, or claim too much."""
    loop = asyncio.get_running_loop()
    newest: dict[str, tuple[topics.Topic, int]] = {}
    while loop.time() - zero_s < END_S:
        await asyncio.sleep(WATCH_INTERVAL_S)
        now_s = loop.time()
        for each in fleet:
            replica = each.replicas[0]
            entry = replica.table.entries.get('config')
            version = int(entry.value) if entry else -1
            # A new process begins without a configuration.
            before, seen = newest.get(each.name, (replica, -1))
            if before is replica and version < seen:
                play.found.append(f'{now_s - zero_s:.2f} {each.name} back')
            newest[each.name] = (replica, version)
            due = sum(at_s <= now_s - APPLY_S for at_s in store.written_s) - 1
            if version < due and play.is_in_touch(each.name, now_s - zero_s):
                play.found.append(
                    f'{now_s - zero_s:.2f} {each.name} late: {version} < {due}'
                )
            claimed_s = replica.newest_confirmation().at_ms / 1000
            shown = sum(at_s < claimed_s for at_s in store.written_s) - 1
            if math.isfinite(claimed_s) and version < shown:
                if play.tells_truth():
                    play.found.append(
                        f'{now_s - zero_s:.2f} {each.name} claims {shown}'
                    )
