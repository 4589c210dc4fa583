"""Tests of the start, the failure and the end of the process's work."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import gateway_makers as make
import pytest

from yuccarouter import lifecycle
from yuccarouter.gateway import daemon, ports


def never(*_: Any) -> Any:
    raise AssertionError('not called')


def made() -> daemon.Daemon:
    platform = ports.Platform(
        topics=ports.Topics('orders', 'endpoints', 'state'),
        **{
            field.name: never
            for field in attrs.fields(ports.Platform)
            if field.name != 'topics'
        },
    )
    return daemon.Daemon(make.conf(), platform, never)


async def endless() -> None:
    await asyncio.Event().wait()


async def finished() -> None:
    """End at once, as a piece of work does that has nothing more to do."""


async def failing() -> None:
    raise RuntimeError('out of order')


async def test_failed_work_ends_the_process() -> None:
    """Guards against a daemon that goes on without one of its parts."""
    role = made()
    for work in (endless, finished, failing):
        role.run(work)
    async with asyncio.timeout(5):
        await role.wait_until_stopped()
    assert isinstance(role.crash_reason, RuntimeError)
    await role.stop()


async def test_finished_work_does_not_end_the_process() -> None:
    """Guards against an end when a daemon has announced itself."""
    role = made()
    for work in (endless, finished):
        role.run(work)
    waiting = asyncio.create_task(role.wait_until_stopped())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert not waiting.done()
    waiting.cancel()
    await role.stop()


@attrs.define
class Role:
    """Records what is done to it."""

    fault: Exception | None = None
    crash_reason: BaseException | None = None
    done: list[str] = attrs.field(factory=list)
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def start(self) -> None:
        self.done.append('start')
        if self.fault is not None:
            raise self.fault

    async def wait_until_stopped(self) -> None:
        await self.ended.wait()

    async def drain(self) -> None:
        self.done.append('drain')

    async def stop(self) -> None:
        self.done.append('stop')


@pytest.mark.parametrize(
    ('pattern', 'fields', 'stops', 'done', 'status'),
    [
        ('told to stop', {}, True, ['start', 'drain', 'stop'], 0),
        ('address in use', {'fault': OSError()}, False, ['start', 'stop'], 1),
        ('failed', {'crash_reason': KeyError()}, False, ['start'], 1),
    ],
)
async def test_run_role(
    pattern: str,
    fields: dict[str, Any],
    stops: bool,
    done: list[str],
    status: int,
) -> None:
    """Guards against an exit status of 0 after a failure, and lost answers."""
    role = Role(**fields)
    stop = asyncio.Event()
    if stops:
        stop.set()
    else:
        role.ended.set()
    assert await lifecycle.run_role(role, stop) == status, pattern
    assert role.done == done
