"""When callers whose requests are refused under load should return."""

from __future__ import annotations

from typing import Final

import attrs

# Callers wait at most this share of the time that they have left.
_MAX_TIME_SHARE: Final = 1 / 3
# A caller that returns earlier meets the same queue, and pays for a request.
_MIN_RETRY_AFTER_MS: Final = 100.0
# Returning callers are spread so that they take this share of the capacity;
# new requests need the rest.
_RETURN_SHARE: Final = 0.5
# Half the width of the jitter, as a share of the time.
_JITTER_SHARE: Final = 0.1
_MAX_SERVICES: Final = 256


def max_ms(time_left_ms: float) -> float:
    """Return how long a caller waits that has so much time left."""
    return max(0, time_left_ms * _MAX_TIME_SHARE)


@attrs.frozen
class Room:
    """When a service has room.

    ``wait_ms`` is the time until its queue is served, and ``spacing_ms`` the
    time of the whole service for one request of this daemon.
    """

    wait_ms: float
    spacing_ms: float


@attrs.define
class ReturnTimes:
    """When the caller that was refused last returns, by service."""

    _last_ms: dict[str, float] = attrs.field(factory=dict)

    def retry_after_ms(
        self,
        service: str,
        room: Room,
        time_left_ms: float,
        now_ms: float,
        draw: float,
    ) -> float:
        """Return after how long the next refused caller should return.

        Those refused first return first. Once the callers fill all the time
        that they would wait, the last part of it is shared at random. ``draw``
        is a random number from 0 to 1.
        """
        most_ms = max_ms(time_left_ms)
        earliest_ms = now_ms + max(_MIN_RETRY_AFTER_MS, room.wait_ms)
        last_ms = self._last_ms.get(service, now_ms)
        return_ms = max(earliest_ms, last_ms + room.spacing_ms / _RETURN_SHARE)
        if return_ms - now_ms >= most_ms:
            return most_ms * (1 - 2 * _JITTER_SHARE * draw)
        if len(self._last_ms) >= _MAX_SERVICES:
            self._last_ms.clear()
        self._last_ms[service] = return_ms
        jitter = 1 + _JITTER_SHARE * (2 * draw - 1)
        return min(most_ms, (return_ms - now_ms) * jitter)
