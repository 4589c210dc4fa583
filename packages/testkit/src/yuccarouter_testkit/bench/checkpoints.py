"""How often a long stream's progress should be recorded.

Compares ways to go on after a fault over seeded streams: starting again,
checkpoints at the optimal number of "Workrs: Fault Tolerant Horizontal
Computation Offloading" (section IV-E, equation 1), and the entry's own copy of
the text, which is sent along as a prefix. Run it with
``python -m yuccarouter_testkit.bench.checkpoints [SEED]``.
"""

from __future__ import annotations

import math
import random
import sys
from typing import Final

import attrs

_STREAM_S: Final = 60.0
_STREAMS: Final = 20_000
# Waiting for the log's answer, during which no token is passed on.
_CHECKPOINT_S: Final = 0.01
# Prefill of the text so far, at about 10 times the speed of generation.
_PREFILL_FACTOR: Final = 0.1
_LONG_STREAMS_PER_S: Final = 54.0
_DAY_S: Final = 86_400
# 18 failures and 61 restarts a day among 810 workers, and a rate at which one
# stream in six meets a fault.
_RATES: Final = {
    'ordinary day': 79 / 810 / _DAY_S,
    'one stream in six': 0.003,
}


@attrs.frozen
class Case:
    """Mean times and appends of the three ways at one fault rate."""

    faults_per_s: float
    checkpoints: int
    restart_s: float
    checkpointed_s: float
    replayed_s: float
    appends_per_s: float


def optimal_parts(faults_per_s: float, total_s: float, cost_s: float) -> int:
    """Return the number of parts with the least expected time."""
    parts = 1
    while _expected_s(faults_per_s, total_s, cost_s, parts + 1) < _expected_s(
        faults_per_s, total_s, cost_s, parts
    ):
        parts += 1
    return parts


def run(seed: int) -> dict[str, dict[str, float]]:
    """Return the figures of each fault rate."""
    return {
        name: attrs.asdict(_case(rate, seed)) for name, rate in _RATES.items()
    }


def _expected_s(
    faults_per_s: float, total_s: float, cost_s: float, parts: int
) -> float:
    part_s = math.expm1(faults_per_s * total_s / parts) / faults_per_s
    return parts * part_s + (parts - 1) * cost_s


def _case(faults_per_s: float, seed: int) -> Case:
    parts = optimal_parts(faults_per_s, _STREAM_S, _CHECKPOINT_S)
    checkpoints = parts - 1
    return Case(
        faults_per_s=faults_per_s,
        checkpoints=checkpoints,
        restart_s=_mean_s(faults_per_s, 1, seed),
        checkpointed_s=_mean_s(faults_per_s, parts, seed),
        replayed_s=_mean_replayed_s(faults_per_s, seed),
        appends_per_s=checkpoints * _LONG_STREAMS_PER_S,
    )


def _mean_s(faults_per_s: float, parts: int, seed: int) -> float:
    rng = random.Random(seed)
    total_s = sum(
        _part_s(rng, faults_per_s, _STREAM_S / parts)
        for _ in range(_STREAMS * parts)
    )
    return total_s / _STREAMS + (parts - 1) * _CHECKPOINT_S


def _part_s(rng: random.Random, faults_per_s: float, part_s: float) -> float:
    spent_s: float = 0
    while True:
        fault_s = rng.expovariate(faults_per_s)
        if fault_s >= part_s:
            return spent_s + part_s
        spent_s += fault_s


def _mean_replayed_s(faults_per_s: float, seed: int) -> float:
    rng = random.Random(seed)
    total_s = sum(_replayed_s(rng, faults_per_s) for _ in range(_STREAMS))
    return total_s / _STREAMS


def _replayed_s(rng: random.Random, faults_per_s: float) -> float:
    spent_s: float = 0
    done_s: float = 0
    while True:
        fault_s = rng.expovariate(faults_per_s)
        if fault_s >= _STREAM_S - done_s:
            return spent_s + _STREAM_S - done_s
        done_s += fault_s
        spent_s += fault_s + done_s * _PREFILL_FACTOR


def main(arguments: list[str]) -> None:
    """Print the figures."""
    seed = int(arguments[1]) if len(arguments) > 1 else 1
    for name, case in run(seed).items():
        sys.stdout.write(f'{name}\n')
        for field, figure in case.items():
            sys.stdout.write(f'  {field:<16} {figure:.6g}\n')


if __name__ == '__main__':
    main(sys.argv)
