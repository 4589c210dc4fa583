"""Tests of the decoders of records with arbitrary JSON."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from yuccarouter.configuration import store
from yuccarouter.registry import items
from yuccarouter.rollout import lease_state, observations
from yuccarouter_common import billing_rows, errors, records

_KEYS = st.sampled_from(
    (
        'rows', 'items', 'observations', 'action', 'lease', 'holder', 'kind',
        'body', 'change_id', 'author', 'time_ms', 'condition', 'name', 'key',
        'position', 'allowed', 'item', 'append_id', 'model',
        'version', 'expected',
    )
)  # fmt: skip
_NAMES = st.sampled_from(
    (
        'acquire',
        'renew',
        'claim',
        'outcome',
        'release',
        'organisation',
        'allow',
        'snapshot',
        'limits',
        'x',
    )
)
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | _NAMES,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(_KEYS, inner, max_size=6)
    ),
    max_leaves=12,
)
_RECORD = st.fixed_dictionaries(
    {
        'change_id': st.just('c'),
        'author': st.just('a'),
        'time_ms': st.just(0),
        'kind': st.sampled_from([kind.value for kind in records.Kind]),
        'body': _JSON,
    },
    optional={'condition': _JSON},
)


@pytest.mark.parametrize(
    'decode',
    [
        records.decode,
        lambda payload: records.decode(orjson.dumps(payload)),
        billing_rows.decode_rows,
        observations.decode,
        lease_state.decode,
        items.decode,
    ],
)
@given(payload=_JSON | _RECORD)
def test_any_payload(decode: Callable[[Any], Any], payload: Any) -> None:
    """Guards against a malformed record that ends a stream's reader."""
    try:
        decode(payload)
    except errors.RouterError as fault:
        assert fault.code


@given(payload=_JSON | _RECORD)
def test_any_change(payload: Any) -> None:
    """Guards against a malformed change that ends every follower."""
    replica = store.Store()
    replica.apply(0, payload)
    assert replica.position.offset == 0 or replica.position.generation > 0
