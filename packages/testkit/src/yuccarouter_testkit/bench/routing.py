"""Benchmark of routing decisions; prints a table of figures and targets.

Run it with ``python -m yuccarouter_testkit.bench.routing [SEED]``.
"""

from __future__ import annotations

import sys
from typing import Any, Final

import attrs

from yuccarouter_testkit.bench import (
    _cascade,
    _decisions,
    _first_token,
    _retries,
)

_SEED: Final = 1
_SHAPES: Final = {
    'short': _first_token.Shape(service_ms=400, limit=8),
    'long': _first_token.Shape(service_ms=4000, limit=16),
    'mixed': _first_token.Shape(service_ms=4000, limit=16, slow=8),
}


@attrs.frozen
class Target:
    """A bound of the design page for one figure."""

    group: str
    figure: str
    bound: float
    at_least: bool = False

    def is_met(self, figures: dict[str, Any]) -> bool:
        """Return whether the figure of a run is within the bound."""
        measured: float = figures[self.group][self.figure]
        return (
            measured >= self.bound if self.at_least else measured <= self.bound
        )


# From the design page, section 1; never from measured figures.
TARGETS: Final = (
    Target('decision', 'ratio', 1.5),
    Target('decision', 'decision_810_us', 200),
    *(Target(f'first_token_{name}', 'ratio', 0.6) for name in _SHAPES),
    Target('cascade_good', 'cascade_cost', 0.5),
    *(
        Target(
            f'cascade_{ratings.name}', 'cascade_quality', 0.98, at_least=True
        )
        for ratings in _cascade.RATINGS
    ),
    Target('retries', 'router_load', 1.1),
)


def run(seed: int) -> dict[str, Any]:
    """Return the figures by group and the targets that are missed."""
    figures: dict[str, Any] = {
        'decision': _decisions.run(seed),
        'retries': _retries.run(seed),
    }
    for name, shape in _SHAPES.items():
        figures[f'first_token_{name}'] = _first_token.run(seed, shape)
    for ratings in _cascade.RATINGS:
        figures[f'cascade_{ratings.name}'] = _cascade.run(seed, ratings)
    missed = [
        f'{target.group}.{target.figure}'
        for target in TARGETS
        if not target.is_met(figures)
    ]
    return {**figures, 'missed': missed}


def table(figures: dict[str, Any]) -> str:
    """Return the figures with their targets, one a line."""
    bounds = {
        (target.group, target.figure): (
            f'{"at least" if target.at_least else "at most"} {target.bound:g}'
        )
        for target in TARGETS
    }
    lines = [
        f'{group:20} {name:24} {amount:12.3f}  {bounds.get((group, name), "")}'
        for group, row in figures.items()
        if group != 'missed'
        for name, amount in row.items()
    ]
    missed = ', '.join(figures['missed']) or 'none'
    return '\n'.join((*lines, f'targets missed: {missed}'))


def main(arguments: list[str]) -> int:
    """Print the table; the exit status is 1 when a target is missed."""
    figures = run(int(arguments[0]) if arguments else _SEED)
    sys.stdout.write(f'{table(figures)}\n')
    return 1 if figures['missed'] else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
