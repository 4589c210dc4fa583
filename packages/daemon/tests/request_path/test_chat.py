"""Tests of chat requests, engine answers, stream events and claim keys."""

from __future__ import annotations

import json
from typing import Any

import orjson
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from yuccarouter.admission import errors as admission_errors
from yuccarouter.admission import relay, stream
from yuccarouter.request_path import chat, claims
from yuccarouter_common import stream_events
from yuccarouter_common.proto import router_pb2

_MESSAGES = [{'role': 'user', 'content': 'hello'}]
_VALID_BODY = {'model': 'clue', 'messages': _MESSAGES}


@pytest.mark.parametrize(
    ('change', 'param'),
    [
        ({'model': ''}, 'model'),
        ({'model': 1}, 'model'),
        ({'messages': []}, 'messages'),
        ({'messages': ['x']}, 'messages[0]'),
        ({'messages': [{'role': 'king'}]}, 'messages[0].role'),
        (
            {'messages': [{'role': 'user', 'content': 3}]},
            'messages[0].content',
        ),
        ({'stream': 'yes'}, 'stream'),
        ({'n': 2}, 'n'),
        ({'max_tokens': 0}, 'max_tokens'),
        ({'max_tokens': True}, 'max_tokens'),
        ({'max_completion_tokens': 1.5}, 'max_completion_tokens'),
        ({'modle': 'clue'}, 'modle'),
    ],
)
def test_bad_field(change: dict[str, Any], param: str) -> None:
    """Guards against a refusal that does not name the invalid field."""
    with pytest.raises(chat.BadFieldError) as caught:
        chat.parse(orjson.dumps({**_VALID_BODY, **change}))
    assert caught.value.param == param


@pytest.mark.parametrize(
    'change',
    [
        {'temperature': 0.2, 'top_p': 1, 'stop': ['x'], 'user': 'u'},
        {'stream': None, 'max_tokens': None, 'n': 1},
        {'stream_options': {'include_usage': True}, 'stream': True},
        {'messages': [{'role': 'assistant', 'tool_calls': []}]},
        {
            'messages': [
                {'role': 'user', 'content': [{'type': 'text', 'text': 'hi'}]}
            ]
        },
    ],
)
def test_client_libraries(change: dict[str, Any]) -> None:
    """Guards against refusing fields that the API's client libraries send."""
    assert chat.parse(orjson.dumps({**_VALID_BODY, **change})).model == 'clue'


_JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ('model', 'messages', 'role', 'content', 'text', 'x')
            ),
            inner,
            max_size=4,
        )
    ),
)


@given(body=st.binary(max_size=60) | _JSON_VALUES.map(orjson.dumps))
def test_any_body(body: bytes) -> None:
    """Guards against a body that raises anything but a refusal with a code."""
    try:
        chat.parse(body)
    except chat.BadFieldError as fault:
        assert fault.code == 'invalid_request'


_EVENTS = st.fixed_dictionaries(
    {
        'usage': st.none()
        | _JSON_VALUES
        | st.fixed_dictionaries(
            {'prompt_tokens': st.integers() | _JSON_VALUES}
        ),
        'choices': _JSON_VALUES
        | st.lists(
            _JSON_VALUES
            | st.fixed_dictionaries(
                {'delta': _JSON_VALUES, 'finish_reason': _JSON_VALUES}
            ),
            max_size=2,
        ),
    }
)


def _to_json(document: Any) -> bytes:
    """Serialise with integers beyond 64 bits, which orjson rejects."""
    return json.dumps(document).encode()


_LONG_INTEGER = _to_json({'usage': {'prompt_tokens': 2**64}, 'choices': []})


@example(body=_LONG_INTEGER)
@given(body=st.binary(max_size=80) | (_JSON_VALUES | _EVENTS).map(_to_json))
def test_any_answer(body: bytes) -> None:
    """Guards against an engine's answer that raises an error in the agent."""
    done = router_pb2.Done()
    try:
        relay.copy_usage_and_finish_reason(body, done)
    except admission_errors.BrokenCallError:
        assert not done.finish_reason


@example(data=_LONG_INTEGER)
@given(data=st.binary(max_size=80) | (_JSON_VALUES | _EVENTS).map(_to_json))
def test_any_event(data: bytes) -> None:
    """Guards against an engine's event that the agent or entry fails on."""
    reader = stream.EventReader(hide_usage=True)
    try:
        forwarded = reader.feed(b'data: ' + data + stream_events.END_OF_EVENT)
    except admission_errors.BrokenCallError:
        forwarded = b''
    assert all(event.is_valid for event in stream_events.split(forwarded))
    parsed_events = list(
        stream_events.split(b'data: ' + data + stream_events.END_OF_EVENT)
    )
    for event in parsed_events:
        assert isinstance(event.text, str)
        assert not (event.is_opening and event.text)
        assert not (event.is_closing and event.text)
        assert stream_events.with_id(event, 's').raw.endswith(
            stream_events.END_OF_EVENT
        )


@pytest.mark.parametrize(
    ('key', 'time_ms'),
    [
        ('', 0),
        ('handover-42', 0),
        ('0193938e-5f00-7000-8000-000000000000', 0x0193938E5F00),
        ('0193938e-5f00-4000-8000-000000000000', 0),
    ],
)
def test_key_time(key: str, time_ms: int) -> None:
    """Guards against running a key again after its claim has been removed.

    The registry keeps claims for a limited time. It refuses an older key by the
    time in the key itself, so that time must be read correctly.
    """
    assert claims.key_time_ms(key) == time_ms


def test_request_ids_differ() -> None:
    """Guards against one request id for the keys of two organisations."""
    assert claims.request_id('a', 'b/c') != claims.request_id('a/b', 'c')
    assert claims.request_id('a', 'b') == claims.request_id('a', 'b')
