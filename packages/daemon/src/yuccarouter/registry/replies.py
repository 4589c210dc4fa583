"""Building the registry's replies and items from requests."""

from __future__ import annotations

from typing import Final

import eliot

from yuccarouter.registry import items, partition
from yuccarouter_common import billing_rows
from yuccarouter_common.proto import router_pb2

WON: Final = 'won'
LOST: Final = 'lost'
CONFLICT: Final = 'conflict'
EXPIRED: Final = 'expired'
UNAVAILABLE: Final = 'unavailable'

OUTCOME: Final = 'outcome'
RELEASE: Final = 'release'

# Larger bodies are not recorded: outcomes share the log with claims.
MAX_BODY_BYTES: Final = 65_536
_RETRY_AFTER_MS: Final = 1000


def window_ms(request: router_pb2.ClaimRequest, longest_ms: int) -> int:
    """Return the window within which a request's key is answered."""
    if request.window_ms:
        return min(request.window_ms, longest_ms)
    return longest_ms


def is_in_window(
    request: router_pb2.ClaimRequest,
    holder: partition.Holder,
    longest_ms: int,
) -> bool:
    """Check a key's time against the log's time of its claim.

    A key from the future would outlive the record of its claim and could be
    claimed again.
    """
    if not request.key_time_ms:
        return True
    age_ms = holder.time_ms - request.key_time_ms
    return -partition.MARGIN_MS <= age_ms <= longest_ms


def item_of(
    request: router_pb2.RecordRequest,
) -> items.Outcome | items.Release | None:
    """Return the item that a request asks to record, none if invalid."""
    if request.item == RELEASE:
        return items.Release(request.key, request.attempt_id)
    if request.item != OUTCOME or len(request.body) > MAX_BODY_BYTES:
        return None
    return items.Outcome(
        request.key,
        request.attempt_id,
        request.status,
        request.body,
        request.content_type,
        _bill_row(request),
    )


def _bill_row(
    request: router_pb2.RecordRequest,
) -> billing_rows.BillRow | None:
    """Return the row in a request; the outcome is recorded without it too."""
    if not request.HasField('bill_row'):
        return None
    try:
        return billing_rows.decode_row(request.bill_row)
    except billing_rows.BillRowError as fault:
        eliot.log_message('bill_row_not_recorded', reason=fault.message)
        return None


def took_effect(
    state: partition.Partition,
    item: items.Outcome | items.Release,
) -> bool:
    """Whether an item that has been read back changed its key."""
    holder = state.holder(item.key)
    is_held = holder is not None and holder.attempt_id == item.attempt_id
    if isinstance(item, items.Release):
        return not is_held
    return is_held and holder is not None and holder.has_outcome


def reply(
    request: router_pb2.ClaimRequest,
    state: str,
) -> router_pb2.ClaimReply:
    """Return a reply with a state and nothing else."""
    return router_pb2.ClaimReply(
        state=state,
        partition=request.partition,
        offset=-1,
    )


def unavailable(request: router_pb2.ClaimRequest) -> router_pb2.ClaimReply:
    """Return the reply to an attempt whose claim was not won."""
    answer = reply(request, UNAVAILABLE)
    answer.retry_after_ms = _RETRY_AFTER_MS
    return answer
