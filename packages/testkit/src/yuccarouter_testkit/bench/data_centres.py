"""Service while a data centre leaves and returns.

Run it with ``python -m yuccarouter_testkit.bench.data_centres [SEED]``. It
starts two small fleets of processes with the same engines, one behind the
router and one behind a naive client, and sends both the same requests at the
same times. Engines of a data centre that returns are cold.
"""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import sys
import tempfile
from typing import Any, Final

import aiohttp
import attrs
import orjson

from yuccarouter_common import clocks
from yuccarouter_testkit.bench import _data_centre_fleets as fleets
from yuccarouter_testkit.demo import processes

_SEED: Final = 1
# Phases in order, with their lengths. The naive client sees the VM list 6 s
# late, so that the last phase has to be longer than that. In the first, which
# is not compared, limits grow again after the scenario before.
_PHASES_S: Final = {
    'warm_up': 4.0,
    'before': 3.0,
    'leaving': 5.0,
    'out': 4.0,
    'returning': 11.0,
}
_TAKE_OUT_S: Final = _PHASES_S['warm_up'] + _PHASES_S['before']
_RETURN_S: Final = _TAKE_OUT_S + _PHASES_S['leaving'] + _PHASES_S['out']
_END_S: Final = _RETURN_S + _PHASES_S['returning']
# The engines restart, and so turn cold, this long before they return.
_COLD_BEFORE_S: Final = 1.0
_LOG_DOWN_AFTER_S: Final = 0.05
# Work that starts later than this after the order counts as late.
_NO_NEW_WORK_MS: Final = 5000
# Offered load as a share of what the engines of the other data centres carry.
_LOAD: Final = 0.5
_MS: Final = 1000
_TARGETS: Final = ('lost', 'started_late', 'cold_overloads')

Fleet = fleets.RouterFleet | fleets.NaiveFleet


@attrs.frozen
class Scenario:
    """Data centres that leave at once, and whether the log then fails."""

    name: str
    data_centres: tuple[str, ...]
    log_fails: bool = False

    @property
    def rate(self) -> float:
        """Requests a second."""
        remaining = 1 - len(self.data_centres) / len(fleets.CENTRES)
        return _LOAD * remaining * fleets.ENGINES * fleets.ENGINE_PER_S


SCENARIOS: Final = (
    Scenario('one', fleets.CENTRES[:1]),
    Scenario('two_at_once', fleets.CENTRES[:2]),
    Scenario('log_down', fleets.CENTRES[2:], log_fails=True),
)


@attrs.frozen
class Sent:
    """What became of a request that was due at a time of the scenario."""

    due_s: float
    answer: fleets.Answer
    total_ms: float


@attrs.frozen
class _Work:
    """What the engines did; times are those of the wall clock."""

    started_ms: list[int]
    overloads: int


def run(seed: int) -> dict[str, Any]:
    """Return figures of each scenario and the targets that are missed.

    Each scenario has those of ``router`` and of ``naive``: requests by
    outcome and phase with percentiles in ms, ``started_late`` (requests that
    engines of a data centre started later than 5 s after it was taken out,
    while it was out), ``last_start_ms`` after the order,
    ``started_after_return`` (without it the other figures would mean little)
    and ``cold_overloads`` (requests that a cold engine failed). Engines turn
    cold while they are idle, so none of these are due to the moment itself.
    """
    return asyncio.run(_run(seed))


