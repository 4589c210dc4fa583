"""Pauses between calls to a store that fails, which news may end early."""

from __future__ import annotations

import asyncio
import math
from typing import Final

import attrs

_MS_PER_S: Final = 1000
# News of a peer end a pause at most once in this time. A daemon that alone
# can't reach the store hears of it from all others, all the time.
_NEWS_INTERVAL_MS: Final = 5000.0


@attrs.define
class RetryPause:
    """The pause before the next call, if there is one."""

    _sleep: asyncio.Task[None] | None = None
    _news_ms: float = -math.inf

    async def sleep(self, delay_ms: float) -> None:
        """Sleep for the delay, or until the pause is ended."""
        sleep = asyncio.ensure_future(asyncio.sleep(delay_ms / _MS_PER_S))
        self._sleep = sleep
        try:
            await asyncio.wait((sleep,))
        finally:
            sleep.cancel()
            self._sleep = None

    def end(self) -> None:
        """End the pause now, if there is one."""
        if self._sleep is not None:
            self._sleep.cancel()

    def end_on_news(self, now_ms: float) -> None:
        """End the pause, as a peer reads from the store."""
        if self._sleep is None or now_ms - self._news_ms < _NEWS_INTERVAL_MS:
            return
        self._news_ms = now_ms
        self.end()
