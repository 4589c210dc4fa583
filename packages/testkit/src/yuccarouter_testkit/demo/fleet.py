"""A deployment's processes, started from the example settings."""

from __future__ import annotations

import asyncio
import pathlib
import time
import uuid
from typing import Any, Final

import aiohttp
import attrs
import yaml

from yuccarouter_common import clocks, records
from yuccarouter_common.platform import log
from yuccarouter_testkit.demo import deployments, processes

_EXAMPLES: Final = pathlib.Path(__file__).resolve().parents[5] / 'examples'
_HOST: Final = '127.0.0.1'
_PLATFORM: Final = ('log', 'vms', 'ratings', 'weights')
_STREAM: Final = 'configuration'
_TIMING: Final = {'drain_delay_ms': 200, 'cover_after_ms': 3000}


@attrs.frozen
class Endpoint:
    """One endpoint with its agent."""

    name: str
    pool: str
    data_centre: str
    url: str
    agent_admin: str


@attrs.define(eq=False)
class Fleet:
    """The running processes of one deployment.

    ``entries`` are the callers' base URLs, ``admins`` those of the entries'
    admin ports.
    """

    deployment: deployments.Deployment
    started: processes.Processes
    session: aiohttp.ClientSession
    platform: dict[str, str] = attrs.field(factory=dict)
    endpoints: list[Endpoint] = attrs.field(factory=list)
    entries: list[str] = attrs.field(factory=list)
    admins: list[str] = attrs.field(factory=list)
    operator_key: str = ''

    @property
    def log_client(self) -> log.Client:
        """A client of the deployment's log."""
        return log.Client(self.session, self.platform['log'])

    async def start(self, entries: int = 2) -> None:
        """Start everything and wait until the entries serve."""
        await self._start_platform()
        await self.publish_all(self._example('configuration'))
        agents = [
            self._start_endpoint(group, index)
            for group in self.deployment.groups
            for index in range(group.count)
        ]
        fronts = [self._start_entry(index) for index in range(entries)]
        await asyncio.gather(*agents)
        # In the order of their numbers, whichever is ready first.
        for url, admin in await asyncio.gather(*fronts):
            self.entries.append(url)
            self.admins.append(admin)
        await self._wait_for_endpoints()

    async def publish_all(self, changes: list[dict[str, Any]]) -> int:
        """Append configuration records; return the last one's offset."""
        offset = -1
        for change in changes:
            record = records.Record(
                change_id=uuid.uuid4().hex,
                author='demo',
                time_ms=clocks.wall_ms(),
                kind=records.Kind(change['kind']),
                body=change['body'],
            )
            payload = records.converter.unstructure(record)
            appended = await self.log_client.append(
                _STREAM, record.change_id, payload
            )
            offset = appended.offset
        return offset

    async def status(self, admin: str) -> dict[str, Any]:
        """Return what a daemon shows of itself."""
        async with self.session.get(
            f'{admin}/status', headers=self.operator_headers()
        ) as response:
            found: dict[str, Any] = await response.json()
        return found

    def operator_headers(self) -> dict[str, str]:
        """Return the headers that open the admin ports."""
        return {'Authorization': f'Bearer {self.operator_key}'}

    def _example(self, name: str) -> Any:
        path = _EXAMPLES / self.deployment.name / f'{name}.yaml'
        return yaml.safe_load(path.read_text(encoding='utf-8'))

    async def start_entry_again(self, index: int, log_url: str) -> None:
        """Start a stopped entry at its old addresses with another log."""
        name = f'{self.deployment.name}-entry-{index + 1}'
        path = self.started.folder / f'{name}.yaml'
        settings = yaml.safe_load(path.read_text(encoding='utf-8'))
        settings['platform']['log_url'] = log_url
        process = self.started.start_daemon(name, settings)
        admin = self.admins[index]
        await processes.wait_ready(self.session, process, f'{admin}/readyz')

    async def _start_platform(self) -> None:
        for module in _PLATFORM:
            port = processes.free_port()
            name = f'{self.deployment.name}-{module}'
            process = self.started.start_double(module, name, port, {})
            self.platform[module] = f'http://{_HOST}:{port}'
            await processes.wait_ready(
                self.session, process, f'{self.platform[module]}/faults'
            )

    async def _start_endpoint(
        self, group: deployments.Group, index: int
    ) -> None:
        name = f'{group.pool}-{index + 1}'
        places = self.deployment.data_centres
        place = places[index % len(places)]
        port = processes.free_port()
        usual = 'engine' if group.is_engine else 'plain_service'
        module = group.double or usual
        process = self.started.start_double(module, name, port, group.settings)
        url = f'http://{_HOST}:{port}'
        await processes.wait_ready(self.session, process, f'{url}/load')
        settings = self._settings('agent', f'agent-{name}', place)
        settings['endpoint'] = {'name': name, 'pool': group.pool, 'url': url}
        admin = await self._start_daemon(settings)
        self.endpoints.append(Endpoint(name, group.pool, place, url, admin))

    async def _start_entry(self, index: int) -> tuple[str, str]:
        places = self.deployment.data_centres
        name = f'{self.deployment.name}-entry-{index + 1}'
        settings = self._settings('entry', name, places[index % len(places)])
        port = processes.free_port()
        settings['listen'] = {'host': _HOST, 'port': port}
        self.operator_key = settings['secrets']['operator_key']
        admin = await self._start_daemon(settings)
        return f'http://{_HOST}:{port}', admin

    def _settings(self, role: str, name: str, place: str) -> dict[str, Any]:
        settings: dict[str, Any] = self._example(role)
        settings |= {'name': name, 'vm': f'vm-{name}', 'data_centre': place}
        for part in ('peer', 'admin'):
            settings[part] = {'host': _HOST, 'port': processes.free_port()}
        settings['platform'] = {
            f'{module}_url': self.platform[module] for module in _PLATFORM
        }
        settings['timing'] = dict(_TIMING)
        return settings

    async def _start_daemon(self, settings: dict[str, Any]) -> str:
        peer = settings['peer']
        await self._list_vm(
            {
                'vm': settings['vm'],
                'address': f'{peer["host"]}:{peer["port"]}',
                'data_centre': settings['data_centre'],
                'state': 'live',
                'role': settings['role'],
                'endpoint': settings.get('endpoint', {}).get('name', ''),
            }
        )
        process = self.started.start_daemon(settings['name'], settings)
        admin = f'http://{_HOST}:{settings["admin"]["port"]}'
        await processes.wait_ready(self.session, process, f'{admin}/readyz')
        return admin

    async def _list_vm(self, vm: dict[str, Any]) -> None:
        url = f'{self.platform["vms"]}/vms/{vm["vm"]}'
        async with self.session.put(url, json=vm) as response:
            response.raise_for_status()

    async def _wait_for_endpoints(self) -> None:
        wanted = len(self.endpoints)
        deadline_s = time.monotonic() + 20
        while time.monotonic() < deadline_s:
            seen = [await self.status(admin) for admin in self.admins]
            if all(len(shown['endpoints']) >= wanted for shown in seen):
                return
            await asyncio.sleep(0.1)
        raise processes.StartError('the entries do not see all endpoints')
