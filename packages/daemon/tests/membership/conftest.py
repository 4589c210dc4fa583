"""Fakes of the VM list and of agents behind fake channels."""

from __future__ import annotations

import asyncio
import types
from typing import Any

import attrs
import grpc
import pytest
from grpc import aio

from yuccarouter.membership import cancellation, directory, pause, reports
from yuccarouter.routing import views
from yuccarouter_common import settings
from yuccarouter_common.platform import errors, vms
from yuccarouter_common.proto import router_pb2


def vm(name: str, zone: str = 'a', **fields: Any) -> vms.Vm:
    values = {
        'address': f'{name}:1',
        'state': vms.State.LIVE,
        'role': 'agent',
        'endpoint': f'e-{name}',
        **fields,
    }
    return vms.Vm(vm=name, data_centre=zone, **values)


def report(name: str, **fields: Any) -> router_pb2.EndpointReport:
    values = {
        'endpoint': f'e-{name}',
        'vm': name,
        'data_centre': 'a',
        'pool': 'p',
        'state': 'ready',
        'limit': 4,
        'sequence': 1,
        **fields,
    }
    return router_pb2.EndpointReport(**values)


def rpc_error() -> aio.AioRpcError:
    return aio.AioRpcError(
        grpc.StatusCode.UNAVAILABLE, aio.Metadata(), aio.Metadata()
    )


class Call:
    """A stream of the messages that a test puts into it."""

    def __init__(self, request: Any) -> None:
        self.request = request
        self.messages: asyncio.Queue[Any] = asyncio.Queue()
        self.cancelled = False

    async def read(self) -> Any:
        message = await self.messages.get()
        if isinstance(message, Exception):
            raise message
        return message

    def cancel(self) -> None:
        self.cancelled = True


class Daemons:
    """Fake channels that record their calls by address."""

    metadata = ()

    def __init__(self) -> None:
        self.calls: dict[str, list[Call]] = {}
        self.kept_addresses: set[str] = set()

    def at(self, address: str) -> Any:
        def open_call(request: Any, **_: Any) -> Call:
            call = Call(request)
            self.calls.setdefault(address, []).append(call)
            return call

        return types.SimpleNamespace(
            stub=types.SimpleNamespace(Reports=open_call),
            peer=types.SimpleNamespace(Endpoints=open_call),
        )

    async def keep_only(self, addresses: set[str]) -> None:
        self.kept_addresses = addresses

    async def send(self, address: str, message: Any) -> None:
        """Send a message on the newest stream of an address."""
        await self.settle()
        self.calls[address][-1].messages.put_nowait(message)
        await self.settle()

    async def settle(self) -> None:
        """Let the tasks run until they wait for messages."""
        for _ in range(30):
            await asyncio.sleep(0)


@attrs.define
class World:
    """An entry's membership services with fake collaborators."""

    listed: list[vms.Vm] | None = None
    daemons: Any = attrs.field(factory=Daemons)
    fleet: views.Fleet = attrs.field(
        factory=lambda: views.Fleet(lambda: 0, lambda: 0)
    )
    canceller: cancellation.CallCanceller = attrs.field(
        factory=cancellation.CallCanceller
    )
    conf: settings.Settings = attrs.field(
        factory=lambda: settings.parse(_SETTINGS)
    )
    now_ms: float = 0
    vm_directory: directory.Directory = attrs.field(init=False)
    pauses: pause.PauseDetector = attrs.field(init=False)
    reports: reports.ReportReader = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.vm_directory = directory.Directory(self.fetch, 1000)
        self.pauses = pause.PauseDetector(750, (lambda: self.now_ms,))
        self.reports = reports.ReportReader(
            self.conf,
            self.fleet,
            self.vm_directory,
            self.daemons,
            self.canceller,
            self.pauses,
        )

    vm = staticmethod(vm)
    report = staticmethod(report)
    rpc_error = staticmethod(rpc_error)

    async def fetch(self) -> list[vms.Vm]:
        if self.listed is None:
            raise errors.UnavailableError('VM list is unreachable')
        return self.listed

    async def list(self, *listed: vms.Vm) -> None:
        self.listed = [*listed]
        await self.vm_directory.refresh()

    def endpoints(self) -> dict[str, str]:
        """Return the address at which the fleet holds each endpoint."""
        return {view.endpoint: view.address for view in self.fleet}


@pytest.fixture
async def world(monkeypatch: pytest.MonkeyPatch) -> Any:
    monkeypatch.setattr(reports, '_RECONNECT_DELAY_S', 0)
    created = World()
    yield created
    await created.reports.on_stop()


_SETTINGS = """
role: entry
name: entry-1
vm: entry-1
data_centre: a
listen: {host: 127.0.0.1, port: 1}
peer: {host: 127.0.0.1, port: 2}
admin: {host: 127.0.0.1, port: 3}
platform: {log_url: 'http://l', vms_url: 'http://v', ratings_url: 'http://r',
  weights_url: 'http://w'}
secrets: {session_key: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa,
  peer_key: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa,
  operator_key: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa}
"""
