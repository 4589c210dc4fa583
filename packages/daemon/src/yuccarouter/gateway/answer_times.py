"""When requests, and prompts with the same parts, were last answered.

An answer that ends shows that a request crashes no engine. One that goes on
shows it only for crashes that come earlier in an answer.
"""

from __future__ import annotations

import bisect
import collections
import math
from collections.abc import Iterable
from typing import Final

import attrs

from yuccarouter.gateway import request_digests

# An engine may send the first events before it crashes on the start of an
# answer.
START_MS: Final = 500.0
# Times after its first event at which an answer that goes on is recorded.
PROCEEDED_MS: Final = (START_MS, 1000.0, 2000.0, 4000.0, 8000.0, 16_000.0)
_LEVELS_MS: Final = (*PROCEEDED_MS, math.inf)
# An answer shows nothing about crashes that come after more than a part of the
# time that it went on for: engines write at different speeds.
_MIN_PROCEEDED_FACTOR: Final = 2
_MAX_PARTS: Final = 2048
_MAX_REQUESTS: Final = 2048

# The times of the newest answers, by the time that they went on for at least;
# the last one is that of answers that ended.
_Newest = tuple[float, ...]
_NEVER: Final[_Newest] = (-math.inf,) * len(_LEVELS_MS)
# By service and suspect.
_Times = collections.OrderedDict[tuple[str, str], _Newest]


def clears(proceeded_ms: float, ran_ms: float) -> bool:
    """Return whether an answer rules out its request as cause of a crash.

    The answer went on for ``proceeded_ms`` after its first event, infinitely
    long if it ended. The engine crashed ``ran_ms`` after the first event of the
    answer that was lost.
    """
    return proceeded_ms >= _MIN_PROCEEDED_FACTOR * ran_ms


@attrs.define
class AnswerTimes:
    """The times of the newest answers.

    Requests are bounded apart from parts of prompts, as most don't come again.
    Beyond the bounds, what was answered longest ago counts as never answered.
    """

    _parts_ms: _Times = attrs.field(factory=collections.OrderedDict)
    _requests_ms: _Times = attrs.field(factory=collections.OrderedDict)

    def record(
        self,
        service: str,
        suspect: str,
        now_ms: float,
        proceeded_ms: float = math.inf,
    ) -> None:
        """Record an answer that has ended, or has gone on for a time.

        Less than the start of an answer shows nothing.
        """
        times, most = self._parts_ms, _MAX_PARTS
        if request_digests.is_request_digest(suspect):
            times, most = self._requests_ms, _MAX_REQUESTS
        newest = times.get((service, suspect), _NEVER)
        level = bisect.bisect_right(_LEVELS_MS, proceeded_ms)
        if not level:
            return
        times[service, suspect] = (
            *newest[: level - 1],
            now_ms,
            *newest[level:],
        )
        times.move_to_end((service, suspect))
        if len(times) > most:
            times.popitem(last=False)

    def last_ms(self, service: str, suspect: str, ran_ms: float) -> float:
        """Return when the last answer ruled out a suspect of a crash.

        The engine crashed ``ran_ms`` after the first event of the lost answer.
        The result is minus infinity if there was no such answer.
        """
        key = (service, suspect)
        newest = self._parts_ms.get(key) or self._requests_ms.get(key, _NEVER)
        return max(
            (
                answered_ms
                for level_ms, answered_ms in zip(
                    _LEVELS_MS, newest, strict=True
                )
                if clears(level_ms, ran_ms)
            )
        )

    def rarest(
        self, service: str, parts: Iterable[str], most: int, ran_ms: float
    ) -> list[str]:
        """Return the parts that were answered longest ago, or never."""
        ranked = sorted(
            parts, key=lambda part: self.last_ms(service, part, ran_ms)
        )
        return ranked[:most]
