"""Bounds of the design page and the table of a benchmark."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs

_MISSED: Final = 'missed'
_SEED: Final = 1

# Figures by group and name, and under ``missed`` the names of the targets that
# are not met.
Figures = dict[str, Any]


@attrs.frozen
class Target:
    """A bound of the design page for one figure."""

    group: str
    figure: str
    bound: float
    at_least: bool = False

    @property
    def name(self) -> str:
        """Group and figure as tables name them."""
        return f'{self.group}.{self.figure}'

    @property
    def text(self) -> str:
        """The bound as tables show it."""
        word = 'at least' if self.at_least else 'at most'
        return f'{word} {self.bound:g}'

    def is_met(self, figures: Figures) -> bool:
        """Return whether the figure of a run is within the bound."""
        measured: float = figures[self.group][self.figure]
        return (
            measured >= self.bound if self.at_least else measured <= self.bound
        )


def checked(figures: Figures, targets: Sequence[Target]) -> Figures:
    """Return the figures with the names of the targets that are missed."""
    missed = [target.name for target in targets if not target.is_met(figures)]
    return {**figures, _MISSED: missed}


def table(figures: Figures, targets: Sequence[Target]) -> str:
    """Return the figures with their targets, one a line."""
    bounds = {target.name: target.text for target in targets}
    lines = [
        f'{group:20} {name:28} {amount:12.3f}  '
        f'{bounds.get(f"{group}.{name}", "")}'.rstrip()
        for group, row in figures.items()
        if group != _MISSED
        for name, amount in row.items()
    ]
    missed = ', '.join(figures[_MISSED]) or 'none'
    return '\n'.join((*lines, f'targets missed: {missed}'))


def main(
    run: Callable[[int], Figures],
    targets: Sequence[Target],
    arguments: list[str],
) -> int:
    """Print the table; the exit status is 1 when a target is missed."""
    figures = run(int(arguments[0]) if arguments else _SEED)
    sys.stdout.write(f'{table(figures, targets)}\n')
    return 1 if figures[_MISSED] else 0
