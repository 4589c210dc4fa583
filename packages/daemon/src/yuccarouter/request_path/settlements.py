"""Telling agents which of their attempts have been billed or discarded."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Final

from grpc import aio

from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from yuccarouter.membership import channels
    from yuccarouter.request_path import plan
    from yuccarouter_common import billing_rows

_SETTLE_TIMEOUT_S: Final = 1.0
# An attempt that is not settled is covered by its agent, so forgetting the
# oldest ones costs a duplicate row and no bill.
_MAX_PENDING: Final = 100_000


class Settlements:
    """Remembers where each attempt ran until its row is in the log."""

    def __init__(self, daemons: channels.Channels) -> None:
        self._daemons = daemons
        self._addresses: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def expect(self, note: plan.AttemptNote) -> None:
        """Remember an attempt whose row is on its way to the log."""
        self._addresses[note.attempt_id] = note.address
        if len(self._addresses) > _MAX_PENDING:
            self._addresses.popitem(last=False)

    async def settle_billed(self, rows: list[billing_rows.BillRow]) -> None:
        """Settle the attempts whose rows are in the log."""
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

    def discard(self, notes: list[plan.AttemptNote]) -> None:
        """Settle attempts whose answers were not used."""
        for note in notes:
            self._send_soon(
                note.address,
                [router_pb2.Settlement(attempt_id=note.attempt_id)],
            )

    async def wait_until_sent(self) -> None:
        """Wait for the settlements that are on their way."""
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
            # The agent covers the attempt; readers drop the second row.
            return
