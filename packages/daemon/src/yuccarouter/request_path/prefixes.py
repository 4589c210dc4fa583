"""Hashes of prompt prefixes, by which a cached prefix is found."""

from __future__ import annotations

from typing import Final

import xxhash

# Engines cache in blocks; a few lengths tell a shared system prompt from a
# conversation's history.
_PREFIX_CHARS: Final = (4096, 1024, 256)


def of_prompt(prompt: str) -> tuple[int, ...]:
    """Return the hashes of the prompt's prefixes, longest first."""
    return tuple(
        xxhash.xxh3_64_intdigest(prompt[:length].encode())
        for length in _PREFIX_CHARS
        if len(prompt) >= length
    )
