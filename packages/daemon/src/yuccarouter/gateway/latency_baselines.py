"""Typical latencies of answers, to detect slow ones.

Latencies are compared relative to the work of a request, so that long prompts
and long answers are not taken for slow ones.
"""

from __future__ import annotations

import collections
import statistics
from collections.abc import Sequence
from typing import Final

import attrs

# An answer is slow above this multiple of the median of similar answers.
_SLOW_FACTOR: Final = 3.0
# Faster answers are never slow: their latency is mostly queueing.
_MIN_SLOW_MS: Final = 250.0
_RECENT_ANSWERS: Final = 40
_MIN_ANSWERS: Final = 5


@attrs.define
class LatencyBaselines:
    """The relative latencies of recent answers, by kind of answer.

    Each answer belongs to several ``kinds``, from the narrowest to the widest.
    It is judged by the narrowest of which enough answers are known.
    """

    _recent: dict[str, collections.deque[float]] = attrs.field(factory=dict)

    def record(self, kinds: Sequence[str], relative_latency: float) -> None:
        """Record the latency of an answer."""
        for kind in kinds:
            recent = self._recent.setdefault(
                kind, collections.deque(maxlen=_RECENT_ANSWERS)
            )
            recent.append(relative_latency)

    def is_slow(
        self, kinds: Sequence[str], relative_latency: float, elapsed_ms: float
    ) -> bool | None:
        """Return whether an answer is far slower than similar ones.

        Returns ``None`` if too few similar answers are known.
        """
        for kind in kinds:
            recent = self._recent.get(kind, ())
            if len(recent) >= _MIN_ANSWERS:
                limit = _SLOW_FACTOR * statistics.median(recent)
                return elapsed_ms > _MIN_SLOW_MS and relative_latency > limit
        return None
