"""Weighted max-min fair allocation of a capacity."""

from __future__ import annotations

import itertools
from collections.abc import Mapping


def allocate(
    demands: Mapping[str, float],
    weights: Mapping[str, float],
    capacity: float,
) -> dict[str, float]:
    """Return what each name gets of ``capacity`` by progressive filling.

    Nobody gets more than their demand. What one leaves unused is divided among
    the others in proportion to their weights, 1.0 where ``weights`` has none.
    Demands and capacity have the same unit. The result doesn't depend on the
    order of ``demands``, so that all daemons compute the same.
    """
    wanted = {name: max(0, demand) for name, demand in demands.items()}
    ranked = sorted(
        wanted, key=lambda name: (wanted[name] / weights.get(name, 1), name)
    )
    # Summed from the end: differences of sums lose small weights.
    weights_left = itertools.accumulate(
        weights.get(name, 1) for name in reversed(ranked)
    )
    remaining = max(0, capacity)
    allocated: dict[str, float] = {}
    for name, weight_left in zip(
        ranked, reversed(list(weights_left)), strict=True
    ):
        part = weights.get(name, 1) / weight_left
        allocated[name] = min(wanted[name], remaining * part)
        remaining = max(0, remaining - allocated[name])
    return allocated
