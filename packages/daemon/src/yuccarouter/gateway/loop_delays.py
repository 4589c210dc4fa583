"""How late the event loop runs what is due.

All work of the process shares one event loop. Where a turn of it takes long,
answers of the store and of peers wait for their turn like everything else.
"""

from __future__ import annotations

import asyncio
from typing import Final

import attrs
import eliot

from yuccarouter.gateway import metrics
from yuccarouter_common import clocks

_MS_PER_S: Final = 1000
_INTERVAL_MS: Final = 250.0
# A call to the store or to a peer takes several turns of the loop. With this
# delay in each of them, one takes about as long as its timeout allows.
_LATE_MS: Final = 150.0
# A line a second tells how long an overload lasts.
_LOG_INTERVAL_MS: Final = 1000.0


@attrs.define
class LoopDelays:
    """Measures the delays of the event loop, and logs long ones.

    ``count`` and ``longest_ms`` are of the late wake-ups since the last line.
    """

    count: int = 0
    longest_ms: float = 0
    logged_ms: float = -_LOG_INTERVAL_MS

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_ms = clocks.monotonic_ms() + _INTERVAL_MS
            await asyncio.sleep(_INTERVAL_MS / _MS_PER_S)
            now_ms = clocks.monotonic_ms()
            self.record(max(0, now_ms - due_ms), now_ms)

    def record(self, delay_ms: float, now_ms: float) -> None:
        """Record the delay of a wake-up."""
        metrics.observe_loop_delay(delay_ms)
        if delay_ms >= _LATE_MS:
            self.count += 1
            self.longest_ms = max(self.longest_ms, delay_ms)
        if self.count and now_ms - self.logged_ms >= _LOG_INTERVAL_MS:
            eliot.log_message(
                'event_loop_late',
                count=self.count,
                longest_ms=round(self.longest_ms),
            )
            self.count = 0
            self.longest_ms = 0
            self.logged_ms = now_ms
