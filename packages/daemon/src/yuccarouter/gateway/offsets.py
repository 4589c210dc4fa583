"""Offsets of a store's records that only grow, also across its restores.

A store that is restored from an older copy gives out the numbers of the lost
records again. Each restore starts another generation, and an offset holds the
generation and the number of the record in it:

    offsets.encode(1, 900) < offsets.encode(2, 3)
"""

from __future__ import annotations

from typing import Final

_NUMBER_BITS: Final = 40
# The largest number of a record in a generation.
MAX_NUMBER: Final = (1 << _NUMBER_BITS) - 1


def encode(generation: int, number: int) -> int:
    """Return the offset of a record's number in a generation."""
    return (generation << _NUMBER_BITS) + number


def generation(offset: int) -> int:
    """Return the generation of an offset, -1 for one before all records."""
    return offset >> _NUMBER_BITS


def number(offset: int) -> int:
    """Return the number that the store knows an offset by."""
    return offset & MAX_NUMBER
