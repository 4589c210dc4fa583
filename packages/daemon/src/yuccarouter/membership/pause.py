"""Detection of pauses of this process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import eliot
import mode
import prometheus_client

from yuccarouter_common import clocks

# Half of the time without reports after which an agent counts as lost. That is
# the shortest timeout that assumes that this process has been running.
_THRESHOLD_MS: Final = 750
_INTERVAL_S: Final = 0.1

_PAUSES: Final = prometheus_client.Counter(
    'yuccarouter_pauses',
    'Times that the event loop did not run for longer than the margin',
)

Clock = Callable[[], float]
Listener = Callable[[float], object]


class PauseDetector(mode.Service):
    """Calls listeners after the event loop paused for over ``threshold_ms``.

    After a pause the loop runs its due tasks in any order. Code that must not
    act on data from before the pause therefore calls ``check`` first; the
    first call after a pause calls all listeners before it returns. The length
    is the longest that any clock shows. A step of the wall clock may count as
    a pause, which costs a needless check.
    """

    def __init__(
        self,
        threshold_ms: float = _THRESHOLD_MS,
        # The boot clock of a frozen VM stands still. The host corrects only
        # the wall clock afterwards, so both clocks are read.
        clock_sources: tuple[Clock, ...] = (clocks.boot_ms, clocks.wall_ms),
    ) -> None:
        super().__init__()
        self.count = 0
        self._threshold_ms = threshold_ms
        self._clocks = clock_sources
        self._listeners: list[Listener] = []
        self._last_readings = self._read_clocks()

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with the length of each pause, in milliseconds.

        Listeners are called in the order of their subscriptions and must not
        wait.
        """
        self._listeners.append(listener)

    def check(self) -> bool:
        """Return whether this call detected a pause and called the listeners.

        The first check after a pause detects it, later ones do not.
        """
        readings = self._read_clocks()
        paused_ms = max(
            now - before
            for now, before in zip(readings, self._last_readings, strict=True)
        )
        self._last_readings = readings
        if paused_ms <= self._threshold_ms:
            return False
        self.count += 1
        _PAUSES.inc()
        for listener in self._listeners:
            listener(paused_ms)
        eliot.log_message('process_paused', paused_ms=round(paused_ms))
        return True

    async def on_start(self) -> None:
        """Measure from the start of the service, not from construction."""
        self._last_readings = self._read_clocks()

    @mode.Service.task
    async def _check_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(_INTERVAL_S)
            self.check()

    def _read_clocks(self) -> tuple[float, ...]:
        return tuple(clock() for clock in self._clocks)
