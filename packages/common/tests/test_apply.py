"""Tests of applying configuration records."""

from __future__ import annotations

from typing import Any

import pytest

from yuccarouter_common import apply, history, model, records


def _record(
    kind: records.Kind,
    body: dict[str, Any],
    condition: records.Condition = records.Condition(),
    change_id: str = 'c',
) -> records.Record:
    return records.Record(change_id, 'op', 0, kind, body, condition)


_VERSION = {'model': 'clue', 'version': '1', 'pool': 'p'}


def test_withdraw() -> None:
    """Guards against a withdrawal that leaves the version usable."""
    current, void = apply.apply_record(
        model.Configuration(),
        0,
        _record(records.Kind.MODEL_VERSION, _VERSION),
    )
    assert void is None
    current, void = apply.apply_record(
        current, 1, _record(records.Kind.WITHDRAW_VERSION, _VERSION)
    )
    assert void is None
    assert current.versions['clue@1'].state == model.WITHDRAWN
    assert current.position == model.Position(0, 1)


@pytest.mark.parametrize(
    ('condition', 'is_void'),
    [
        (records.Condition(), False),
        (records.Condition(expected_offset=0), False),
        (records.Condition(expected_offset=7), True),
        (records.Condition(expected={'state': 'in_service'}), False),
        (records.Condition(expected={'state': 'out_of_service'}), True),
    ],
)
def test_condition(condition: records.Condition, is_void: bool) -> None:
    """Guards against two operators' conflicting changes both taking effect."""
    current, _ = apply.apply_record(
        model.Configuration(),
        0,
        _record(records.Kind.DATA_CENTRE, {'name': 'kochi'}, change_id='first'),
    )
    current, void = apply.apply_record(
        current,
        1,
        _record(
            records.Kind.DATA_CENTRE,
            {'name': 'kochi', 'state': 'out_of_service'},
            condition,
        ),
    )
    assert (void is not None) is is_void
    if void is not None:
        assert void.winner_change_id == 'first'
    expected = 'in_service' if is_void else 'out_of_service'
    assert current.data_centres['kochi'].state == expected


@pytest.mark.parametrize(
    ('kind', 'body'),
    [
        (records.Kind.ORGANISATION, {'name': 'o', 'unknown_field': 1}),
        (records.Kind.WITHDRAW_VERSION, _VERSION),
        (records.Kind.ALLOW, {'name': 'missing', 'allowed': ['a@1']}),
        (records.Kind.SNAPSHOT, {'position': 'x'}),
        (records.Kind.MODEL_VERSION, {'model': 'm'}),
    ],
)
def test_invalid_body(kind: records.Kind, body: dict[str, Any]) -> None:
    """Guards against an invalid record that stops all readers of the log."""
    current, void = apply.apply_record(
        model.Configuration(), 3, _record(kind, body)
    )
    assert void is not None
    assert current.position.offset == 3


def test_snapshot_round_trip() -> None:
    """Guards against a snapshot that loses part of the configuration."""
    current, _ = apply.apply_record(
        model.Configuration(),
        0,
        _record(records.Kind.MODEL_VERSION, _VERSION),
    )
    body = apply.snapshot_body(current)
    restored, void = apply.apply_record(
        model.Configuration(), 9, _record(records.Kind.SNAPSHOT, body)
    )
    assert void is None
    assert restored.versions == current.versions
    assert restored.position == model.Position(0, 9)


def test_snapshot_is_read_back_unchanged() -> None:
    """Guards against equal configurations with different state digests.

    The digests would differ if a default, such as 0 for a float, were written
    in another form than the value that is read back.
    """
    current = model.Configuration(
        pools={'p': model.Pool('p')},
        rollouts={'c@2': model.Rollout('c@2', 'c', '2', '1')},
    )
    body = apply.snapshot_body(current)
    read_back = apply.snapshot_body(apply.from_snapshot(body))
    assert history.digest(read_back) == history.digest(body)
