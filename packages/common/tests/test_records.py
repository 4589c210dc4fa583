"""Tests of the parsing of JSON that others have written."""

from __future__ import annotations

import pytest

from yuccarouter_common import records


@pytest.mark.parametrize('levels', [501, 990, 1020, 1024, 100_000])
@pytest.mark.parametrize('ends', [(b'[', b']'), (b'{"a":[', b']}')])
def test_deeply_nested_text(levels: int, ends: tuple[bytes, bytes]) -> None:
    """Guards against values on which recursive functions fail later.

    The parser accepted up to 1,024 levels. The message about a field of a wrong
    type, which shows its value, then raised ``RecursionError``.
    """
    start, end = ends
    with pytest.raises(records.ShapeError):
        records.loads(start * levels + end * levels)


def test_nested_text() -> None:
    """Guards against a limit that rejects fewer levels than it states."""
    assert records.loads(b'[' * 500 + b']' * 500)
