"""Tests of the records in which daemons state their addresses."""

from __future__ import annotations

import asyncio
from typing import Any

import gateway_makers as make
import orjson
import pytest

from yuccarouter.gateway import datagram_ports, model, peers, state


def gateway_with(gossip: peers.Gossip) -> state.Gateway:
    return state.Gateway(
        make.conf('d1'),
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        gossip=gossip,
    )


@pytest.mark.parametrize(
    'document',
    [
        ['127.0.0.1', 70_000],
        ['127.0.0.1', -1],
        ['127.0.0.1', 0],
        ['127.0.0.1', 1e300],
        ['127.0.0.1', True],
        ['127.0.0.1', '7300'],
        ['127.0.0.1\0', 7300],
        ['localhost', 7300],
        [f'{"a" * 70}.example', 7300],
        ['', 7300],
        [None, 7300],
        ['0.0.0.0', 7300],
        ['127.0.0.1', 7300, 1],
        '12',
        {'a': 1, 'b': 2},
        None,
    ],
)
async def test_malformed_member_record(document: Any) -> None:
    """Guards against an address that ends the exchange with all peers.

    The error of a port that is out of range, or of a text that names no host,
    made the event loop close the socket. A host's name was looked up, which
    blocks the process.
    """
    received: list[str] = []
    gossip = peers.Gossip(
        lambda: {'name': 'd1', 'newest': {}},
        lambda name, digest: received.append(name),
    )
    transport = datagram_ports.open_port(gossip, model.Address('127.0.0.1', 0))
    gossip.transport = transport
    own_port = transport.address[1]
    gateway = gateway_with(gossip)
    for key, value in (
        ('member/d2', document),
        ('member/d3', ['127.0.0.1', own_port]),
    ):
        gateway.apply_state_record(make.entry(key, orjson.dumps(value)))
    assert gossip.names == ('d3',)
    for _ in range(2):
        gossip.send()
        await asyncio.sleep(0)
    async with asyncio.timeout(5):
        while not received:
            await asyncio.sleep(0.01)
    gateway.apply_state_record(
        make.entry('member/d2', orjson.dumps(['127.0.0.1', 7300]))
    )
    assert gossip.names == ('d2', 'd3')
    transport.close()
