"""Benchmark of the router's own cost on the whole path.

Compares three ways to an endpoint that answers at once, in one run: a direct
call, a plain one-hop pass-through, and a real entry with a real agent. Run it
with ``python -m yuccarouter_testkit.bench.path [SEED]``.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
import tempfile
from typing import Any, Final

import aiohttp
import attrs

from yuccarouter_testkit.bench import _path_calls as calls
from yuccarouter_testkit.bench import targets
from yuccarouter_testkit.demo import deployments, fleet, processes

_DIRECT: Final = 'direct'
_PASS_THROUGH: Final = 'pass_through'
_ROUTER: Final = 'router'

# From the design page, section 1; never from measured figures.
MAX_ADDED_RATIO: Final = 2.5
MIN_PER_CORE_RATIO: Final = 0.4

_JSON: Final = calls.Form('json', tokens=50)
_STREAM: Final = calls.Form('stream', tokens=50, is_stream=True)
# Tokens far enough apart that each one crosses the path alone.
_PACED: Final = calls.Form('paced', tokens=200, is_stream=True, interval_ms=5)
_SHARES: Final = (('p50', 0.5), ('p95', 0.95), ('p99', 0.99))


@attrs.frozen
class Size:
    """How much load a run makes."""

    warm_up: int = 200
    # Calls of each way at the low rate, and the time between two calls.
    timed: int = 400
    interval_s: float = 0.01
    # Rounds of the closed loop; the ways take turns, so that other work on
    # the machine meets them alike.
    rounds: int = 5
    calls_each: int = 400
    callers: int = 8
    paced_each: int = 24


def run(seed: int, size: Size | None = None) -> dict[str, Any]:
    """Return the figures by group and the targets that are missed."""
    return asyncio.run(_run(random.Random(seed), size or Size()))  # noqa: S311


async def _run(rng: random.Random, size: Size) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        started = processes.Processes(pathlib.Path(folder))
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            try:
                ways = await _start(started, session)
                return await _measure(session, ways, rng, size)
            finally:
                await started.stop_all()


async def _start(
    started: processes.Processes, session: aiohttp.ClientSession
) -> list[calls.Way]:
    group = attrs.evolve(
        deployments.THANUPP.groups[0],
        count=1,
        double='instant',
        settings={'versions': ['record@1']},
    )
    running = fleet.Fleet(
        attrs.evolve(deployments.THANUPP, groups=(group,)), started, session
    )
    await running.start(entries=1)
    endpoint = running.endpoints[0]
    port = processes.free_port()
    plain = started.start_double(
        'pass_through', _PASS_THROUGH, port, {'url': endpoint.url}
    )
    plain_url = f'http://127.0.0.1:{port}'
    await processes.wait_ready(session, plain, f'{plain_url}/load')
    names = (f'{deployments.THANUPP.name}-entry-1', f'agent-{endpoint.name}')
    pids = tuple(started.running[name].child.pid for name in names)
    return [
        calls.Way(_DIRECT, endpoint.url),
        calls.Way(_PASS_THROUGH, plain_url, (plain.child.pid,)),
        calls.Way(_ROUTER, running.entries[0], pids),
    ]


async def _measure(
    session: aiohttp.ClientSession,
    ways: list[calls.Way],
    rng: random.Random,
    size: Size,
) -> dict[str, Any]:
    for way in ways:
        for form in (_JSON, _STREAM):
            await calls.cpu_of(session, way, form, size.warm_up, size.callers)
    figures: dict[str, Any] = {}
    for form in (_JSON, _STREAM):
        figures[f'latency_{form.name}'] = await _latency(
            session, ways, form, rng, size
        )
    for form in (_JSON, _STREAM):
        cpu_s = await _cpu(session, ways, form, size.calls_each, size)
        figures[f'per_core_{form.name}'] = _per_core(
            cpu_s, size.calls_each * size.rounds
        )
    cpu_s = await _cpu(session, ways, _PACED, size.paced_each, size)
    figures['paced'] = _per_token(cpu_s, size.paced_each * size.rounds)
    return targets.checked(figures, TARGETS)


async def _latency(
    session: aiohttp.ClientSession,
    ways: list[calls.Way],
    form: calls.Form,
    rng: random.Random,
    size: Size,
) -> dict[str, float]:
    times = await calls.in_turn(
        session, ways, form, size.timed, size.interval_s, rng
    )
    figures = _percentiles(
        'whole',
        {
            name: [one.whole_ms for one in listed]
            for name, listed in times.items()
        },
    )
    if form.is_stream:
        figures |= _percentiles(
            'first',
            {
                name: [one.first_ms for one in listed]
                for name, listed in times.items()
            },
        )
    return figures


def _percentiles(part: str, times: dict[str, list[float]]) -> dict[str, float]:
    """Return percentiles, what each way adds, and the ratio of the added."""
    figures: dict[str, float] = {}
    for label, share in _SHARES:
        base, plain, router = (
            calls.percentile(times[name], share)
            for name in (_DIRECT, _PASS_THROUGH, _ROUTER)
        )
        figures |= {
            f'{part}_{label}_direct_ms': base,
            f'{part}_{label}_pass_through_ms': plain,
            f'{part}_{label}_router_ms': router,
            f'{part}_{label}_added_ms': router - base,
            f'{part}_{label}_added_ratio': (router - base) / (plain - base),
        }
    return figures


async def _cpu(
    session: aiohttp.ClientSession,
    ways: list[calls.Way],
    form: calls.Form,
    calls_each: int,
    size: Size,
) -> dict[str, float]:
    """Return the CPU seconds of the ways with processes of their own."""
    used: dict[str, float] = {way.name: 0 for way in ways if way.pids}
    for _ in range(size.rounds):
        for way in ways:
            if way.pids:
                used[way.name] += await calls.cpu_of(
                    session, way, form, calls_each, size.callers
                )
    return used


def _per_core(cpu_s: dict[str, float], count: int) -> dict[str, float]:
    plain = count / cpu_s[_PASS_THROUGH]
    router = count / cpu_s[_ROUTER]
    return {
        'pass_through_per_cpu_s': plain,
        'router_per_cpu_s': router,
        'ratio': router / plain,
    }


def _per_token(cpu_s: dict[str, float], count: int) -> dict[str, float]:
    tokens = count * _PACED.tokens
    plain_us = cpu_s[_PASS_THROUGH] / tokens * 1e6
    router_us = cpu_s[_ROUTER] / tokens * 1e6
    return {
        'pass_through_us_per_token': plain_us,
        'router_us_per_token': router_us,
        'ratio': router_us / plain_us,
    }


# The page names no percentile; the median is compared, since it is the one
# that other work on the machine moves least.
TARGETS: Final = (
    targets.Target('latency_json', 'whole_p50_added_ratio', MAX_ADDED_RATIO),
    targets.Target('latency_stream', 'first_p50_added_ratio', MAX_ADDED_RATIO),
    targets.Target('latency_stream', 'whole_p50_added_ratio', MAX_ADDED_RATIO),
    targets.Target('per_core_json', 'ratio', MIN_PER_CORE_RATIO, at_least=True),
    targets.Target(
        'per_core_stream', 'ratio', MIN_PER_CORE_RATIO, at_least=True
    ),
)


if __name__ == '__main__':
    sys.exit(targets.main(run, TARGETS, sys.argv[1:]))
