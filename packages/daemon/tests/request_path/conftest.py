"""A fake agent on a real gRPC port and an entry's application before it."""

from __future__ import annotations

import hashlib
import random
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs
import pytest
import yarl
from aiohttp import test_utils, web
from grpc import aio

from yuccarouter.billing import ledger
from yuccarouter.configuration import store
from yuccarouter.membership import cancellation, channels, directory
from yuccarouter.request_path import (
    answer_cache,
    entry_state,
    explanations,
    http_app,
    session_versions,
    settlements,
)
from yuccarouter.rollout import observations
from yuccarouter.routing import cascade, latency, quality, retry_budget, views
from yuccarouter_common import clocks, model, settings
from yuccarouter_common.platform import ratings, vms
from yuccarouter_common.proto import router_pb2_grpc
from yuccarouter_testkit import fake_agent, memory_log

KEY = 'caller-key'


@attrs.define
class Scores:
    """The rating service; ``None`` stands for an outage."""

    score: float | None = 1.0

    async def rate(self, request: web.Request) -> web.Response:
        if self.score is None:
            return web.Response(status=503)
        return web.json_response({'score': self.score})


@attrs.define
class Entry:
    """An entry's application, its fake agent and the log."""

    client: test_utils.TestClient[Any, Any]
    agent: fake_agent.FakeAgent
    shared: entry_state.EntryState
    log: memory_log.MemoryLog
    scores: Scores

    async def send(
        self, path: str | yarl.URL = '/v1/chat/completions', **options: Any
    ) -> Any:
        headers = {'Authorization': f'Bearer {KEY}'}
        headers |= options.pop('headers', {})
        method = options.pop('method', 'POST')
        url = self.client.make_url(path) if isinstance(path, str) else path
        return await self.client.session.request(
            method, url, headers=headers, **options
        )

    async def chat(self, **options: Any) -> Any:
        body = {
            'model': options.pop('model', 'clue'),
            'messages': [{'role': 'user', 'content': 'Note on 7 down'}],
            'stream': options.pop('stream', False),
        }
        return await self.send(json=body, **options)

    async def billed(self) -> list[Any]:
        await self.shared.ledger.flush()
        return [
            row
            for entry in self.log.stream('billing').entries
            for row in entry.payload['rows']
        ]


def _configuration() -> model.Configuration:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return model.Configuration(
        position=model.Position(0, 5),
        organisations={
            'o': model.Organisation(
                'o',
                (digest,),
                allowed=('clue@1', 'mini@1'),
                services=('desk',),
                max_concurrent=3,
            )
        },
        versions={
            'mini@1': model.ModelVersion('mini', '1', 'engines', 0, 1),
            'clue@1': model.ModelVersion('clue', '1', 'engines', 1, 10),
            'clue@2': model.ModelVersion('clue', '2', 'engines', 1, 10),
        },
        kinds={
            'quick': model.RequestKind('quick', bound_ms=400),
            'long': model.RequestKind('long', bound_ms=5000, whole=True),
        },
        cascades={
            'cheap-first': model.Cascade(
                'cheap-first',
                (model.CascadeStep('mini'), model.CascadeStep('clue')),
            )
        },
        services={
            'desk': model.Service(
                'desk',
                'engines',
                (
                    model.Call('POST', '/payments', price_microcents=500),
                    model.Call('GET', '/certificates', idempotent=True),
                ),
            )
        },
    )


def _settings(peer_port: int) -> settings.Settings:
    url = 'http://127.0.0.1:1'
    address = settings.Address('127.0.0.1', peer_port)
    key = 'k' * 16
    return settings.Settings(
        role='entry',
        name='entry-1',
        vm='vm-1',
        data_centre='muenchen',
        peer=address,
        admin=address,
        platform=settings.Platform(url, url, url, url),
        secrets=settings.Secrets(key, key, key),
        limits=settings.Limits(body_bytes=10_000, body_timeout_ms=300),
    )


def _endpoint(name: str, address: str) -> views.EndpointView:
    return views.EndpointView(
        endpoint=name,
        vm=f'vm-{name}',
        data_centre='muenchen',
        pool='engines',
        address=address,
        limit=8,
        versions=('clue@1', 'clue@2', 'mini@1', ''),
        received_ms=clocks.monotonic_ms(),
        sequence=1,
    )


@pytest.fixture
async def entry() -> AsyncIterator[Entry]:
    agent = fake_agent.FakeAgent(scripts=[fake_agent.answer])
    server = aio.server()
    router_pb2_grpc.add_AgentServicer_to_server(agent, server)
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    address = f'127.0.0.1:{port}'
    conf = _settings(port)
    rng = random.Random(7)

    async def listed() -> list[vms.Vm]:
        return [
            vms.Vm('vm', address, 'muenchen', vms.State.LIVE, 'agent', 'e1')
        ]

    known = directory.Directory(listed, 1000)
    await known.refresh()
    log = memory_log.MemoryLog()
    daemons = channels.Channels(conf.secrets.peer_key)
    settled = settlements.Settlements(daemons)
    latencies = latency.Latencies(clocks.monotonic_ms)
    session = aiohttp.ClientSession()
    rating = web.Application()
    scores = Scores()
    rating.router.add_post('/ratings', scores.rate)
    rating_server = test_utils.TestServer(rating)
    await rating_server.start_server()
    rater = ratings.Client(session, str(rating_server.make_url('')).rstrip('/'))
    held = store.Store()
    client: Any = log
    shared = entry_state.EntryState(
        conf=conf,
        store=held,
        fleet=views.Fleet(clocks.monotonic_ms, rng.random),
        daemons=daemons,
        directory=known,
        canceller=cancellation.CallCanceller(),
        ledger=ledger.Ledger(client, 1, settled.settle_billed),
        settlements=settled,
        retry_budget=retry_budget.RetryBudget(),
        latencies=latencies,
        cascades=cascade.Cascades(
            quality.Estimates(clocks.monotonic_ms), latencies, rng.random
        ),
        ratings=rater,
        observations=observations.Observations(
            client, rater, held.current, rng, lambda: 1
        ),
        answer_cache=answer_cache.AnswerCache(100_000),
        explanations=explanations.Explanations(),
        limiter=entry_state.ConcurrencyLimiter(8),
        pin_cache=session_versions.PinCache(),
        rng=rng,
    )
    shared.store.install(_configuration(), 0)
    for name in ('e1', 'e2', 'e3', 'e4'):
        shared.fleet.update(_endpoint(name, address))
    app = http_app.make_app(shared)
    entry_client = test_utils.TestClient(
        test_utils.TestServer(app, handler_cancellation=True)
    )
    await entry_client.start_server()
    yield Entry(entry_client, agent, shared, log, scores)
    await entry_client.close()
    await rating_server.close()
    await session.close()
    await daemons.close()
    await server.stop(0)