async def _run(seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        started = processes.Processes(pathlib.Path(folder))
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            router = fleets.router_fleet(started, session)
            naive = fleets.NaiveFleet(started, session)
            try:
                await asyncio.gather(router.start(), naive.start())
                figures = await _run_scenarios(router, naive, seed)
            finally:
                naive.stop()
                await started.stop_all()
    return {**figures, 'missed': missed(figures)}


async def _run_scenarios(
    router: fleets.RouterFleet, naive: fleets.NaiveFleet, seed: int
) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    for scenario in SCENARIOS:
        own, other = await asyncio.gather(
            _measure(router, scenario, seed), _measure(naive, scenario, seed)
        )
        figures[scenario.name] = {
            'per_s': scenario.rate,
            'router': own,
            'naive': other,
        }
    return figures


def missed(figures: dict[str, Any]) -> list[str]:
    """Return the router's figures that are not as they must be.

    A data centre that gets no work after its return is not back, and the
    absence of cold overloads then proves nothing.
    """
    found = []
    for scenario in SCENARIOS:
        own = figures[scenario.name]['router']
        names = [name for name in _TARGETS if own[name] != 0]
        if own['started_after_return'] == 0:
            names.append('started_after_return')
        found += [f'{scenario.name}.router.{name}' for name in names]
    return found


async def _measure(
    fleet: Fleet, scenario: Scenario, seed: int
) -> dict[str, Any]:
    # Each scenario starts with warm engines, whatever the one before did.
    for engine in fleet.engines:
        await _fault(fleet, engine.url, cold=False)
    begun_s = asyncio.get_running_loop().time()
    before = await _work(fleet, scenario)
    operating = asyncio.create_task(_operate(fleet, scenario, begun_s))
    sent = await _load(fleet, scenario, seed, begun_s)
    out_ms, back_ms = await operating
    after = await _work(fleet, scenario)
    starts = [
        started_ms - out_ms
        for started_ms in after.started_ms
        if out_ms <= started_ms < back_ms
    ]
    returned = sum(started_ms >= back_ms for started_ms in after.started_ms)
    late = sum(start_ms > _NO_NEW_WORK_MS for start_ms in starts)
    return {
        **_counts(sent),
        'started_late': late,
        'last_start_ms': max(starts, default=0),
        'started_after_return': returned,
        'cold_overloads': after.overloads - before.overloads,
        'reasons': dict(
            collections.Counter(
                f'{one.answer.outcome}: {one.answer.reason}'
                for one in sent
                if one.answer.reason
            )
        ),
        'phases': phases(sent),
    }


async def _operate(
    fleet: Fleet, scenario: Scenario, begun_s: float
) -> tuple[int, int]:
    """Take the data centres out and back; return the times of both orders."""
    await _sleep_until(begun_s + _TAKE_OUT_S)
    out_ms = clocks.wall_ms()
    for data_centre in scenario.data_centres:
        await fleet.order(data_centre, out=True)
    await asyncio.sleep(_LOG_DOWN_AFTER_S)
    if scenario.log_fails:
        await _fail_log(fleet, down=True)
    await _sleep_until(begun_s + _RETURN_S - _COLD_BEFORE_S)
    await _fail_log(fleet, down=False)
    for engine in fleet.engines:
        if engine.data_centre in scenario.data_centres:
            await _fault(fleet, engine.url, cold=True)
    await _sleep_until(begun_s + _RETURN_S)
    back_ms = clocks.wall_ms()
    for data_centre in scenario.data_centres:
        await fleet.order(data_centre, out=False)
    return out_ms, back_ms


async def _fail_log(fleet: Fleet, *, down: bool) -> None:
    # The naive client has no log.
    if isinstance(fleet, fleets.RouterFleet):
        await _fault(fleet, fleet.running.platform['log'], down=down)


async def _fault(fleet: Fleet, url: str, **fields: bool) -> None:
    async with _session(fleet).post(f'{url}/faults', json=fields) as answer:
        answer.raise_for_status()


def _session(fleet: Fleet) -> aiohttp.ClientSession:
    if isinstance(fleet, fleets.RouterFleet):
        return fleet.running.session
    return fleet.session


async def _work(fleet: Fleet, scenario: Scenario) -> _Work:
    started_ms: list[int] = []
    overloads = 0
    for engine in fleet.engines:
        if engine.data_centre not in scenario.data_centres:
            continue
        async with _session(fleet).get(f'{engine.url}/served') as answer:
            shown = await answer.json()
        started_ms += [served['time_ms'] for served in shown['served']]
        overloads += shown['cold_overloads']
    return _Work(started_ms, overloads)


async def _load(
    fleet: Fleet, scenario: Scenario, seed: int, begun_s: float
) -> list[Sent]:
    """Send at the scenario's rate, whatever became of earlier requests."""
    rng = random.Random(f'{seed}/{scenario.name}')
    tasks = []
    due_s = rng.expovariate(scenario.rate)
    while due_s < _END_S:
        await _sleep_until(begun_s + due_s)
        prompt = f'Check label {rng.getrandbits(64):x}.'
        tasks.append(asyncio.create_task(_send(fleet, prompt, due_s, begun_s)))
        due_s += rng.expovariate(scenario.rate)
    return await asyncio.gather(*tasks)


async def _send(
    fleet: Fleet, prompt: str, due_s: float, begun_s: float
) -> Sent:
    answer = await fleet.send(prompt)
    total_s = asyncio.get_running_loop().time() - begun_s - due_s
    return Sent(due_s, answer, total_s * _MS)


async def _sleep_until(at_s: float) -> None:
    await asyncio.sleep(at_s - asyncio.get_running_loop().time())


def phases(sent: list[Sent]) -> dict[str, Any]:
    """Return the figures of the requests that were due in each phase."""
    figures = {}
    from_s = float(0)
    for name, length_s in _PHASES_S.items():
        until_s = from_s + length_s
        chosen = [one for one in sent if from_s <= one.due_s < until_s]
        figures[name] = {
            **_counts(chosen),
            'p50_ms': _percentile_ms(chosen, 50),
            'p99_ms': _percentile_ms(chosen, 99),
        }
        from_s = until_s
    return figures


def _counts(sent: list[Sent]) -> dict[str, int]:
    outcomes = [one.answer.outcome for one in sent]
    return {
        'requests': len(sent),
        'lost': outcomes.count(fleets.Outcome.LOST),
        'refused': outcomes.count(fleets.Outcome.REFUSED),
        'late': sum(
            one.answer.outcome is fleets.Outcome.COMPLETE
            and one.total_ms > fleets.BOUND_MS
            for one in sent
        ),
    }


def _percentile_ms(sent: list[Sent], percent: int) -> float | None:
    """Return a percentile of complete answers; none without any."""
    times_ms = sorted(
        one.total_ms
        for one in sent
        if one.answer.outcome is fleets.Outcome.COMPLETE
    )
    if not times_ms:
        return None
    return round(times_ms[(len(times_ms) - 1) * percent // 100], 1)


def main(arguments: list[str]) -> int:
    """Print the figures; the exit status is 1 when a target is missed."""
    figures = run(int(arguments[0]) if arguments else _SEED)
    shown = orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode()
    sys.stdout.write(f'{shown}\n')
    return 1 if figures['missed'] else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
