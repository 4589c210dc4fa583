"""Tests of the admin port."""

from __future__ import annotations

import types
from typing import Any

import pytest
from aiohttp import test_utils

from yuccarouter.configuration import store
from yuccarouter.roles import admin, peering
from yuccarouter_common import apply, history, model, telemetry

_CONF: Any = types.SimpleNamespace(
    name='entry-1',
    secrets=types.SimpleNamespace(operator_key='operator-key'),
)


def _store() -> store.Store:
    configuration = store.Store()
    pools = {'p': model.Pool('p')}
    position = model.Position(0, 7)
    configuration.install(
        model.Configuration(position=position, pools=pools), 1
    )
    return configuration


@pytest.mark.parametrize(
    ('key', 'status'), [('', 401), ('other', 401), ('operator-key', 200)]
)
async def test_configuration(key: str, status: int) -> None:
    """Guards against access without the operator key and an incorrect copy."""
    configuration = _store()
    views = admin.Views(
        why_not_ready=str,
        status=dict,
        explain=lambda _: None,
        configuration=lambda: peering.configuration_document(
            _CONF, configuration
        ),
    )
    app = admin.make_app(_CONF, telemetry.SpanStore(), views)
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        response = await client.get(
            '/configuration', headers={'Authorization': f'Bearer {key}'}
        )
        assert response.status == status
        document = await response.json()
    if status == 200:
        digest = f'{history.digest(document["body"]):016x}'
        assert document['digest'] == digest
        assert apply.from_snapshot(document['body']) == configuration.current()
    else:
        assert 'body' not in document
