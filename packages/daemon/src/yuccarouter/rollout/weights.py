"""Spreading weight loads over data centres at the weight store's rate."""

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
    """An endpoint that is to hold a version's weights."""

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
    """Return the endpoint to load next, or none when there is none.

    The data centre with the smallest loaded share comes first, so that all
    warm evenly and none waits for another to complete. Endpoints in
    ``blocked`` are passed over.
    """
    loaded: collections.Counter[str] = collections.Counter()
    total: collections.Counter[str] = collections.Counter()
    for counted in targets:
        total[counted.data_centre] += 1
        loaded[counted.data_centre] += counted.is_loaded
    open_targets = [
        target
        for target in targets
        if not target.is_loaded and target.endpoint not in blocked
    ]
    return min(
        open_targets,
        key=lambda target: (
            loaded[target.data_centre] / total[target.data_centre],
            target.data_centre,
            target.endpoint,
        ),
        default=None,
    )


@attrs.define
class Loader:
    """Loads one endpoint after another, no faster than the store allows.

    ``load`` raises ``errors.LoadRefusedError`` when the store is busy and
    ``errors.LoadFailedError`` when the endpoint could not load. A failed
    endpoint is tried again later and does not hold up the others.
    """

    load: Load
    clock_ms: Callable[[], float]
    interval_ms: int = _INTERVAL_MS
    _next_ms: float = 0
    _failures: dict[str, _Failure] = attrs.field(factory=dict)

    async def step(self, targets: Sequence[Target]) -> Target | None:
        """Load at most one endpoint and return it, if it was loaded."""
        now_ms = self.clock_ms()
        if now_ms < self._next_ms:
            return None
        target = next_target(targets, self._blocked(now_ms))
        if target is None:
            return None
        self._next_ms = now_ms + self.interval_ms
        try:
            await self.load(target)
        except errors.LoadRefusedError as refusal:
            wait_ms = max(refusal.retry_after_ms, self.interval_ms)
            self._next_ms = now_ms + wait_ms
            return None
        except errors.LoadFailedError:
            self._back_off(target.endpoint, now_ms)
            return None
        self._failures.pop(target.endpoint, None)
        return target

    async def run(self, targets: Callable[[], Sequence[Target]]) -> None:
        """Load until every target is loaded."""
        while not all(target.is_loaded for target in targets()):
            await self.step(targets())
            await asyncio.sleep(self.interval_ms / 1000)

    def _blocked(self, now_ms: float) -> frozenset[str]:
        return frozenset(
            endpoint
            for endpoint, failure in self._failures.items()
            if failure.retry_at_ms > now_ms
        )

    def _back_off(self, endpoint: str, now_ms: float) -> None:
        earlier = self._failures.get(endpoint, _Failure(0, 0))
        wait_ms = min(_FIRST_BACKOFF_MS * 2**earlier.count, _MAX_BACKOFF_MS)
        self._failures[endpoint] = _Failure(earlier.count + 1, now_ms + wait_ms)
