"""Claims of idempotency keys and session ids in the registry.

A claim assigns a key to one attempt, or a session id to one version. It is
requested from an agent that owns the key's registry partition.
"""

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

# More than one owner may be asked, since the log decides between claims.
_MAX_OWNERS_ASKED: Final = 2
_REPLY_MARGIN_S: Final = 0.5
_UUID7_TIME_SHIFT: Final = 80
_MS_PER_S: Final = 1000
_ID_DIGITS: Final = 32
_UNAVAILABLE: Final = 'unavailable'


def session_key(organisation: str, session_id: str) -> str:
    """Return the registry key of a caller-chosen session id."""
    return _hashed_key('s', organisation, session_id)


def request_id(organisation: str, idempotency_key: str) -> str:
    """Return the request id of all requests with a caller's key.

    It is also the registry key. It is a hash, so that the caller's own text is
    not written to the log.
    """
    return _hashed_key('r', organisation, idempotency_key)


def key_time_ms(key: str) -> int:
    """Return the Unix time in a UUID of version 7; 0 for any other key.

    A key with a time is refused when it is older than the registry's retention
    period, even after the record of its claim has been removed.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return 0
    return parsed.int >> _UUID7_TIME_SHIFT if parsed.version == 7 else 0


async def claim(
    shared: entry_state.EntryState, request: router_pb2.ClaimRequest
) -> router_pb2.ClaimReply:
    """Claim a key for a new attempt and return which attempt holds it.

    Raises ``RegistryUnavailableError`` when no owner can decide. Each owner is
    asked with a new attempt id, since an attempt whose claim got no reply must
    never run.
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
                timeout=timing.claim_timeout_ms / _MS_PER_S + _REPLY_MARGIN_S,
            )
        except aio.AioRpcError:
            continue
        if reply.state != _UNAVAILABLE:
            return reply
    raise errors.RegistryUnavailableError(
        'no owner of the registry partition is available'
    )


async def release(
    shared: entry_state.EntryState,
    won: router_pb2.ClaimReply,
    key: str,
    attempt_id: str,
) -> None:
    """Release the claim of an attempt that certainly has not run."""
    request = router_pb2.RecordRequest(
        partition=won.partition,
        key=key,
        attempt_id=attempt_id,
        item='release',
    )
    for address in _owners(shared, won.partition):
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
    return partitioning.preferred_agents(partition, addresses)[
        :_MAX_OWNERS_ASKED
    ]


def _hashed_key(prefix: str, organisation: str, text: str) -> str:
    # Without the length, two different pairs could give the same text.
    pair = f'{len(organisation)}/{organisation}/{text}'
    return f'{prefix}-{hashlib.sha256(pair.encode()).hexdigest()[:_ID_DIGITS]}'
