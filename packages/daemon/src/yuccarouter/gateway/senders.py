"""Selects the daemons that may send to an endpoint with a rate limit."""

from __future__ import annotations

import functools
from typing import Final

import xxhash

# Enough for the endpoints that are limited at the same time.
_CACHED_SELECTIONS: Final = 2048


@functools.lru_cache(maxsize=_CACHED_SELECTIONS)
def is_sender(
    endpoint: str, daemon: str, other_daemons: tuple[str, ...], senders: int
) -> bool:
    """Return whether ``daemon`` is one of the ``senders`` to ``endpoint``.

    Rendezvous hashing ranks the daemons, so that all agree and different
    endpoints have different senders.
    """
    own_rank = _rank(endpoint, daemon)
    ranked_before = sum(
        _rank(endpoint, other) < own_rank for other in other_daemons
    )
    return ranked_before < senders


def _rank(endpoint: str, daemon: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{endpoint}/{daemon}'.encode())
