"""Index of routable endpoints by pool, version and data centre."""

from __future__ import annotations

from collections.abc import Collection
from typing import TypeVar

import attrs

from yuccarouter.routing import _members

_Key = TypeVar('_Key')


@attrs.frozen
class Place:
    """Where an endpoint is in the index."""

    endpoint: str
    data_centre: str
    pool: str
    versions: tuple[str, ...]
    prefixes: frozenset[int]


class Index:
    """Endpoints by (pool, version), then data centre, and by cached prefix."""

    def __init__(self) -> None:
        self._groups: dict[tuple[str, str], dict[str, _members.Members]] = {}
        self._holders: dict[tuple[str, int], _members.Members] = {}

    def add(self, place: Place) -> None:
        """Add an endpoint; adding it again has no effect."""
        for version in place.versions:
            parts = self._groups.setdefault((place.pool, version), {})
            members = parts.setdefault(place.data_centre, _members.Members())
            members.add(place.endpoint)
        for prefix in place.prefixes:
            self._hold(place, prefix)

    def discard(self, place: Place) -> None:
        """Remove an endpoint, and every group that it leaves empty."""
        for version in place.versions:
            group = (place.pool, version)
            parts = self._groups.get(group, {})
            _drop(parts, place.data_centre, place.endpoint)
            if not parts:
                self._groups.pop(group, None)
        for prefix in place.prefixes:
            _drop(self._holders, (place.pool, prefix), place.endpoint)

    def replace(self, old: Place, new: Place) -> None:
        """Change an endpoint's place; most reports change prefixes only."""
        is_same = (old.pool, old.data_centre) == (new.pool, new.data_centre)
        if not is_same or old.versions != new.versions:
            self.discard(old)
            self.add(new)
            return
        for gone in old.prefixes - new.prefixes:
            _drop(self._holders, (old.pool, gone), old.endpoint)
        for prefix in new.prefixes - old.prefixes:
            self._hold(new, prefix)

    def data_centres(self, group: tuple[str, str]) -> list[str]:
        """Return the data centres in which a group has endpoints."""
        return list(self._groups.get(group, ()))

    def contains(
        self, group: tuple[str, str], data_centre: str, endpoint: str
    ) -> bool:
        """Return whether an endpoint is in a group."""
        return endpoint in self._groups.get(group, {}).get(data_centre, ())

    def sample(
        self,
        group: tuple[str, str],
        data_centres: Collection[str],
        count: int,
        rng: _members.Rng,
    ) -> list[str]:
        """Return up to ``count`` distinct random endpoints, in O(count)."""
        held = self._groups.get(group, {})
        parts = [held[name] for name in data_centres if name in held]
        total = sum(map(len, parts))
        indexes = _members.sample_indexes(total, count, rng)
        return [_at(parts, index) for index in indexes]

    def holder(self, pool: str, prefix: int, rng: _members.Rng) -> str:
        """Return a random endpoint whose cache holds a prefix, or ``''``."""
        holders = self._holders.get((pool, prefix))
        if not holders:
            return ''
        return holders[int(rng() * len(holders))]

    def _hold(self, place: Place, prefix: int) -> None:
        key = (place.pool, prefix)
        holders = self._holders.setdefault(key, _members.Members())
        holders.add(place.endpoint)


def _at(parts: list[_members.Members], index: int) -> str:
    place = index
    for members in parts:
        if place < len(members):
            return members[place]
        place -= len(members)
    raise IndexError(index)


def _drop(table: dict[_Key, _members.Members], key: _Key, name: str) -> None:
    members = table.get(key)
    if members is None:
        return
    members.discard(name)
    if not members:
        table.pop(key)
