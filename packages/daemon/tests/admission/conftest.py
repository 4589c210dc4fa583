"""Fakes of the endpoint and of the agent's other components."""

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
    """An engine and a plain service, which answer once ``may_answer`` is set.

    ``break_mode`` is ``close`` for a closed connection and ``short`` for a
    stream without its last events.
    """

    url: str = ''
    may_answer: asyncio.Event = attrs.field(factory=asyncio.Event)
    calls: list[web.Request] = attrs.field(factory=list)
    bodies: list[Any] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)
    finished: int = 0
    in_flight: int = 0
    max_in_flight: int = 0
    tokens: int = 3
    status: int = 200
    break_mode: str = ''
    answer: bytes = b'paid'
    load: dict[str, Any] = attrs.field(factory=lambda: {'in_flight': 0})
    orders: list[Any] = attrs.field(factory=list)
    order_status: int = 200
    cache_events: dict[str, Any] = attrs.field(factory=dict)

    async def completions(self, request: web.Request) -> web.StreamResponse:
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
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
            await self.may_answer.wait()
            choice = {'message': {'content': 'abc'}, 'finish_reason': 'stop'}
            return web.json_response({'choices': [choice], 'usage': usage})
        response = web.StreamResponse()
        await response.prepare(request)
        for index in range(self.tokens):
            choice = {'delta': {'content': f't{index} '}}
            event = orjson.dumps({'choices': [choice]})
            # Sent in two writes, as TCP may split an event anywhere.
            await response.write(b'data: ' + event[:9])
            await response.write(event[9:] + b'\n\n')
        await self.may_answer.wait()
        if self.break_mode == 'close':
            assert request.transport is not None
            request.transport.close()
            return response
        if self.break_mode != 'short':
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
        await self.may_answer.wait()
        self.finished += 1
        if self.break_mode:
            assert request.transport is not None
            request.transport.close()
        return web.Response(status=self.status, body=self.answer)


@contextlib.asynccontextmanager
async def serve(app: web.Application) -> AsyncIterator[str]:
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
    fake.may_answer.set()
    app = web.Application()
    app.router.add_post('/v1/chat/completions', fake.completions)
    app.router.add_post('/streams/{id}/cancel', fake.cancel)
    app.router.add_post('/orders', fake.order)
    app.router.add_get('/load', fake.report_load)
    app.router.add_get('/cache-events', fake.report_cache)
    app.router.add_route('*', '/desk/{path:.*}', fake.plain)
    async with serve(app) as url:
        fake.url = url
        yield fake
        fake.may_answer.set()


@attrs.define
class FakeDependencies:
    """Registry, usage and configuration of the agent; records the calls."""

    configuration: model.Configuration
    recorded: list[router_pb2.RecordRequest] = attrs.field(factory=list)
    usages: list[tuple[str, int, int, bool]] = attrs.field(factory=list)
    settled: list[str] = attrs.field(factory=list)
    requested_positions: list[model.Position] = attrs.field(factory=list)
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
        self.requested_positions.append(position)
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
def dependencies(configuration: model.Configuration) -> FakeDependencies:
    return FakeDependencies(configuration)


@attrs.define
class Agent:
    """Admission behind a gRPC server, and a stub that calls it."""

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
    endpoint: FakeEndpoint, dependencies: FakeDependencies
) -> AsyncIterator[Agent]:
    generated_code: Any = router_pb2_grpc
    loop = asyncio.get_running_loop()
    location = ports.EndpointLocation('e1', 'vm1', 'bamberg', 'p', endpoint.url)
    admission_dependencies = ports.Dependencies(
        lambda: dependencies.configuration,
        dependencies.catch_up,
        dependencies,
        dependencies,
    )
    async with calls.new_session() as session:
        components = wiring.wire(
            location, admission_dependencies, session, loop.time
        )
        await components.endpoint.poll_load()
        server = aio.server()
        generated_code.add_AgentServicer_to_server(components.servicer, server)
        port = server.add_insecure_port('127.0.0.1:0')
        await server.start()
        async with aio.insecure_channel(f'127.0.0.1:{port}') as channel:
            yield Agent(generated_code.AgentStub(channel), components)
        endpoint.may_answer.set()
        await server.stop(None)
        await components.runner.wait_until_done()


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
