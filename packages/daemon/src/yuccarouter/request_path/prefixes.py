"""Hashes of prompt prefixes, for prompt cache affinity."""

from __future__ import annotations

from typing import Final

import xxhash

# Engines publish hashes of prefixes at multiples of 256 bytes. A few lengths
# suffice to distinguish a shared system prompt from a conversation's history.
_PREFIX_BYTES: Final = (16_384, 4096, 1024, 256)


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return the hashes of the prompt's prefixes, longest first."""
    encoded = prompt.encode()
    return tuple(
        xxhash.xxh64_intdigest(encoded[:length])
        for length in _PREFIX_BYTES
        if len(encoded) >= length
    )
