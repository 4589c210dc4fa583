"""Fixtures that serve doubles on free ports."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web

from yuccarouter_testkit.stand_ins import serving

Serve = Callable[[web.Application], Awaitable[str]]


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as opened:
        yield opened


@pytest.fixture
async def serve() -> AsyncIterator[Serve]:
    """Returns a function that serves an application and returns its URL."""
    runners: list[web.AppRunner] = []

    async def start(app: web.Application) -> str:
        runner = await serving.start(app)
        runners.append(runner)
        return serving.url_of(runner)

    yield start
    for runner in runners:
        await runner.cleanup()
