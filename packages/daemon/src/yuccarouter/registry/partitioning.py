"""Mapping of keys to partitions and of partitions to agents."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from yuccarouter_common import rendezvous, settings


def partition_of(key: str, count: int = settings.REGISTRY_PARTITIONS) -> int:
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
    return rendezvous.ranked(str(partition), agents, str)
