"""Tests of current speeds while answers, digests or estimates are faulty."""

from __future__ import annotations

import types
from typing import Any

import capacity_makers
import eliot
import gateway_makers as make
import orjson
import pytest

from yuccarouter.gateway import daemon, model, state, streaming
from yuccarouter.gateway.capacity import observations


def gateways(count: int, endpoint_count: int = 9) -> list[state.Gateway]:
    return [
        capacity_makers.gateway(
            *(
                make.announcement(f'i-{number:010}', slots=6)
                for number in range(endpoint_count)
            ),
            name=f'gateway-{index}',
        )
        for index in range(count)
    ]


def head(**fields: Any) -> Any:
    known = {'load': None, 'malformed_load': '', 'is_misdirected': False}
    return types.SimpleNamespace(status=200, **{**known, **fields})


@pytest.mark.parametrize(
    ('answer', 'expected'),
    [
        ({'load': model.Load(1, 0, 6, 250)}, 2.5),
        ({'load': model.Load(1, 0, 6, 250), 'is_misdirected': True}, 1.0),
        ({'load': model.Load(1, 0, 6)}, 1.0),
        ({'malformed_load': '1,0,6,x', 'load': model.Load(1, 0, 6)}, 1.0),
        ({'malformed_load': '1'}, 1.0),
    ],
)
def test_figures_of_answers(
    clock: make.Clock, answer: dict[str, Any], expected: float
) -> None:
    """Guards against the speed of another endpoint, and logs of each answer."""
    gateway = gateways(1)[0]
    view = next(iter(gateway.directory))
    lines: list[Any] = []
    eliot.add_destinations(lines.append)
    for _ in range(3):
        observations.record_load(gateway, view, head(**answer), clock.now_ms)
    eliot.remove_destination(lines.append)
    assert gateway.speeds.time_factor(view.name, clock.now_ms) == expected
    types_logged = [line['message_type'] for line in lines]
    expected_count = int('malformed_load' in answer)
    assert types_logged.count('malformed_load_report') == expected_count


@pytest.mark.parametrize('endpoint_count', [9, 120, 810])
def test_digests_spread_speeds_until_they_are_lost(
    clock: make.Clock, endpoint_count: int
) -> None:
    """Guards against old speeds of a peer that is gone, and long digests."""
    sender, receiver = gateways(2, endpoint_count)
    usual_bytes = len(orjson.dumps(daemon._make_digest(sender, [])))
    names = [view.name for view in sender.directory]
    for index, name in enumerate(names):
        sender.speeds.record(name, 100 if index % 7 else 250, clock.now_ms)
    clock.now_ms += 100
    payload = orjson.dumps(daemon._make_digest(sender, []))
    assert len(payload) <= usual_bytes + 400
    daemon.apply_digest(receiver, 'gateway-0', orjson.loads(payload))
    slow = list(orjson.loads(payload)['speeds'])
    assert set(slow) <= set(names[::7])
    assert receiver.speeds.time_factor(slow[0], clock.now_ms) == 2.5
    receiver.speeds.record(names[1], 100, clock.now_ms)
    clock.now_ms += 2500
    mean = receiver.speeds.mean_factor('engine', clock.now_ms)
    factor = receiver.speeds.time_factor(slow[0], clock.now_ms)
    assert factor == pytest.approx(mean, rel=0.01)
    clock.now_ms += 10_000
    assert not state.controls_load(receiver, 'engine')


@pytest.mark.parametrize('field', [None, [], {'i-0000000001': 'x'}, 7])
def test_malformed_speeds_cost_nothing_else(
    clock: make.Clock, field: Any
) -> None:
    """Guards against a digest of another release that is lost for one field."""
    sender, receiver = gateways(2)
    digest = daemon._make_digest(sender, [])
    digest['work'] = {'i-0000000001': [3, 20]}
    lines: list[Any] = []
    eliot.add_destinations(lines.append)
    for _ in range(3):
        changed = {**digest, 'speeds': field}
        daemon.apply_digest(receiver, f'peer-{field}', changed)
    eliot.remove_destination(lines.append)
    view = receiver.directory.get('i-0000000001')
    assert view is not None
    assert view.occupancy(clock.now_ms) == 3
    types_logged = [line['message_type'] for line in lines]
    assert types_logged.count('bad_digest_field') == 1
    del digest['speeds']
    daemon.apply_digest(receiver, 'older', digest)


def test_fault_in_the_estimates(clock: make.Clock) -> None:
    """Guards against a fault in expected times that fails all requests."""
    gateway = gateways(1)[0]
    lines: list[Any] = []
    eliot.add_destinations(lines.append)
    need = make.need(estimates=object())
    found = state._choose(gateway, need, clock.now_ms)
    eliot.remove_destination(lines.append)
    assert found is not None
    assert found.time_factor is None
    assert lines[0]['message_type'] == 'choice_failed'


def stream_out(names: list[str]) -> Any:
    """Return a stream's call that uses the first endpoint not tried."""
    out = types.SimpleNamespace(tried=frozenset(), last_endpoint='')

    def next_endpoint(model_name: str) -> Any:
        left = [name for name in names if name not in out.tried]
        return left[0] if left else None

    out.next_endpoint = next_endpoint
    return out


@pytest.mark.parametrize(
    ('names', 'expected'),
    [
        (['e1'], ['e1', 'e1', 'e1']),
        (['e1', 'e2'], ['e1', 'e2', 'e1', 'e2', 'e1']),
        (['e1', 'e2', 'e3'], ['e1', 'e2', 'e3', 'e1', 'e2']),
    ],
)
def test_broken_stream_goes_elsewhere(
    names: list[str], expected: list[str]
) -> None:
    """Guards against a retry at the endpoint that has just broken it off."""
    out = stream_out(names)
    relay: Any = types.SimpleNamespace(
        out=out, model='', response=object(), choice=None
    )
    chosen = []
    for _ in expected:
        name: Any = streaming._next_endpoint(relay)
        chosen.append(name)
        out.tried |= {name}
        out.last_endpoint = name
    assert chosen == expected


@pytest.mark.parametrize(
    ('load', 'elapsed_ms', 'expected_ms'),
    [
        (None, 150, 75),
        (model.Load(1, 0, 6, 300), 225, 75),
        (model.Load(6, 3, 6, 200), 225, 75),
    ],
)
def test_times_of_answers_are_learned(
    load: model.Load | None, elapsed_ms: float, expected_ms: float
) -> None:
    """Guards against times learned from slow endpoints or full ones."""
    gateway = gateways(1)[0]
    opened: Any = types.SimpleNamespace(
        head=head(load=load),
        progress=types.SimpleNamespace(
            time_factor=2.0, model='m', prefill_tokens=100_000
        ),
    )
    out: Any = types.SimpleNamespace(
        gateway=gateway,
        call=make.call(),
        route=capacity_makers.ROUTE,
        service='engine',
    )
    observations.record_service(out, opened, elapsed_ms)
    found_ms = gateway.service_times.service_ms('engine', 'r')
    assert found_ms == pytest.approx(expected_ms)
    usual_ms = gateway.service_times.read_ms('m', 1000)
    for _ in range(20):
        observations.record_read(gateway, opened, 10 * elapsed_ms, 0)
    assert gateway.service_times.read_ms('m', 1000) < usual_ms
