"""Evidence on all active roll-outs of one controller."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

import attrs
import xxhash

from yuccarouter.rollout import evidence as evidence_module
from yuccarouter_common import model

_RATE_WINDOW_MS: Final = 60_000
# Requests that are compared, so that control takes well under 1% of a core at
# any rate. Each one of the new version uses up to 8 of the baseline.
_NEW_PER_S: Final = 20.0
_BASELINE_PER_S: Final = 160.0
_HASH_RANGE: Final = 2**64


@attrs.define
class _Rate:
    """Requests per second, of about the last minute."""

    count: float = 0
    updated_ms: int = 0

    def add(self, now_ms: int) -> None:
        self.count = self._decayed(now_ms) + 1
        self.updated_ms = now_ms

    def per_s(self, now_ms: int) -> float:
        return self._decayed(now_ms) * 1000 / _RATE_WINDOW_MS

    def _decayed(self, now_ms: int) -> float:
        passed_ms = max(now_ms - self.updated_ms, 0)
        return self.count * math.exp(-passed_ms / _RATE_WINDOW_MS)


@attrs.define
class _Sample:
    """Chooses requests of one version by a hash of their id.

    The choice does not depend on the answer, so that the sample is fair.
    """

    max_per_s: float
    rate: _Rate = attrs.field(factory=_Rate)

    def holds(self, request: evidence_module.Request) -> bool:
        self.rate.add(request.time_ms)
        part = self.part(request.time_ms)
        digest = xxhash.xxh64_intdigest(request.request_id.encode())
        return digest < part * _HASH_RANGE

    def part(self, now_ms: int) -> float:
        """Part of the requests that is chosen."""
        return min(self.max_per_s / max(self.rate.per_s(now_ms), 1), 1)


@attrs.define
class _Followed:
    """A roll-out's collector and the versions that it compares."""

    version: str
    baseline: str
    collector: evidence_module.Collector
    new: _Sample = attrs.field(factory=lambda: _Sample(_NEW_PER_S))
    old: _Sample = attrs.field(factory=lambda: _Sample(_BASELINE_PER_S))

    def add_request(self, request: evidence_module.Request) -> None:
        sample = self.new if request.is_new else self.old
        if sample.holds(request):
            self.collector.add_request(request)


@attrs.define
class Collectors:
    """The evidence source of a controller.

    Requests and ratings are given with the version that answered. Those of
    versions that no roll-out compares are ignored. Where there are many, a fair
    sample is compared. ``is_loaded`` says whether the weights of a roll-out's
    version are loaded.
    """

    kinds: tuple[str, ...]
    clock_ms: Callable[[], int]
    is_loaded: Callable[[model.Rollout], bool]
    _followed: dict[str, _Followed] = attrs.field(factory=dict)

    def start_step(self, rollout: model.Rollout) -> None:
        """Follow a roll-out, and ask for new evidence of no harm."""
        version = f'{rollout.model}@{rollout.version}'
        followed = self._followed.get(rollout.name)
        baseline = f'{rollout.model}@{rollout.baseline}'
        if followed is None or followed.baseline != baseline:
            followed = _Followed(
                version, baseline, evidence_module.Collector(self.kinds)
            )
            self._followed[rollout.name] = followed
        followed.collector.start_step(rollout.step, self.clock_ms())

    def stop(self, name: str) -> None:
        """Forget a roll-out that has ended."""
        self._followed.pop(name, None)

    def evidence(self, rollout: model.Rollout) -> evidence_module.Evidence:
        """Return what is known of a roll-out whose step was started."""
        now_ms = self.clock_ms()
        followed = self._followed[rollout.name]
        known = followed.collector.evidence(
            now_ms,
            followed.new.rate.per_s(now_ms) + followed.old.rate.per_s(now_ms),
            loaded=self.is_loaded(rollout),
        )
        # The limit on unrated requests is about callers, not about a sample.
        part = followed.new.part(now_ms)
        return attrs.evolve(known, unrated=round(known.unrated / part))

    def add_request(
        self, version: str, request: evidence_module.Request
    ) -> None:
        """Count a completed request that ``version`` answered."""
        for followed in self._followed.values():
            if version in {followed.version, followed.baseline}:
                followed.add_request(
                    attrs.evolve(request, is_new=version == followed.version)
                )

    def add_rating(self, version: str, rating: evidence_module.Rating) -> None:
        """Count a rating of an answer of ``version``."""
        for followed in self._followed.values():
            if version in {followed.version, followed.baseline}:
                followed.collector.add_rating(
                    attrs.evolve(rating, is_new=version == followed.version)
                )
