"""The requests in progress and the time that a stop leaves to them."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter.gateway import metrics
from yuccarouter_common import clocks, errors

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

_MS_PER_S: Final = 1000
# Part of the grace period after which the remaining requests are answered as
# unfinished. The rest is for those answers and for the end of the process.
_REQUESTS_SHARE_OF_GRACE: Final = 0.92
# Part of the grace period after which the remaining connections are aborted.
_ANSWERS_SHARE_OF_GRACE: Final = 0.96


class GraceEndedError(errors.RouterError):
    """The time that a stop leaves to requests has ended."""

    code = 'grace_ended'


@attrs.define
class Stop:
    """When requests and their answers must have ended, on the monotonic clock.

    Both times are infinite until the process is told to stop.
    ``is_port_closed`` is true once no caller can open a connection any more.
    """

    requests_end_ms: float = math.inf
    answers_end_ms: float = math.inf
    is_port_closed: bool = False
    _limits: set[asyncio.Timeout] = attrs.field(factory=set)

    @property
    def in_progress(self) -> int:
        """Number of requests without a final answer."""
        return len(self._limits)

    @property
    def has_begun(self) -> bool:
        """Whether the process was told to stop."""
        return self.requests_end_ms < math.inf

    def begin(self, grace_ms: float) -> None:
        """Limit the requests in progress, and those that follow.

        Does nothing if the stop has begun: the platform counts the grace
        period from the first signal.
        """
        if self.has_begun:
            return
        now_ms = clocks.monotonic_ms()
        self.requests_end_ms = now_ms + _REQUESTS_SHARE_OF_GRACE * grace_ms
        self.answers_end_ms = now_ms + _ANSWERS_SHARE_OF_GRACE * grace_ms
        for limit in self._limits:
            self._set_end(limit)

    def leaves_time_for(self, needed_ms: float) -> bool:
        """Return whether what takes ``needed_ms`` can end before the stop."""
        return self.requests_end_ms - clocks.monotonic_ms() >= needed_ms

    @contextlib.asynccontextmanager
    async def limit_request(self) -> AsyncIterator[None]:
        """Track a request; raises ``GraceEndedError`` when it must end."""
        limit = asyncio.timeout(None)
        try:
            async with limit:
                if self.has_begun:
                    self._set_end(limit)
                with self._track(limit):
                    yield
        except TimeoutError as fault:
            if limit.expired():
                raise GraceEndedError('the daemon stops') from fault
            raise

    @contextlib.contextmanager
    def _track(self, limit: asyncio.Timeout) -> Iterator[None]:
        self._limits.add(limit)
        try:
            with metrics.IN_PROGRESS.track_inprogress():
                yield
        finally:
            self._limits.discard(limit)

    def _set_end(self, limit: asyncio.Timeout) -> None:
        remaining_ms = self.requests_end_ms - clocks.monotonic_ms()
        now_s = asyncio.get_running_loop().time()
        limit.reschedule(now_s + remaining_ms / _MS_PER_S)
