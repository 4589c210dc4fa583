"""Factories of the gateway's data types, and a manual clock."""

from __future__ import annotations

from typing import Any

import attrs

from yuccarouter.gateway import (
    choice,
    cold_limit,
    endpoints,
    model,
    ports,
    settings,
)


def announcement(name: str = 'e1', **fields: Any) -> model.Announcement:
    values = {
        'service': 'engine',
        'address': model.Address('10.0.0.1', 80),
        'data_centre': 'a',
        'version': 'v1',
        'slots': 64,
        'is_draining': False,
        'cold_remaining_ms': 0,
        'incarnation': model.Incarnation(1, 1),
        **fields,
    }
    return model.Announcement(endpoint=name, **values)


def view(name: str = 'e1', **fields: Any) -> endpoints.EndpointView:
    values = {
        key: fields.pop(key)
        for key in list(fields)
        if hasattr(attrs.fields(model.Announcement), key)
    }
    return endpoints.EndpointView(announcement(name, **values), **fields)


def need(**fields: Any) -> choice.Requirements:
    values = {
        'service': 'engine',
        'objective_ms': 2000,
        'versions': None,
        'tried': frozenset(),
        'out_of_service': frozenset(),
        'local_data_centre': 'a',
        'cold_share': cold_limit.ColdShare(1, 4),
        'max_in_flight': 0,
        **fields,
    }
    return choice.Requirements(**values)


def call(**fields: Any) -> model.Call:
    values = {
        'request_id': 'r1',
        'method': 'GET',
        'target': '/x',
        'host': 'h',
        'path': '/x',
        'headers': (),
        'key': '',
        'caller_deadline_ms': None,
        'generation': None,
        'last_event_id': '',
        'session': '',
        **fields,
    }
    return model.Call(**values)


def order(number: int = 1, **fields: Any) -> model.RolloutOrder:
    values = {'service': 'engine', 'target': 'v2', 'ramp_ms': 24_000, **fields}
    return model.RolloutOrder(number=number, **values)


def conf(name: str = 'gateway-1') -> settings.GatewaySettings:
    address = model.Address('127.0.0.1', 0)
    return settings.GatewaySettings(
        name=name,
        host=address.host,
        data_centre='a',
        listen=address,
        ready=address,
        peer=address,
        metrics_port=0,
        store=address,
        bounds=settings.Bounds(),
    )


def entry(key: str, value: bytes = b'x', offset: int = 0) -> ports.Entry:
    return ports.Entry(key, value, offset)


class Clock:
    """A clock that advances only when a test sets ``now_ms``."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000.0

    def __call__(self) -> float:
        return self.now_ms
