"""Tests of event loops in threads."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from yuccarouter_common import loop_threads

WAIT_S = 10.0
FUNCTIONS = 500


@pytest_asyncio.fixture
async def thread() -> AsyncIterator[loop_threads.LoopThread]:
    """Yield a running thread, then stop it."""
    running = loop_threads.LoopThread('test')
    running.start()
    yield running
    await running.stop()


async def test_work_beside_a_blocked_loop(
    thread: loop_threads.LoopThread,
) -> None:
    """Guards against work that waits for the loop that has started it."""
    is_done = threading.Event()

    async def work() -> None:
        for _ in range(20):
            await asyncio.sleep(0)
        is_done.set()

    running = asyncio.ensure_future(thread.run(work))
    await asyncio.sleep(0)
    assert is_done.wait(WAIT_S)
    await running


@pytest.mark.parametrize('fault', [RuntimeError, asyncio.CancelledError])
async def test_failed_work(
    thread: loop_threads.LoopThread, fault: type[BaseException]
) -> None:
    """Guards against work that ends in a thread without anyone's notice."""

    async def work() -> None:
        raise fault

    with pytest.raises(fault):
        await thread.run(work)


@pytest.mark.parametrize('is_started', [False, True])
async def test_stop(is_started: bool) -> None:
    """Guards against tasks or threads that outlive their daemon."""
    thread = loop_threads.LoopThread('test')
    ended: list[str] = []

    async def work() -> None:
        try:
            await asyncio.Event().wait()
        finally:
            ended.append('work')

    running = None
    if is_started:
        thread.start()
        running = asyncio.ensure_future(thread.run(work))
        await thread.run(lambda: asyncio.sleep(0))
    await thread.stop()
    if running is not None:
        with pytest.raises(asyncio.CancelledError):
            await running
    assert ended == (['work'] if is_started else [])
    assert 'test' not in {each.name for each in threading.enumerate()}


async def test_handover(thread: loop_threads.LoopThread) -> None:
    """Guards against functions that are lost, or called out of order."""
    called: list[int] = []
    is_last_called = asyncio.Event()
    loop = asyncio.get_running_loop()
    handover = loop_threads.Handover(loop.call_soon_threadsafe)

    async def add_all() -> None:
        for number in range(FUNCTIONS):
            handover.add(called.append, number)
            await asyncio.sleep(0)
        handover.add(is_last_called.set)

    await thread.run(add_all)
    async with asyncio.timeout(WAIT_S):
        await is_last_called.wait()
    assert called == list(range(FUNCTIONS))


async def test_failed_function() -> None:
    """Guards against a record that is lost without anyone's notice.

    The process has to end, as it does when work of its own loop fails.
    """
    called: list[int] = []
    loop = asyncio.get_running_loop()
    handover = loop_threads.Handover(loop.call_soon_threadsafe)
    handover.add(int, 'x')
    handover.add(called.append, 1)
    with pytest.raises(ValueError, match='invalid literal'):
        async with asyncio.timeout(WAIT_S):
            await handover.run()
    assert not called
