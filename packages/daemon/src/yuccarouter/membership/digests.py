"""Digests of this data centre's endpoints for other data centres."""

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
# An entry with reports from less than this share of its data centre's agents
# has just started or is disconnected. Its digest would remove endpoints that
# work from the receivers' fleets.
_MIN_REPORTING_SHARE: Final = 0.5
_MS_PER_S: Final = 1000


@attrs.frozen
class Source:
    """Builds digests of the endpoints of one data centre.

    ``now_ms`` is the fleet's clock.
    """

    data_centre: str
    fleet: views.Fleet
    vm_directory: directory.Directory
    now_ms: Callable[[], float]
    wall_clock_ms: Callable[[], int] = clocks.wall_ms

    async def stream(
        self, request: router_pb2.EndpointsRequest, context: Any
    ) -> AsyncIterator[router_pb2.EndpointDigest]:
        """Stream a digest each interval, while enough agents report here.

        Aborts with ``UNAVAILABLE`` otherwise.
        """
        context.set_compression(grpc.Compression.Gzip)
        interval_ms = max(request.interval_ms, _MIN_INTERVAL_MS)
        sent_states: dict[str, str] = {}
        while self.is_informed():
            yield self.digest(request, sent_states)
            # Digests are sent at multiples of the interval on the wall clock,
            # so that all senders and receivers wake together, as for reports.
            elapsed_ms = self.wall_clock_ms() % interval_ms
            await asyncio.sleep((interval_ms - elapsed_ms) / _MS_PER_S)
        await context.abort(
            grpc.StatusCode.UNAVAILABLE, 'too few agents report to this entry'
        )

    def is_informed(self) -> bool:
        """Return whether enough agents of the data centre report here.

        The result is False while the VM list is empty, as after a start.
        """
        listed = [
            vm
            for vm in self.vm_directory.live(subset.AGENT)
            if vm.data_centre == self.data_centre
        ]
        in_fleet = {view.vm for view in self._local_views()}
        reporting = [vm for vm in listed if vm.vm in in_fleet]
        followed = min(len(listed), subset.MAX_LOCAL)
        return (
            bool(reporting)
            and len(reporting) >= _MIN_REPORTING_SHARE * followed
        )

    def digest(
        self, request: router_pb2.EndpointsRequest, sent_states: dict[str, str]
    ) -> router_pb2.EndpointDigest:
        """Return the sample for a receiver and all changes of state.

        ``sent_states`` holds the states already sent to the receiver, by
        endpoint, and is updated.
        """
        builder = _DigestBuilder(self.data_centre, self.now_ms())
        shares = {share.pool: share.share_ppm for share in request.shares}
        wall_ms = self.wall_clock_ms()
        lost = set(sent_states)
        for view in self._local_views():
            lost.discard(view.endpoint)
            builder.count(view)
            share = shares.get(view.pool, request.share_ppm)
            is_sampled = sampling.is_sampled(
                request.entry, view.endpoint, share, wall_ms
            )
            is_changed = (
                sent_states.get(view.endpoint, view.state) != view.state
            )
            if is_sampled or is_changed:
                builder.add(view, is_sampled=is_sampled)
            sent_states[view.endpoint] = view.state
        for endpoint in lost:
            sent_states.pop(endpoint)
            builder.add_lost(endpoint)
        return builder.finish()

    def _local_views(self) -> list[views.EndpointView]:
        return [
            view for view in self.fleet if view.data_centre == self.data_centre
        ]


class _DigestBuilder:
    """A digest under construction.

    Endpoints refer to pools and version sets by index.
    """

    def __init__(self, data_centre: str, now_ms: float) -> None:
        self.message = router_pb2.EndpointDigest(data_centre=data_centre)
        self._now_ms = now_ms
        self._pool_sizes: dict[str, int] = {}
        # Indexes into the message's pools and version sets.
        self._pool_indexes: dict[str, int] = {}
        self._set_indexes: dict[tuple[str, ...], int] = {}

    def count(self, view: views.EndpointView) -> None:
        """Count an endpoint in its pool's size."""
        self._pool_sizes[view.pool] = self._pool_sizes.get(view.pool, 0) + 1

    def add(self, view: views.EndpointView, *, is_sampled: bool) -> None:
        version_set = self._set_indexes.setdefault(
            view.versions, len(self._set_indexes)
        )
        if version_set == len(self.message.version_sets):
            self.message.version_sets.add(versions=view.versions)
        self.message.endpoints.add(
            endpoint=view.endpoint,
            vm=view.vm,
            address=view.address,
            pool=self._pool_indexes.setdefault(
                view.pool, len(self._pool_indexes)
            ),
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
        """Return the digest with the sizes of all pools."""
        for pool in self._pool_sizes:
            self._pool_indexes.setdefault(pool, len(self._pool_indexes))
        for indexed in self._pool_indexes:
            self.message.pools.add(
                pool=indexed, endpoints=self._pool_sizes[indexed]
            )
        return self.message

    def add_lost(self, endpoint: str) -> None:
        self.message.endpoints.add(endpoint=endpoint, state=views.DOWN)
