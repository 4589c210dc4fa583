"""Which peers have not answered a call a moment ago."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter_common import clocks

if TYPE_CHECKING:
    from yuccarouter.gateway import model

# A peer that has died no longer counts as live after this time, and one that
# has been cut off may be reached again.
_REMEMBERED_MS: Final = 2500.0


@attrs.define
class CallFailures:
    """The addresses whose last call failed, and when.

    Digests of such a peer tell nothing about it: they may have been sent before
    it died, or arrive although no call reaches the peer.
    """

    _failed_ms: dict[model.Address, float] = attrs.field(factory=dict)

    def note(self, address: model.Address, *, is_answered: bool) -> None:
        """Note the outcome of a call."""
        now_ms = clocks.monotonic_ms()
        self._failed_ms = {
            other: failed_ms
            for other, failed_ms in self._failed_ms.items()
            if other != address and now_ms - failed_ms < _REMEMBERED_MS
        }
        if not is_answered:
            self._failed_ms[address] = now_ms

    def has_failed(self, address: model.Address) -> bool:
        """Return whether the last call failed a moment ago."""
        failed_ms = self._failed_ms.get(address, -math.inf)
        return clocks.monotonic_ms() - failed_ms < _REMEMBERED_MS
