"""Builds replies to registry requests and the items that they record."""

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

# Larger bodies are not recorded, because outcomes share the log with claims.
MAX_BODY_BYTES: Final = 65_536
_RETRY_AFTER_MS: Final = 1000


def window_ms(request: router_pb2.ClaimRequest, max_window_ms: int) -> int:
    """Return how long after its claim a request's key stays valid."""
    if request.window_ms:
        return min(request.window_ms, max_window_ms)
    return max_window_ms


def is_in_window(
    request: router_pb2.ClaimRequest,
    holder: partition.Holder,
    max_age_ms: int,
) -> bool:
    """Whether a key was first used at most ``max_age_ms`` before its claim.

    A key with a time in the future would still be valid after the record of
    its claim has expired, and could be claimed again.
    """
    if not request.key_time_ms:
        return True
    age_ms = holder.time_ms - request.key_time_ms
    return -partition.CLOCK_SKEW_MARGIN_MS <= age_ms <= max_age_ms


def item_to_record(
    request: router_pb2.RecordRequest,
) -> items.Outcome | items.Release | None:
    """Return the item that a request asks to record, ``None`` if invalid."""
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
    """Return the bill row of a request, ``None`` if missing or malformed.

    The outcome is recorded in either case.
    """
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
    """Whether an item that has been read back is in effect for its key."""
    holder = state.holder(item.key)
    is_held = holder is not None and holder.attempt_id == item.attempt_id
    if isinstance(item, items.Release):
        return not is_held
    return is_held and holder is not None and holder.has_outcome


def with_state(
    request: router_pb2.ClaimRequest,
    state: str,
) -> router_pb2.ClaimReply:
    """Return a reply that has only a state."""
    return router_pb2.ClaimReply(
        state=state,
        partition=request.partition,
        offset=-1,
    )


def unavailable(request: router_pb2.ClaimRequest) -> router_pb2.ClaimReply:
    """Return a reply of state ``unavailable`` with a retry delay."""
    reply = with_state(request, UNAVAILABLE)
    reply.retry_after_ms = _RETRY_AFTER_MS
    return reply
