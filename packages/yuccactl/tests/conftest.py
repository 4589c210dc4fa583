"""Stand-ins for the log and the daemons' admin ports."""

from __future__ import annotations

import pathlib
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs
import pytest_asyncio
import yaml
from aiohttp import test_utils, web

from yuccactl import settings, sources
from yuccarouter_common import records


@attrs.define
class Platform:
    """A log and daemons that are as far as the log, unless told otherwise.

    ``lose`` answers are dropped after ``lost_takes_effect`` or not.
    ``before_append`` records are put before the next appended one. ``rewind``
    drops each record after its append was confirmed, and ``withheld`` records
    are counted but not given.
    """

    streams: dict[str, list[dict[str, Any]]] = attrs.field(factory=dict)
    documents: list[dict[str, Any]] = attrs.field(factory=list)
    explained: dict[str, Any] = attrs.field(factory=dict)
    configurations: dict[str, Any] = attrs.field(factory=dict)
    lose: bool = False
    lost_takes_effect: bool = True
    refuse: bool = False
    rewind: bool = False
    withheld: int = 0
    before_append: list[records.Record] = attrs.field(factory=list)
    appends: int = 0
    authorizations: set[str | None] = attrs.field(factory=set)

    def put(self, stream: str, append_id: str, payload: Any) -> int:
        """Append directly and return the offset."""
        held = self.streams.setdefault(stream, [])
        offset = held[-1]['offset'] + 1 if held else 0
        held.append(
            {
                'offset': offset,
                'time_ms': offset,
                'append_id': append_id,
                'payload': payload,
            }
        )
        return offset

    def change(
        self, kind: str, body: dict[str, Any], author: str = 'setup'
    ) -> None:
        """Put a configuration record without a condition."""
        record = records.Record(
            f'{author}-{kind}', author, 0, records.Kind(kind), body
        )
        self.put_record(record)

    def put_record(self, record: records.Record) -> None:
        """Put a configuration record."""
        self.put(
            'configuration',
            record.change_id,
            records.converter.unstructure(record),
        )

    def last(self) -> dict[str, Any]:
        """The payload of the newest configuration record."""
        payload: dict[str, Any] = self.streams['configuration'][-1]['payload']
        return payload

    async def append(self, request: web.Request) -> web.Response:
        self.appends += 1
        if self.refuse:
            return web.Response(status=503)
        while self.before_append:
            self.put_record(self.before_append.pop(0))
        document = await request.json()
        offset = -1
        if not self.lose or self.lost_takes_effect:
            offset = self.put(
                request.match_info['name'],
                document['append_id'],
                document['payload'],
            )
        if self.rewind:
            self.streams[request.match_info['name']].pop()
        if self.lose:
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({'offset': offset, 'time_ms': offset})

    async def read(self, request: web.Request) -> web.Response:
        held = self.streams.get(request.match_info['name'], [])
        start = int(request.query['from'])
        return web.json_response(
            {
                'records': [
                    entry for entry in held if entry['offset'] >= start
                ],
                'first_offset': held[0]['offset'] if held else 0,
                'end_offset': self.withheld
                + (held[-1]['offset'] + 1 if held else 0),
            }
        )

    async def status(self, request: web.Request) -> web.Response:
        self.authorizations.add(request.headers.get('Authorization'))
        end = len(self.streams.get('configuration', []))
        document = {
            'daemon': 'entry-1',
            'position': {'generation': 0, 'offset': end - 1},
            'confirmed_age_ms': 7,
            'log_state': 'ok',
        }
        return web.json_response(
            {**document, **self.documents[int(request.match_info['number'])]}
        )

    async def configuration(self, request: web.Request) -> web.Response:
        held = self.configurations.get(request.match_info['number'])
        return web.json_response(held or {})

    async def explain(self, request: web.Request) -> web.Response:
        found = self.explained.get(request.match_info['request_id'])
        if found is None:
            return web.Response(status=404)
        return web.json_response(found)


@attrs.define
class Bench:
    """The stand-ins, a context to use them and what was reported."""

    platform: Platform
    context: sources.Context
    progress: list[str]
    settings_path: str = ''


@pytest_asyncio.fixture
async def bench(tmp_path: pathlib.Path) -> AsyncIterator[Bench]:
    """Start the stand-ins with a small configuration and one daemon."""
    platform = Platform(documents=[{}])
    platform.change('pool', {'name': 'p'})
    for version in ('1', '2'):
        platform.change(
            'model_version', {'model': 'c', 'version': version, 'pool': 'p'}
        )
    platform.change('organisation', {'name': 'o', 'allowed': ['c@1']})
    platform.change('data_centre', {'name': 'kochi'})
    application = web.Application()
    application.router.add_post('/streams/{name}/records', platform.append)
    application.router.add_get('/streams/{name}/records', platform.read)
    application.router.add_get('/{number}/status', platform.status)
    application.router.add_get(
        '/{number}/configuration', platform.configuration
    )
    application.router.add_get(
        '/{number}/explain/{request_id}', platform.explain
    )
    progress: list[str] = []
    async with (
        test_utils.TestServer(application) as server,
        aiohttp.ClientSession() as session,
    ):
        url = str(server.make_url('')).rstrip('/')
        chosen = {
            'log_url': url,
            'daemons': [f'{url}/0'],
            'author': 'asha',
            'operator_key': 'secret',
        }
        path = tmp_path / 'settings.yaml'
        path.write_text(yaml.safe_dump(chosen))
        context = sources.Context(
            settings.load(str(path)),
            session,
            progress.append,
            wait_ms=60,
            poll_ms=10,
        )
        yield Bench(platform, context, progress, str(path))
