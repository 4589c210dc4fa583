"""Tests of digests as datagrams."""

from __future__ import annotations

from typing import Any
from unittest import mock

import orjson
import pytest

from yuccarouter.gateway import daemon, digest_parts

MAX_BYTES = 8000
DIGEST: dict[str, Any] = {
    'name': 'd1',
    'process': 7,
    'sent_ms': 5.0,
    'data_centre': 'a',
    'newest': {'t': 5},
    'generations': {'t': 0},
    'ages_ms': {'t': 100},
    'reads': ['t'],
}


@pytest.mark.parametrize(
    ('field_bytes', 'count', 'left_out'),
    [
        ([], 1, 0),
        ([100, 100], 1, 0),
        ([4000, 4000], 2, 0),
        ([7500, 7500, 100], 2, 0),
        ([7500] * 5, 5, 0),
        # A single field can't be split.
        ([9000, 100], 1, 1),
    ],
)
def test_parts(field_bytes: list[int], count: int, left_out: int) -> None:
    """Guards against a daemon that is silent as it has much to tell."""
    fields = {
        f'field{number}': 'x' * length
        for number, length in enumerate(field_bytes)
    }
    payloads = digest_parts.encode({**DIGEST, **fields})
    parts = [orjson.loads(payload) for payload in payloads]
    assert max(map(len, payloads)) <= MAX_BYTES
    assert len(parts) == count
    told = {field for part in parts for field in part if field in fields}
    assert len(told) == len(fields) - left_out
    assert [digest_parts.tells_replicas(part) for part in parts] == [
        True,
        *[False] * (count - 1),
    ]
    for part in parts:
        assert {field: part[field] for field in ('name', 'process', 'sent_ms')}


@pytest.mark.parametrize(
    ('field', 'merge'),
    [
        ('rollouts', 'control.merge_peer_evidence'),
        ('work', 'directory.record_peer_backlog'),
        ('lost', 'failure_reports.merge'),
        ('rate_limits', 'rate_limits.merge'),
        ('crashes', 'crash_evidence.merge'),
        ('demand', 'demand.merge'),
        ('confidences', 'confidences.merge'),
        ('speeds', 'speeds.merge'),
        ('queues', 'overload.loads.merge'),
    ],
)
def test_part_changes_only_what_it_tells(field: str, merge: str) -> None:
    """Guards against a part of a digest that clears what other parts told."""
    gateway = mock.MagicMock()
    daemon.apply_digest(gateway, 'd2', {'name': 'd2', field: {'a': 1}})
    called = [name for name, _, _ in gateway.mock_calls if '__' not in name]
    assert called == [merge]
