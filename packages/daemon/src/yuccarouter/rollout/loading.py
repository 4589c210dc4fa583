"""Loads the weights of versions in a roll-out at their endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import mode
from grpc import aio

from yuccarouter.rollout import errors, weights
from yuccarouter_common import clocks
from yuccarouter_common.platform import errors as platform_errors
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter.membership import channels
    from yuccarouter.rollout import controller
    from yuccarouter.routing import views
    from yuccarouter_common import model
    from yuccarouter_common.platform import weights as weight_store

LEASE: Final = 'rollouts'

_LOADING_STATES: Final = frozenset(('created', 'rolling'))
_INTERVAL_S: Final = 0.5
_ORDER_TIMEOUT_S: Final = 30.0
_RATE_LIMITED: Final = 'rate_limited'
# A roll-out starts once this share of the pool's endpoints has the version.
# The other endpoints load it meanwhile and get none of its requests.
_MIN_LOADED_SHARE: Final = 0.5


class VersionLoader(mode.Service):
    """Loads versions in a roll-out while this process holds the lease."""

    def __init__(
        self,
        configuration: Callable[[], model.Configuration],
        fleet: views.Fleet,
        daemons: channels.Channels,
        weight_client: weight_store.Client,
        lease: controller.Lease,
    ) -> None:
        super().__init__()
        self._configuration = configuration
        self._fleet = fleet
        self._daemons = daemons
        self._weight_client = weight_client
        self._lease = lease
        self._loaders: dict[str, weights.RateLimitedLoader] = {}

    def is_loaded(self, rollout: model.Rollout) -> bool:
        """Return whether enough endpoints have a roll-out's version."""
        targets = self.targets(rollout)
        loaded_count = sum(target.is_loaded for target in targets)
        return bool(targets) and loaded_count >= _MIN_LOADED_SHARE * len(
            targets
        )

    def targets(self, rollout: model.Rollout) -> list[weights.Target]:
        """Return all endpoints of the pool of a roll-out's version."""
        name = f'{rollout.model}@{rollout.version}'
        version = self._configuration().versions.get(name)
        if version is None:
            return []
        return [
            weights.Target(
                view.endpoint, view.data_centre, name in view.versions
            )
            for view in self._fleet
            if view.pool == version.pool
        ]

    async def step(self) -> None:
        """Load at most one endpoint for each active roll-out."""
        for rollout in tuple(self._configuration().rollouts.values()):
            if rollout.state in _LOADING_STATES and self._lease.is_valid():
                await self._loader(rollout).step(self.targets(rollout))

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.step()
            await self.sleep(_INTERVAL_S)

    def _loader(self, rollout: model.Rollout) -> weights.RateLimitedLoader:
        name = f'{rollout.model}@{rollout.version}'
        loader = self._loaders.get(name)
        if loader is None:

            async def load(target: weights.Target) -> None:
                await self._load(rollout, target)

            loader = weights.RateLimitedLoader(load, clocks.monotonic_ms)
            self._loaders[name] = loader
        return loader

    async def _load(
        self, rollout: model.Rollout, target: weights.Target
    ) -> None:
        view = self._fleet.find(target.endpoint)
        if view is None:
            raise errors.LoadFailedError('the endpoint is no longer known')
        try:
            await self._weight_client.load(
                target.endpoint, rollout.model, rollout.version
            )
            reply = await self._daemons.at(view.address).stub.Order(
                router_pb2.OrderRequest(
                    order='load_version',
                    model=rollout.model,
                    version=rollout.version,
                    fencing_number=self._lease.fencing_number(),
                    lease=LEASE,
                ),
                metadata=self._daemons.metadata,
                timeout=_ORDER_TIMEOUT_S,
            )
        except platform_errors.RateLimitedError as refusal:
            raise errors.LoadRefusedError(
                refusal.message, refusal.retry_after_ms
            ) from refusal
        except (platform_errors.PlatformError, aio.AioRpcError) as fault:
            raise errors.LoadFailedError(
                f'weights not loaded: {fault}'
            ) from fault
        if not reply.accepted:
            raise _order_error(reply)


def _order_error(reply: router_pb2.OrderReply) -> errors.RolloutError:
    if reply.code == _RATE_LIMITED:
        return errors.LoadRefusedError(reply.message, reply.retry_after_ms)
    return errors.LoadFailedError(reply.message)
