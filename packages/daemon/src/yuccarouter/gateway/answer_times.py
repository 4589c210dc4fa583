"""When requests, and prompts with the same parts, were last answered."""

from __future__ import annotations

import collections
import math
from typing import Final

import attrs

from yuccarouter.gateway import request_digests

_MAX_PARTS: Final = 2048
_MAX_REQUESTS: Final = 2048

# By service and suspect.
_Times = collections.OrderedDict[tuple[str, str], float]


@attrs.define
class AnswerTimes:
    """The times of the newest answers.

    Requests are bounded apart from parts of prompts, as most don't come again.
    """

    _parts_ms: _Times = attrs.field(factory=collections.OrderedDict)
    _requests_ms: _Times = attrs.field(factory=collections.OrderedDict)

    def record(self, service: str, suspect: str, now_ms: float) -> None:
        """Record an answer."""
        times_ms, most = self._parts_ms, _MAX_PARTS
        if request_digests.is_request_digest(suspect):
            times_ms, most = self._requests_ms, _MAX_REQUESTS
        times_ms[service, suspect] = now_ms
        times_ms.move_to_end((service, suspect))
        if len(times_ms) > most:
            times_ms.popitem(last=False)

    def last_ms(self, service: str, suspect: str) -> float:
        """Return the time of the last answer, minus infinity if unknown."""
        key = (service, suspect)
        return self._parts_ms.get(key, self._requests_ms.get(key, -math.inf))
