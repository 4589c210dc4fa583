"""A set of names with constant-time change and access by index."""

from __future__ import annotations

from collections.abc import Callable

Rng = Callable[[], float]


class Members:
    """Names in arbitrary order; a removal moves the last name."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._places: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._places

    def __getitem__(self, place: int) -> str:
        return self._names[place]

    def add(self, name: str) -> None:
        """Add a name; adding a member again has no effect."""
        if name in self._places:
            return
        self._places[name] = len(self._names)
        self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name, where it is a member."""
        place = self._places.pop(name, None)
        if place is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[place] = last
            self._places[last] = place


def sample_indexes(total: int, count: int, rng: Rng) -> list[int]:
    """Return ``count`` distinct indexes below ``total``, in O(count).

    This is Floyd's method; its set is uniform but its order is not. Callers
    that compare scores must not depend on the order.
    """
    chosen: dict[int, None] = {}
    for upper in range(total - min(count, total), total):
        index = int(rng() * (upper + 1))
        chosen[upper if index in chosen else index] = None
    return list(chosen)
