"""Small fakes of the endpoint and of the agent's other parts."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
import orjson
import pytest
from aiohttp import web
from grpc import aio

from yuccarouter.admission import calls, ports, wiring
from yuccarouter.admission import runner as runners
from yuccarouter_common import model
from yuccarouter_common.proto import router_pb2, router_pb2_grpc


@attrs.define
class FakeEndpoint:
    """An engine and a plain service; ``gate`` holds answers back."""

    url: str = ''
    gate: asyncio.Event = attrs.field(factory=asyncio.Event)
    calls: list[web.Request] = attrs.field(factory=list)
    bodies: list[Any] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)
    finished: int = 0
    in_flight: int = 0
    most_in_flight: int = 0
    tokens: int = 3
    status: int = 200
    breaks: str = ''
    answer: bytes = b'paid'
    load: dict[str, Any] = attrs.field(factory=lambda: {'in_flight': 0})
    orders: list[Any] = attrs.field(factory=list)
    order_status: int = 200
    cache_events: dict[str, Any] = attrs.field(factory=dict)

    async def completions(self, request: web.Request) -> web.StreamResponse:
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        try:
            return await self.complete(request)
        finally:
            self.in_flight -= 1

    async def complete(self, request: web.Request) -> web.StreamResponse:
        self.calls.append(request)
        body = orjson.loads(await request.read())
        self.bodies.append(body)
        if self.status != 200:
            return web.Response(status=self.status, body=b'{}')
        usage = {'prompt_tokens': 5, 'completion_tokens': self.tokens}
        if not body['stream']:
            await self.gate.wait()
            choice = {'message': {'content': 'abc'}, 'finish_reason': 'stop'}
            return web.json_response({'choices': [choice], 'usage': usage})
        response = web.StreamResponse()
        await response.prepare(request)
        for index in range(self.tokens):
            choice = {'delta': {'content': f't{index} '}}
            event = orjson.dumps({'choices': [choice]})
            # Sent in two parts, as TCP may split an event anywhere.
            await response.write(b'data: ' + event[:9])
            await response.write(event[9:] + b'\n\n')
        await self.gate.wait()
        if self.breaks == 'close':
            assert request.transport is not None
            request.transport.close()
            return response
        if self.breaks != 'short':
            last = {'choices': [], 'usage': usage}
            await response.write(b'data: ' + orjson.dumps(last) + b'\n\n')
            await response.write(b'data: [DONE]\n\n')
        return response

    async def cancel(self, request: web.Request) -> web.Response:
        self.cancelled.append(request.match_info['id'])
        return web.Response()

    async def order(self, request: web.Request) -> web.Response:
        self.orders.append(orjson.loads(await request.read()))
        return web.Response(
            status=self.order_status, headers={'Retry-After': '2'}
        )

    async def report_load(self, request: web.Request) -> web.Response:
        return web.json_response(self.load)

    async def report_cache(self, request: web.Request) -> web.Response:
        return web.json_response(self.cache_events)

    async def plain(self, request: web.Request) -> web.Response:
        self.calls.append(request)
        await request.read()
        await self.gate.wait()
        self.finished += 1
        if self.breaks:
            assert request.transport is not None
            request.transport.close()
        return web.Response(status=self.status, body=self.answer)


@contextlib.asynccontextmanager
async def served(app: web.Application) -> AsyncIterator[str]:
    app_runner = web.AppRunner(app, handler_cancellation=False)
    await app_runner.setup()
    site = web.TCPSite(app_runner, '127.0.0.1', 0, shutdown_timeout=0.1)
    await site.start()
    port = app_runner.addresses[0][1]
    yield f'http://127.0.0.1:{port}'
    await app_runner.cleanup()


@pytest.fixture
async def endpoint() -> AsyncIterator[FakeEndpoint]:
    fake = FakeEndpoint()
    fake.gate.set()
    app = web.Application()
    app.router.add_post('/v1/chat/completions', fake.completions)
    app.router.add_post('/streams/{id}/cancel', fake.cancel)
    app.router.add_post('/orders', fake.order)
    app.router.add_get('/load', fake.report_load)
    app.router.add_get('/cache-events', fake.report_cache)
    app.router.add_route('*', '/desk/{path:.*}', fake.plain)
    async with served(app) as url:
        fake.url = url
        yield fake
        fake.gate.set()


@attrs.define
class FakeParts:
    """The agent's registry, usage and configuration, with their calls."""

    configuration: model.Configuration
    recorded: list[router_pb2.RecordRequest] = attrs.field(factory=list)
    usages: list[tuple[str, int, int, bool]] = attrs.field(factory=list)
    settled: list[str] = attrs.field(factory=list)
    wanted: list[model.Position] = attrs.field(factory=list)
    record_fault: Exception | None = None
    next_configuration: model.Configuration | None = None

    async def claim(
        self, request: router_pb2.ClaimRequest
    ) -> router_pb2.ClaimReply:
        if self.record_fault is not None:
            raise self.record_fault
        return router_pb2.ClaimReply(state='won', value=request.key)

    async def record(
        self, request: router_pb2.RecordRequest
    ) -> router_pb2.RecordReply:
        if self.record_fault is not None:
            raise self.record_fault
        self.recorded.append(request)
        return router_pb2.RecordReply(recorded=True)

    def record_usage(
        self,
        request: router_pb2.RunRequest,
        usage: router_pb2.Usage,
        is_complete: bool,
    ) -> None:
        self.usages.append(
            (
                request.attempt_id,
                usage.prompt_tokens,
                usage.completion_tokens,
                is_complete,
            )
        )

    def settle(self, request: router_pb2.SettleRequest) -> None:
        self.settled += [item.attempt_id for item in request.settlements]

    async def catch_up(self, position: model.Position) -> None:
        self.wanted.append(position)
        if self.next_configuration is not None:
            self.configuration = self.next_configuration


