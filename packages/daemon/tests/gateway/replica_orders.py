"""All orders of events of two replicas of a topic, up to a number of events.

The replicas are the product's own. Events are writes, loads of two pages with
or without writes between them, reads, fetches from the other replica, and an
answer of the other replica that arrives later, more than once or not at all.
States that were reached before are not explored again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Final

import attrs

from yuccarouter.gateway import peers, ports, topics

# Keys up to this one are on the first page of a load.
_LAST_OF_FIRST_PAGE: Final = 'm'
_KEYS: Final = ('a', 'z')

Row = tuple[str, bytes]


@attrs.frozen
class ReplicaState:
    """What a replica knows."""

    entries: tuple[ports.Entry, ...] = ()
    next_offset: int = 0
    newest_offset: int = -1
    is_loaded: bool = False


@attrs.frozen
class Answer:
    """An answer of the other replica that has not arrived yet."""

    target: int
    entries: tuple[ports.Entry, ...]
    present: frozenset[str]
    newest: int


@attrs.frozen
class State:
    """The log of the store, both replicas, and an answer on its way."""

    log: tuple[Row, ...]
    replicas: tuple[ReplicaState, ReplicaState]
    answer: Answer | None = None


START: Final = State(
    (('a', b'1'), ('z', b'1')), (ReplicaState(), ReplicaState())
)


@attrs.define
class _Store:
    """The store of one event; ``between`` is written between two pages."""

    log: tuple[Row, ...]
    between: tuple[Row, ...] = ()

    async def newest(self, topic: str) -> ports.Page:
        end_offset = len(self.log)
        first = self._page(on_first=True)
        self.log += self.between
        return ports.Page((*first, *self._page(on_first=False)), end_offset)

    async def read(self, topic: str, offset: int, wait_ms: int) -> ports.Page:
        rows = enumerate(self.log[offset:], start=offset)
        return ports.Page(
            tuple(ports.Entry(*row, offset=number) for number, row in rows),
            len(self.log),
        )

    async def append(
        self,
        topic: str,
        entries: Sequence[Row],
        expected_offset: int | None,
    ) -> int:
        raise NotImplementedError

    def _page(self, *, on_first: bool) -> list[ports.Entry]:
        newest = {
            key: ports.Entry(key, content, number)
            for number, (key, content) in enumerate(self.log)
            if (key <= _LAST_OF_FIRST_PAGE) is on_first
        }
        return [entry for entry in newest.values() if entry.value]


async def shortest_violation(depth: int) -> tuple[int, list[str]]:
    """Return the number of states, and the shortest order that is wrong.

    The order is empty if each claim is true in all orders of ``depth`` events.
    """
    paths: dict[State, list[str]] = {START: []}
    frontier = [START]
    for _ in range(depth):
        reached = []
        for state in frontier:
            for event, after in await _successors(state):
                if after in paths:
                    continue
                paths[after] = [*paths[state], event]
                if not _are_claims_true(after):
                    return len(paths), paths[after]
                reached.append(after)
        frontier = reached
    return len(paths), []


def _are_claims_true(state: State) -> bool:
    """Return whether each replica holds all records up to its claim."""
    return all(
        _holds(replica, state.log[: replica.newest_offset + 1])
        and _holds(replica, state.log[: replica.next_offset])
        for replica in state.replicas
    )


def _holds(replica: ReplicaState, log: tuple[Row, ...]) -> bool:
    """Return whether a replica holds the newest records of a log, or newer."""
    held = {entry.key: entry for entry in replica.entries}
    newest = {key: number for number, (key, _) in enumerate(log)}
    for key, number in newest.items():
        entry = held.get(key)
        if entry is None:
            if log[number][1]:
                return False
        # A tombstone of a load has the offset of the record that it removes.
        elif entry.offset < number and (log[number][1] or entry.value):
            return False
    return True


async def _successors(state: State) -> list[tuple[str, State]]:
    versions = {key: f'{len(state.log)}'.encode() for key in _KEYS}
    writes = tuple(versions.items())
    after = [
        (f'write {key}', attrs.evolve(state, log=(*state.log, (key, content))))
        for key, content in (*writes, ('a', b''))
    ]
    for index in range(len(state.replicas)):
        other = 1 - index
        for between in ((), writes, writes[::-1], (('a', b''), writes[1])):
            store = _Store(state.log, between)
            topic = _topic(state.replicas[index], store)
            await topic._load()
            after.append(
                (
                    f'load {index}, between pages {between}',
                    _with(state, index, topic, store.log),
                )
            )
        if state.replicas[index].is_loaded:
            topic = _topic(state.replicas[index], _Store(state.log))
            await topic._read_once()
            after.append(
                (f'read {index}', _with(state, index, topic, state.log))
            )
        answer = _answer(state, index, other)
        after.append((f'send to {index}', attrs.evolve(state, answer=answer)))
    if state.answer is not None:
        index = state.answer.target
        topic = _topic(state.replicas[index], _Store(state.log))
        topic.merge(
            list(state.answer.entries),
            state.answer.present,
            state.answer.newest,
        )
        after.append(
            (f'arrive at {index}', _with(state, index, topic, state.log))
        )
    return after


def _topic(replica: ReplicaState, store: _Store) -> topics.Topic:
    topic = topics.Topic('t', store, lambda entry: None, lambda outage_ms: None)
    topic.table = topics.Table(
        {entry.key: entry for entry in replica.entries},
        replica.next_offset,
        replica.newest_offset,
    )
    topic.is_loaded = replica.is_loaded
    return topic


def _with(
    state: State, index: int, topic: topics.Topic, log: tuple[Row, ...]
) -> State:
    changed = ReplicaState(
        tuple(sorted(topic.table.entries.values(), key=lambda each: each.key)),
        topic.table.next_offset,
        topic.table.newest_offset,
        topic.is_loaded,
    )
    replicas = list(state.replicas)
    replicas[index] = changed
    return State(log, (replicas[0], replicas[1]), state.answer)


def _answer(state: State, target: int, source: int) -> Answer:
    """Return the records that one replica would send to the other now."""
    topic = _topic(state.replicas[source], _Store(state.log))
    since = state.replicas[target].newest_offset + 1
    document = peers.records_document(topic, since, 0)
    entries = (peers._entry(0, *row) for row in document['records'])
    return Answer(
        target,
        tuple(sorted(entries, key=lambda entry: entry.offset)),
        frozenset(document['present']),
        document['newest'],
    )


if __name__ == '__main__':
    print(asyncio.run(shortest_violation(6)))
