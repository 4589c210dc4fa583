"""Cost and speed of the control plane: configuration and registry.

``run`` measures the wire bytes of an exchange over gRPC on loopback, and the
rest in one process: the traffic of a group of peers, memory, time per applied
change and the time in which a change spreads.
"""

from __future__ import annotations

import asyncio
import itertools
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, Final

import grpc

from yuccarouter.configuration import peers
from yuccarouter.registry import items, partition
from yuccarouter_common.platform import log
from yuccarouter_common.proto import router_pb2_grpc
from yuccarouter_testkit.bench import spread

_OBJECTS: Final = 1000
_KEYS: Final = 10_000
_CHANGES: Final = 300
_EXCHANGES: Final = 200
_US: Final = 1_000_000
_SIZES: Final = (10, 100, 400, 1210)
# Shares of processes that do not reach the log.
_UNREACHABLE: Final[tuple[float | str, ...]] = (0.3, 0.9, spread.ALL_BUT_ONE)
_RUNS: Final = 5
_BODY: Final = b'{"handover": "accepted", "cylinder": "R-134a-0042"}'


def run(seed: int) -> dict[str, Any]:
    """Return all figures; sizes in bytes, times in the unit of their key."""
    exchange = asyncio.run(_exchange())
    traffic = [
        spread.traffic(seed, size, exchange['overhead_bytes'])
        for size in _SIZES
    ]
    kinds = list(itertools.product(_SIZES, _UNREACHABLE)) * _RUNS
    spreads = [
        spread.spread(seed + number, *kind) for number, kind in enumerate(kinds)
    ]
    return {
        'exchange': exchange,
        'traffic': traffic,
        'spread': spread.summary(spreads),
        'memory': _memory(),
        'apply': [_apply_us(objects) for objects in (100, 1000)],
    }


async def _exchange() -> dict[str, float]:
    """Return the cost of one exchange between equal peers over gRPC.

    Bytes are those of the TCP streams, without packet headers. The CPU time
    includes both sides and the relay that counts the bytes.
    """
    server = grpc.aio.server()
    service = peers.PeerService(spread.filled(10))
    add: Callable[..., None] = router_pb2_grpc.add_PeerServicer_to_server
    add(service, server)
    counted = _Relay(server.add_insecure_port('127.0.0.1:0'))
    await server.start()
    relay = await asyncio.start_server(counted.serve, '127.0.0.1', 0)
    address = '127.0.0.1:{0}'.format(relay.sockets[0].getsockname()[1])
    async with grpc.aio.insecure_channel(address) as channel:
        costs = await _repeat(address, channel, counted)
    relay.close()
    await server.stop(None)
    return costs


async def _repeat(
    address: str,
    channel: grpc.aio.Channel,
    counted: _Relay,
) -> dict[str, float]:
    client = peers.PeerClient(
        spread.filled(10),
        'vm-bavaria-0001',
        lambda: {address: channel},
    )
    # Sets up the connection.
    await client.exchange_once()
    counted.relayed_bytes = 0
    started = time.process_time()
    while client.counters.asked <= _EXCHANGES:
        await client.exchange_once()
    cpu_s = (time.process_time() - started) / _EXCHANGES
    sizes = client.counters.sent_bytes + client.counters.received_bytes
    message = sizes / client.counters.asked
    total = counted.relayed_bytes / _EXCHANGES
    return {
        'wire_bytes': total,
        'message_bytes': message,
        'overhead_bytes': total - message,
        'cpu_us': cpu_s * _US,
    }


class _Relay:
    """Passes connections on and counts their bytes."""

    def __init__(self, port: int) -> None:
        self.relayed_bytes = 0
        self._port = port

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Relay one connection in both directions."""
        there, back = await asyncio.open_connection('127.0.0.1', self._port)
        await asyncio.gather(
            self._copy(reader, back),
            self._copy(there, writer),
        )

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        received = await reader.read(65_536)
        while received:
            self.relayed_bytes += len(received)
            writer.write(received)
            received = await reader.read(65_536)
        writer.close()


def _memory() -> dict[str, int]:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    store = spread.filled(_OBJECTS)
    objects, _ = tracemalloc.get_traced_memory()
    claimed = _claimed(with_outcomes=False)
    claims, _ = tracemalloc.get_traced_memory()
    finished = _claimed(with_outcomes=True)
    outcomes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert store.ready and len(claimed) == len(finished) == _KEYS
    return {
        'bytes_per_1000_objects': objects - before,
        'bytes_per_10000_claims': claims - objects,
        'bytes_per_10000_claims_with_outcomes': outcomes - claims,
    }


def _claimed(*, with_outcomes: bool) -> partition.Partition:
    state = partition.Partition(retain_ms=3_600_000)
    for number in range(_KEYS):
        key = f'thanupp/handover-{number:012d}'
        attempt = f'{number:032x}'
        batch: list[items.Item] = [
            items.Claim(key, attempt, 'f' * 32, '', f'{number:016x}'),
        ]
        if with_outcomes:
            batch.append(items.Outcome(key, attempt, 201, _BODY, 'text/json'))
        payload = items.encode(batch)
        state.apply(log.Entry(number, 1000 + number, '', payload))
    return state


def _apply_us(objects: int) -> dict[str, float]:
    """Return microseconds per change, of one object among many."""
    store = spread.filled(objects)
    payloads = [
        spread.change(number, 'clue-checker-7') for number in range(_CHANGES)
    ]
    started = time.perf_counter()
    for number, payload in enumerate(payloads):
        store.apply(objects + number, payload)
    applied = time.perf_counter() - started
    started = time.perf_counter()
    store.state_digest()
    digested = time.perf_counter() - started
    return {
        'objects': objects,
        'us_per_change': applied / _CHANGES * _US,
        'us_per_state_digest': digested * _US,
    }
