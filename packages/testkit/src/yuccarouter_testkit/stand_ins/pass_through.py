"""One-hop proxy without routing decisions, the baseline of benchmarks."""

from __future__ import annotations

import functools
from collections.abc import AsyncIterator
from typing import Final

import aiohttp
import attrs
from aiohttp import web

from yuccarouter_testkit.stand_ins import serving

_FORWARDED_HEADERS: Final = ('Content-Type', 'Authorization')
_SESSION: Final = web.AppKey('session', aiohttp.ClientSession)


@attrs.frozen
class Settings:
    """URL of the upstream server, without a slash at its end."""

    url: str


def make_app(settings: Settings) -> web.Application:
    """Return a web application that forwards each request."""
    app = web.Application()
    app.router.add_route(
        '*', '/{path:.*}', functools.partial(_forward, settings)
    )
    app.cleanup_ctx.append(_manage_session)
    return app


async def _manage_session(app: web.Application) -> AsyncIterator[None]:
    connector = aiohttp.TCPConnector(limit=0)
    app[_SESSION] = aiohttp.ClientSession(connector=connector)
    yield
    await app[_SESSION].close()


async def _forward(
    settings: Settings, request: web.Request
) -> web.StreamResponse:
    async with request.app[_SESSION].request(
        request.method,
        f'{settings.url}{request.raw_path}',
        data=await request.read(),
        headers={
            name: request.headers[name]
            for name in _FORWARDED_HEADERS
            if name in request.headers
        },
    ) as upstream:
        headers = {'Content-Type': upstream.headers.get('Content-Type', '')}
        if upstream.content_length is not None:
            return web.Response(
                status=upstream.status,
                body=await upstream.read(),
                headers=headers,
            )
        response = web.StreamResponse(status=upstream.status, headers=headers)
        await response.prepare(request)
        async for data in upstream.content.iter_any():
            await response.write(data)
        await response.write_eof()
        return response


if __name__ == '__main__':
    serving.main(make_app, Settings)
