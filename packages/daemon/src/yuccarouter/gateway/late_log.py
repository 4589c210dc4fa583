"""Log lines about delays that come often while a process is busy."""

from __future__ import annotations

from typing import Any, Final

import attrs
import eliot

# A line a second tells how long an overload lasts.
_LOG_INTERVAL_MS: Final = 1000.0


@attrs.define
class LateLog:
    """Logs delays of ``late_ms`` or more together, at most once a second.

    ``count`` and ``longest_ms`` are of the late ones since the last line.
    ``fields`` are added to each line.
    """

    message_type: str
    late_ms: float
    fields: dict[str, Any] = attrs.field(factory=dict)
    count: int = 0
    longest_ms: float = 0
    logged_ms: float = -_LOG_INTERVAL_MS

    def record(self, delay_ms: float, now_ms: float) -> None:
        """Record a delay, and log what is due."""
        if delay_ms >= self.late_ms:
            self.count += 1
            self.longest_ms = max(self.longest_ms, delay_ms)
        if self.count and now_ms - self.logged_ms >= _LOG_INTERVAL_MS:
            eliot.log_message(
                self.message_type,
                count=self.count,
                longest_ms=round(self.longest_ms),
                **self.fields,
            )
            self.count = 0
            self.longest_ms = 0
            self.logged_ms = now_ms
