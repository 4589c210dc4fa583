"""Usage that an agent keeps until the entry has settled it."""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING, Final

import attrs
import eliot
import mode

from yuccarouter.billing import errors
from yuccarouter_common import billing_rows, clocks

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter.billing import ledger
    from yuccarouter_common import model
    from yuccarouter_common.proto import router_pb2

_CHECK_INTERVAL_S: Final = 0.5
_MS_PER_S: Final = 1000
_MAX_HELD_ATTEMPTS: Final = 50_000
# Settlements that are kept since they came before their attempt was complete.
_MAX_EARLY_SETTLEMENTS: Final = 10_000


@attrs.frozen
class _HeldUsage:
    row: billing_rows.BillRow
    due_s: float


class UnsettledUsage(mode.Service):
    """Bills attempts that their entry does not settle in time.

    An entry settles each attempt as billed when the row is in the log, or as
    discarded when another attempt gave the answer. If it does neither within
    ``cover_after_ms``, its VM is considered lost and the agent adds the row to
    its own ledger. A late settlement does no harm, since readers of the log use
    only the first row of a request id.
    """

    def __init__(
        self,
        bill_ledger: ledger.Ledger,
        configuration: Callable[[], model.Configuration],
        cover_after_ms: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._ledger = bill_ledger
        self._configuration = configuration
        self._bill_after_s = cover_after_ms / _MS_PER_S
        self._clock = clock
        self._held: dict[str, _HeldUsage] = {}
        self._early_settlements: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def record_usage(
        self,
        request: router_pb2.RunRequest,
        usage: router_pb2.Usage,
        is_complete: bool,
    ) -> None:
        """Keep the usage of an attempt whose answer is complete.

        An interrupted attempt is not billed, since it gave no answer. Its
        request is billed when the entry or the caller repeats it.
        """
        if not is_complete or len(self._held) >= _MAX_HELD_ATTEMPTS:
            return
        if request.attempt_id in self._early_settlements:
            self._early_settlements.pop(request.attempt_id)
            return
        self._held[request.attempt_id] = _HeldUsage(
            row=self._row(request, usage),
            due_s=self._clock() + self._bill_after_s,
        )

    def settle(self, request: router_pb2.SettleRequest) -> None:
        """Remove the usage that the entry has billed or discarded."""
        for settlement in request.settlements:
            if self._held.pop(settlement.attempt_id, None) is None:
                self._early_settlements[settlement.attempt_id] = None
        while len(self._early_settlements) > _MAX_EARLY_SETTLEMENTS:
            self._early_settlements.popitem(last=False)

    def bill_overdue(self) -> int:
        """Add rows of overdue attempts to the ledger; return their number."""
        now_s = self._clock()
        return self._bill(
            [
                attempt_id
                for attempt_id, held in self._held.items()
                if held.due_s <= now_s
            ]
        )

    def bill_all(self) -> int:
        """Add all rows to the ledger before a stop; return their number.

        The entry may write some of them too. Readers ignore a second row.
        """
        return self._bill(list(self._held))

    def _bill(self, attempt_ids: list[str]) -> int:
        for billed, attempt_id in enumerate(attempt_ids):
            try:
                self._ledger.add(self._held[attempt_id].row)
            except errors.LedgerFullError:
                return billed
            self._held.pop(attempt_id)
        return len(attempt_ids)

    @mode.Service.task
    async def _bill_overdue_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(_CHECK_INTERVAL_S)
            billed = self.bill_overdue()
            if billed:
                eliot.log_message('bill_rows_covered', attempts=billed)

    def _row(
        self, request: router_pb2.RunRequest, usage: router_pb2.Usage
    ) -> billing_rows.BillRow:
        return billing_rows.attempt_row(
            request,
            usage,
            self._configuration(),
            clocks.wall_ms(),
        )
