"""Notices to agents that an attempt has been billed or discarded."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Final

from grpc import aio

from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from yuccarouter.membership import channels
    from yuccarouter.request_path import request_types
    from yuccarouter_common import billing_rows

_SETTLE_TIMEOUT_S: Final = 1.0
# The agent bills an attempt that is not settled. Evicting the oldest attempts
# can therefore cause a duplicate row, but no missing one.
_MAX_TRACKED: Final = 100_000


class Settlements:
    """Tracks the agent of each attempt until its bill row is in the log."""

    def __init__(self, daemons: channels.Channels) -> None:
        self._daemons = daemons
        self._addresses: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def track(self, attempt: request_types.AttemptRecord) -> None:
        """Track an attempt whose bill row is not yet in the log."""
        self._addresses[attempt.attempt_id] = attempt.address
        if len(self._addresses) > _MAX_TRACKED:
            self._addresses.popitem(last=False)

    async def settle_billed(self, rows: list[billing_rows.BillRow]) -> None:
        """Settle as billed the attempts whose rows are in the log."""
        grouped: dict[str, list[router_pb2.Settlement]] = {}
        for row in rows:
            address = self._addresses.pop(row.attempt_id, '')
            if address:
                grouped.setdefault(address, []).append(
                    router_pb2.Settlement(
                        attempt_id=row.attempt_id, billed=True
                    )
                )
        for address, settlements in grouped.items():
            self._send_soon(address, settlements)

    def discard(self, attempts: list[request_types.AttemptRecord]) -> None:
        """Settle as discarded the attempts whose answers were not used."""
        for attempt in attempts:
            self._send_soon(
                attempt.address,
                [router_pb2.Settlement(attempt_id=attempt.attempt_id)],
            )

    async def wait_until_sent(self) -> None:
        """Wait until the pending settlements have been sent or have failed."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _send_soon(
        self, address: str, settlements: list[router_pb2.Settlement]
    ) -> None:
        task = asyncio.create_task(self._send(address, settlements))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self, address: str, settlements: list[router_pb2.Settlement]
    ) -> None:
        try:
            await self._daemons.at(address).stub.Settle(
                router_pb2.SettleRequest(settlements=settlements),
                metadata=self._daemons.metadata,
                timeout=_SETTLE_TIMEOUT_S,
            )
        except aio.AioRpcError:
            # The agent will bill the attempt too; readers ignore its row.
            return
