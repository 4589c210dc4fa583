"""Rates of demand in messages between daemons, and estimates from them.

A message lists the heaviest organisations of a service and the heaviest keys of
an organisation. Of the others it has the number and their sum.
"""

from __future__ import annotations

from typing import Any, Final

import attrs

from yuccarouter.gateway import numbers

# The most names that are listed; further ones are part of the sum.
MAX_LISTED: Final = 8
# The longest name: six hexadecimal digits of a hash.
_MAX_NAME_CHARACTERS: Final = 6
# A service has organisations, and these have keys.
_MAX_DEPTH: Final = 2
# More organisations or keys than a configuration holds.
_MAX_COUNT: Final = 1_000_000


@attrs.frozen
class Figures:
    """The rate of demand of ``count`` names, of which ``parts`` are listed.

    ``ms_per_s`` is the endpoint time that all of them ask for each second.
    """

    ms_per_s: int
    count: int = 1
    parts: dict[str, Figures] = attrs.field(factory=dict)

    @property
    def unlisted_ms_per_s(self) -> int:
        """The rate of the names that are not listed."""
        listed = sum(part.ms_per_s for part in self.parts.values())
        return max(0, self.ms_per_s - listed)


@attrs.frozen
class Estimate:
    """The demand of the whole fleet by name.

    ``others_count`` names that no daemon lists have ``others_ms_per_s``.
    """

    by_name: dict[str, float]
    others_ms_per_s: float = 0
    others_count: int = 0

    @property
    def ms_per_s(self) -> float:
        """The demand of all names."""
        return sum(self.by_name.values()) + self.others_ms_per_s


def encode(figures: Figures) -> Any:
    """Return the fields of a message."""
    if not figures.parts and figures.count == 1:
        return figures.ms_per_s
    parts = {name: encode(part) for name, part in figures.parts.items()}
    return [figures.ms_per_s, figures.count, parts]


def decode(fields: Any, depth: int = 0) -> Figures:
    """Return the figures of a message; raises ``TypeError`` or ``ValueError``.

    Fields that a newer version has appended are ignored.
    """
    if not isinstance(fields, list):
        return Figures(numbers.integer(fields))
    ms_per_s, count, parts, *_ = fields
    if len(parts) > MAX_LISTED or (parts and depth == _MAX_DEPTH):
        raise ValueError('demand with too many parts')
    if any(len(name) > _MAX_NAME_CHARACTERS for name in parts):
        raise ValueError('demand with a long name')
    return Figures(
        numbers.integer(ms_per_s),
        max(len(parts), numbers.integer(count, _MAX_COUNT)),
        {name: decode(part, depth + 1) for name, part in parts.items()},
    )


def estimate(samples: list[tuple[Figures, float]]) -> Estimate:
    """Return the demand by name from the figures of daemons with their scales.

    The unlisted sum of a daemon is divided equally among the names that only
    other daemons list, and names that nobody lists.
    """
    by_name = _listed(samples)
    # Every name gets each daemon's part of an unlisted sum; the names that the
    # daemon lists give it back. This is faster than adding it to the others.
    common: float = 0
    others_ms_per_s: float = 0
    others_count = 0
    for figures, scale in samples:
        missing = len(by_name) - len(figures.parts)
        unknown = max(0, 1 - missing, figures.count - len(by_name))
        each = scale * figures.unlisted_ms_per_s / (missing + unknown)
        common += each
        for name in figures.parts:
            by_name[name] -= each
        if each:
            others_ms_per_s += each * unknown
            others_count = max(others_count, unknown)
    return Estimate(
        {listed: max(0, rate + common) for listed, rate in by_name.items()},
        others_ms_per_s,
        others_count,
    )


def _listed(samples: list[tuple[Figures, float]]) -> dict[str, float]:
    """Return the sums of the listed rates."""
    by_name: dict[str, float] = {}
    for figures, scale in samples:
        for name, part in figures.parts.items():
            by_name[name] = by_name.get(name, 0) + scale * part.ms_per_s
    return by_name
