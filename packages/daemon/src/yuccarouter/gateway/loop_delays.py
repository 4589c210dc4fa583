"""How late an event loop runs what is due.

Where a turn of it takes long, all that it serves waits for its turn.
"""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from yuccarouter.gateway import late_log, metrics
from yuccarouter_common import clocks

_MS_PER_S: Final = 1000
_INTERVAL_MS: Final = 250.0
# A call to the store or to a peer takes several turns of the loop. With this
# delay in each of them, one takes about as long as its timeout allows.
_LATE_MS: Final = 150.0


@attrs.define
class LoopDelays:
    """Measures the delays of the event loop ``name``, and logs long ones."""

    name: str
    _log: late_log.LateLog = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the log, whose lines name the loop."""
        self._log = late_log.LateLog(
            'event_loop_late', _LATE_MS, {'loop': self.name}
        )

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_ms = clocks.monotonic_ms() + _INTERVAL_MS
            await asyncio.sleep(_INTERVAL_MS / _MS_PER_S)
            now_ms = clocks.monotonic_ms()
            self.record(max(0, now_ms - due_ms), now_ms)

    def record(self, delay_ms: float, now_ms: float) -> None:
        """Record the delay of a wake-up."""
        metrics.observe_loop_delay(self.name, delay_ms)
        self._log.record(delay_ms, now_ms)
