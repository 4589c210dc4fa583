"""Index of routable endpoints by pool, version and data centre."""

from __future__ import annotations

from collections.abc import Collection
from typing import TypeVar

import attrs

from yuccarouter.routing import _members

_Key = TypeVar('_Key')


@attrs.frozen
class Keys:
    """Keys under which an endpoint is indexed."""

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

    def add(self, keys: Keys) -> None:
        """Add an endpoint; adding it again has no effect."""
        for version in keys.versions:
            by_data_centre = self._groups.setdefault((keys.pool, version), {})
            members = by_data_centre.setdefault(
                keys.data_centre, _members.Members()
            )
            members.add(keys.endpoint)
        for prefix in keys.prefixes:
            self._add_prefix(keys, prefix)

    def discard(self, keys: Keys) -> None:
        """Remove an endpoint, and every group that is empty then."""
        for version in keys.versions:
            group = (keys.pool, version)
            by_data_centre = self._groups.get(group, {})
            _discard_member(by_data_centre, keys.data_centre, keys.endpoint)
            if not by_data_centre:
                self._groups.pop(group, None)
        for prefix in keys.prefixes:
            _discard_member(self._holders, (keys.pool, prefix), keys.endpoint)

    def replace(self, old: Keys, new: Keys) -> None:
        """Change an endpoint's keys; most reports change only prefixes."""
        is_same = (old.pool, old.data_centre) == (new.pool, new.data_centre)
        if not is_same or old.versions != new.versions:
            self.discard(old)
            self.add(new)
            return
        for removed in old.prefixes - new.prefixes:
            _discard_member(self._holders, (old.pool, removed), old.endpoint)
        for prefix in new.prefixes - old.prefixes:
            self._add_prefix(new, prefix)

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
        by_data_centre = self._groups.get(group, {})
        member_sets = [
            by_data_centre[name]
            for name in data_centres
            if name in by_data_centre
        ]
        total = sum(map(len, member_sets))
        indexes = _members.sample_indexes(total, count, rng)
        return [_member_at(member_sets, index) for index in indexes]

    def holder(self, pool: str, prefix: int, rng: _members.Rng) -> str:
        """Return a random endpoint whose cache holds a prefix, or ``''``."""
        holders = self._holders.get((pool, prefix))
        if not holders:
            return ''
        return holders[int(rng() * len(holders))]

    def _add_prefix(self, keys: Keys, prefix: int) -> None:
        key = (keys.pool, prefix)
        holders = self._holders.setdefault(key, _members.Members())
        holders.add(keys.endpoint)


def _member_at(member_sets: list[_members.Members], index: int) -> str:
    remaining = index
    for members in member_sets:
        if remaining < len(members):
            return members[remaining]
        remaining -= len(members)
    raise IndexError(index)


def _discard_member(
    table: dict[_Key, _members.Members], key: _Key, name: str
) -> None:
    members = table.get(key)
    if members is None:
        return
    members.discard(name)
    if not members:
        table.pop(key)
