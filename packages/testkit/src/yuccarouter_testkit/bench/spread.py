"""Groups of in-process stores that exchange as peers do, in virtual time."""

from __future__ import annotations

import heapq
import random
import statistics
from typing import Any, Final

import attrs

from yuccarouter.configuration import exchange
from yuccarouter.configuration import store as stores
from yuccarouter_common import records

# As in ``yuccarouter.configuration.peers``.
_FAN_OUT: Final = 3
_INTERVAL_S: Final = 1.0
_JITTER: Final = 0.1
# Upper bound of the time from an append to its long poll's answer, for a
# process that has just polled and waits out the follower's interval.
_POLL_S: Final = 0.25
_ROUND_TRIP_S: Final = 0.01
_OBJECTS: Final = 50
_TRAFFIC_S: Final = 60
_CHANGE_EVERY_S: Final = 10
_LIMIT_S: Final = 120

ALL_BUT_ONE: Final = 'all but one'


def change(number: int, name: str = '') -> dict[str, Any]:
    """Return a change of a model version with usual fields."""
    record = records.Record(
        f'change-{number:08d}',
        'operator@example.org',
        1_700_000_000_000 + number,
        records.Kind.MODEL_VERSION,
        {
            'model': name or f'clue-checker-{number}',
            'version': '2026.11.3',
            'pool': 'gpu-large',
            'prompt_price_microcents': number,
            'completion_price_microcents': 60,
        },
    )
    return dict(records.converter.unstructure(record))


def filled(objects: int) -> stores.Store:
    """Return a store with a number of objects."""
    store = stores.Store()
    for number in range(objects):
        store.apply(number, change(number))
    return store


@attrs.define
class _Group:
    """Stores with the times of their next exchanges."""

    random: random.Random
    stores: list[stores.Store]
    due: list[tuple[float, int]]
    messages: int = 0
    sent_bytes: int = 0

    def exchange_until(self, end_s: float) -> float | None:
        """Exchange until all have one position; returns when that was."""
        newest = max(store.position for store in self.stores)
        behind = sum(store.position < newest for store in self.stores)
        now_s = self.due[0][0]
        while behind and now_s < end_s:
            now_s, number = heapq.heappop(self.due)
            store = self.stores[number]
            was_behind = store.position < newest
            self._ask(number)
            behind -= was_behind and store.position == newest
            jitter = self.random.uniform(1 - _JITTER, 1 + _JITTER)
            heapq.heappush(self.due, (now_s + jitter * _INTERVAL_S, number))
        return None if behind else now_s + _ROUND_TRIP_S

    def exchange_for(self, end_s: float) -> None:
        """Exchange up to a time, whatever the positions are."""
        while self.due[0][0] < end_s:
            now_s, number = heapq.heappop(self.due)
            self._ask(number)
            heapq.heappush(self.due, (now_s + _INTERVAL_S, number))

    def _ask(self, number: int) -> None:
        asking = self.stores[number]
        others = self.random.sample(range(len(self.stores)), _FAN_OUT + 1)
        for other in [one for one in others if one != number][:_FAN_OUT]:
            digest = exchange.build_digest(
                asking, f'vm-{number:04d}', 'muenchen'
            )
            delta = exchange.build_delta(self.stores[other], digest)
            exchange.apply_delta(asking, delta, f'10.0.0.{other}:7070')
            self.messages += 2
            self.sent_bytes += digest.ByteSize() + delta.ByteSize()


def traffic(seed: int, size: int, overhead_bytes: float) -> dict[str, float]:
    """Return what one process sends and receives by exchanging.

    ``overhead_bytes`` is what an exchange adds to its messages on the wire.
    A change every 10 s reaches three in ten processes through the log.
    """
    group = _group(seed, size)
    for second in range(_TRAFFIC_S):
        if second % _CHANGE_EVERY_S == 0:
            offset = max(store.position.offset for store in group.stores) + 1
            for store in group.stores[: max(1, 3 * size // 10)]:
                store.apply(offset, change(offset, 'clue-checker-7'))
        group.exchange_for(second + 1)
    wire_bytes = group.sent_bytes + group.messages / 2 * overhead_bytes
    # Each exchange is sent by one process and received by another.
    per_process = 2 / size / _TRAFFIC_S
    return {
        'processes': size,
        'messages_per_s': group.messages * per_process,
        'wire_bytes_per_s': wire_bytes * per_process,
    }


def spread(
    seed: int,
    size: int,
    unreachable: float | str,
) -> dict[str, Any]:
    """Return seconds from an append until all processes have the change.

    ``unreachable`` is the share of processes that do not reach the log, or
    ``ALL_BUT_ONE``.
    """
    group = _group(seed, size)
    reaching = 1
    if not isinstance(unreachable, str):
        reaching = max(1, round(size * (1 - unreachable)))
    payload = change(_OBJECTS, 'clue-checker-7')
    for store in group.stores[:reaching]:
        store.apply(_OBJECTS, payload)
    group.due = [(due_s + _POLL_S, number) for due_s, number in group.due]
    return {
        'processes': size,
        'unreachable': unreachable,
        'seconds': group.exchange_until(_LIMIT_S),
    }


def summary(runs: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the median and the longest time of the runs of each kind."""
    kinds: dict[tuple[int, Any], list[float]] = {}
    for run in runs:
        kind = run['processes'], run['unreachable']
        seconds = run['seconds']
        kinds.setdefault(kind, []).append(
            float('inf') if seconds is None else seconds,
        )
    return [
        {
            'processes': size,
            'unreachable': unreachable,
            'runs': len(seconds),
            'median_s': statistics.median(seconds),
            'longest_s': max(seconds),
        }
        for (size, unreachable), seconds in kinds.items()
    ]


def _group(seed: int, size: int) -> _Group:
    generator = random.Random(seed)
    base = filled(_OBJECTS)
    members = [stores.Store() for _ in range(size)]
    for store in members:
        store.install(base.current(), base.digest_at(_OBJECTS - 1))
    due = [(generator.uniform(0, 1), number) for number in range(size)]
    heapq.heapify(due)
    return _Group(generator, members, due)