@pytest.fixture
def configuration() -> model.Configuration:
    return model.Configuration(
        position=model.Position(0, 10),
        organisations={
            'nordverlag': model.Organisation(
                'nordverlag', allowed=('clue@1', 'clue@2'), services=('desk',)
            )
        },
        versions={
            'clue@1': model.ModelVersion('clue', '1', 'p'),
            'clue@2': model.ModelVersion(
                'clue', '2', 'p', state=model.WITHDRAWN
            ),
            'clue@3': model.ModelVersion('clue', '3', 'p'),
        },
        pools={'p': model.Pool('p', max_in_flight=4, max_queued=4)},
        services={'desk': model.Service('desk', 'p')},
        data_centres={'bamberg': model.DataCentre('bamberg')},
    )


@pytest.fixture
def parts(configuration: model.Configuration) -> FakeParts:
    return FakeParts(configuration)


@attrs.define
class Agent:
    """A served agent and a stub that calls it."""

    stub: Any
    components: wiring.Components

    @property
    def runner(self) -> runners.Runner:
        return self.components.runner

    @property
    def in_flight(self) -> int:
        return self.components.endpoint.limiter.in_flight

    async def events(self, request: router_pb2.RunRequest) -> list[Any]:
        return [event async for event in self.stub.Run(request)]


@pytest.fixture
async def agent(
    endpoint: FakeEndpoint, parts: FakeParts
) -> AsyncIterator[Agent]:
    grpc_code: Any = router_pb2_grpc
    loop = asyncio.get_running_loop()
    place = ports.EndpointLocation('e1', 'vm1', 'bamberg', 'p', endpoint.url)
    collaborators = ports.Dependencies(
        lambda: parts.configuration, parts.catch_up, parts, parts
    )
    async with calls.new_session() as session:
        wired = wiring.wire(place, collaborators, session, loop.time)
        await wired.endpoint.poll_load()
        server = aio.server()
        grpc_code.add_AgentServicer_to_server(wired.servicer, server)
        port = server.add_insecure_port('127.0.0.1:0')
        await server.start()
        async with aio.insecure_channel(f'127.0.0.1:{port}') as channel:
            yield Agent(grpc_code.AgentStub(channel), wired)
        endpoint.gate.set()
        await server.stop(None)
        await wired.runner.drained()


@pytest.fixture
def engine_request() -> Callable[..., router_pb2.RunRequest]:
    def build(**fields: Any) -> router_pb2.RunRequest:
        body = {'messages': [], 'model': 'clue'}
        values: dict[str, Any] = {
            'attempt_id': 'a1',
            'request_id': 'r1',
            'organisation': 'nordverlag',
            'model': 'clue',
            'version': '1',
            'deadline_ms': 5000,
            'body': orjson.dumps(body),
            'idempotent': True,
            'traceparent': '00-1-2-01',
        }
        return router_pb2.RunRequest(**{**values, **fields})

    return build


@pytest.fixture
def plain_request() -> Callable[..., router_pb2.RunRequest]:
    def build(**fields: Any) -> router_pb2.RunRequest:
        values: dict[str, Any] = {
            'attempt_id': 'a1',
            'request_id': 'r1',
            'organisation': 'nordverlag',
            'service': 'desk',
            'path': '/desk/pay',
            'method': 'POST',
            'deadline_ms': 5000,
            'body': b'{}',
            'idempotency_key': 'k1',
            'claim': router_pb2.ClaimProof(partition=3, offset=7),
        }
        return router_pb2.RunRequest(**{**values, **fields})

    return build


@pytest.fixture
def eventually() -> Callable[[Callable[[], bool]], Any]:
    async def wait(condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    return wait
