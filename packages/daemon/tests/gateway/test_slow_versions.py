"""Tests of roll-outs of a version that answers several times slower.

They guard against the load pattern of a short roll-out of a service with
little traffic: the canary gets a few prompts of very different lengths, and the
slow ones among their answers arrive last.
"""

from __future__ import annotations

import random
from typing import Any

import attrs
import gateway_makers as make
import pytest

from yuccarouter.gateway import answer_progress, latency_baselines, rollouts

RAMP_MS = 15_000.0
REQUESTS_PER_S = 11.5
KINDS = ('long', 'notes', 'check')
TOKENS = {'long': 9000, 'notes': 700, 'check': 2000}
EVENTS = {'long': 48, 'notes': 36, 'check': 3}
DAEMONS = 4
WARM_UP_MS = 8000.0


@attrs.define(eq=False)
class Answer:
    """An answer whose events arrive at a steady pace after its prefill."""

    daemon: int
    ends_ms: float
    relative: float
    events: int
    progress: answer_progress.Progress

    def elapsed_ms(self, now_ms: float) -> float:
        """Return the time since it was sent, and update its progress."""
        prefill_ms = self.relative * answer_progress.expected_ms(
            self.progress.prefill_tokens, 0
        )
        duration_ms = self.ends_ms - self.progress.sent_ms
        elapsed_ms = min(duration_ms, now_ms - self.progress.sent_ms)
        done = (elapsed_ms - prefill_ms) / max(1, duration_ms - prefill_ms)
        self.progress.events = int(self.events * min(1, max(0, done)))
        return elapsed_ms


@attrs.define
class Rollout:
    """A roll-out of a version that multiplies some latencies."""

    seed: int
    slow_share: float
    factor: float
    phase: rollouts.Phase = rollouts.Phase.CANARY
    phase_ms: float = 0
    new_requests: int = 0
    requests: int = 0
    evidence: rollouts.Evidence = attrs.field(
        factory=lambda: rollouts.Evidence({}, {})
    )
    baselines: list[latency_baselines.LatencyBaselines] = attrs.field(
        factory=lambda: [
            latency_baselines.LatencyBaselines() for _ in range(DAEMONS)
        ]
    )
    pending: list[Answer] = attrs.field(factory=list)

    def run(self) -> None:
        """Run from before the order until the roll-out has ended."""
        rng = random.Random(self.seed)
        now_ms = -WARM_UP_MS
        while now_ms < 2 * RAMP_MS and not self.phase.is_final:
            now_ms += rng.expovariate(REQUESTS_PER_S / 1000)
            for answer in list(self.pending):
                self._judge(answer, now_ms)
            share = rollouts.new_version_share(self.phase, 0.15)
            is_new = now_ms > 0 and rng.random() < share
            self.requests += now_ms > 0
            self.new_requests += is_new
            self.pending.append(self._answer(rng, now_ms, is_new))
            if now_ms > 0:
                self._advance(now_ms)

    def _advance(self, now_ms: float) -> None:
        due_phase = rollouts.next_phase(
            self.phase,
            make.order(ramp_ms=RAMP_MS),
            now_ms,
            now_ms - self.phase_ms,
            self.evidence,
        )
        if due_phase is not self.phase:
            self.phase, self.phase_ms = due_phase, now_ms

    def _judge(self, answer: Answer, now_ms: float) -> None:
        """Judge an answer as the roll-out's control does."""
        progress = answer.progress
        baselines = self.baselines[answer.daemon]
        elapsed_ms = answer.elapsed_ms(now_ms)
        relative = progress.relative_latency(elapsed_ms)
        is_slow = baselines.is_slow(progress.kinds, relative, elapsed_ms)
        has_ended = now_ms >= answer.ends_ms
        is_new = progress.view.announced.version == 'v2'
        if not progress.is_judged and is_slow is not None:
            if (is_slow or has_ended) and now_ms > 0:
                progress.is_judged = True
                tallies: Any = (
                    self.evidence.new if is_new else self.evidence.old
                )
                tallies.setdefault(progress.route, rollouts.Tally()).add(
                    rollouts.Tally(good=not is_slow, slow=is_slow)
                )
        if has_ended:
            self.pending.remove(answer)
            if not is_new:
                baselines.record(progress.kinds, relative)

    def _answer(
        self, rng: random.Random, now_ms: float, is_new: bool
    ) -> Answer:
        kind = rng.choice(KINDS)
        tokens = TOKENS[kind] * rng.lognormvariate(-0.1, 0.5)
        events = max(1, round(EVENTS[kind] * rng.lognormvariate(-0.1, 0.5)))
        relative = rng.lognormvariate(0.2, 0.55)
        if is_new and rng.random() < self.slow_share:
            relative *= self.factor
        duration_ms = relative * answer_progress.expected_ms(tokens, events)
        view = make.view(version='v2' if is_new else 'v1')
        return Answer(
            rng.randrange(DAEMONS),
            now_ms + duration_ms,
            relative,
            events,
            answer_progress.Progress(view, kind, 'm', tokens, now_ms),
        )


@pytest.mark.parametrize(
    ('slow_share', 'factor'), [(1, 6), (1, 8), (0.7, 8), (0.5, 8)]
)
def test_slow_versions_are_withdrawn(slow_share: float, factor: float) -> None:
    """Guards against completing a version that is several times slower."""
    runs = [Rollout(seed, slow_share, factor) for seed in range(60)]
    for rollout in runs:
        rollout.run()
    assert {rollout.phase for rollout in runs} == {rollouts.Phase.ROLLED_BACK}
    for rollout in runs:
        assert rollout.new_requests <= 0.15 * rollout.requests + 30


@pytest.mark.parametrize('factor', [1, 1.3])
def test_good_versions_complete(factor: float) -> None:
    """Guards against withdrawing a version for a few slow answers."""
    runs = [Rollout(seed, 1, factor) for seed in range(200)]
    for rollout in runs:
        rollout.run()
    ends = [rollout.phase for rollout in runs]
    assert ends.count(rollouts.Phase.ROLLED_BACK) <= 2
    assert ends.count(rollouts.Phase.COMPLETED) >= 190
