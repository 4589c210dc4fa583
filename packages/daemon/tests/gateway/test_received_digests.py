"""Tests of digests that wait for a turn of the callers' event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import orjson
import pytest

from yuccarouter.gateway import (
    datagram_ports,
    model,
    peers,
    received_digests,
)

PEERS = 40


def digest(name: str, process: int = 1, **fields: Any) -> dict[str, Any]:
    return {'name': name, 'process': process, **fields}


@pytest.mark.parametrize(
    ('received', 'applied'),
    [
        ([digest('a', x=1), digest('a', x=2)], [digest('a', x=2)]),
        # Parts of a digest have different fields.
        ([digest('a', x=1), digest('a', y=2)], [digest('a', x=1, y=2)]),
        # Another process knows nothing of what the one before has told.
        ([digest('a', x=1), digest('a', 2, y=2)], [digest('a', 2, y=2)]),
        (
            [digest('a', x=1), digest('b', x=2), digest('a', x=3)],
            [digest('a', x=3), digest('b', x=2)],
        ),
    ],
)
def test_newest_fields(
    received: list[dict[str, Any]], applied: list[dict[str, Any]]
) -> None:
    """Guards against work for digests that later ones have replaced."""
    calls: list[dict[str, Any]] = []
    scheduled: list[Callable[[], None]] = []
    digests = received_digests.ReceivedDigests(
        lambda name, fields: calls.append(fields), scheduled.append
    )
    for each in received:
        digests.add(each['name'], each)
    assert len(scheduled) == 1
    scheduled.pop()()
    assert calls == applied
    digests.add('a', received[0])
    assert len(scheduled) == 1


async def test_waiting_datagrams_are_received_in_one_turn() -> None:
    """Guards against a busy daemon that reads what peers tell seconds late.

    The event loop received one datagram in each turn. With turns of half a
    second, digests waited in the socket for 9 s.
    """
    applied: list[str] = []
    gossip = peers.Gossip(dict, lambda name, fields: applied.append(name))
    gossip.received.schedule = asyncio.get_running_loop().call_soon
    port = datagram_ports.open_port(gossip, model.Address('127.0.0.1', 0))
    names = [f'd{number}' for number in range(PEERS)]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for name in names:
            sent = digest(name, newest={'orders': 5})
            sender.sendto(orjson.dumps(sent), port.address)
        # The datagrams wait before the loop has its next turn.
        for _ in range(2):
            await asyncio.sleep(0)
    assert sorted(gossip.known_peers) == sorted(names)
    await asyncio.sleep(0)
    assert applied == names
    port.close()
