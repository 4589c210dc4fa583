"""Giving digests of the own data centre's endpoints to other ones."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import attrs
import grpc

from yuccarouter.membership import directory, sampling, subset
from yuccarouter.routing import views
from yuccarouter_common import clocks
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from typing import Any

_MIN_INTERVAL_MS: Final = 250
# An entry that hears of less than this share of its data centre's agents has
# just started or is cut off, and what it says would take endpoints out.
_MIN_KNOWN_SHARE: Final = 0.5
_MS_PER_S: Final = 1000


@attrs.frozen
class Source:
    """Makes digests of the endpoints of one data centre.

    ``now_ms`` is the fleet's clock.
    """

    data_centre: str
    fleet: views.Fleet
    known: directory.Directory
    now_ms: Callable[[], float]
    wall_clock_ms: Callable[[], int] = clocks.wall_ms

    async def stream(
        self, request: router_pb2.EndpointsRequest, context: Any
    ) -> AsyncIterator[router_pb2.EndpointDigest]:
        """Stream a digest each interval, while the endpoints are known."""
        context.set_compression(grpc.Compression.Gzip)
        interval_ms = max(request.interval_ms, _MIN_INTERVAL_MS)
        told: dict[str, str] = {}
        while self.is_informed():
            yield self.digest(request, told)
            # All senders and receivers wake together, as for reports.
            passed_ms = self.wall_clock_ms() % interval_ms
            await asyncio.sleep((interval_ms - passed_ms) / _MS_PER_S)
        await context.abort(
            grpc.StatusCode.UNAVAILABLE, 'too few agents are known here'
        )

    def is_informed(self) -> bool:
        """Return whether this process hears of its data centre's agents.

        It does not while its list is empty, as at the start.
        """
        listed = [
            vm
            for vm in self.known.live(subset.AGENT)
            if vm.data_centre == self.data_centre
        ]
        held = {view.vm for view in self._local()}
        heard = [vm for vm in listed if vm.vm in held]
        followed = min(len(listed), subset.MAX_LOCAL)
        return bool(heard) and len(heard) >= _MIN_KNOWN_SHARE * followed

    def digest(
        self, request: router_pb2.EndpointsRequest, told: dict[str, str]
    ) -> router_pb2.EndpointDigest:
        """Return the sample of a receiver and all changes of state.

        ``told`` holds the states that the receiver has been told, by endpoint,
        and is brought up to date.
        """
        made = _Digest(self.data_centre, self.now_ms())
        shares = {share.pool: share.share_ppm for share in request.shares}
        wall_ms = self.wall_clock_ms()
        lost = set(told)
        for view in self._local():
            lost.discard(view.endpoint)
            made.count(view)
            share = shares.get(view.pool, request.share_ppm)
            is_sampled = sampling.is_sampled(
                request.entry, view.endpoint, share, wall_ms
            )
            is_changed = told.get(view.endpoint, view.state) != view.state
            if is_sampled or is_changed:
                made.add(view, is_sampled=is_sampled)
            told[view.endpoint] = view.state
        for endpoint in lost:
            told.pop(endpoint)
            made.add_lost(endpoint)
        return made.finish()

    def _local(self) -> list[views.EndpointView]:
        return [
            view for view in self.fleet if view.data_centre == self.data_centre
        ]


class _Digest:
    """A digest that is being made; pools and versions are named once."""

    def __init__(self, data_centre: str, now_ms: float) -> None:
        self.message = router_pb2.EndpointDigest(data_centre=data_centre)
        self._now_ms = now_ms
        self._pools: dict[str, int] = {}
        # Indexes into the message's pools.
        self._places: dict[str, int] = {}
        self._sets: dict[tuple[str, ...], int] = {}

    def count(self, view: views.EndpointView) -> None:
        """Count an endpoint of its pool."""
        self._pools[view.pool] = self._pools.get(view.pool, 0) + 1

    def add(self, view: views.EndpointView, *, is_sampled: bool) -> None:
        version_set = self._sets.setdefault(view.versions, len(self._sets))
        if version_set == len(self.message.version_sets):
            self.message.version_sets.add(versions=view.versions)
        self.message.endpoints.add(
            endpoint=view.endpoint,
            vm=view.vm,
            address=view.address,
            pool=self._places.setdefault(view.pool, len(self._places)),
            state=view.state,
            limit=view.limit,
            in_flight=view.in_flight,
            queued=view.queued,
            age_ms=max(0, round(self._now_ms - view.measured_ms)),
            version_set=version_set,
            service_time_ms=view.service_time_ms,
            first_token_ms=view.first_token_ms,
            sequence=view.sequence,
            is_sampled=is_sampled,
        )

    def finish(self) -> router_pb2.EndpointDigest:
        """Return the digest with the counts of its pools."""
        for pool in self._pools:
            self._places.setdefault(pool, len(self._places))
        for placed in self._places:
            self.message.pools.add(pool=placed, endpoints=self._pools[placed])
        return self.message

    def add_lost(self, endpoint: str) -> None:
        self.message.endpoints.add(endpoint=endpoint, state=views.DOWN)
