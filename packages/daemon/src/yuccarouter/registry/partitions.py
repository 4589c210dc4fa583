"""Mapping of keys to partitions and of partitions to agents."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash

# With the writer's minimum interval this bounds the registry's appends to 320
# a second for the fleet, below the several hundred that the log takes.
PARTITIONS: Final = 32


def partition_of(key: str, count: int = PARTITIONS) -> int:
    """Return the partition of a key, the same in every process."""
    return xxhash.xxh3_64_intdigest(key.encode()) % count


def stream_of(partition: int) -> str:
    """Return the name of a partition's stream."""
    return f'registry-{partition:02d}'


def preferred_agents(partition: int, agents: Iterable[str]) -> list[str]:
    """Return live agents by preference for a partition, best first.

    Rendezvous hashing: a change of one agent moves only its partitions. Two
    entries with different views of the live agents may use two owners, which
    costs appends but does not change who wins.
    """
    return sorted(
        agents,
        key=lambda agent: (-_weight(partition, agent), agent),
    )


def _weight(partition: int, agent: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{partition}/{agent}'.encode())
