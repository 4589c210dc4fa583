"""Benchmark of routing decisions; prints a table of figures and targets.

Run it with ``python -m yuccarouter_testkit.bench.routing [SEED]``.
"""

from __future__ import annotations

import sys
from typing import Any, Final

from yuccarouter_testkit.bench import (
    _cascade,
    _decisions,
    _first_token,
    _retries,
    targets,
)

_SHAPES: Final = {
    'short': _first_token.Shape(service_ms=400, limit=8),
    'long': _first_token.Shape(service_ms=4000, limit=16),
    'mixed': _first_token.Shape(service_ms=4000, limit=16, slow=8),
}


# From the design page, section 1; never from measured figures.
TARGETS: Final = (
    targets.Target('decision', 'ratio', 1.5),
    targets.Target('decision', 'decision_810_us', 200),
    *(targets.Target(f'first_token_{name}', 'ratio', 0.6) for name in _SHAPES),
    targets.Target('cascade_good', 'cascade_cost', 0.5),
    *(
        targets.Target(
            f'cascade_{ratings.name}', 'cascade_quality', 0.98, at_least=True
        )
        for ratings in _cascade.RATINGS
    ),
    targets.Target('retries', 'router_load', 1.1),
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
    return targets.checked(figures, TARGETS)


if __name__ == '__main__':
    sys.exit(targets.main(run, TARGETS, sys.argv[1:]))
