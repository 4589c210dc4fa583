"""Reading digests of other data centres, one task per data centre."""

from __future__ import annotations

import asyncio
import collections
import functools
from typing import TYPE_CHECKING, Final

import attrs
import eliot
import mode

from yuccarouter.membership import sampling, streams, subset
from yuccarouter.routing import views
from yuccarouter_common import clocks
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter.membership import channels, directory, pause
    from yuccarouter_common import settings
    from yuccarouter_common.platform import vms

_INTERVAL_MS: Final = 1000
_TIMEOUT_S: Final = 3.0
_RETRY_DELAY_S: Final = 0.25
# For this time after a failure, a source ranks behind the others.
_AVOID_S: Final = 10.0
# Endpoints stay in the fleet for this time without digests. It covers the
# timeout of one source and the start of the next.
_RETENTION_S: Final = 5.0
_MS_PER_S: Final = 1000


@attrs.define
class _DataCentre:
    """One followed data centre and its endpoints in the fleet."""

    sources: list[str]
    task: asyncio.Task[None] | None = None
    # VM by endpoint, for the endpoints that the digests added to the fleet.
    added: dict[str, str] = attrs.field(factory=dict)
    # Number of endpoints by pool.
    pool_sizes: dict[str, int] = attrs.field(factory=dict)
    # Time of the last failure by source.
    failed_ms: dict[str, float] = attrs.field(factory=dict)
    last_digest_ms: float = 0

    def source(self, now_ms: float) -> str:
        """Return the preferred source that has not failed lately.

        When all have, it is the one whose failure is the oldest.
        """
        since_ms = now_ms - _AVOID_S * _MS_PER_S
        return min(
            self.sources,
            key=lambda address: max(
                self.failed_ms.get(address, since_ms), since_ms
            ),
        )


