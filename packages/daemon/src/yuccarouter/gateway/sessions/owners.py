"""Selects the daemons that know the version of a session."""

from __future__ import annotations

import functools
import heapq
from typing import Final

import attrs
import xxhash

# The second owner answers if the first one is lost.
_OWNERS: Final = 2
# Enough for the selected sessions in progress. Each is looked up several times
# in a request.
_CACHED_SELECTIONS: Final = 2048


@attrs.define
class DaemonList:
    """The daemons that share sessions, and since when they are the same.

    The first list counts from the start of the process.
    """

    since_ms: float = 0
    _names: tuple[str, ...] | None = None

    def observe(self, names: tuple[str, ...], now_ms: float) -> None:
        """Compare the list with the one that was observed before."""
        if self._names is not None and names != self._names:
            self.since_ms = now_ms
        self._names = names


@functools.lru_cache(maxsize=_CACHED_SELECTIONS)
def owners(key: str, daemons: tuple[str, ...]) -> tuple[str, ...]:
    """Return the owners of a session among ``daemons``, at most two.

    Rendezvous hashing ranks the daemons, so that all agree. If one joins or
    leaves, at most one owner of a session changes: the other one still knows
    the session.
    """

    def rank(daemon: str) -> int:
        return xxhash.xxh3_64_intdigest(f'{key}/{daemon}'.encode())

    return tuple(heapq.nsmallest(_OWNERS, daemons, key=rank))
