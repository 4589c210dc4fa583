"""Tests of the current speeds of endpoints."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from yuccarouter.gateway.capacity import speeds

NOW_MS = 50_000.0


def make_speeds(*figures: tuple[str, int, float]) -> speeds.EndpointSpeeds:
    """Return speeds of the service ``s``, with figures of some endpoints."""
    made = speeds.EndpointSpeeds(lambda name: 's' if name[0] == 'e' else None)
    for endpoint, time_percent, age_ms in figures:
        made.record(endpoint, time_percent, NOW_MS - age_ms)
    return made


@pytest.mark.parametrize(
    ('case', 'figures', 'expected'),
    [
        ('no figure', [], 1.0),
        ('new figure', [('e1', 250, 0), ('e2', 100, 0)], 2.5),
        ('aged by one decay time', [('e1', 250, 500), ('e2', 100, 0)], 2.026),
        ('old figure', [('e1', 250, 5000), ('e2', 100, 0)], 1.75),
        ('only others', [('e2', 100, 0), ('e3', 250, 0)], 1.75),
        ('expired', [('e1', 250, 11_000)], 1.0),
        ('no time at all', [('e1', 1, 0)], 0.1),
        ('older figure late', [('e1', 250, 0), ('e1', 100, 9)], 2.5),
        ('out of range', [('e1', 0, 0), ('e1', 10_001, 0)], 1.0),
        ('defective', [('e2', 10_000, 0), ('e3', 100, 0)], 5.5),
        ('not in use', [('x1', 250, 0)], 1.0),
    ],
)
def test_time_factor(
    case: str, figures: list[tuple[str, int, float]], expected: float
) -> None:
    """Guards against choices by the speed that an endpoint had before."""
    factor = make_speeds(*figures).time_factor('e1', NOW_MS)
    assert factor == pytest.approx(expected, abs=0.001), case


def test_endpoint_that_changes_its_service() -> None:
    """Guards against a mean of no endpoints, which fails all requests."""
    services = {'e1': 's'}
    made = speeds.EndpointSpeeds(services.get)
    made.record('e1', 250, NOW_MS)
    services['e1'] = 'other'
    made.record('e1', 200, NOW_MS)
    assert made.mean_factor('s', NOW_MS) == 1.0
    assert not made.reports_speed('s', NOW_MS)
    assert made.mean_factor('other', NOW_MS) == 2.0


def test_message_is_bounded_and_reaches_peers() -> None:
    """Guards against digests that exceed a datagram at 810 endpoints."""
    made = make_speeds(
        *((f'e{"x" * 9}{number}', 100, 0) for number in range(690)),
        *((f'e{"x" * 9}{number}', 250, 10) for number in range(690, 810)),
        (f'e{"x" * 9}old', 250, 601),
    )
    made.record('e' * 500, 250, NOW_MS)
    message = orjson.loads(orjson.dumps(made.message(NOW_MS)))
    assert 10 <= len(message) <= 16
    assert len(orjson.dumps(message)) <= 400
    assert set(map(tuple, message.values())) == {(250, 10)}
    peer = make_speeds()
    peer.merge(message, NOW_MS)
    assert peer.time_factor(next(iter(message)), NOW_MS) > 2.4
    assert peer.message(NOW_MS) == {}


@pytest.mark.parametrize(
    'message',
    [
        None,
        [1],
        {'e2': 250},
        {'e2': ['250', 0]},
        {'e2': [-1, 0]},
        {'e2': [10_001, 0]},
        {'e2': [250, -1]},
        {'e1': [250, 0], 'e2': [250, 0, 0]},
    ],
)
def test_malformed_message(message: Any) -> None:
    """Guards against speeds of a malformed digest, of which a part is used."""
    made = make_speeds(('e1', 100, 1))
    with pytest.raises((AttributeError, TypeError, ValueError)):
        made.merge(message, NOW_MS)
    assert made.time_factor('e2', NOW_MS) == 1.0
