"""Tests of replicas in all orders of events up to a depth."""

from __future__ import annotations

import pytest
import replica_orders

from yuccarouter.gateway import ports, topics

DEPTH = 4


async def test_claims_in_all_orders() -> None:
    """Guards against a replica that claims a record which it lacks."""
    states, violation = await replica_orders.shortest_violation(DEPTH)
    assert violation == []
    assert states > 10_000


async def test_known_fault_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a search that can't find what it looks for.

    A claim that follows any record, also one of a later page, is wrong.
    """
    apply = topics.Table.apply

    def apply_and_claim(table: topics.Table, entry: ports.Entry) -> bool:
        is_new = apply(table, entry)
        if is_new:
            table.newest_offset = max(table.newest_offset, entry.offset)
        return is_new

    monkeypatch.setattr(topics.Table, 'apply', apply_and_claim)
    _, violation = await replica_orders.shortest_violation(DEPTH)
    assert len(violation) == 1
    assert violation[0].startswith('load')
