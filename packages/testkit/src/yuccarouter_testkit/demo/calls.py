"""Requests that the demo sends as a caller and as an operator."""

from __future__ import annotations

import asyncio
import pathlib
import secrets
import sys
from typing import Any, Final

import aiohttp
import attrs
import multidict
import orjson
import yaml

from yuccarouter_common import billing_rows
from yuccarouter_testkit.demo import deployments, fleet

_TRACEPARENT_FORMAT: Final = '00-{trace_id}-{span_id}-01'
_TIMEOUT_S: Final = 30.0
_DONE_EVENT: Final = 'data: [DONE]'


class StepError(Exception):
    """A step of the demo failed."""


@attrs.frozen
class Reply:
    """The response to a caller's request."""

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: bytes

    @property
    def document(self) -> Any:
        """Return the body, parsed as JSON."""
        return orjson.loads(self.body)

    @property
    def text(self) -> str:
        """Return the text of a chat completion, streamed or not."""
        if not self.body.startswith(b'data:'):
            choice = self.document['choices'][0]
            content: str = choice['message']['content']
            return content
        parts = []
        for line in self.body.decode().splitlines():
            if line.startswith('data: {'):
                event = orjson.loads(line.removeprefix('data: '))
                for choice in event['choices']:
                    parts.append(choice['delta'].get('content') or '')
        return ''.join(parts)

    @property
    def is_whole(self) -> bool:
        """Whether the body has the last event of a stream."""
        return _DONE_EVENT in self.body.decode()


@attrs.frozen
class Caller:
    """Sends requests of one organisation to the entry of index ``entry``."""

    running: fleet.Fleet
    organisation: str
    entry: int = 0

    async def send(
        self, method: str, path: str, document: Any = None, **headers: str
    ) -> Reply:
        """Send a request and return the response.

        Keyword arguments are headers, with underscores for hyphens.
        """
        request_headers = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        key = deployments.organisation_key(self.organisation)
        request_headers['Authorization'] = f'Bearer {key}'
        request_headers.setdefault('traceparent', traceparent())
        async with self.running.session.request(
            method,
            f'{self.running.entries[self.entry]}{path}',
            json=document,
            headers=request_headers,
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
        ) as response:
            body = await response.read()
            return Reply(response.status, response.headers, body)

    async def chat(
        self,
        model: str,
        prompt: str,
        *,
        is_stream: bool = False,
        **headers: str,
    ) -> Reply:
        """Request a chat completion."""
        document = {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'stream': is_stream,
        }
        return await self.send(
            'POST', '/v1/chat/completions', document, **headers
        )


def traceparent() -> str:
    """Return a ``traceparent`` header value with random ids."""
    return _TRACEPARENT_FORMAT.format(
        trace_id=secrets.token_hex(16), span_id=secrets.token_hex(8)
    )


def check(is_met: bool, expected: str, actual: Any = '') -> None:
    """Raise ``StepError`` unless the condition is met."""
    if not is_met:
        raise StepError(f'expected {expected}; found {actual}')


@attrs.frozen
class Operated:
    """Exit status, stdout and stderr of ``yuccactl``.

    ``progress`` is stderr: progress messages and errors.
    """

    status: int
    output: str
    progress: str


def settings_path(running: fleet.Fleet, author: str) -> pathlib.Path:
    """Return the path of the ``yuccactl`` settings of an author."""
    name = f'{running.deployment.name}-ctl-{author}.yaml'
    return running.started.folder / name


async def operate_as(
    running: fleet.Fleet, author: str, statement: str
) -> Operated:
    """Run a ``yuccactl`` statement as an author."""
    path = settings_path(running, author)
    path.write_text(
        yaml.safe_dump(
            {
                'log_url': running.platform['log'],
                'daemons': [
                    *running.admins,
                    *(endpoint.agent_admin for endpoint in running.endpoints),
                ],
                'author': author,
                'operator_key': running.operator_key,
            }
        ),
        encoding='utf-8',
    )
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'yuccactl',
        f'--settings={path}',
        *statement.split(),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, progress = await asyncio.wait_for(child.communicate(), _TIMEOUT_S)
    return Operated(child.returncode or 0, output.decode(), progress.decode())


async def operate(running: fleet.Fleet, statement: str) -> tuple[int, str]:
    """Run a ``yuccactl`` statement and return its exit status and output.

    If the status is not 0, the output includes stderr.
    """
    result = await operate_as(running, 'demo', statement)
    text = (
        result.output if result.status == 0 else result.output + result.progress
    )
    return result.status, text


async def billed_rows(running: fleet.Fleet) -> list[billing_rows.BillRow]:
    """Return all bill rows in the log, including repeated ones."""
    rows: list[billing_rows.BillRow] = []
    start = 0
    while True:
        batch = await running.log_client.read(billing_rows.STREAM, start)
        if not batch.records:
            return rows
        for record in batch.records:
            rows.extend(billing_rows.decode_rows(record.payload))
        start = batch.records[-1].offset + 1


async def spans_of(running: fleet.Fleet, trace_id: str) -> list[dict[str, Any]]:
    """Return the spans of a trace from all daemons, sorted by start time."""
    admins = [
        *running.admins,
        *(endpoint.agent_admin for endpoint in running.endpoints),
    ]
    spans: list[dict[str, Any]] = []
    for admin in admins:
        async with running.session.get(
            f'{admin}/traces/{trace_id}', headers=running.operator_headers()
        ) as response:
            if response.status == 200:
                spans += await response.json()
    return sorted(spans, key=lambda span: float(span['start_ms']))


async def served_at(running: fleet.Fleet, data_centre: str) -> int:
    """Return how many requests the endpoints of a data centre have started."""
    counts = [
        await started(running, endpoint)
        for endpoint in running.endpoints
        if endpoint.data_centre == data_centre
    ]
    return sum(counts)


async def started(running: fleet.Fleet, endpoint: fleet.Endpoint) -> int:
    """Return how many requests an endpoint has started."""
    path = 'calls' if endpoint.pool.endswith('-app') else 'served'
    async with running.session.get(f'{endpoint.url}/{path}') as response:
        requests = (await response.json())[path]
    return sum(call.get('count', 1) for call in requests)
