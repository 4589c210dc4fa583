"""Double of the rate-limited weight store.

``GET /loads/granted`` returns the granted loads and the number of refused ones.
"""

from __future__ import annotations

import functools
import math
import time
from typing import Any

import attrs
import cattrs
import orjson
from aiohttp import web

from yuccarouter_common import clocks
from yuccarouter_testkit.stand_ins import faults, serving


@attrs.frozen
class Settings:
    """Rate limit of the store: a token bucket of size ``burst``."""

    loads_per_s: float = 2
    burst: int = 2


@attrs.frozen
class WeightFaults(faults.Faults):
    """Faults of the weight store; ``loads_per_s`` overrides its rate."""

    loads_per_s: float | None = None


@attrs.frozen
class _Load:
    endpoint: str
    model: str
    version: str


@attrs.define(eq=False)
class _Store:
    settings: Settings
    injector: faults.Injector = attrs.field(init=False)
    tokens: float = attrs.field(init=False)
    refilled_s: float = attrs.field(factory=time.monotonic)
    granted: list[dict[str, Any]] = attrs.field(factory=list)
    refused: int = 0

    def __attrs_post_init__(self) -> None:
        self.tokens = self.settings.burst
        self.injector = faults.Injector(
            WeightFaults(), control_paths=frozenset(('/loads/granted',))
        )

    def take(self) -> float:
        """Take a token; return 0 or the seconds until one is available."""
        override = self.injector.current.loads_per_s
        rate = self.settings.loads_per_s if override is None else override
        now_s = time.monotonic()
        refill = (now_s - self.refilled_s) * rate
        self.tokens = min(self.settings.burst, self.tokens + refill)
        self.refilled_s = now_s
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return (1 - self.tokens) / rate if rate > 0 else math.inf


def make_app(settings: Settings) -> web.Application:
    """Return the weight store as a web application."""
    store = _Store(settings)
    app = web.Application()
    faults.install(app, store.injector)
    app.router.add_post('/loads', functools.partial(_load, store))
    app.router.add_get('/loads/granted', functools.partial(_show, store))
    return app


async def _load(store: _Store, request: web.Request) -> web.Response:
    try:
        load = faults.converter.structure(
            orjson.loads(await request.read()), _Load
        )
    except (ValueError, cattrs.BaseValidationError) as error:
        return faults.error_response(400, 'invalid_load', repr(error))
    wait_s = store.take()
    if wait_s > 0:
        store.refused += 1
        response = faults.error_response(429, 'rate_limited', 'too many loads')
        # Retry-After is in whole seconds.
        seconds = math.ceil(wait_s) if math.isfinite(wait_s) else 60
        response.headers['Retry-After'] = str(seconds)
        return response
    store.granted.append(
        {
            **faults.converter.unstructure(load),
            'time_ms': clocks.wall_ms(),
        }
    )
    return faults.json_response({})


async def _show(store: _Store, _: web.Request) -> web.Response:
    return faults.json_response(
        {'granted': store.granted, 'refused': store.refused}
    )


if __name__ == '__main__':
    serving.main(make_app, Settings)
