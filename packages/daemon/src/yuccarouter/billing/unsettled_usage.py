"""Usage that an agent keeps until the entry has billed it."""

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
# Settlements that came before the answer was whole, kept for when it is.
_MAX_SETTLED_EARLY: Final = 10_000


@attrs.frozen
class _Held:
    row: billing_rows.BillRow
    due_s: float


class UnsettledUsage(mode.Service):
    """Writes the bill row of an attempt that its entry has not settled.

    An entry settles each attempt: billed when the row is in the log, or
    discarded when another attempt gave the answer. When neither comes within
    ``cover_after_ms``, the entry's VM is taken as lost and the row is written
    here. Readers keep the first row of a request id, so a late settlement does
    no harm.
    """

    def __init__(
        self,
        rows: ledger.Ledger,
        configuration: Callable[[], model.Configuration],
        cover_after_ms: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._rows = rows
        self._configuration = configuration
        self._cover_after_s = cover_after_ms / _MS_PER_S
        self._clock = clock
        self._held: dict[str, _Held] = {}
        self._settled_early: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def record_usage(
        self,
        request: router_pb2.RunRequest,
        usage: router_pb2.Usage,
        is_complete: bool,
    ) -> None:
        """Keep the usage of an attempt whose answer is whole.

        An attempt that was cut gave no answer. Its request is repeated by the
        entry or the caller and billed then.
        """
        if not is_complete or len(self._held) >= _MAX_HELD_ATTEMPTS:
            return
        if request.attempt_id in self._settled_early:
            self._settled_early.pop(request.attempt_id)
            return
        self._held[request.attempt_id] = _Held(
            row=self._row(request, usage),
            due_s=self._clock() + self._cover_after_s,
        )

    def settle(self, request: router_pb2.SettleRequest) -> None:
        """Forget the attempts that the entry has billed or discarded."""
        for settlement in request.settlements:
            if self._held.pop(settlement.attempt_id, None) is None:
                self._settled_early[settlement.attempt_id] = None
        while len(self._settled_early) > _MAX_SETTLED_EARLY:
            self._settled_early.popitem(last=False)

    def bill_overdue(self) -> int:
        """Hand the rows of overdue attempts to the ledger; return how many."""
        now_s = self._clock()
        return self._cover(
            [
                attempt_id
                for attempt_id, held in self._held.items()
                if held.due_s <= now_s
            ]
        )

    def bill_all(self) -> int:
        """Hand all rows to the ledger, before a stop; return how many.

        The entry may write some of them as well, which does no harm.
        """
        return self._cover(list(self._held))

    def _cover(self, attempt_ids: list[str]) -> int:
        for covered, attempt_id in enumerate(attempt_ids):
            try:
                self._rows.add(self._held[attempt_id].row)
            except errors.LedgerFullError:
                return covered
            self._held.pop(attempt_id)
        return len(attempt_ids)

    @mode.Service.task
    async def _cover_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(_CHECK_INTERVAL_S)
            covered = self.bill_overdue()
            if covered:
                eliot.log_message('bill_rows_covered', attempts=covered)

    def _row(
        self, request: router_pb2.RunRequest, usage: router_pb2.Usage
    ) -> billing_rows.BillRow:
        return billing_rows.attempt_row(
            request,
            usage,
            self._configuration(),
            clocks.wall_ms(),
        )
