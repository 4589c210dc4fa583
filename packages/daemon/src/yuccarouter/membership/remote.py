"""Following other data centres by digests, one task for each of them."""

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
_SILENCE_S: Final = 3.0
_RETRY_DELAY_S: Final = 0.25
# A source that failed is tried again after the others, for this time.
_AVOID_S: Final = 10.0
# Endpoints of a data centre without digests are used for this time. It covers
# the silence of one source and the start of the next.
_FORGET_S: Final = 5.0
_MS_PER_S: Final = 1000


@attrs.define
class _Centre:
    """One followed data centre and what the fleet holds of it."""

    sources: list[str]
    task: asyncio.Task[None] | None = None
    # VM by endpoint.
    fed: dict[str, str] = attrs.field(factory=dict)
    counts: dict[str, int] = attrs.field(factory=dict)
    failed_ms: dict[str, float] = attrs.field(factory=dict)
    heard_ms: float = 0

    def source(self, now_ms: float) -> str:
        """Return the best source that has not failed lately."""
        since_ms = now_ms - _AVOID_S * _MS_PER_S
        return min(
            self.sources,
            key=lambda address: max(
                self.failed_ms.get(address, since_ms), since_ms
            ),
        )


class RemoteEndpoints(mode.Service):
    """Feeds samples of other data centres' endpoints into the fleet.

    A digest says which endpoints are sampled now; those that are not are
    removed. What a digest says of a lost endpoint is hearsay, so calls to it
    are not cancelled: their own channel tells.
    """

    def __init__(
        self,
        conf: settings.Settings,
        fleet: views.Fleet,
        known: directory.Directory,
        daemons: channels.Channels,
        pauses: pause.PauseWatch,
        now_ms: Callable[[], float] = clocks.monotonic_ms,
    ) -> None:
        super().__init__()
        self._conf = conf
        self._fleet = fleet
        self._daemons = daemons
        self._pauses = pauses
        self._now_ms = now_ms
        self._centres: dict[str, _Centre] = {}
        self._remote_agents = 0
        known.subscribe(self.on_list)

    async def on_list(self, listed: list[vms.Vm]) -> None:
        """Start and stop following data centres by the VM list."""
        following = subset.plan(
            self._conf.name,
            self._conf.data_centre,
            listed,
            was_digesting=bool(self._centres),
        )
        self._remote_agents = sum(
            vm.role == subset.AGENT and vm.data_centre != self._conf.data_centre
            for vm in listed
        )
        for name in self._centres.keys() - following.sources.keys():
            await self._stop_following(name)
        for name, sources in following.sources.items():
            centre = self._centres.get(name)
            if centre is None:
                centre = _Centre(sources, heard_ms=self._now_ms())
                self._centres[name] = centre
                centre.task = asyncio.create_task(self._follow(name, centre))
            centre.sources = sources

    async def on_stop(self) -> None:
        """Stop following."""
        for name in tuple(self._centres):
            await self._stop_following(name)

    def shares(self) -> dict[str, int]:
        """Return the share of each pool, from the counts of all digests."""
        totals: collections.Counter[str] = collections.Counter()
        for centre in self._centres.values():
            totals.update(centre.counts)
        return {
            pool: sampling.share_ppm(count)
            for pool, count in sorted(totals.items())
        }

    async def _stop_following(self, name: str) -> None:
        centre = self._centres.pop(name)
        if centre.task is not None:
            centre.task.cancel()
            await asyncio.gather(centre.task, return_exceptions=True)
        self._keep_only(centre, set())

    async def _follow(self, name: str, centre: _Centre) -> None:
        """Follow one data centre until cancelled."""
        while not self.should_stop:
            address = centre.source(self._now_ms())
            reason = await self._read_digests(centre, address)
            if not reason:
                continue
            centre.failed_ms[address] = self._now_ms()
            silent_ms = self._now_ms() - centre.heard_ms
            if centre.fed and silent_ms >= _FORGET_S * _MS_PER_S:
                self._keep_only(centre, set())
                eliot.log_message(
                    'data_centre_unknown', data_centre=name, reason=reason
                )
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _read_digests(self, centre: _Centre, address: str) -> str:
        """Read digests until the stream ends; return why it ended.

        The text is empty when another source or other shares are wanted, and
        after a pause of this process, as for reports.
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
                silence_s=_SILENCE_S,
                take=functools.partial(self._apply, centre),
                is_wanted=lambda: (
                    self.shares() == shares and address in centre.sources
                ),
            ),
        )

    def _apply(
        self, centre: _Centre, digest: router_pb2.EndpointDigest
    ) -> None:
        centre.heard_ms = self._now_ms()
        centre.counts = {pool.pool: pool.endpoints for pool in digest.pools}
        sampled = set()
        for shown in digest.endpoints:
            if shown.is_sampled:
                sampled.add(shown.endpoint)
                centre.fed[shown.endpoint] = shown.vm
            # A change of state also tells of an endpoint that is followed
            # directly. One that is lost has no VM and is not sampled.
            held = self._fleet.find(shown.endpoint)
            is_wanted = shown.is_sampled or (held is not None and shown.vm)
            # Most endpoints have not reported again since the last digest.
            if is_wanted and not _is_held(shown, held):
                self._fleet.update(
                    view_from_digest(digest, shown, self._now_ms())
                )
        self._keep_only(centre, sampled)

    def _keep_only(self, centre: _Centre, sampled: set[str]) -> None:
        for endpoint in centre.fed.keys() - sampled:
            self._fleet.remove(endpoint, centre.fed.pop(endpoint))


def _is_held(
    shown: router_pb2.DigestEndpoint, held: views.EndpointView | None
) -> bool:
    return held is not None and (held.vm, held.sequence) == (
        shown.vm,
        shown.sequence,
    )


def view_from_digest(
    digest: router_pb2.EndpointDigest,
    shown: router_pb2.DigestEndpoint,
    now_ms: float,
) -> views.EndpointView:
    """Return the fleet's view of an endpoint in a digest received now."""
    return views.EndpointView(
        endpoint=shown.endpoint,
        vm=shown.vm,
        data_centre=digest.data_centre,
        pool=digest.pools[shown.pool].pool,
        address=shown.address,
        state=shown.state,
        limit=shown.limit,
        in_flight=shown.in_flight,
        queued=shown.queued,
        versions=tuple(digest.version_sets[shown.version_set].versions),
        service_time_ms=shown.service_time_ms,
        first_token_ms=shown.first_token_ms,
        age_ms=shown.age_ms,
        received_ms=now_ms,
        sequence=shown.sequence,
    )
