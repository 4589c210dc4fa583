"""Hashes of prompt prefixes, by which a cached prefix is found."""

from __future__ import annotations

from typing import Final

import xxhash

# Engines publish hashes of prefixes at multiples of 256 bytes. A few lengths
# tell a shared system prompt from a conversation's history.
_PREFIX_BYTES: Final = (16_384, 4096, 1024, 256)


def of_prompt(prompt: str) -> tuple[int, ...]:
    """Return the hashes of the prompt's prefixes, longest first."""
    encoded = prompt.encode()
    return tuple(
        xxhash.xxh64_intdigest(encoded[:length])
        for length in _PREFIX_BYTES
        if len(encoded) >= length
    )
