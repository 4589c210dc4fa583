"""Property tests of max-min fair allocation."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies as st

from yuccarouter.gateway.shares import max_min

NAMES = st.sampled_from([f'o{number}' for number in range(24)])
DEMANDS = st.dictionaries(NAMES, st.floats(0, 1e6), min_size=1)
WEIGHTS = st.dictionaries(NAMES, st.floats(1e-3, 1e3))
CAPACITIES = st.floats(0, 1e7)


@hypothesis.given(DEMANDS, WEIGHTS, CAPACITIES)
def test_bounds(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> None:
    """Guards against shares beyond the capacity or the demand.

    Also guards against capacity left unused while somebody asks for it, and
    against a cut of an organisation within its weighted equal share.
    """
    allocated = max_min.allocate(demands, weights, capacity)
    total = sum(weights.get(name, 1) for name in demands)
    slack = 1e-6 * (1 + capacity)
    assert allocated.keys() == demands.keys()
    assert sum(allocated.values()) <= capacity + slack
    assert sum(allocated.values()) >= (
        min(capacity, sum(demands.values())) - slack
    )
    for name, demand in demands.items():
        assert 0 <= allocated[name] <= demand
        equal_share = capacity * weights.get(name, 1) / total
        assert allocated[name] >= min(demand, equal_share) - slack


@hypothesis.given(DEMANDS, WEIGHTS, CAPACITIES, st.randoms())
def test_order_of_demands(
    demands: dict[str, float],
    weights: dict[str, float],
    capacity: float,
    rng: object,
) -> None:
    """Guards against shares that differ between daemons with equal figures."""
    items = list(demands.items())
    rng.shuffle(items)  # type: ignore[attr-defined]
    expected = max_min.allocate(demands, weights, capacity)
    assert max_min.allocate(dict(items), weights, capacity) == expected


@pytest.mark.parametrize(
    ('demands', 'weights', 'capacity', 'expected'),
    [
        ({}, {}, 10, {}),
        ({'a': 6, 'b': 1}, {}, 4, {'a': 3, 'b': 1}),
        ({'a': 6, 'b': 6}, {'a': 2}, 6, {'a': 4, 'b': 2}),
        ({'a': 1, 'b': 6, 'c': 6}, {'a': 2}, 7, {'a': 1, 'b': 3, 'c': 3}),
        ({'a': 6, 'b': -1}, {}, 4, {'a': 4, 'b': 0}),
        ({'a': 6}, {}, -1, {'a': 0}),
    ],
)
def test_table(
    demands: dict[str, float],
    weights: dict[str, float],
    capacity: float,
    expected: dict[str, float],
) -> None:
    """Guards against weights that are ignored, and negative figures."""
    assert max_min.allocate(demands, weights, capacity) == expected
