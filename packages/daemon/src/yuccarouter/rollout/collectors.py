"""Collectors of evidence on all active roll-outs of one controller."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

import attrs
import xxhash

from yuccarouter.rollout import evidence as evidence_module
from yuccarouter_common import model

_RATE_TIME_CONSTANT_MS: Final = 60_000
# Limits on compared requests, so that control takes well under 1% of a core at
# any request rate. Each one of the new version is compared with up to 8 of the
# baseline.
_MAX_NEW_PER_S: Final = 20.0
_MAX_BASELINE_PER_S: Final = 160.0
_HASH_RANGE: Final = 2**64


@attrs.define
class _RequestRate:
    """Exponentially decaying request rate, with a time constant of 60 s."""

    count: float = 0
    updated_ms: int = 0

    def add(self, now_ms: int) -> None:
        self.count = self._decayed(now_ms) + 1
        self.updated_ms = now_ms

    def per_s(self, now_ms: int) -> float:
        return self._decayed(now_ms) * 1000 / _RATE_TIME_CONSTANT_MS

    def _decayed(self, now_ms: int) -> float:
        elapsed_ms = max(now_ms - self.updated_ms, 0)
        return self.count * math.exp(-elapsed_ms / _RATE_TIME_CONSTANT_MS)


@attrs.define
class _Sample:
    """Samples requests of one version by a hash of their id.

    The choice does not depend on the answer, so that the sample is unbiased.
    """

    max_per_s: float
    rate: _RequestRate = attrs.field(factory=_RequestRate)

    def includes(self, request: evidence_module.Request) -> bool:
        self.rate.add(request.time_ms)
        share = self.share(request.time_ms)
        digest = xxhash.xxh64_intdigest(request.request_id.encode())
        return digest < share * _HASH_RANGE

    def share(self, now_ms: int) -> float:
        """Return the share of requests that is sampled."""
        return min(self.max_per_s / max(self.rate.per_s(now_ms), 1), 1)


@attrs.define
class _TrackedRollout:
    """A roll-out's collector, samples and compared versions."""

    version: str
    baseline: str
    collector: evidence_module.Collector
    new_sample: _Sample = attrs.field(factory=lambda: _Sample(_MAX_NEW_PER_S))
    baseline_sample: _Sample = attrs.field(
        factory=lambda: _Sample(_MAX_BASELINE_PER_S)
    )

    def add_request(self, request: evidence_module.Request) -> None:
        sample = self.new_sample if request.is_new else self.baseline_sample
        if sample.includes(request):
            self.collector.add_request(request)


@attrs.define
class Collectors:
    """The evidence source of a controller.

    Requests and ratings are added with the version that answered. Those of
    versions that no roll-out compares are ignored. Above a rate limit, an
    unbiased sample of the requests is compared. ``is_loaded`` returns whether
    the weights of a roll-out's version are loaded.
    """

    kinds: tuple[str, ...]
    clock_ms: Callable[[], int]
    is_loaded: Callable[[model.Rollout], bool]
    _tracked: dict[str, _TrackedRollout] = attrs.field(factory=dict)

    def start_step(self, rollout: model.Rollout) -> None:
        """Start to collect evidence on the present step of a roll-out."""
        version = f'{rollout.model}@{rollout.version}'
        tracked = self._tracked.get(rollout.name)
        baseline = f'{rollout.model}@{rollout.baseline}'
        if tracked is None or tracked.baseline != baseline:
            tracked = _TrackedRollout(
                version, baseline, evidence_module.Collector(self.kinds)
            )
            self._tracked[rollout.name] = tracked
        tracked.collector.start_step(rollout.step, self.clock_ms())

    def stop(self, name: str) -> None:
        """Discard the evidence on a roll-out that has ended."""
        self._tracked.pop(name, None)

    def evidence(self, rollout: model.Rollout) -> evidence_module.Evidence:
        """Return the evidence on a roll-out whose step was started."""
        now_ms = self.clock_ms()
        tracked = self._tracked[rollout.name]
        sampled = tracked.collector.evidence(
            now_ms,
            tracked.new_sample.rate.per_s(now_ms)
            + tracked.baseline_sample.rate.per_s(now_ms),
            loaded=self.is_loaded(rollout),
        )
        # The limit on unrated requests covers all requests, not the sample.
        sampled_share = tracked.new_sample.share(now_ms)
        return attrs.evolve(
            sampled, unrated=round(sampled.unrated / sampled_share)
        )

    def add_request(
        self, version: str, request: evidence_module.Request
    ) -> None:
        """Add a completed request that ``version`` answered."""
        for tracked in self._tracked.values():
            if version in {tracked.version, tracked.baseline}:
                tracked.add_request(
                    attrs.evolve(request, is_new=version == tracked.version)
                )

    def add_rating(self, version: str, rating: evidence_module.Rating) -> None:
        """Add a rating of an answer of ``version``."""
        for tracked in self._tracked.values():
            if version in {tracked.version, tracked.baseline}:
                tracked.collector.add_rating(
                    attrs.evolve(rating, is_new=version == tracked.version)
                )
