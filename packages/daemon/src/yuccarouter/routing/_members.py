"""A set of names with constant-time change and access by index."""

from __future__ import annotations

from collections.abc import Callable

# Returns a random number that is at least 0 and below 1.
Rng = Callable[[], float]


class Members:
    """Names in arbitrary order; a removal moves the last name."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._indexes: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._indexes

    def __getitem__(self, index: int) -> str:
        return self._names[index]

    def add(self, name: str) -> None:
        """Add a name; adding a member again has no effect."""
        if name in self._indexes:
            return
        self._indexes[name] = len(self._names)
        self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name, if it is a member."""
        index = self._indexes.pop(name, None)
        if index is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[index] = last
            self._indexes[last] = index


def sample_indexes(total: int, count: int, rng: Rng) -> list[int]:
    """Return ``count`` distinct indexes below ``total``, in O(count).

    Floyd's algorithm: the set is uniformly random but its order is not.
    Callers that compare scores must not depend on the order.
    """
    chosen: dict[int, None] = {}
    for upper in range(total - min(count, total), total):
        index = int(rng() * (upper + 1))
        chosen[upper if index in chosen else index] = None
    return list(chosen)
