"""Control of roll-outs by the one process that holds their lease."""

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

_NO_NUMBER: Final = -1


@attrs.frozen
class Dependencies:
    """What control of roll-outs works with."""

    log_client: history.LogClient
    rating_client: ratings.Client
    weight_client: weight_store.Client
    configuration_store: store.Store
    fleet: views.Fleet
    daemons: channels.Channels


@attrs.frozen
class HeldLease:
    """The lease as the controller asks for it."""

    holder: lease_holder.LeaseHolder

    def fencing_number(self) -> int:
        """Return the number of the lease, -1 when it is not held."""
        number = self.holder.fencing_number()
        return _NO_NUMBER if number is None else number

    def is_valid(self) -> bool:
        """Return whether the lease is held now."""
        return self.holder.fencing_number() is not None


class RolloutControl(mode.Service):
    """Competes for the lease, and controls roll-outs while it holds it."""

    def __init__(self, parts: Dependencies) -> None:
        super().__init__()
        self._parts = parts
        self.holder = lease_holder.LeaseHolder(parts.log_client, loading.LEASE)

    async def on_start(self) -> None:
        """Start the parts; each acts only while the lease is held."""
        parts = self._parts
        held = HeldLease(self.holder)
        loader = loading.Loading(
            parts.configuration_store.current,
            parts.fleet,
            parts.daemons,
            parts.weight_client,
            held,
        )
        # Kinds are tested on their own from the start on; one that is
        # configured later counts in the pooled test.
        collected = collectors.Collectors(
            tuple(sorted(parts.configuration_store.current().kinds)),
            clocks.wall_ms,
            loader.is_loaded,
        )
        for part in (
            self.holder,
            loader,
            feed.Feed(parts.log_client, parts.rating_client, collected),
            controller.Controller(
                lease=held,
                source=collected,
                configuration=parts.configuration_store.current,
                publish=self._publish,
            ),
        ):
            await self.add_runtime_dependency(part)

    async def _publish(self, record: records.Record) -> Any:
        try:
            return await publish.publish(self._parts.log_client, record)
        except publish.PublishError as fault:
            # The controller decides again from the configuration in effect.
            raise platform_errors.AnswerLostError(fault.message) from fault
