"""Claims and session pins, asked of the owners of registry partitions."""

from __future__ import annotations

import hashlib
import uuid
from typing import TYPE_CHECKING, Final

from grpc import aio

from yuccarouter.registry import partitioning
from yuccarouter.request_path import errors, sender
from yuccarouter_common.proto import router_pb2

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state

# Owners that are asked for one claim; the log decides whoever is asked.
_MAX_OWNERS: Final = 2
_MARGIN_S: Final = 0.5
_UUID7_TIME_SHIFT: Final = 80
_MS_PER_S: Final = 1000
_ID_DIGITS: Final = 32
_UNAVAILABLE: Final = 'unavailable'


def session_key(organisation: str, session_id: str) -> str:
    """Return the registry key of a caller-chosen session id."""
    return _hashed('s', organisation, session_id)


def request_id(organisation: str, idempotency_key: str) -> str:
    """Return the request id of every request with a caller's key.

    It is the registry key too; the caller's own text stays out of the log.
    """
    return _hashed('r', organisation, idempotency_key)


def key_time_ms(key: str) -> int:
    """Return the Unix time that a UUID of version 7 carries, else 0.

    A key that carries its time is refused when it is older than the registry
    keeps, even after the record of its claim is gone.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return 0
    return parsed.int >> _UUID7_TIME_SHIFT if parsed.version == 7 else 0


async def claim(
    shared: entry_state.EntryState, request: router_pb2.ClaimRequest
) -> router_pb2.ClaimReply:
    """Claim a key for a new attempt and return whose it is.

    Raises ``RegistryUnavailableError`` when no owner can tell. Each owner is
    asked for an attempt of its own, since an attempt whose claim got no
    answer must never run.
    """
    timing = shared.conf.timing
    request.partition = partitioning.partition_of(
        request.key, shared.conf.registry_partitions
    )
    request.window_ms = timing.claim_window_ms
    request.timeout_ms = timing.claim_timeout_ms
    for address in _owners(shared, request.partition):
        request.attempt_id = sender.new_attempt_id()
        try:
            reply: router_pb2.ClaimReply = await shared.daemons.at(
                address
            ).stub.Claim(
                request,
                metadata=shared.daemons.metadata,
                timeout=timing.claim_timeout_ms / _MS_PER_S + _MARGIN_S,
            )
        except aio.AioRpcError:
            continue
        if reply.state != _UNAVAILABLE:
            return reply
    raise errors.RegistryUnavailableError(
        'the registry of claims can not be reached'
    )


async def release(
    shared: entry_state.EntryState,
    claimed: router_pb2.ClaimReply,
    key: str,
    holder: str,
) -> None:
    """Give up a claim of an attempt that certainly has not run."""
    request = router_pb2.RecordRequest(
        partition=claimed.partition,
        key=key,
        attempt_id=holder,
        item='release',
    )
    for address in _owners(shared, claimed.partition):
        try:
            reply = await shared.daemons.at(address).stub.Record(
                request,
                metadata=shared.daemons.metadata,
                timeout=shared.conf.timing.claim_timeout_ms / _MS_PER_S,
            )
        except aio.AioRpcError:
            continue
        if reply.recorded:
            return


def _owners(shared: entry_state.EntryState, partition: int) -> list[str]:
    addresses = [vm.address for vm in shared.directory.live('agent')]
    return partitioning.preferred_agents(partition, addresses)[:_MAX_OWNERS]


def _hashed(kind: str, organisation: str, text: str) -> str:
    # The length keeps two different pairs from giving the same text.
    joined = f'{len(organisation)}/{organisation}/{text}'
    return f'{kind}-{hashlib.sha256(joined.encode()).hexdigest()[:_ID_DIGITS]}'
