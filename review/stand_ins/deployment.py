"""A small deployment: the project's store stand-in and gateway processes.

The gateways are started with the command of the deploy file, each at a loopback
address of its own, as a VM has. The settings are those that the users' pages
show for a machine of the small deployment.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import shutil
import signal
import socket
import tempfile
import time
from typing import Any

from aiohttp import web
from yuccarouter_testbed import store

from stand_ins import paths, record

DRAIN_MS = 2000
HEARTBEAT_S = 1.2
_READY_TIMEOUT_S = 20.0
_SETTINGS = """nodeName = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "area"
portRange = [{peer}, {peer_end}]
seeds = []
bootstrap = {bootstrap}
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
zone-a = "area"
zone-b = "area"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
cpuShare = 0.817
cpuCores = 1
memoryMb = 150
maxFds = 4100
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
revokeStrict = false
revokeMs = 5000
retryBudgetRatio = 0.9
budgetWindowS = 10
budgetSlack = 56
exposureShare = 0.15
exposureSlack = 30
rollbackMs = 5000
coldOvershoot = 1.5
coldSlack = 5
evacuateMs = 5000
recoverS = 12
passMs = 120
reuseWindowS = 10
sessionS = 5
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
ttlMinMs = 1000
"""


def route(name: str, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        'name': name,
        'host': 'desk.example',
        'pathPrefix': f'/{name}/',
        'routeType': kind,
        'service': service,
        'timeoutMs': 2500,
        'targetLatencyMs': 200,
        'priority': 1,
        'maxAttempts': 3,
        'anonymous': False,
        **fields,
    }


def configuration(
    routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration with one organisation."""
    return {
        'version': 1,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'desk', 'apiKeys': ['key-1']}],
    }


class Gateway:
    """A gateway process of the system."""

    def __init__(self, name: str, host: str, zone: str) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.front, self.ready, self.peer = _free_ports(host, 3)
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0


class Deployment:
    """The store and the gateways, with the record of the case."""

    def __init__(self, log: record.Record) -> None:
        self.log = log
        self.store = store.Store()
        self.gateways: list[Gateway] = []
        self.endpoints: list[Any] = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._runner: web.AppRunner | None = None
        self._store_address = ''

    async def start(self, document: dict[str, Any]) -> None:
        """Start the store and write the first configuration."""
        self._runner = web.AppRunner(
            store.make_app(self.store),
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self._store_address = f'127.0.0.1:{port}'
        self.store.write('keyed.op', 'config', document)

    async def stop(self) -> None:
        """End all processes that this case started, and the store."""
        for gateway in self.gateways:
            await self.kill(gateway)
        for endpoint in self.endpoints:
            await endpoint.stop()
        if self._runner is not None:
            await self._runner.cleanup()
        shutil.rmtree(self.folder, ignore_errors=True)

    def add_gateway(self, zone: str = 'zone-a') -> Gateway:
        """Return a new gateway, not started."""
        number = len(self.gateways) + 1
        high, low = divmod(os.getpid(), 250)
        host = f'127.{64 + high % 180}.{1 + low}.{1 + number}'
        gateway = Gateway(f'front-{zone}-{number}', host, zone)
        self.gateways.append(gateway)
        return gateway

    async def launch(self, gateway: Gateway) -> None:
        """Start the process as the platform does."""
        settings = self.folder / f'{gateway.name}.toml'
        settings.write_text(
            _SETTINGS.format(
                name=gateway.name,
                host=gateway.host,
                zone=gateway.zone,
                front=gateway.front,
                ready=gateway.ready,
                peer=gateway.peer,
                peer_end=gateway.peer + 15,
                store=self._store_address,
                bootstrap='false' if gateway.starts else 'true',
            ),
            'utf-8',
        )
        gateway.starts += 1
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with (self.folder / f'{gateway.name}.log').open('ab') as output:
            gateway.process = await asyncio.create_subprocess_exec(
                'python3',
                '-S',
                'platform/serve.py',
                f'--listen={gateway.host}:{gateway.front}',
                cwd=paths.ROOT,
                env={
                    **environment,
                    'PYTHONPATH': str(paths.LIBRARIES),
                    'YUCCAROUTER_SETTINGS': str(settings),
                },
                stdout=output,
                stderr=output,
            )
        self.log.write('gateway_started', name=gateway.name)

    async def wait_until_ready(self, gateway: Gateway) -> None:
        """Wait until the readiness check returns 200."""
        ends_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < ends_s:
            if await _is_ready(gateway):
                self.log.write('gateway_ready', name=gateway.name)
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{gateway.name} is not ready')

    def signal(self, gateway: Gateway, number: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        process = gateway.process
        if process is not None and process.returncode is None:
            process.send_signal(number)
            self.log.write('signal', name=gateway.name, signal=number.name)

    async def kill(self, gateway: Gateway) -> None:
        """Kill a process and wait for its end."""
        process = gateway.process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()

    def has_ended(self, gateway: Gateway) -> bool:
        """Return whether a started process is gone."""
        process = gateway.process
        return process is not None and process.returncode is not None


async def _is_ready(gateway: Gateway) -> bool:
    try:
        reader, writer = await asyncio.open_connection(
            gateway.host, gateway.ready
        )
    except OSError:
        return False
    try:
        writer.write(
            b'GET /yuccarouter/ready HTTP/1.1\r\nHost: x\r\n'
            b'Connection: close\r\n\r\n'
        )
        async with asyncio.timeout(1):
            line = await reader.readline()
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()
    return b' 200 ' in line


def _free_ports(host: str, count: int) -> list[int]:
    """Return free ports; those between daemons are free in both protocols."""
    opened = []
    for _ in range(count):
        tcp = socket.socket()
        tcp.bind((host, 0))
        opened.append(tcp)
    ports = [each.getsockname()[1] for each in opened]
    for each in opened:
        each.close()
    return ports
