"""Tests of malformed digests and foreign datagrams."""

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
    crash_evidence,
    daemon,
    endpoints,
    failure_reports,
    peers,
    rate_limits,
    rollout_control,
    rollouts,
    topics,
)
from yuccarouter.gateway.capacity import speeds
from yuccarouter.gateway.model_choice import confidences
from yuccarouter.gateway.overload import current as overload
from yuccarouter.gateway.shares import demand, fleet_shares
from yuccarouter_common import clocks

VALID_DIGEST: dict[str, Any] = {
    'name': 'd2',
    'data_centre': 'a',
    'reads': ['t'],
    'newest': {'t': 5},
    'rollouts': [[1, 'engine', {'r': [1, 2, 3]}, {'r': [4, 5, 6]}]],
    'work': {'e1': [1, 20]},
    'lost': {'e1': {'d3': 10}},
    'rate_limits': {'e1': [1, 3, 2.5]},
    'speeds': {'e1': [250, 100]},
    'confidences': {},
    'queues': {'e1': [3, 6, 100, 60]},
    'demand': {'engine': [900, 2, {'a': [600, 2, {'k': 500}], 'b': 300}]},
}
ANY_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.sampled_from([1.7e308, 'nan', 'inf', '1'])
    | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(['e1', 't', 'r']), inner, max_size=3)
    ),
    max_leaves=6,
)


class Receiver:
    """The parts of a daemon that process the digests of peers."""

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
            rate_limits=rate_limits.RateLimits(
                'd1', directory.started_ms, tuple
            ),
            crash_evidence=crash_evidence.CrashEvidence(
                'd1', tuple, directory.endpoint_count
            ),
            speeds=speeds.EndpointSpeeds(lambda endpoint: 'engine'),
            demand=demand.Demand(),
            confidences=confidences.Confidences(),
            overload=overload.Overload(128_000_000),
            orders_topic=None,
        )
        self.gossip = peers.Gossip(
            dict,
            lambda name, digest: daemon.apply_digest(
                self.gateway,  # type: ignore[arg-type]
                name,
                digest,
            ),
        )
        self.topic = topics.Topic(
            't',
            None,  # type: ignore[arg-type]
            lambda entry: None,
            lambda outage_ms: None,
        )

    def use_state(self) -> None:
        """Run the code that uses state from digests."""
        now_ms = clocks.monotonic_ms()
        lost = self.gateway.failure_reports.unreachable(now_ms)
        need = make.need(prompt_tokens=500, unreachable=lost)
        assert choice.choose(self.gateway.directory, need, now_ms)
        orjson.dumps(self.gateway.failure_reports.message(2, now_ms))
        self.gateway.rate_limits.exhausted(now_ms)
        assert 0.1 <= self.gateway.speeds.time_factor('e1', now_ms) <= 100
        orjson.dumps(self.gateway.rate_limits.message())
        shares = fleet_shares.FleetShares(self.gateway.demand, lambda: 2, tuple)
        shares.admitted_share('engine', 'a', 'k', 500, now_ms)
        peers.confirmation(self.gossip, self.topic)
        peers.peers_ahead(self.gossip, self.topic)
        asyncio.run(
            self.control.take_due_steps(gateway_store.MemoryStore(), self.topic)
        )


@hypothesis.given(
    field=st.sampled_from(sorted(VALID_DIGEST)),
    replacement=ANY_JSON,
    drop=st.booleans(),
)
@hypothesis.example(field='newest', replacement={'t': 'x'}, drop=False)
@hypothesis.example(field='work', replacement={'e1': ['x', 'y']}, drop=False)
@hypothesis.example(field='lost', replacement={'e1': {'d3': 'x'}}, drop=False)
@hypothesis.example(
    field='rate_limits', replacement={'e1': [1, 1e300, 2]}, drop=False
)
@hypothesis.example(
    field='demand',
    replacement={'engine': [2**53, 0, {'a': 2**53}]},
    drop=False,
)
@hypothesis.example(
    field='rate_limits', replacement={'e1': [2**60, 1, -1]}, drop=False
)
def test_malformed_digest(field: str, replacement: Any, drop: bool) -> None:
    """Guards against a digest that makes all calls fail or ends the daemon.

    Loads and offsets of a wrong type were stored, and raised an exception
    where they were used.
    """
    receiver = Receiver()
    digest = copy.deepcopy(VALID_DIGEST)
    if drop:
        del digest[field]
    else:
        digest[field] = replacement
    try:
        payload = orjson.dumps(digest)
    except (TypeError, ValueError):
        hypothesis.reject()
    receiver.gossip.datagram_received(payload, ('10.0.0.2', 7300))
    receiver.use_state()


