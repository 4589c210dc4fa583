"""Tests of routes, API keys, logging and malformed records."""

from __future__ import annotations

import collections
import os
import pathlib
import types
from typing import Any, cast

import attrs
import eliot
import gateway_makers as make
import orjson
import pytest

from yuccarouter.gateway import (
    confirmations,
    logs,
    model,
    peers,
    ports,
    routes,
    state,
    topics,
)
from yuccarouter_common import records


def make_route(prefix: str, **fields: Any) -> model.Route:
    defaults = {
        'name': prefix,
        'host': 'desk.example',
        'kind': model.Kind.SAFE,
        'timeout_ms': 1000,
        'objective_ms': 100,
        'gap_objective_ms': 0,
        'priority': 0,
        'max_attempts': 2,
        'shares': (model.ServiceShare('app', 1),),
        **fields,
    }
    return model.Route(path_prefix=prefix, **defaults)


def make_table(*members: model.Route) -> routes.RouteTable:
    return routes.RouteTable(
        model.Configuration(
            version=1,
            routes=members,
            services={},
            organisations=(model.Organisation('o', ('k1', 'k2'), None),),
            limits=model.Limits(1),
        )
    )


@pytest.mark.parametrize(
    ('host', 'path', 'expected'),
    [
        ('desk.example', '/a/b/c', '/a/b/'),
        ('desk.example', '/a/b/', '/a/b/'),
        ('desk.example', '/a/b', '/a/'),
        ('DESK.example', '/a/x', '/a/'),
        ('desk.example', '/ab/x', None),
        ('other.example', '/a/x', None),
        ('desk.example', '/', None),
    ],
)
def test_longest_prefix(host: str, path: str, expected: str | None) -> None:
    """Guards against calls that are sent to the service of another route."""
    match = make_table(make_route('/a/'), make_route('/a/b/')).find(host, path)
    assert (match.path_prefix if match else None) == expected


def test_keys_of_organisations() -> None:
    """Guards against an API key that maps to no or a wrong organisation."""
    table = make_table(make_route('/a/'))
    for key, name in (('k1', 'o'), ('k2', 'o'), ('k3', None), ('', None)):
        organisation = table.organisation(key)
        assert (organisation.name if organisation else None) == name


def test_shares_of_a_split_route() -> None:
    """Guards against a split of requests that ignores the weights."""
    split = make_route(
        '/a/',
        shares=(model.ServiceShare('x', 90), model.ServiceShare('y', 10)),
    )
    counts = collections.Counter(
        routes.service_for(split, number / 1000) for number in range(1000)
    )
    assert counts == {'x': 900, 'y': 100}


@pytest.mark.parametrize(
    ('kind', 'resumable', 'expected'),
    [
        (model.Kind.SAFE, False, True),
        (model.Kind.UNSAFE, False, False),
        (model.Kind.UNSAFE, True, False),
        (model.Kind.STREAM, False, False),
        (model.Kind.STREAM, True, True),
    ],
)
def test_retryable_kinds(
    kind: model.Kind, resumable: bool, expected: bool
) -> None:
    """Guards against retries of calls that must not run twice.

    A repeated handover was logged twice.
    """
    assert (
        make_route('/a/', kind=kind, is_resumable=resumable).is_idempotent
        is expected
    )


@pytest.mark.parametrize(
    ('own_age_ms', 'is_failing', 'digest', 'expected'),
    [
        (1900, False, None, False),
        (1900, True, None, False),
        # A read that waits has had no answer, and no call has failed yet.
        (2100, False, None, True),
        (2100, True, None, True),
        # A peer is heard, and was confirmed lately, long ago, or never.
        (60_000, True, {'newest': {'t': 5}, 'ages_ms': {'t': 300}}, False),
        (60_000, True, {'newest': {'t': 5}, 'ages_ms': {'t': 60_000}}, True),
        (60_000, True, {'newest': {'t': 5}}, True),
        # It has a record that is missing here.
        (60_000, True, {'newest': {'t': 6}, 'ages_ms': {'t': 300}}, True),
    ],
)
def test_names_that_a_newer_configuration_may_define(
    clock: make.Clock,
    own_age_ms: float,
    is_failing: bool,
    digest: dict[str, Any] | None,
    expected: bool,
) -> None:
    """Guards against callers who are told that a route or key doesn't exist.

    It may have been in force for seconds where the store or a peer has not
    confirmed the configuration, whichever way its age became unknown.
    """
    gossip = peers.Gossip(dict, lambda name, digest: None)
    topic = topics.Topic(
        't',
        cast('ports.Store', None),
        lambda entry: None,
        lambda outage_ms: None,
        max_age_ms=2000,
        confirmed_by_peers=lambda topic: peers.confirmation(gossip, topic),
        confirmation=confirmations.Confirmation(clock.now_ms - own_age_ms),
        is_failing=is_failing,
    )
    topic.table.apply(make.entry('config', offset=5))
    topic.table.advance(6)
    if digest is not None:
        reads = {'reads': ['t'], 'name': 'd2'}
        gossip.datagram_received(
            orjson.dumps({**reads, **digest}), ('127.0.0.1', 1)
        )
    gateway = types.SimpleNamespace(orders_topic=topic, gossip=gossip)
    is_stale = state.Gateway.is_configuration_stale.fget
    assert is_stale is not None
    assert is_stale(gateway) is expected


def test_log_is_bounded_and_never_blocks() -> None:
    """Guards against a slow reader of the log that blocks the process."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    log = logs.LineLog('d', writing)
    for number in range(5000):
        log.write({'message_type': 'm', 'number': number, 'pad': 'x' * 200})
        log.flush()
    os.close(writing)
    with os.fdopen(reading, 'rb') as pipe:
        lines = pipe.read().splitlines()
    assert 0 < len(lines) <= 1200
    assert orjson.loads(lines[0])['number'] == 0


def test_log_line_is_one_object(tmp_path: pathlib.Path) -> None:
    """Guards against log lines that are not one JSON object each."""
    path = tmp_path / 'log'
    with path.open('wb') as file:
        log = logs.LineLog('d', file.fileno())
        eliot.add_destinations(log.write)
        try:
            eliot.log_message('endpoint_added', endpoint='e1')
        finally:
            eliot.remove_destination(log.write)
        log.flush()
    # eliot first passes on messages that were logged without a destination.
    line = orjson.loads(path.read_bytes().splitlines()[-1])
    assert line['message_type'] == 'endpoint_added'
    assert line['endpoint'] == 'e1'
    assert 'task_uuid' not in line


@pytest.mark.parametrize(
    'error',
    [
        records.ShapeError('no shape'),
        ValueError('digits'),
        TypeError('kind'),
        AttributeError('part'),
        KeyError('name'),
        ZeroDivisionError('share'),
    ],
)
@pytest.mark.parametrize(
    'method', ['apply_operator_record', 'apply_endpoint_record']
)
async def test_malformed_record(error: Exception, method: str) -> None:
    """Guards against a malformed record that ends every daemon.

    All daemons read each record, and read it again at each start.
    """

    def fail(entry: ports.Entry) -> None:
        raise error

    platform = ports.Platform(
        topics=ports.Topics('orders', 'endpoints', 'state'),
        **{
            field.name: fail
            for field in attrs.fields(ports.Platform)
            if field.name != 'topics'
        },
    )
    gateway = state.Gateway(
        make.conf(),
        platform,
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
    )
    getattr(gateway, method)(make.entry('k', b'x'))
    assert gateway.table is None
    assert not list(gateway.directory)
