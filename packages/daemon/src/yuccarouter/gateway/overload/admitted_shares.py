"""The part of an organisation's demand that fits its share of a service."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from yuccarouter.gateway import attempts
    from yuccarouter.gateway.capacity import room
    from yuccarouter.gateway.shares import fleet_shares

# The sum over all endpoints of a service takes up to 2 ms at 810 endpoints, and
# endpoints come and go less often than this.
_REFRESH_MS: Final = 250.0
_MAX_SERVICES: Final = 256


@attrs.define
class AdmittedShares:
    """Looks up admitted shares, with the capacity of each service.

    ``service_room`` returns the room of a service's endpoints.
    """

    shares: fleet_shares.FleetShares
    service_room: Callable[[str], room.Room]
    _capacities: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def admitted_share(
        self, out: attempts.OutgoingCall, now_ms: float
    ) -> float:
        """Return the part of the demand of a request's organisation and key."""
        return self.shares.admitted_share(
            out.service,
            out.organisation,
            out.call.key,
            self._capacity_ms_per_s(out.service, now_ms),
            now_ms,
        )

    def _capacity_ms_per_s(self, service: str, now_ms: float) -> float:
        known_ms, capacity_ms_per_s = self._capacities.get(
            service, (-math.inf, 0)
        )
        if now_ms - known_ms < _REFRESH_MS:
            return capacity_ms_per_s
        capacity_ms_per_s = self.service_room(service).capacity_ms_per_s
        if len(self._capacities) >= _MAX_SERVICES:
            self._capacities.clear()
        self._capacities[service] = (now_ms, capacity_ms_per_s)
        return capacity_ms_per_s