@pytest.mark.parametrize(
    'backlog',
    [
        [1.7e308, 1],
        [2**64 - 1, 1],
        [1, 1.7e308],
        [-9, 1],
        [1, -9],
        [1, 'nan'],
        ['1', 1],
        [True, 1],
    ],
)
def test_backlog_out_of_range(backlog: list[Any]) -> None:
    """Guards against a peer's backlog that makes all calls fail.

    The sum of two huge backlogs raised OverflowError at each choice of an
    endpoint. A negative one or NaN drew all calls to an endpoint.
    """
    receiver = Receiver()
    for name in ('d2', 'd3'):
        digest = {**VALID_DIGEST, 'name': name, 'work': {'e1': backlog}}
        payload = orjson.dumps(digest)
        receiver.gossip.datagram_received(payload, ('10.0.0.2', 7300))
    receiver.use_state()
    view = receiver.gateway.directory.get('e1')
    assert view is not None
    assert view.occupancy(clocks.monotonic_ms()) == 0
    assert view.backlog_ms(clocks.monotonic_ms()) == 0


@pytest.mark.parametrize(
    ('new', 'old'),
    [
        ([1, 4, 0], [-20, 0, 0]),
        ([-9, 4, 0], [20, 0, 0]),
        ([1, 4, 0], [20, -9, 0]),
        ([2**53 * 44 // 100, 2**53 * 56 // 100, 0], [2**52, 2**52, 0]),
        ([1, 4, 0], [1e300, 1, 0]),
        (['1', '4', '0'], [20, 0, 0]),
        ([True, 4, 0], [20, 0, 0]),
    ],
)
def test_evidence_out_of_range(new: list[Any], old: list[Any]) -> None:
    """Guards against a peer's counts that end the process or block it.

    The test for a harmful version divided by zero, and took minutes for counts
    of 16 digits.
    """
    receiver = Receiver()
    evidence = [1, 'engine', {'r': new}, {'r': old}]
    payload = orjson.dumps({**VALID_DIGEST, 'rollouts': [evidence]})
    receiver.gossip.datagram_received(payload, ('10.0.0.2', 7300))
    receiver.use_state()
    assert not receiver.control.evidence('engine').new
    payload = orjson.dumps(VALID_DIGEST)
    receiver.gossip.datagram_received(payload, ('10.0.0.2', 7300))
    assert receiver.control.evidence('engine').new


@pytest.mark.parametrize(
    'fields',
    [
        {'newest': {'t': 1e300}},
        {'newest': {'t': 2**40}},
        {'newest': {'t': '5'}},
        {'newest': {'t': 5.5}},
        {'newest': {'t': None}},
        {'newest': {'t': 5}, 'generations': {'t': 1e300}},
        {'newest': {'t': 5}, 'generations': {'t': 2**64 - 1}},
        {'newest': {'t': 5}, 'generations': {'t': -1}},
        {'newest': {'t': 5}, 'generations': []},
    ],
)
def test_offset_out_of_range(fields: dict[str, Any]) -> None:
    """Guards against a peer that seems to be ahead of all others for ever.

    Records would be fetched from it at each round. The largest offset, sent
    on to peers, could not be encoded, which ended the process.
    """
    receiver = Receiver()
    payload = orjson.dumps({**VALID_DIGEST, **fields})
    receiver.gossip.datagram_received(payload, ('10.0.0.2', 7300))
    assert not receiver.gossip.known_peers
    receiver.use_state()


@hypothesis.given(payload=st.binary(max_size=200))
def test_any_datagram(payload: bytes) -> None:
    """Guards against a crash by foreign datagrams at the peers' port."""
    receiver = Receiver()
    receiver.gossip.datagram_received(payload, ('10.0.0.9', 1))
    receiver.use_state()


@pytest.mark.parametrize('name', ['', 'd2'])
def test_valid_digest(name: str) -> None:
    """Guards against a check that rejects valid digests."""
    receiver = Receiver()
    digest = {**VALID_DIGEST, 'name': name}
    receiver.gossip.datagram_received(orjson.dumps(digest), ('10.0.0.2', 7300))
    receiver.use_state()
    assert receiver.gossip.known_peers[name].newest == {'t': 5}
    view = receiver.gateway.directory.get('e1')
    assert view is not None
    assert view.occupancy(clocks.monotonic_ms()) == 1
    assert receiver.gateway.rate_limits.message() == {'e1': (1, 3, 2.5)}


@pytest.mark.parametrize(
    ('process', 'expected'), [(7, [1, 2, 3]), (8, [2, 4, 6])]
)
def test_evidence_of_a_restarted_peer(
    process: int, expected: list[int]
) -> None:
    """Guards against evidence that is lost when a peer restarts.

    A digest of the same process replaces the one before.
    """
    receiver = Receiver()
    for number in (7, process):
        digest = {**VALID_DIGEST, 'process': number}
        receiver.gossip.datagram_received(
            orjson.dumps(digest), ('10.0.0.2', 7300)
        )
    assert receiver.control.evidence('engine').new == {
        'r': rollouts.Tally(*expected)
    }
