"""Control of roll-outs by the process that holds their lease."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import attrs
import mode

from yuccarouter.rollout import (
    collectors,
    controller,
    feed,
    lease_holder,
    loading,
)
from yuccarouter_common import clocks, publish
from yuccarouter_common.platform import errors as platform_errors

if TYPE_CHECKING:
    from yuccarouter.configuration import store
    from yuccarouter.membership import channels
    from yuccarouter.routing import views
    from yuccarouter_common import history, records
    from yuccarouter_common.platform import ratings
    from yuccarouter_common.platform import weights as weight_store

_NO_FENCING_NUMBER: Final = -1


@attrs.frozen
class Dependencies:
    """Clients and stores that the control of roll-outs uses."""

    log_client: history.LogClient
    rating_client: ratings.Client
    weight_client: weight_store.Client
    configuration_store: store.Store
    fleet: views.Fleet
    daemons: channels.Channels


@attrs.frozen
class HeldLease:
    """Adapter from a lease holder to the controller's ``Lease``."""

    holder: lease_holder.LeaseHolder

    def fencing_number(self) -> int:
        """Return the fencing number of the lease, -1 if it is not held."""
        number = self.holder.fencing_number()
        return _NO_FENCING_NUMBER if number is None else number

    def is_valid(self) -> bool:
        """Return whether the lease is held now."""
        return self.holder.fencing_number() is not None


class RolloutControl(mode.Service):
    """Competes for the lease, and controls roll-outs while it holds it."""

    def __init__(self, dependencies: Dependencies) -> None:
        super().__init__()
        self._dependencies = dependencies
        self.holder = lease_holder.LeaseHolder(
            dependencies.log_client, loading.LEASE
        )

    async def on_start(self) -> None:
        """Start the services; each acts only while the lease is held."""
        dependencies = self._dependencies
        lease = HeldLease(self.holder)
        loader = loading.VersionLoader(
            dependencies.configuration_store.current,
            dependencies.fleet,
            dependencies.daemons,
            dependencies.weight_client,
            lease,
        )
        # Each kind that is configured now has a test of its own; kinds that
        # are configured later count only in the pooled test.
        evidence_source = collectors.Collectors(
            tuple(sorted(dependencies.configuration_store.current().kinds)),
            clocks.wall_ms,
            loader.is_loaded,
        )
        for service in (
            self.holder,
            loader,
            feed.Feed(
                dependencies.log_client,
                dependencies.rating_client,
                evidence_source,
            ),
            controller.Controller(
                lease=lease,
                source=evidence_source,
                configuration=dependencies.configuration_store.current,
                publish=self._publish,
            ),
        ):
            await self.add_runtime_dependency(service)

    async def _publish(self, record: records.Record) -> Any:
        try:
            return await publish.publish(self._dependencies.log_client, record)
        except publish.PublishError as fault:
            # The controller decides again on the current configuration.
            raise platform_errors.AnswerLostError(fault.message) from fault
