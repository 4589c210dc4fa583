"""The clocks of a process, in milliseconds."""

from __future__ import annotations

import time
from typing import Final

_MS_PER_S: Final = 1000
_NS_PER_MS: Final = 1_000_000


def monotonic_ms() -> float:
    """Return the monotonic time, valid in one process; it never steps."""
    return time.monotonic() * _MS_PER_S


def wall_ms() -> int:
    """Return the Unix time, which may step when a VM's clock is set."""
    return time.time_ns() // _NS_PER_MS


def boot_ms() -> float:
    """Return the time since boot, including while the VM was suspended.

    The monotonic clock stops while a VM is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * _MS_PER_S
