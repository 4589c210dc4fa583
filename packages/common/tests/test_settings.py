"""Tests of the checks of settings files."""

from __future__ import annotations

import pathlib

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from yuccarouter_common import settings

_EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'


def _document(role: str = 'entry') -> dict[str, object]:
    path = _EXAMPLES / 'ratselwerk' / f'{role}.yaml'
    document: dict[str, object] = yaml.safe_load(path.read_text())
    return document


def _faults(document: object) -> list[settings.Fault]:
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse(yaml.safe_dump(document), 'f.yaml')
    return caught.value.faults


@pytest.mark.parametrize('path', sorted(_EXAMPLES.glob('*/[ae][gn]*.yaml')))
def test_examples(path: pathlib.Path) -> None:
    """Guards against example settings files that can't be loaded."""
    assert settings.load(str(path)).name


@pytest.mark.parametrize(
    ('change', 'path', 'expected'),
    [
        ({'role': 'router'}, '$.role', 'entry or agent'),
        ({'name': 3}, '$.name', 'str'),
        ({'zone': 'x'}, '$', 'unknown field: zone'),
        ({'peer': {'host': 'h', 'port': 1}}, '$.peer.host', 'IP address'),
        (
            {'peer': {'host': '::1', 'port': 99999}},
            '$.peer.port',
            'a port',
        ),
        ({'peer': {'host': '::1'}}, '$.peer.port', 'required'),
        ({'timing': {'drain_delay_ms': 0}}, '$.timing.drain_delay_ms', 'above'),
        ({'timing': {'drain_ms': 5}}, '$.timing', 'unknown field'),
        ({'listen': None}, '$.listen', 'role is entry'),
        ({'role': 'agent'}, '$.endpoint', 'role is agent'),
        ({'peers': 'x'}, '$.peers', 'list of strings'),
        ({'peers': [1]}, '$.peers', 'list of strings'),
    ],
)
def test_fault(change: dict[str, object], path: str, expected: str) -> None:
    """Guards against a fault that is reported without its path."""
    faults = _faults({**_document(), **change})
    at_path = [fault for fault in faults if fault.path.startswith(path)]
    assert at_path, faults
    assert any(expected in fault.expected for fault in at_path)


def test_all_faults_at_once() -> None:
    """Guards against a report of only the first fault of a file."""
    document = _document()
    document['peer'] = {'host': 'h', 'port': -1}
    document['zone'] = 1
    document.pop('vm')
    document['secrets'] = {'session_key': 's', 'peer_key': 'p'}
    paths = {fault.path for fault in _faults(document)}
    assert paths >= {
        '$.peer.host',
        '$.peer.port',
        '$',
        '$.vm',
        '$.secrets.session_key',
        '$.secrets.peer_key',
        '$.secrets.operator_key',
    }


def test_secrets_are_not_shown() -> None:
    """Guards against keys in ``repr`` texts and in fault messages."""
    document = _document()
    loaded = settings.parse(yaml.safe_dump(document))
    assert 'example-peer-key' not in repr(loaded)
    document['secrets'] = {
        'session_key': 'short-secret',
        'peer_key': 12345678901234567,
        'operator_key': 'x',
    }
    text = '\n'.join(map(str, _faults(document)))
    assert 'short-secret' not in text
    assert '12345678901234567' not in text


@pytest.mark.parametrize('text', ['', '[]', 'a: [', '\x00', 'a: &a [*a]'])
def test_not_a_mapping(text: str) -> None:
    """Guards against another exception for text that is not a mapping."""
    with pytest.raises(settings.SettingsError):
        settings.parse(text)


_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(
    field=st.sampled_from(sorted(_document())),
    value=_VALUES,
)
def test_any_value(field: str, value: object) -> None:
    """Guards against an exception other than ``SettingsError``."""
    try:
        settings.parse(yaml.safe_dump({**_document(), field: value}))
    except settings.SettingsError as fault:
        assert fault.faults
