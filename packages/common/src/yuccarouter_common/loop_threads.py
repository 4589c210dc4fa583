"""Event loops in threads of their own, beside the one that serves callers."""

from __future__ import annotations

import asyncio
import collections
import functools
import sys
import threading
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


# A thread that waits for the interpreter gets it after this time. With the
# default of 5 ms, a call of seven turns takes 35 ms of processor time, which is
# a fifth of a second where a process has a sixth of a core.
_SWITCH_INTERVAL_S: Final = 0.0005


def call_now(function: Callable[..., object], *arguments: Any) -> None:
    """Call a function of the same event loop."""
    function(*arguments)


class Handover:
    """Lets the functions of a thread be called in order by an event loop.

    ``schedule`` calls a function in that loop. What is added before its next
    turn is called in one. A function that fails ends ``run`` with its error.
    """

    def __init__(self, schedule: Callable[..., object]) -> None:
        self._schedule = schedule
        self._waiting: collections.deque[Callable[[], object]] = (
            collections.deque()
        )
        self._is_scheduled = False
        self._has_failed = asyncio.Event()
        self._fault: Exception | None = None

    async def run(self) -> None:
        """Wait until a function fails, and raise its error."""
        await self._has_failed.wait()
        if self._fault is not None:
            raise self._fault

    def add(self, function: Callable[..., object], *arguments: Any) -> None:
        """Call a function in the next turn of the loop."""
        self._waiting.append(functools.partial(function, *arguments))
        if not self._is_scheduled:
            self._is_scheduled = True
            self._schedule(self._call_all)

    def _call_all(self) -> None:
        # What the thread adds from here on may be scheduled once more.
        self._is_scheduled = False
        try:
            while self._waiting:
                self._waiting.popleft()()
        except Exception as fault:
            self._fault = fault
            self._has_failed.set()


class LoopThread:
    """An event loop whose turns don't wait for those of the callers' loop.

    Python code of two threads takes turns within milliseconds, while a turn of
    a busy event loop takes as long as everything that is due in it.

    Example: ``await loop_thread.run(topic.follow)``.
    """

    def __init__(self, name: str) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._run_loop, name=name, daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        sys.setswitchinterval(_SWITCH_INTERVAL_S)
        self._thread.start()

    def schedule(
        self, function: Callable[..., object], *arguments: Any
    ) -> None:
        """Call a function in one of the next turns of this loop."""
        self._loop.call_soon_threadsafe(function, *arguments)

    async def run(self, work: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
        """Run work in the thread and return its result."""
        return await asyncio.wrap_future(
            asyncio.run_coroutine_threadsafe(work(), self._loop)
        )

    async def stop(self) -> None:
        """Cancel what runs in the thread, and end it."""
        if not self._thread.is_alive():
            self._loop.close()
            return
        await self.run(_cancel_others)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run_loop(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        self._loop.close()


async def _cancel_others() -> None:
    """Cancel the other tasks of the running loop, and wait for their end."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
