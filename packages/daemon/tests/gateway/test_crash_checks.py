"""Tests of the check whether an endpoint that lost an answer has crashed."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import gateway_makers as make
import pytest
import xxhash

from yuccarouter.gateway import crash_checks, endpoints, model, prompt_parts


@contextlib.contextmanager
def listening(backlog: int) -> Iterator[int]:
    with socket.create_server(('127.0.0.1', 0), backlog=backlog) as server:
        yield server.getsockname()[1]


@contextlib.contextmanager
def closed() -> Iterator[int]:
    with socket.create_server(('127.0.0.1', 0)) as server:
        port = server.getsockname()[1]
    yield port


@contextlib.contextmanager
def unresponsive() -> Iterator[int]:
    """Yield a port that answers no handshake, as its queue is full."""
    with listening(backlog=0) as port, contextlib.ExitStack() as stack:
        for _ in range(3):
            client = stack.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(('127.0.0.1', port))
        yield port


def view(port: int) -> endpoints.EndpointView:
    address = model.Address('127.0.0.1', port)
    return endpoints.EndpointView(make.announcement(address=address))


@pytest.mark.parametrize(
    ('state', 'has_crashed'),
    [(closed, True), (lambda: listening(8), False), (unresponsive, False)],
    ids=['closed', 'listening', 'unresponsive'],
)
async def test_only_a_refused_connection_shows_a_crash(
    state: object, has_crashed: bool
) -> None:
    """Guards against lost connections that are taken for crashes.

    A cut network or a reset connection says nothing about the prompt.
    """
    checks = crash_checks.CrashChecks()
    with state() as port:  # type: ignore[operator]
        assert await checks.has_crashed(view(port)) is has_crashed


async def test_simultaneous_checks_share_a_connection() -> None:
    """Guards against a burst of connections when many answers are lost."""
    connections = 0

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal connections
        connections += 1
        writer.close()

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    checked = view(server.sockets[0].getsockname()[1])
    checks = crash_checks.CrashChecks()
    await asyncio.gather(*(checks.has_crashed(checked) for _ in range(20)))
    await asyncio.sleep(0)
    server.close()
    assert connections <= 1


@pytest.mark.parametrize(
    ('names', 'ids'),
    [
        ([], ()),
        (['own'], ()),
        (['aa', 'bb', 'own'], ('aa', 'bb')),
        (['aa', 'aa', 'own'], ('aa',)),
        (
            [f'p{number}' for number in range(201)],
            tuple(f'p{number}' for number in range(200)),
        ),
        (['\udcff', 'own'], (xxhash.xxh3_64_hexdigest(b'\xff'),)),
        (['a' * 400, 'own'], (xxhash.xxh3_64_hexdigest(b'a' * 400),)),
    ],
)
def test_shared_part_ids(names: list[str], ids: tuple[str, ...]) -> None:
    """Guards against names of parts that break messages, records or logs."""
    parts = tuple(model.PromptPart(name, 10) for name in names)
    generation = model.Generation('m', 100, 10, parts)
    call = make.call(generation=generation)
    assert prompt_parts.shared_part_ids(call) == ids
