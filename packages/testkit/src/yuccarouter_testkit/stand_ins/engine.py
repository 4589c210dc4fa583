"""Engine emulator: an OpenAI-compatible server with continuous batching."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator

import cattrs
import orjson
from aiohttp import web

from yuccarouter_testkit.stand_ins import (
    batch,
    completions,
    engine_state,
    faults,
    serving,
)

Settings = engine_state.Settings


def make_app(settings: Settings) -> web.Application:
    """Return a web application that emulates an engine."""
    engine = engine_state.Engine(settings)
    app = web.Application(client_max_size=64 * 1024 * 1024)
    faults.install(app, engine.injector)
    app.router.add_post(
        '/v1/chat/completions', functools.partial(completions.complete, engine)
    )
    app.router.add_post('/orders', functools.partial(_order, engine))
    app.router.add_post(
        '/streams/{stream_id}/cancel', functools.partial(_cancel, engine)
    )
    app.router.add_get('/load', functools.partial(_load, engine))
    app.router.add_get(
        '/cache-events', functools.partial(_cache_events, engine)
    )
    app.router.add_get('/served', functools.partial(_served, engine))
    app.cleanup_ctx.append(functools.partial(_run_batch, engine))
    return app


async def _run_batch(
    engine: engine_state.Engine,
    _: web.Application,
) -> AsyncIterator[None]:
    task = asyncio.create_task(engine.batching.run())
    yield
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def _load(engine: engine_state.Engine, _: web.Request) -> web.Response:
    return faults.json_response(engine.report())


async def _cache_events(
    engine: engine_state.Engine,
    request: web.Request,
) -> web.Response:
    start = request.query.get('from', '0')
    if not start.isdigit():
        return faults.error_response(400, 'invalid_from', start)
    return faults.json_response(engine.cache_events(int(start)))


async def _cancel(
    engine: engine_state.Engine,
    request: web.Request,
) -> web.Response:
    stream_id = request.match_info['stream_id']
    stream: batch.Stream | None = engine.streams.get(stream_id)
    if stream is None:
        return faults.error_response(404, 'unknown_stream', stream_id)
    engine.batching.remove(stream)
    engine.record_load()
    return faults.json_response({'cancelled': True})


async def _order(
    engine: engine_state.Engine,
    request: web.Request,
) -> web.Response:
    try:
        order = faults.converter.structure(
            orjson.loads(await request.read()), engine_state.Order
        )
    except (ValueError, cattrs.BaseValidationError) as error:
        return faults.error_response(400, 'invalid_order', repr(error))
    is_stale = order.fencing_number < engine.highest_fencing_number
    accepted = not (is_stale and engine.settings.checks_fencing)
    engine.orders.append(
        {**faults.converter.unstructure(order), 'accepted': accepted}
    )
    if not accepted:
        return faults.error_response(
            409,
            'old_fencing_number',
            f'{order.fencing_number} < {engine.highest_fencing_number}',
        )
    engine.highest_fencing_number = max(
        engine.highest_fencing_number, order.fencing_number
    )
    return await _execute(engine, order)


async def _execute(
    engine: engine_state.Engine,
    order: engine_state.Order,
) -> web.Response:
    version = f'{order.model}@{order.version}'
    if order.order == 'load_version':
        await asyncio.sleep(engine.settings.load_ms / 1000)
        engine.versions.setdefault(
            version, engine.settings.versions.get(version, 1.0)
        )
    elif order.order == 'unload_version':
        engine.versions.pop(version, None)
    elif order.order == 'change_role':
        engine.role = order.role
    elif order.order != 'load_adapter':
        return faults.error_response(400, 'unknown_order', order.order)
    engine.record_load()
    return faults.json_response(
        {'accepted': True, 'versions': sorted(engine.versions)}
    )


async def _served(engine: engine_state.Engine, _: web.Request) -> web.Response:
    return faults.json_response(
        {
            'served': [
                faults.converter.unstructure(entry) for entry in engine.served
            ],
            'orders': engine.orders,
            'highest_fencing_number': engine.highest_fencing_number,
            'max_in_flight': engine.max_in_flight,
            'max_in_flight_cold': engine.max_in_flight_cold,
            'cold_since_ms': engine.cold_since_ms,
            'cold_overloads': engine.cold_overloads,
        }
    )


if __name__ == '__main__':
    serving.main(make_app, Settings)
