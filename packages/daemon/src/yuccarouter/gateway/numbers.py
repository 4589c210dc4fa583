"""Validates numbers in the records and messages of other processes."""

from __future__ import annotations

import reprlib
from typing import Final

# Not all JSON parsers keep larger integers, and larger ones than 64 bits can't
# be serialised. Sums and products of a few numbers within it are finite.
MAX_NUMBER: Final = 2**53


def number(value: object, most: float = MAX_NUMBER) -> float:
    """Return a number from 0 to ``most``; raises ``ValueError``."""
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        if 0 <= value <= most:
            return value
    raise ValueError(f'not a number from 0 to {most}: {reprlib.repr(value)}')


def integer(value: object, most: int = MAX_NUMBER) -> int:
    """Return an integer from 0 to ``most``; raises ``ValueError``.

    A float that is a whole number counts as an integer.
    """
    checked = number(value, most)
    if checked != int(checked):
        raise ValueError(f'not an integer: {reprlib.repr(value)}')
    return int(checked)
