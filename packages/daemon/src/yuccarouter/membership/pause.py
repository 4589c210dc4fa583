"""Noticing that this process did not run for a while."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import eliot
import mode
import prometheus_client

from yuccarouter_common import clocks

# Half of the silence after which an agent counts as lost, which is the shortest
# time limit that relies on this process having run.
MARGIN_MS: Final = 750
_INTERVAL_S: Final = 0.1

_PAUSES: Final = prometheus_client.Counter(
    'yuccarouter_pauses',
    'Times that the event loop did not run for longer than the margin',
)

Clock = Callable[[], float]
Listener = Callable[[float], object]


class PauseWatch(mode.Service):
    """Tells listeners when the event loop has not run for over ``margin_ms``.

    After a pause the loop runs its due tasks in any order. Whoever must not
    act on what it knew before therefore calls ``check`` first; the first call
    after a pause tells all listeners, before it returns. The pause is the
    longest one that any clock shows: a step of the wall clock may be taken for
    one, which costs a needless check.
    """

    def __init__(
        self,
        margin_ms: float = MARGIN_MS,
        # The wall clock too: a host sets it right after a VM was frozen.
        sources: tuple[Clock, ...] = (clocks.boot_ms, clocks.wall_ms),
    ) -> None:
        super().__init__()
        self.count = 0
        self._margin_ms = margin_ms
        self._clocks = sources
        self._listeners: list[Listener] = []
        self._seen = self._read()

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with the length of each pause, in milliseconds.

        Listeners are called in the order of their subscriptions and must not
        wait.
        """
        self._listeners.append(listener)

    def check(self) -> bool:
        """Return whether a pause was noticed now and listeners were told.

        A pause ends with the first check after it.
        """
        seen = self._read()
        paused_ms = max(
            now - before for now, before in zip(seen, self._seen, strict=True)
        )
        self._seen = seen
        if paused_ms <= self._margin_ms:
            return False
        self.count += 1
        _PAUSES.inc()
        for listener in self._listeners:
            listener(paused_ms)
        eliot.log_message('process_paused', paused_ms=round(paused_ms))
        return True

    async def on_start(self) -> None:
        """Count from now, not from when the object was made."""
        self._seen = self._read()

    @mode.Service.task
    async def _check_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(_INTERVAL_S)
            self.check()

    def _read(self) -> tuple[float, ...]:
        return tuple(clock() for clock in self._clocks)
