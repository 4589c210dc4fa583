"""Judges whether answers of a new version are far slower than others."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs

from yuccarouter.gateway import latency_baselines, rollouts
from yuccarouter_common import clocks

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from yuccarouter.gateway import answer_progress, endpoints


@attrs.define
class LatencyJudge:
    """Counts good and slow answers, also before they have ended.

    ``is_new`` returns whether an endpoint runs the newly ordered version. The
    answers of others set the baseline. ``record`` gets the tally of each
    answer on a route; while there is no baseline, an answer is no evidence.
    """

    is_new: Callable[[endpoints.EndpointView], bool]
    record: Callable[[endpoints.EndpointView, str, rollouts.Tally], None]
    _baselines: latency_baselines.LatencyBaselines = attrs.field(
        factory=latency_baselines.LatencyBaselines
    )
    _pending: set[answer_progress.Progress] = attrs.field(factory=set)

    @contextlib.contextmanager
    def follow(self, progress: answer_progress.Progress) -> Iterator[None]:
        """Include a pending answer until the end of the context."""
        self._pending.add(progress)
        try:
            yield
        finally:
            self._pending.discard(progress)

    def judge_pending(self) -> None:
        """Count pending answers that are already slow.

        Otherwise the slowest answers of a new version would count last.
        """
        now_ms = clocks.monotonic_ms()
        for progress in self._pending:
            if progress.is_judged:
                continue
            if self._is_slow(progress, now_ms - progress.sent_ms):
                self._count(progress, rollouts.Tally(slow=1))

    def record_success(
        self, progress: answer_progress.Progress, elapsed_ms: float
    ) -> bool:
        """Record a complete answer; return whether it was slow."""
        is_slow = self._is_slow(progress, elapsed_ms)
        if not self.is_new(progress.view):
            self._baselines.record(
                progress.kinds, progress.relative_latency(elapsed_ms)
            )
        if progress.is_judged:
            return True
        if is_slow is None:
            return False
        self._count(progress, rollouts.Tally(good=not is_slow, slow=is_slow))
        return is_slow

    def _is_slow(
        self, progress: answer_progress.Progress, elapsed_ms: float
    ) -> bool | None:
        return self._baselines.is_slow(
            progress.kinds, progress.relative_latency(elapsed_ms), elapsed_ms
        )

    def _count(
        self, progress: answer_progress.Progress, tally: rollouts.Tally
    ) -> None:
        progress.is_judged = True
        self.record(progress.view, progress.route, tally)
