"""Cost of reports and digests over gRPC, both ends in one process."""

from __future__ import annotations

import asyncio
import contextlib
import gzip
import random
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

import attrs
from grpc import aio

from yuccarouter.admission import servicer
from yuccarouter.membership import (
    channels,
    digests,
    peer_service,
    remote,
    reports,
    sampling,
    streams,
)
from yuccarouter.routing import views
from yuccarouter_common import clocks
from yuccarouter_common.platform import vms
from yuccarouter_common.proto import router_pb2, router_pb2_grpc

ZONES: Final = 7
_KEY: Final = 'benchmark-key'
_PREFIXES: Final = 64
_WINDOW_S: Final = 4.0
_SETTLE_S: Final = 1.0
_US: Final = 1e6
_PERCENT: Final = 100
_DIGEST_INTERVAL_MS: Final = 250
_ROUNDS: Final = 200
_VERSIONS: Final = ('clue-large@1', 'clue-large@2', 'clue-small@7')


@attrs.define
class Received:
    """Messages and their serialized bytes, and the processor time meanwhile."""

    messages: int = 0
    size_bytes: int = 0
    cpu_s: float = 0
    passed_s: float = 0

    def note(self, message: Any) -> None:
        """Count a message."""
        self.messages += 1
        self.size_bytes += message.ByteSize()

    def figures(self, name: str) -> dict[str, float]:
        """Return the rates and the cost of one message."""
        return {
            f'{name}_messages_per_s': self.messages / self.passed_s,
            f'{name}_bytes_per_s': self.size_bytes / self.passed_s,
            f'{name}_core_percent': self.cpu_s / self.passed_s * _PERCENT,
            f'{name}_us_per_message': self.cpu_s / self.messages * _US,
        }


def report(number: int, rng: random.Random) -> router_pb2.EndpointReport:
    """Return a report as an agent of an engine makes it."""
    return router_pb2.EndpointReport(
        endpoint=f'endpoint-{number}',
        vm=f'agent-vm-{number}',
        data_centre=f'zone-{number % ZONES}',
        pool=f'pool-{number % 3}',
        state=views.READY,
        limit=64,
        in_flight=rng.randrange(64),
        queued=rng.randrange(4),
        age_ms=rng.randrange(250),
        versions=_VERSIONS,
        service_time_ms=rng.uniform(500, 9000),
        first_token_ms=rng.uniform(50, 500),
        position=router_pb2.Position(generation=1, offset=200_000),
        sequence=time.monotonic_ns(),
        prefixes=[rng.getrandbits(64) for _ in range(_PREFIXES)],
        kv_used_ppm=rng.randrange(1_000_000),
    )


def filled_fleet(
    endpoints: int, seed: int, zone: int = 0, step: int = 1
) -> views.Fleet:
    """Return a fleet that holds a report of each endpoint.

    With ``step`` equal to ``ZONES`` it holds those of one zone only.
    """
    rng = random.Random(seed)
    fleet = views.Fleet(clocks.monotonic_ms, rng.random)
    for number in range(zone, endpoints, step):
        fleet.update(
            reports.view_from_report(report(number, rng), '10.0.0.1:7000')
        )
    return fleet


async def follow_reports(
    agents: int, interval_ms: int, max_prefixes: int, seed: int
) -> Received:
    """Follow agents, one port and one stream each, for a fixed time."""
    rng = random.Random(seed)
    fleet = views.Fleet(clocks.monotonic_ms, rng.random)
    received = Received()
    unused: Any = None

    async def follow(number: int) -> None:
        agent = servicer.AgentServicer(
            unused,
            unused,
            unused,
            lambda: report(number, rng),
            lambda: views.READY,
        )
        async with _served(
            lambda server: router_pb2_grpc.add_AgentServicer_to_server(
                agent, server
            )
        ) as daemon:
            call = daemon.stub.Reports(
                router_pb2.ReportsRequest(
                    entry='entry',
                    interval_ms=interval_ms,
                    max_prefixes=max_prefixes,
                )
            )
            while True:
                message = await streams.read(call, _WINDOW_S * 3)
                fleet.update(reports.view_from_report(message, daemon.address))
                received.note(message)

    await _measure([follow(number) for number in range(agents)], received)
    return received


