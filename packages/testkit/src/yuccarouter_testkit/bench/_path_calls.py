"""Calls of the path benchmark, their times and the CPU time they take."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import time
from typing import Final

import aiohttp
import attrs
import orjson

from yuccarouter_testkit.demo import deployments

_MODEL: Final = 'record@1'
_ORGANISATION: Final = 'malabar-cold'
_MS_PER_S: Final = 1000
_PERCENT: Final = 100
# Places of utime and stime after the name in /proc/<pid>/stat, see proc(5).
_USER_TICKS: Final = 11
_SYSTEM_TICKS: Final = 12


class BadAnswerError(Exception):
    """A call got something else than its complete answer."""


@attrs.frozen
class Form:
    """What the calls of one measurement ask for."""

    name: str
    tokens: int
    is_stream: bool = False
    interval_ms: int = 0

    @property
    def body(self) -> bytes:
        """The body of a request."""
        return orjson.dumps(
            {
                'model': _MODEL,
                'messages': [{'role': 'user', 'content': 'Label of R-290?'}],
                'max_tokens': self.tokens,
                'stream': self.is_stream,
                'metadata': {'interval_ms': str(self.interval_ms)},
            }
        )


@attrs.frozen
class Way:
    """One way to the endpoint; ``pids`` are the processes on it."""

    name: str
    url: str
    pids: tuple[int, ...] = ()

    def cpu_s(self) -> float:
        """Return the CPU time that the processes have used so far."""
        return sum(_cpu_s(pid) for pid in self.pids)


@attrs.frozen
class Times:
    """Times of one call in ms, to its first bytes and to its end."""

    first_ms: float
    whole_ms: float


async def call(session: aiohttp.ClientSession, way: Way, form: Form) -> Times:
    """Make one call and return its times.

    Raises ``BadAnswerError``, so that an early refusal never counts as fast.
    """
    key = deployments.organisation_key(_ORGANISATION)
    started_s = time.perf_counter()
    first_s: float = 0
    received = bytearray()
    async with session.post(
        f'{way.url}/v1/chat/completions',
        data=form.body,
        headers={
            'Authorization': f'Bearer {key}',
            'Content-Type': 'application/json',
        },
    ) as response:
        status = response.status
        async for part in response.content.iter_any():
            first_s = first_s or time.perf_counter()
            received += part
    ended_s = time.perf_counter()
    check(status, bytes(received), form)
    return Times(
        (first_s - started_s) * _MS_PER_S, (ended_s - started_s) * _MS_PER_S
    )


async def in_turn(
    session: aiohttp.ClientSession,
    ways: list[Way],
    form: Form,
    count: int,
    interval_s: float,
    rng: random.Random,
) -> dict[str, list[Times]]:
    """Call the ways in random order, one call at a time and a fixed rate."""
    times: dict[str, list[Times]] = {way.name: [] for way in ways}
    due_s = time.perf_counter()
    for _ in range(count):
        for way in rng.sample(ways, len(ways)):
            due_s += interval_s
            await asyncio.sleep(due_s - time.perf_counter())
            times[way.name].append(await call(session, way, form))
    return times


async def cpu_of(
    session: aiohttp.ClientSession,
    way: Way,
    form: Form,
    count: int,
    callers: int,
) -> float:
    """Return the CPU seconds of ``count`` calls in a closed loop."""
    left = iter(range(count))

    async def caller() -> None:
        for _ in left:
            await call(session, way, form)

    before_s = way.cpu_s()
    await asyncio.gather(*(caller() for _ in range(callers)))
    return way.cpu_s() - before_s


def percentile(times_ms: list[float], share: float) -> float:
    """Return the value that ``share`` of the times don't exceed."""
    ordered = sorted(times_ms)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def check(status: int, body: bytes, form: Form) -> None:
    """Raise ``BadAnswerError`` unless an answer is complete."""
    tokens = body.count(b'token ')
    is_ended = b'[DONE]' in body or not form.is_stream
    if status != 200 or tokens != form.tokens or not is_ended:
        raise BadAnswerError(f'{form.name}: {status} {body[:_PERCENT]!r}')


def _cpu_s(pid: int) -> float:
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / os.sysconf('SC_CLK_TCK')
