"""Tests of supervised tasks and of the process's exit status."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import gateway_makers as make
import pytest

from yuccarouter import lifecycle
from yuccarouter.gateway import daemon, ports


def must_not_be_called(*_: Any) -> Any:
    raise AssertionError('not called')


def make_daemon() -> daemon.Daemon:
    platform = ports.Platform(
        topics=ports.Topics('orders', 'endpoints', 'state'),
        **{
            field.name: must_not_be_called
            for field in attrs.fields(ports.Platform)
            if field.name != 'topics'
        },
    )
    return daemon.Daemon(make.conf(), platform, must_not_be_called)


async def run_forever() -> None:
    await asyncio.Event().wait()


async def end_at_once() -> None:
    """End at once, as a task does that has finished."""


async def fail() -> None:
    raise RuntimeError('out of order')


async def cancel_itself() -> None:
    """End as a task does in which a library leaves a cancellation behind."""
    raise asyncio.CancelledError


@pytest.mark.parametrize(
    ('failing', 'expected'),
    [(fail, RuntimeError), (cancel_itself, daemon.WorkCancelledError)],
)
async def test_failed_work_ends_the_process(
    failing: Callable[[], Coroutine[Any, Any, None]],
    expected: type[Exception],
) -> None:
    """Guards against a daemon that keeps running after a task has failed.

    Without the task that reads the orders, its configuration stays as it is.
    """
    role = make_daemon()
    for work in (run_forever, end_at_once, failing):
        role.run(work)
    async with asyncio.timeout(5):
        await role.wait_until_stopped()
    assert isinstance(role.crash_reason, expected)
    await role.stop()


async def test_finished_work_does_not_end_the_process() -> None:
    """Guards against a process that stops when a task ends normally.

    The task that registers the daemon with its peers ends once it is done.
    """
    role = make_daemon()
    for work in (run_forever, end_at_once):
        role.run(work)
    waiting = asyncio.create_task(role.wait_until_stopped())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert not waiting.done()
    waiting.cancel()
    await role.stop()


@attrs.define
class Role:
    """A role that records the calls of its life cycle."""

    fault: Exception | None = None
    crash_reason: BaseException | None = None
    calls: list[str] = attrs.field(factory=list)
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def start(self) -> None:
        self.calls.append('start')
        if self.fault is not None:
            raise self.fault

    async def wait_until_stopped(self) -> None:
        await self.ended.wait()

    async def drain(self) -> None:
        self.calls.append('drain')

    async def stop(self) -> None:
        self.calls.append('stop')


@pytest.mark.parametrize(
    ('scenario', 'fields', 'stops', 'calls', 'status'),
    [
        ('stopped by a signal', {}, True, ['start', 'drain', 'stop'], 0),
        ('address in use', {'fault': OSError()}, False, ['start', 'stop'], 1),
        ('failed task', {'crash_reason': KeyError()}, False, ['start'], 1),
    ],
)
async def test_run_role(
    scenario: str,
    fields: dict[str, Any],
    stops: bool,
    calls: list[str],
    status: int,
) -> None:
    """Guards against a wrong exit status and against stopping undrained.

    After a failure the status must not be 0. Without a drain, the answers to
    requests in progress are lost.
    """
    role = Role(**fields)
    stop = asyncio.Event()
    if stops:
        stop.set()
    else:
        role.ended.set()
    assert await lifecycle.run_role(role, stop) == status, scenario
    assert role.calls == calls
