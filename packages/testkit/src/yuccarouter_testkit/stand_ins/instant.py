"""Double of an engine that answers at once, to measure routing overhead."""

from __future__ import annotations

import asyncio
import functools
from typing import Any, Final

import attrs
import orjson
from aiohttp import web

from yuccarouter_testkit.stand_ins import faults, serving

_DONE: Final = b'data: [DONE]\n\n'
_HEAD: Final = {'id': 'instant', 'created': 0, 'model': 'instant'}
_CHUNK: Final = 'chat.completion.chunk'


@attrs.frozen
class Settings:
    """Capacity and versions in the double's load reports."""

    capacity: int = 64
    versions: tuple[str, ...] = ()


def make_app(settings: Settings) -> web.Application:
    """Return the double as a web application.

    ``max_tokens`` of a request is the length of its answer in tokens, and
    ``metadata.interval_ms`` the time between two tokens of a stream.
    """
    app = web.Application()
    app.router.add_post('/v1/chat/completions', _complete)
    app.router.add_get('/load', functools.partial(_load, settings))
    app.router.add_get('/cache-events', _cache_events)
    return app


async def _complete(request: web.Request) -> web.StreamResponse:
    document = orjson.loads(await request.read())
    tokens = int(document['max_tokens'])
    if not document.get('stream'):
        return faults.json_response(_completion(tokens))
    interval_s = (
        int((document.get('metadata') or {}).get('interval_ms', 0)) / 1000
    )
    response = web.StreamResponse(headers={'Content-Type': 'text/event-stream'})
    await response.prepare(request)
    await response.write(_chunk({'role': 'assistant', 'content': ''}))
    for _ in range(tokens):
        if interval_s:
            await asyncio.sleep(interval_s)
        await response.write(_chunk({'content': 'token '}))
    await response.write(_chunk({}, 'stop'))
    await response.write(_event([], usage=_usage(tokens)))
    await response.write(_DONE)
    return response


def _completion(tokens: int) -> dict[str, Any]:
    message = {'role': 'assistant', 'content': 'token ' * tokens}
    choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
    return {
        **_HEAD,
        'object': 'chat.completion',
        'choices': [choice],
        'usage': _usage(tokens),
    }


def _chunk(delta: dict[str, str], finish_reason: str | None = None) -> bytes:
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
    return _event([choice])


def _event(choices: list[dict[str, Any]], **fields: Any) -> bytes:
    document = {**_HEAD, 'object': _CHUNK, 'choices': choices, **fields}
    return b'data: %b\n\n' % orjson.dumps(document)


def _usage(tokens: int) -> dict[str, int]:
    return {'prompt_tokens': 1, 'completion_tokens': tokens}


async def _load(settings: Settings, _: web.Request) -> web.Response:
    return faults.json_response(
        {
            'in_flight': 0,
            'capacity': settings.capacity,
            'versions': list(settings.versions),
        }
    )


async def _cache_events(_: web.Request) -> web.Response:
    return faults.json_response(
        {'events': [], 'first_offset': 0, 'end_offset': 0}
    )


if __name__ == '__main__':
    serving.main(make_app, Settings)