class RemoteEndpoints(mode.Service):
    """Updates the fleet from samples of other data centres' endpoints.

    A digest names the endpoints that are sampled now; all others are removed.
    A loss in a digest is second-hand information, so it does not cancel calls
    to the endpoint: their own connection detects the loss.
    """

    def __init__(
        self,
        conf: settings.Settings,
        fleet: views.Fleet,
        vm_directory: directory.Directory,
        daemons: channels.Channels,
        pauses: pause.PauseDetector,
        now_ms: Callable[[], float] = clocks.monotonic_ms,
    ) -> None:
        super().__init__()
        self._conf = conf
        self._fleet = fleet
        self._daemons = daemons
        self._pauses = pauses
        self._now_ms = now_ms
        self._data_centres: dict[str, _DataCentre] = {}
        self._remote_agents = 0
        vm_directory.subscribe(self.on_list)

    async def on_list(self, listed: list[vms.Vm]) -> None:
        """Start and stop following data centres to match the VM list."""
        plan = subset.plan(
            self._conf.name,
            self._conf.data_centre,
            listed,
            was_digesting=bool(self._data_centres),
        )
        self._remote_agents = sum(
            vm.role == subset.AGENT and vm.data_centre != self._conf.data_centre
            for vm in listed
        )
        for name in self._data_centres.keys() - plan.sources.keys():
            await self._stop_following(name)
        for name, sources in plan.sources.items():
            centre = self._data_centres.get(name)
            if centre is None:
                centre = _DataCentre(sources, last_digest_ms=self._now_ms())
                self._data_centres[name] = centre
                centre.task = asyncio.create_task(self._follow(name, centre))
            centre.sources = sources

    async def on_stop(self) -> None:
        """Stop following."""
        for name in tuple(self._data_centres):
            await self._stop_following(name)

    def shares(self) -> dict[str, int]:
        """Return the sampled share of each pool, in millionths.

        It follows from the pool's size in all other data centres.
        """
        totals: collections.Counter[str] = collections.Counter()
        for centre in self._data_centres.values():
            totals.update(centre.pool_sizes)
        return {
            pool: sampling.share_ppm(count)
            for pool, count in sorted(totals.items())
        }

    async def _stop_following(self, name: str) -> None:
        centre = self._data_centres.pop(name)
        if centre.task is not None:
            centre.task.cancel()
            await asyncio.gather(centre.task, return_exceptions=True)
        self._remove_unsampled(centre, set())

    async def _follow(self, name: str, centre: _DataCentre) -> None:
        """Follow one data centre until cancelled."""
        while not self.should_stop:
            address = centre.source(self._now_ms())
            reason = await self._read_digests(centre, address)
            if not reason:
                continue
            centre.failed_ms[address] = self._now_ms()
            silent_ms = self._now_ms() - centre.last_digest_ms
            if centre.added and silent_ms >= _RETENTION_S * _MS_PER_S:
                self._remove_unsampled(centre, set())
                eliot.log_message(
                    'data_centre_unknown', data_centre=name, reason=reason
                )
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _read_digests(self, centre: _DataCentre, address: str) -> str:
        """Read digests until the stream ends; return the reason.

        The reason is empty when a new stream is needed: the shares changed,
        the source is no longer listed, or this process was paused.
        """
        shares = self.shares()
        call = self._daemons.at(address).peer.Endpoints(
            router_pb2.EndpointsRequest(
                entry=self._conf.name,
                interval_ms=_INTERVAL_MS,
                shares=[
                    router_pb2.PoolShare(pool=pool, share_ppm=share)
                    for pool, share in shares.items()
                ],
                share_ppm=sampling.share_ppm(self._remote_agents),
            ),
            metadata=self._daemons.metadata,
        )
        return await streams.follow(
            call,
            self._pauses,
            streams.Reading(
                timeout_s=_TIMEOUT_S,
                handle=functools.partial(self._apply, centre),
                is_current=lambda: (
                    self.shares() == shares and address in centre.sources
                ),
            ),
        )

    def _apply(
        self, centre: _DataCentre, digest: router_pb2.EndpointDigest
    ) -> None:
        centre.last_digest_ms = self._now_ms()
        centre.pool_sizes = {pool.pool: pool.endpoints for pool in digest.pools}
        sampled = set()
        for entry in digest.endpoints:
            if entry.is_sampled:
                sampled.add(entry.endpoint)
                centre.added[entry.endpoint] = entry.vm
            # A change of state may concern an endpoint that this process
            # follows directly. A lost endpoint has no VM and is not sampled.
            current = self._fleet.find(entry.endpoint)
            is_relevant = entry.is_sampled or (current is not None and entry.vm)
            # Most endpoints have not reported again since the last digest.
            if is_relevant and not _is_current(entry, current):
                self._fleet.update(
                    view_from_digest(digest, entry, self._now_ms())
                )
        self._remove_unsampled(centre, sampled)

    def _remove_unsampled(self, centre: _DataCentre, sampled: set[str]) -> None:
        for endpoint in centre.added.keys() - sampled:
            self._fleet.remove(endpoint, centre.added.pop(endpoint))


def _is_current(
    entry: router_pb2.DigestEndpoint, current: views.EndpointView | None
) -> bool:
    return current is not None and (current.vm, current.sequence) == (
        entry.vm,
        entry.sequence,
    )


def view_from_digest(
    digest: router_pb2.EndpointDigest,
    entry: router_pb2.DigestEndpoint,
    now_ms: float,
) -> views.EndpointView:
    """Return the fleet's view of an endpoint in a digest received now."""
    return views.EndpointView(
        endpoint=entry.endpoint,
        vm=entry.vm,
        data_centre=digest.data_centre,
        pool=digest.pools[entry.pool].pool,
        address=entry.address,
        state=entry.state,
        limit=entry.limit,
        in_flight=entry.in_flight,
        queued=entry.queued,
        versions=tuple(digest.version_sets[entry.version_set].versions),
        service_time_ms=entry.service_time_ms,
        first_token_ms=entry.first_token_ms,
        age_ms=entry.age_ms,
        received_ms=now_ms,
        sequence=entry.sequence,
    )
