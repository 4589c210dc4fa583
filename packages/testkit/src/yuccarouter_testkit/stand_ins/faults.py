"""Faults that a test injects into a double over HTTP.

``POST /faults`` merges the fields of its JSON body into the faults in effect,
``GET /faults`` shows them and ``DELETE /faults`` resets them. Unknown
fields are rejected, so that a misspelt fault is not silently ignored.
"""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs
import cattrs
import orjson
from aiohttp import web
from cattrs.preconf import orjson as orjson_preconf

_PATH: Final = '/faults'
_HANG_POLL_S: Final = 0.005
# Set on a request whose answer is to be lost.
LOSE_ANSWER: Final = web.RequestKey('lose_answer', bool)

converter = orjson_preconf.make_converter(forbid_extra_keys=True)


@attrs.frozen
class Faults:
    """Faults that every double supports.

    ``slow_ms`` delays a call before it takes effect. ``refuse`` answers 503
    without effect. The next ``lose_answers`` calls take effect, but their
    connections are then closed without an answer; -1 means all further calls.
    ``down`` closes each connection without effect. ``hang`` blocks every call
    until it is reset. ``fail_share`` is the share of calls that
    get 500 without effect. ``fail_after_effect`` answers 500 to calls that have
    taken effect, as a gateway does when its back end is slow.
    """

    slow_ms: float = 0
    refuse: bool = False
    lose_answers: int = 0
    down: bool = False
    hang: bool = False
    fail_share: float = 0
    fail_after_effect: bool = False


@attrs.define(eq=False)
class Injector:
    """The faults in effect at one double.

    ``on_change`` is called with the fields of each ``POST /faults`` after they
    have been merged. ``control_paths`` are not subject to faults. ``seed``
    makes the choice of failing calls repeatable.
    """

    initial: Faults
    on_change: Callable[[dict[str, Any]], None] | None = None
    control_paths: frozenset[str] = frozenset()
    seed: int = 0
    current: Any = attrs.field(init=False)
    _random: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without any injected fault."""
        self.current = self.initial
        self._random = random.Random(self.seed)

    def update(self, changes: dict[str, Any]) -> None:
        """Merge ``changes`` into the faults; raises cattrs errors."""
        merged = {**converter.unstructure(self.current), **changes}
        self.current = converter.structure(merged, type(self.initial))
        if self.on_change is not None:
            self.on_change(changes)

    def chance(self, share: float) -> bool:
        """Return ``True`` at random with probability ``share``."""
        return share > 0 and self._random.random() < share

    def take_lost_answer(self) -> bool:
        """Return whether the next answer is lost; decrement the counter."""
        remaining: int = self.current.lose_answers
        if remaining > 0:
            self.current = attrs.evolve(
                self.current, lose_answers=remaining - 1
            )
        return remaining != 0

    async def hold(self) -> None:
        """Wait for ``slow_ms`` and for the end of ``hang``."""
        if self.current.slow_ms > 0:
            await asyncio.sleep(self.current.slow_ms / 1000)
        while self.current.hang:
            await asyncio.sleep(_HANG_POLL_S)


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def json_response(content: Any, status: int = 200) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=orjson.dumps(content),
        status=status,
        content_type='application/json',
    )


def error_response(status: int, code: str, message: str) -> web.Response:
    """Return an error in the form that OpenAI-compatible servers use."""
    return json_response(
        {'error': {'message': message, 'type': code, 'code': code}},
        status,
    )


def drop_connection(request: web.Request) -> web.Response:
    """Close the caller's connection; the returned answer is not sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def install(app: web.Application, injector: Injector) -> None:
    """Add the fault routes and the middleware to an application."""
    app.router.add_post(_PATH, functools.partial(_change, injector))
    app.router.add_get(_PATH, functools.partial(_show, injector))
    app.router.add_delete(_PATH, functools.partial(_reset, injector))
    app.middlewares.append(
        web.middleware(functools.partial(_apply_faults, injector))
    )


async def _change(injector: Injector, request: web.Request) -> web.Response:
    try:
        injector.update(orjson.loads(await request.read()))
    except (ValueError, TypeError, cattrs.BaseValidationError) as error:
        return error_response(400, 'invalid_faults', repr(error))
    return json_response(converter.unstructure(injector.current))


async def _show(injector: Injector, _: web.Request) -> web.Response:
    return json_response(converter.unstructure(injector.current))


async def _reset(injector: Injector, _: web.Request) -> web.Response:
    injector.current = injector.initial
    return json_response(converter.unstructure(injector.current))


async def _apply_faults(
    injector: Injector,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    path = request.path
    if path == _PATH or path in injector.control_paths:
        return await handler(request)
    if injector.current.down:
        return drop_connection(request)
    if injector.current.refuse:
        return error_response(503, 'refused', 'refused by a fault')
    # Read before the delay, so that a call still takes effect when its caller
    # disconnects.
    await request.read()
    await injector.hold()
    if injector.chance(injector.current.fail_share):
        return error_response(500, 'failed', 'failed by a fault')
    # Decided before the call, because a stream is sent while the handler runs.
    loses_answer = injector.take_lost_answer()
    request[LOSE_ANSWER] = loses_answer
    response = await handler(request)
    if loses_answer:
        return drop_connection(request)
    if injector.current.fail_after_effect and not response.prepared:
        return error_response(500, 'failed', 'failed by a fault')
    return response
