"""Double of a plain service: the desk app and the ledger app.

Calls are not deduplicated: a repeated POST, PUT or DELETE takes effect again,
so that ``GET /calls`` shows a request that was executed twice.
"""

from __future__ import annotations

import asyncio
import collections
import functools
from typing import Any, Final

import attrs
import orjson
from aiohttp import web

from yuccarouter_common import clocks
from yuccarouter_testkit.stand_ins import faults, serving

_MAX_CALL_ENTRIES: Final = 200_000


@attrs.frozen
class Settings:
    """Name, load limits and duration of calls of the service.

    A cold service accepts ``cold_limit`` concurrent calls and answers 500
    above that. It is warm when ``warm_after`` calls have completed since the
    last 500 of this kind.
    """

    name: str = 'desk'
    capacity: int = 32
    work_ms: float = 1
    cold: bool = False
    cold_limit: int = 1
    warm_after: int = 10


@attrs.frozen
class ServiceFaults(faults.Faults):
    """Faults of a plain service; injecting ``cold`` makes it cold or warm."""

    cold: bool | None = None


@attrs.define(eq=False)
class _Calls:
    """Calls with the same idempotency key, method and path."""

    key: str
    method: str
    path: str
    count: int = 0
    bodies: list[str] = attrs.field(factory=list)
    times_ms: list[int] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Service:
    settings: Settings
    cold: bool = False
    warm_progress: int = 0
    in_flight: int = 0
    cold_overloads: int = 0
    effects: int = 0
    calls: collections.OrderedDict[tuple[str, str, str], _Calls] = attrs.field(
        factory=collections.OrderedDict
    )
    injector: faults.Injector = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.cold = self.settings.cold
        self.injector = faults.Injector(
            ServiceFaults(), self.on_fault, frozenset(('/calls',))
        )

    def on_fault(self, changes: dict[str, Any]) -> None:
        if changes.get('cold') is not None:
            self.cold = changes['cold']
            self.warm_progress = 0

    def record(self, request: web.Request, body: bytes) -> _Calls:
        key = request.headers.get('Idempotency-Key', '')
        identity = (key, request.method, request.path)
        calls = self.calls.setdefault(identity, _Calls(*identity))
        calls.count += 1
        self.effects += 1
        calls.bodies.append(body.decode(errors='replace'))
        calls.times_ms.append(clocks.wall_ms())
        if len(self.calls) > _MAX_CALL_ENTRIES:
            self.calls.popitem(last=False)
        return calls

    def complete(self) -> None:
        self.warm_progress += 1
        if self.warm_progress >= self.settings.warm_after:
            self.cold = False

    def is_overloaded(self) -> bool:
        if self.cold and self.in_flight > self.settings.cold_limit:
            self.cold_overloads += 1
            self.warm_progress = 0
            return True
        return self.in_flight > self.settings.capacity


def make_app(settings: Settings) -> web.Application:
    """Return the service as a web application."""
    service = _Service(settings)
    app = web.Application()
    faults.install(app, service.injector)
    call = functools.partial(_call, service)
    app.router.add_get('/calls', functools.partial(_show_calls, service))
    app.router.add_get('/load', functools.partial(_load, service))
    for path in ('/payments', '/acceptances', '/handovers'):
        app.router.add_post(path, call)
        # aiohttp's client retries PUT and DELETE by itself when a reused
        # connection closes; a router must prevent this.
        app.router.add_put(f'{path}/{{number}}', call)
        app.router.add_delete(f'{path}/{{number}}', call)
    app.router.add_get('/certificates/{certificate}', call)
    return app


async def _call(service: _Service, request: web.Request) -> web.Response:
    service.in_flight += 1
    try:
        return await _work(service, request)
    finally:
        service.in_flight -= 1


async def _show_calls(service: _Service, _: web.Request) -> web.Response:
    return faults.json_response(
        {
            'calls': [attrs.asdict(calls) for calls in service.calls.values()],
            'cold_overloads': service.cold_overloads,
        }
    )


async def _work(service: _Service, request: web.Request) -> web.Response:
    body = await request.read()
    if service.is_overloaded():
        return faults.error_response(500, 'overloaded', 'too many calls')
    calls = service.record(request, body)
    await asyncio.sleep(service.settings.work_ms / 1000)
    service.complete()
    if request.method == 'GET':
        certificate = request.match_info['certificate']
        return faults.json_response({'certificate': certificate, 'valid': True})
    try:
        echo = orjson.loads(body)
    except ValueError:
        echo = None
    return faults.json_response(
        {
            'key': calls.key,
            'path': request.path,
            'receipt': f'{service.settings.name}-{service.effects}',
            'run': calls.count,
            'echo': echo,
        },
        status=201,
    )


async def _load(service: _Service, _: web.Request) -> web.Response:
    return faults.json_response(
        {
            'in_flight': service.in_flight,
            'capacity': service.settings.capacity,
            'cold': service.cold,
            'kv_used': 0,
            'age_ms': 0,
            'versions': [],
        }
    )


if __name__ == '__main__':
    serving.main(make_app, Settings)
