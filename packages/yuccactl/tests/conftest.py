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
    """A log, and daemons that have applied all of it by default.

    ``drop_answers`` closes the connection of each append without an answer;
    ``dropped_takes_effect`` is whether the record is appended nevertheless.
    ``before_append`` records are appended before the next one.
    ``rewind_appends`` removes each record although its append is confirmed.
    ``withheld_count`` is added to the end offset, as for records that the log
    counts but does not return. ``status_documents`` override fields of the
    status of each daemon.
    """

    streams: dict[str, list[dict[str, Any]]] = attrs.field(factory=dict)
    status_documents: list[dict[str, Any]] = attrs.field(factory=list)
    explanations: dict[str, Any] = attrs.field(factory=dict)
    configurations: dict[str, Any] = attrs.field(factory=dict)
    drop_answers: bool = False
    dropped_takes_effect: bool = True
    refuse_appends: bool = False
    rewind_appends: bool = False
    withheld_count: int = 0
    before_append: list[records.Record] = attrs.field(factory=list)
    appends: int = 0
    authorizations: set[str | None] = attrs.field(factory=set)

    def put(self, stream: str, append_id: str, payload: Any) -> int:
        """Append directly and return the offset."""
        entries = self.streams.setdefault(stream, [])
        offset = entries[-1]['offset'] + 1 if entries else 0
        entries.append(
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
        """Return the payload of the newest configuration record."""
        payload: dict[str, Any] = self.streams['configuration'][-1]['payload']
        return payload

    async def append(self, request: web.Request) -> web.Response:
        self.appends += 1
        if self.refuse_appends:
            return web.Response(status=503)
        while self.before_append:
            self.put_record(self.before_append.pop(0))
        document = await request.json()
        offset = -1
        if not self.drop_answers or self.dropped_takes_effect:
            offset = self.put(
                request.match_info['name'],
                document['append_id'],
                document['payload'],
            )
        if self.rewind_appends:
            self.streams[request.match_info['name']].pop()
        if self.drop_answers:
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({'offset': offset, 'time_ms': offset})

    async def read(self, request: web.Request) -> web.Response:
        entries = self.streams.get(request.match_info['name'], [])
        start = int(request.query['from'])
        return web.json_response(
            {
                'records': [
                    entry for entry in entries if entry['offset'] >= start
                ],
                'first_offset': entries[0]['offset'] if entries else 0,
                'end_offset': self.withheld_count
                + (entries[-1]['offset'] + 1 if entries else 0),
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
            {
                **document,
                **self.status_documents[int(request.match_info['number'])],
            }
        )

    async def configuration(self, request: web.Request) -> web.Response:
        document = self.configurations.get(request.match_info['number'])
        return web.json_response(document or {})

    async def explain(self, request: web.Request) -> web.Response:
        explanation = self.explanations.get(request.match_info['request_id'])
        if explanation is None:
            return web.Response(status=404)
        return web.json_response(explanation)


@attrs.define
class Harness:
    """The stand-ins, a context to use them and the printed progress lines."""

    platform: Platform
    context: sources.Context
    progress: list[str]
    settings_path: str = ''


@pytest_asyncio.fixture
async def harness(tmp_path: pathlib.Path) -> AsyncIterator[Harness]:
    """Start the stand-ins with a small configuration and one daemon."""
    platform = Platform(status_documents=[{}])
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
        document = {
            'log_url': url,
            'daemons': [f'{url}/0'],
            'author': 'asha',
            'operator_key': 'secret',
        }
        path = tmp_path / 'settings.yaml'
        path.write_text(yaml.safe_dump(document))
        context = sources.Context(
            settings.load(str(path)),
            session,
            progress.append,
            wait_ms=60,
            poll_ms=10,
        )
        yield Harness(platform, context, progress, str(path))
