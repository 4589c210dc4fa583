"""Tests of the digests by which requests are recognised again."""

from __future__ import annotations

from typing import Any

import gateway_makers as make
import pytest

from yuccarouter.gateway import request_digests

CALL: dict[str, Any] = {'method': 'POST', 'host': 'h', 'target': '/a?b'}


@pytest.mark.parametrize(
    ('fields', 'organisation', 'body', 'is_same'),
    [
        ({'request_id': 'r2'}, 'desk', b'x', True),
        ({'last_event_id': '7', 'session': 's2'}, 'desk', b'x', True),
        ({'headers': (('X-Try', '2'),)}, 'desk', b'x', True),
        ({'target': '/a?c'}, 'desk', b'x', False),
        ({'method': 'PUT'}, 'desk', b'x', False),
        ({'host': 'g'}, 'desk', b'x', False),
        ({}, 'lab', b'x', False),
        ({}, 'desk', b'y', False),
        ({'target': '/a'}, 'desk', b'?bx', False),
    ],
)
def test_digest(
    fields: dict[str, Any], organisation: str, body: bytes, is_same: bool
) -> None:
    """Guards against copies that look new and sound requests that look alike.

    A copy of a request has another id, and is perhaps resumed.
    """
    known = request_digests.request_digest(make.call(**CALL), 'desk', b'x')
    other = request_digests.request_digest(
        make.call(**{**CALL, **fields}), organisation, body
    )
    assert (other == known) is is_same


def test_digest_is_no_part_of_a_prompt() -> None:
    """Guards against a prompt's part that is taken for a request."""
    digest = request_digests.request_digest(make.call(), '', b'')
    assert request_digests.is_request_digest(digest)
    assert len(digest) == 16
    assert not request_digests.is_request_digest('3b1f0a5c2d9e784')