async def follow_digests(peers: int, endpoints: int, seed: int) -> Received:
    """Get digests from some peers, more often than a daemon would."""
    received = Received()
    unused: Any = None

    async def follow(zone: int) -> None:
        known: Any = _Known()
        fleet = filled_fleet(endpoints, seed, zone, ZONES)
        served = peer_service.MembershipServicer(
            digests.Source(f'zone-{zone}', fleet, known, clocks.monotonic_ms),
            unused,
        )
        async with _served(
            lambda server: router_pb2_grpc.add_PeerServicer_to_server(
                served, server
            )
        ) as daemon:
            call = daemon.peer.Endpoints(
                digest_request(endpoints, _DIGEST_INTERVAL_MS)
            )
            while True:
                received.note(await streams.read(call, _WINDOW_S))

    await _measure([follow(zone) for zone in range(peers)], received)
    return received


def digest_cost(endpoints: int, seed: int) -> dict[str, float]:
    """Return the size of a digest and the time to make and to apply one.

    ``endpoints`` is the number in the fleet, a seventh of which the source has.
    """
    known: Any = _Known()
    source = digests.Source(
        'zone-1',
        filled_fleet(endpoints, seed, 1, ZONES),
        known,
        clocks.monotonic_ms,
    )
    request = digest_request(endpoints, _DIGEST_INTERVAL_MS)
    told: dict[str, str] = {}
    made = source.digest(request, told)
    receiver = views.Fleet(clocks.monotonic_ms, random.Random(seed).random)
    started = time.process_time()
    for _ in range(_ROUNDS):
        made = source.digest(request, told)
    made_s = time.process_time() - started
    started = time.process_time()
    for sequence in range(_ROUNDS):
        for shown in made.endpoints:
            shown.sequence += sequence
            receiver.update(
                remote.view_from_digest(made, shown, clocks.monotonic_ms())
            )
    applied_s = time.process_time() - started
    packed = made.SerializeToString()
    return {
        'sampled': len(made.endpoints),
        'bytes': len(packed),
        'gzip_bytes': len(gzip.compress(packed, 6)),
        'make_us': made_s / _ROUNDS * _US,
        'apply_us': applied_s / _ROUNDS * _US,
    }


def digest_request(
    endpoints: int, interval_ms: int
) -> router_pb2.EndpointsRequest:
    """Return the request of an entry in a fleet of that many endpoints."""
    share = sampling.share_ppm(endpoints // 3 * (ZONES - 1) // ZONES)
    return router_pb2.EndpointsRequest(
        entry='entry', interval_ms=interval_ms, share_ppm=share
    )


class _Known:
    """A VM list with one agent of each zone."""

    def live(self, role: str) -> list[vms.Vm]:
        return [
            vms.Vm(f'agent-vm-{zone}', '', f'zone-{zone}', vms.State.LIVE, role)
            for zone in range(ZONES)
        ]


async def _measure(tasks: list[Any], received: Received) -> None:
    running = [asyncio.create_task(task) for task in tasks]
    await asyncio.sleep(_SETTLE_S)
    received.messages = 0
    received.size_bytes = 0
    cpu_s, started_s = time.process_time(), time.monotonic()
    await asyncio.sleep(_WINDOW_S)
    received.cpu_s = time.process_time() - cpu_s
    received.passed_s = time.monotonic() - started_s
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


@contextlib.asynccontextmanager
async def _served(
    add: Callable[[aio.Server], None],
) -> AsyncIterator[channels.DaemonClient]:
    server = aio.server()
    add(server)
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    daemons = channels.Channels(_KEY)
    try:
        yield daemons.at(f'127.0.0.1:{port}')
    finally:
        await daemons.close()
        await server.stop(None)
