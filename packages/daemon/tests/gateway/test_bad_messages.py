"""Tests of messages of peers that are not what they should be."""

from __future__ import annotations

import asyncio
import copy
import types
from typing import Any

import gateway_makers as make
import gateway_store
import hypothesis
import orjson
import pytest
from hypothesis import strategies as st

from yuccarouter.gateway import (
    choice,
    daemon,
    endpoints,
    failure_reports,
    peers,
    rollout_control,
    topics,
)
from yuccarouter_common import clocks

GOOD: dict[str, Any] = {
    'name': 'd2',
    'data_centre': 'a',
    'reads': ['t'],
    'newest': {'t': 5},
    'rollouts': [[1, 'engine', {'r': [1, 2, 3]}, {'r': [4, 5, 6]}]],
    'work': {'e1': [1, 20]},
    'lost': {'e1': {'d3': 10}},
}
ANYTHING = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**40), 2**40)
    | st.floats()
    | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(['e1', 't', 'r']), inner, max_size=3)
    ),
    max_leaves=6,
)


class Fleet:
    """A daemon's parts that take in messages of peers."""

    def __init__(self) -> None:
        control = rollout_control.RolloutControl(
            lambda order, state: ('k', b''), 0.15, lambda: 0
        )
        control.apply_order(make.order(1))
        directory = endpoints.Directory()
        directory.apply_announcement(make.announcement('e1'))
        directory.apply_announcement(make.announcement('e2', version='v2'))
        self.control = control
        self.gateway = types.SimpleNamespace(
            control=control,
            directory=directory,
            failure_reports=failure_reports.FailureReports('d1'),
        )
        self.exchange = peers.Exchange(
            dict,
            lambda name, digest: daemon.receive_digest(
                self.gateway,  # type: ignore[arg-type]
                name,
                digest,
            ),
        )
        self.topic = topics.Topic(
            't',
            None,  # type: ignore[arg-type]
            lambda entry: None,
            lambda away_ms: None,
        )

    def work(self) -> None:
        """Do what rests on messages."""
        now_ms = clocks.monotonic_ms()
        lost = self.gateway.failure_reports.unreachable(now_ms)
        need = make.need(prompt_tokens=500, unreachable=lost)
        assert choice.choose(self.gateway.directory, need, now_ms)
        orjson.dumps(self.gateway.failure_reports.message(2, now_ms))
        self.exchange.confirms(self.topic)
        peers.peer_ahead(self.exchange, self.topic)
        asyncio.run(
            self.control.take_due_steps(gateway_store.MemoryStore(), self.topic)
        )


@hypothesis.given(
    field=st.sampled_from(sorted(GOOD)), replaced=ANYTHING, drop=st.booleans()
)
@hypothesis.example(field='newest', replaced={'t': 'x'}, drop=False)
@hypothesis.example(field='work', replaced={'e1': ['x', 'y']}, drop=False)
@hypothesis.example(field='lost', replaced={'e1': {'d3': 'x'}}, drop=False)
def test_malformed_digest(field: str, replaced: Any, drop: bool) -> None:
    """Guards against one message that fails all calls, or ends the daemon.

    Work and offsets of another type were kept, and failed where they were
    used.
    """
    fleet = Fleet()
    digest = copy.deepcopy(GOOD)
    if drop:
        del digest[field]
    else:
        digest[field] = replaced
    try:
        payload = orjson.dumps(digest)
    except (TypeError, ValueError):
        hypothesis.reject()
    fleet.exchange.datagram_received(payload, ('10.0.0.2', 7300))
    fleet.work()


@hypothesis.given(payload=st.binary(max_size=200))
def test_any_datagram(payload: bytes) -> None:
    """Guards against bytes of others that reach the port of peers."""
    fleet = Fleet()
    fleet.exchange.datagram_received(payload, ('10.0.0.9', 1))
    fleet.work()


@pytest.mark.parametrize('name', ['', 'd2'])
def test_good_digest(name: str) -> None:
    """Guards against a check that lets nothing through."""
    fleet = Fleet()
    digest = {**GOOD, 'name': name}
    fleet.exchange.datagram_received(orjson.dumps(digest), ('10.0.0.2', 7300))
    fleet.work()
    assert fleet.exchange.heard[name].newest == {'t': 5}
    view = fleet.gateway.directory.get('e1')
    assert view is not None
    assert view.occupancy(clocks.monotonic_ms()) == 1
