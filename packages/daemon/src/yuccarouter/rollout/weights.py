"""Spreads weight loads over data centres at the weight store's rate."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import attrs

from yuccarouter.rollout import errors

_INTERVAL_MS: Final = 1000
_FIRST_BACKOFF_MS: Final = 2000
_MAX_BACKOFF_MS: Final = 60_000


@attrs.frozen
class Target:
    """An endpoint where a version's weights are to be loaded."""

    endpoint: str
    data_centre: str
    is_loaded: bool = False


@attrs.frozen
class _Failure:
    count: int
    retry_at_ms: float


Load = Callable[[Target], Awaitable[None]]


def next_target(
    targets: Sequence[Target],
    blocked: frozenset[str],
) -> Target | None:
    """Return the endpoint to load next, or none.

    The data centre with the smallest loaded share comes first, so that all
    load evenly and none waits until another is complete. Endpoints in
    ``blocked`` are skipped.
    """
    loaded: collections.Counter[str] = collections.Counter()
    total: collections.Counter[str] = collections.Counter()
    for counted in targets:
        total[counted.data_centre] += 1
        loaded[counted.data_centre] += counted.is_loaded
    candidates = [
        target
        for target in targets
        if not target.is_loaded and target.endpoint not in blocked
    ]
    return min(
        candidates,
        key=lambda target: (
            loaded[target.data_centre] / total[target.data_centre],
            target.data_centre,
            target.endpoint,
        ),
        default=None,
    )


@attrs.define
class RateLimitedLoader:
    """Loads one endpoint after another, no faster than the store allows.

    ``load`` raises ``errors.LoadRefusedError`` when the store's rate limit is
    reached and ``errors.LoadFailedError`` when an endpoint could not load. A
    failed endpoint is retried after an exponential backoff, and does not delay
    the others.
    """

    load: Load
    clock_ms: Callable[[], float]
    interval_ms: int = _INTERVAL_MS
    _next_load_ms: float = 0
    _failures: dict[str, _Failure] = attrs.field(factory=dict)

    async def step(self, targets: Sequence[Target]) -> Target | None:
        """Load at most one endpoint; return it if it was loaded."""
        now_ms = self.clock_ms()
        if now_ms < self._next_load_ms:
            return None
        target = next_target(targets, self._in_backoff(now_ms))
        if target is None:
            return None
        self._next_load_ms = now_ms + self.interval_ms
        try:
            await self.load(target)
        except errors.LoadRefusedError as refusal:
            wait_ms = max(refusal.retry_after_ms, self.interval_ms)
            self._next_load_ms = now_ms + wait_ms
            return None
        except errors.LoadFailedError:
            self._back_off(target.endpoint, now_ms)
            return None
        self._failures.pop(target.endpoint, None)
        return target

    async def run(self, targets: Callable[[], Sequence[Target]]) -> None:
        """Load until all targets are loaded."""
        while not all(target.is_loaded for target in targets()):
            await self.step(targets())
            await asyncio.sleep(self.interval_ms / 1000)

    def _in_backoff(self, now_ms: float) -> frozenset[str]:
        return frozenset(
            endpoint
            for endpoint, failure in self._failures.items()
            if failure.retry_at_ms > now_ms
        )

    def _back_off(self, endpoint: str, now_ms: float) -> None:
        failure = self._failures.get(endpoint, _Failure(0, 0))
        wait_ms = min(_FIRST_BACKOFF_MS * 2**failure.count, _MAX_BACKOFF_MS)
        self._failures[endpoint] = _Failure(failure.count + 1, now_ms + wait_ms)
