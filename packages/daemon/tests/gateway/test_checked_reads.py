"""Tests of reads that wait for records while others check them."""

from __future__ import annotations

import asyncio
import math

import attrs
import gateway_makers as make
import pytest

from yuccarouter.gateway import checked_reads, ports
from yuccarouter_common.platform import errors
from yuccarouter_testkit import virtual_time

EMPTY = ports.Page((), 1)
FOUND = ports.Page((make.entry('a', offset=1),), 2)
ABSENT = errors.UnavailableError('absent')
CHECK_INTERVAL_S = 1.0
WAIT_S = 8.0


@attrs.frozen
class Answer:
    """What a call gets, and how long after it begins."""

    outcome: ports.Page | errors.PlatformError
    after_s: float


NEVER = Answer(ABSENT, WAIT_S + 1.5)
AT_END = Answer(EMPTY, WAIT_S)
NOTHING = Answer(EMPTY, 0.01)


@attrs.define
class Calls:
    """Calls of one read that waits, and of its checks."""

    waiting: Answer
    checks: list[Answer]
    begun: int = 0
    ended: int = 0
    checked_s: float = 0
    confirmed: int = 0
    has_checks: bool = True

    async def begin_read(self, wait_ms: int) -> ports.Page:
        self.begun += 1
        answer = self.checks.pop(0) if wait_ms == 0 else self.waiting
        try:
            await asyncio.sleep(answer.after_s)
        finally:
            self.ended += 1
        if isinstance(answer.outcome, errors.PlatformError):
            raise answer.outcome
        return answer.outcome

    def check_delay_ms(self) -> float:
        if not self.has_checks:
            return math.inf
        now_s = asyncio.get_running_loop().time()
        return 1000 * (self.checked_s + CHECK_INTERVAL_S - now_s)

    def note_check(self) -> None:
        self.confirmed += 1
        self.checked_s = asyncio.get_running_loop().time()

    async def read(self) -> tuple[ports.Page, bool]:
        return await checked_reads.read(
            self.begin_read,
            int(WAIT_S * 1000),
            self.check_delay_ms,
            self.note_check,
        )


def run(calls: Calls) -> tuple[object, float]:
    """Return the outcome of a read and the virtual time that it took."""
    loop = virtual_time.VirtualTimeLoop()
    try:
        outcome: object = loop.run_until_complete(calls.read())
    except errors.PlatformError as fault:
        outcome = fault
    took_s = loop.time()
    loop.close()
    return outcome, took_s


@pytest.mark.parametrize(
    ('waiting', 'checks', 'outcome', 'took_s', 'confirmed'),
    [
        # Lost records are found by the next check.
        (NEVER, [Answer(FOUND, 0.01)], (FOUND, True), 1, 0),
        (NEVER, [NOTHING, Answer(FOUND, 0.01)], (FOUND, True), 2, 1),
        # The store is silent, or refuses calls.
        (NEVER, [NOTHING, Answer(ABSENT, 1.5)], ABSENT, 3.5, 1),
        (NEVER, [Answer(ABSENT, 0.01)], ABSENT, 1, 0),
        # The read ends before a check, within one, and at its end.
        (Answer(FOUND, 0.5), [], (FOUND, False), 0.5, 0),
        (Answer(FOUND, 1.2), [Answer(ABSENT, 1.5)], (FOUND, False), 1.2, 0),
        (Answer(ABSENT, 0.5), [], ABSENT, 0.5, 0),
        (Answer(ABSENT, 1.2), [Answer(ABSENT, 1.5)], ABSENT, 1.2, 0),
        (AT_END, [NOTHING] * 7, (EMPTY, False), 8, 7),
    ],
)
def test_read(
    waiting: Answer,
    checks: list[Answer],
    outcome: object,
    took_s: float,
    confirmed: int,
) -> None:
    """Guards against a read that is relied on though nothing answers it.

    No call stays open after the read, and a check without an answer does not
    confirm that there are no records.
    """
    calls = Calls(waiting, list(checks))
    returned, measured_s = run(calls)
    assert returned == outcome
    assert measured_s == pytest.approx(took_s, abs=0.2)
    assert calls.begun == calls.ended == 1 + len(checks) - len(calls.checks)
    assert calls.confirmed == confirmed


def test_without_checks() -> None:
    """Guards against calls that nobody asked for."""
    calls = Calls(AT_END, [], has_checks=False)
    assert run(calls)[0] == (EMPTY, False)
    assert calls.begun == 1


@pytest.mark.parametrize('after_s', [0.5, 1.05])
def test_cancelled_read(after_s: float) -> None:
    """Guards against calls to the store that outlive their reader."""
    calls = Calls(NEVER, [Answer(ABSENT, 1.5)] * 2)

    async def scenario() -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(after_s):
                await calls.read()

    loop = virtual_time.VirtualTimeLoop()
    loop.run_until_complete(scenario())
    loop.close()
    assert calls.begun == calls.ended
