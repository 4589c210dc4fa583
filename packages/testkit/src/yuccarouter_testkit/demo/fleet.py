"""Starts the processes of a deployment with the example settings."""

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

_EXAMPLES_FOLDER: Final = (
    pathlib.Path(__file__).resolve().parents[5] / 'examples'
)
_HOST: Final = '127.0.0.1'
_PLATFORM_SERVICES: Final = ('log', 'vms', 'ratings', 'weights')
_CONFIGURATION_STREAM: Final = 'configuration'
_TIMING: Final = {'drain_delay_ms': 200, 'cover_after_ms': 3000}


@attrs.frozen
class Endpoint:
    """An endpoint and the admin URL of its agent."""

    name: str
    pool: str
    data_centre: str
    url: str
    agent_admin: str


@attrs.define(eq=False)
class Fleet:
    """The running processes of one deployment.

    ``started`` starts and stops the processes. ``platform`` maps each platform
    service to its base URL. ``entries`` are the base URLs for callers, and
    ``admins`` the base URLs of the entries' admin ports, in the same order.
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
        """Return a client of the deployment's log."""
        return log.Client(self.session, self.platform['log'])

    async def start(self, entries: int = 2) -> None:
        """Start all processes and wait until each entry lists all endpoints.

        Raises ``processes.StartError`` if a process exits or a wait times out.
        """
        await self._start_platform()
        await self.publish_all(self._example('configuration'))
        agents = [
            self._start_endpoint(group, index)
            for group in self.deployment.groups
            for index in range(group.count)
        ]
        entry_starts = [self._start_entry(index) for index in range(entries)]
        await asyncio.gather(*agents)
        # Entries may get ready in any order; gather keeps them sorted by index.
        for url, admin in await asyncio.gather(*entry_starts):
            self.entries.append(url)
            self.admins.append(admin)
        await self._wait_for_endpoints()

    async def publish_all(self, changes: list[dict[str, Any]]) -> int:
        """Append configuration records and return the offset of the last one.

        Returns -1 if ``changes`` is empty.
        """
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
                _CONFIGURATION_STREAM, record.change_id, payload
            )
            offset = appended.offset
        return offset

    async def status(self, admin: str) -> dict[str, Any]:
        """Return the status document of the daemon at an admin URL."""
        async with self.session.get(
            f'{admin}/status', headers=self.operator_headers()
        ) as response:
            document: dict[str, Any] = await response.json()
        return document

    def operator_headers(self) -> dict[str, str]:
        """Return the headers that authorise requests to the admin ports."""
        return {'Authorization': f'Bearer {self.operator_key}'}

    def _example(self, name: str) -> Any:
        path = _EXAMPLES_FOLDER / self.deployment.name / f'{name}.yaml'
        return yaml.safe_load(path.read_text(encoding='utf-8'))

    async def start_entry_again(self, index: int, log_url: str) -> None:
        """Restart a stopped entry on the same ports with another log URL."""
        name = f'{self.deployment.name}-entry-{index + 1}'
        path = self.started.folder / f'{name}.yaml'
        settings = yaml.safe_load(path.read_text(encoding='utf-8'))
        settings['platform']['log_url'] = log_url
        process = self.started.start_daemon(name, settings)
        admin = self.admins[index]
        await processes.wait_ready(self.session, process, f'{admin}/readyz')

    async def _start_platform(self) -> None:
        for module in _PLATFORM_SERVICES:
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
        data_centres = self.deployment.data_centres
        data_centre = data_centres[index % len(data_centres)]
        port = processes.free_port()
        default_module = 'engine' if group.is_engine else 'plain_service'
        module = group.double or default_module
        process = self.started.start_double(module, name, port, group.settings)
        url = f'http://{_HOST}:{port}'
        await processes.wait_ready(self.session, process, f'{url}/load')
        settings = self._daemon_settings('agent', f'agent-{name}', data_centre)
        settings['endpoint'] = {'name': name, 'pool': group.pool, 'url': url}
        admin = await self._start_daemon(settings)
        self.endpoints.append(
            Endpoint(name, group.pool, data_centre, url, admin)
        )

    async def _start_entry(self, index: int) -> tuple[str, str]:
        data_centres = self.deployment.data_centres
        name = f'{self.deployment.name}-entry-{index + 1}'
        settings = self._daemon_settings(
            'entry', name, data_centres[index % len(data_centres)]
        )
        port = processes.free_port()
        settings['listen'] = {'host': _HOST, 'port': port}
        self.operator_key = settings['secrets']['operator_key']
        admin = await self._start_daemon(settings)
        return f'http://{_HOST}:{port}', admin

    def _daemon_settings(
        self, role: str, name: str, data_centre: str
    ) -> dict[str, Any]:
        settings: dict[str, Any] = self._example(role)
        settings |= {
            'name': name,
            'vm': f'vm-{name}',
            'data_centre': data_centre,
        }
        for part in ('peer', 'admin'):
            settings[part] = {'host': _HOST, 'port': processes.free_port()}
        settings['platform'] = {
            f'{module}_url': self.platform[module]
            for module in _PLATFORM_SERVICES
        }
        settings['timing'] = dict(_TIMING)
        return settings

    async def _start_daemon(self, settings: dict[str, Any]) -> str:
        peer = settings['peer']
        await self._register_vm(
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

    async def _register_vm(self, vm: dict[str, Any]) -> None:
        url = f'{self.platform["vms"]}/vms/{vm["vm"]}'
        async with self.session.put(url, json=vm) as response:
            response.raise_for_status()

    async def _wait_for_endpoints(self) -> None:
        expected_count = len(self.endpoints)
        deadline_s = time.monotonic() + 20
        while time.monotonic() < deadline_s:
            statuses = [await self.status(admin) for admin in self.admins]
            if all(
                len(status['endpoints']) >= expected_count
                for status in statuses
            ):
                return
            await asyncio.sleep(0.1)
        raise processes.StartError('not every entry lists all endpoints')
