"""Restores the highest fencing numbers when an agent starts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import mode

from yuccarouter.rollout import errors, lease_holder, lease_state
from yuccarouter_common.platform import errors as platform_errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter_common import history

_RETRY_DELAY_S: Final = 1.0


class FencingNumberReader(mode.Service):
    """Reads the newest fencing numbers once, as soon as the log is available.

    A restarted agent has lost the highest numbers that it had seen. Without
    this it would execute orders of a controller that has lost its lease, until
    it receives the first order of the present holder. ``raise_to`` is called
    with a lease and the least fencing number to accept for it.
    """

    def __init__(
        self,
        client: history.LogClient,
        raise_to: Callable[[str, int], None],
    ) -> None:
        super().__init__()
        self._client = client
        self._raise_to = raise_to

    async def read(self) -> None:
        """Read the stream once; raises ``PlatformError``."""
        head = await self._client.read(lease_state.STREAM, 0, limit=1)
        start = await lease_holder.start_offset(self._client, head)
        while start < head.end_offset:
            batch = await self._client.read(lease_state.STREAM, start)
            if not batch.records:
                return
            for entry in batch.records:
                self._apply(entry.payload)
            start = batch.records[-1].offset + 1

    @mode.Service.task
    async def _read_until_done(self) -> None:
        while not self.should_stop:
            try:
                await self.read()
            except platform_errors.PlatformError:
                await asyncio.sleep(_RETRY_DELAY_S)
            else:
                return

    def _apply(self, payload: object) -> None:
        try:
            record = lease_state.decode(payload)
        except errors.LeaseRecordError:
            return
        # An acquire may have had no effect, so that its number counts only
        # once a renewal contains it.
        if record.action is lease_state.Action.RENEW:
            self._raise_to(record.lease, record.fencing_number)
