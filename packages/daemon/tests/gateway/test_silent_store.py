"""Tests of when changes are in force around a silence of the store."""

from __future__ import annotations

import asyncio
import contextlib
import random
import types
from typing import cast

import attrs
import gateway_makers as make
import gateway_store
import pytest

from yuccarouter.gateway import daemon, ports, state
from yuccarouter_common import clocks
from yuccarouter_testkit import virtual_time

# The limits that the users state for their deployments: the time from the
# confirmation of a change to its use, for operators' orders, for endpoints that
# drain, and for the end of a bad roll-out, which is in the shared state.
LIMITS_S = {'orders': 2.0, 'endpoints': 2.0, 'state': 5.0}
# They hold from this time after trouble of the store on.
CONTACT_S = 3.0
TOPICS = ports.Topics('orders', 'endpoints', 'state')


@attrs.define
class Applied:
    """When each value was first applied, by topic."""

    times_s: dict[tuple[str, bytes], float] = attrs.field(factory=dict)

    def note(self, topic: str, entry: ports.Entry) -> None:
        now_s = asyncio.get_running_loop().time()
        self.times_s.setdefault((topic, entry.value), now_s)


async def follow(store: ports.Store, applied: Applied) -> None:
    """Follow all topics of a daemon, as its process does."""
    gateway = types.SimpleNamespace(
        conf=make.conf(),
        platform=types.SimpleNamespace(topics=TOPICS),
        gossip=None,
        apply_operator_record=lambda entry: applied.note('orders', entry),
        apply_endpoint_record=lambda entry: applied.note('endpoints', entry),
        apply_state_record=lambda entry: applied.note('state', entry),
        directory=types.SimpleNamespace(on_store_reconnected=lambda _: None),
    )
    replicas = daemon.make_replicas(cast('state.Gateway', gateway), store)
    async with asyncio.TaskGroup() as tasks:
        for topic in replicas:
            tasks.create_task(topic.follow())


async def change_around_a_silence(
    topic: str, before_s: float, silence_s: float, after_s: float
) -> float:
    """Return how long after the end of the silence the second change applies.

    The first change comes ``before_s`` before the silence, the second one
    ``after_s`` after its end.
    """
    loop = asyncio.get_running_loop()
    applied = Applied()
    store = gateway_store.SilentStore()
    for name in ('orders', 'endpoints', 'state'):
        store.write(name, 'config', b'1')
    following = asyncio.create_task(follow(store, applied))
    await asyncio.sleep(3.3)
    store.silent_from_s = loop.time() + before_s
    store.silent_until_s = store.silent_from_s + silence_s
    store.write(topic, 'config', b'2')
    await asyncio.sleep(before_s + silence_s + after_s)
    store.write(topic, 'config', b'3')
    await asyncio.sleep(20)
    following.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await following
    return applied.times_s[topic, b'3'] - store.silent_until_s


known_red = (
    pytest.mark.known_red,
    pytest.mark.xfail(strict=True, reason='KNOWN-RED.txt, entry 13'),
)


@pytest.mark.parametrize(
    'topic',
    [
        pytest.param('orders', marks=known_red),
        'endpoints',
        pytest.param('state', marks=known_red),
    ],
)
@pytest.mark.parametrize('silence_s', [0.5, 1.5, 4, 12])
def test_change_after_a_silence_of_the_store(
    monkeypatch: pytest.MonkeyPatch, topic: str, silence_s: float
) -> None:
    """Guards against changes that wait for a read which is never answered.

    It began while the store was silent. The users saw requests handled by an
    older configuration for eight seconds after a change.
    """
    random.seed(f'{topic}/{silence_s}')
    late = []
    for step in range(20):
        before_s = 0.02 * step
        for after_s in (0.3, 1.5):
            loop = virtual_time.VirtualTimeLoop()
            monkeypatch.setattr(
                clocks, 'monotonic_ms', lambda loop=loop: loop.time() * 1000
            )
            applied_s = loop.run_until_complete(
                change_around_a_silence(topic, before_s, silence_s, after_s)
            )
            loop.close()
            if applied_s > max(after_s + LIMITS_S[topic], CONTACT_S):
                late.append((before_s, after_s, round(applied_s, 2)))
    assert not late
