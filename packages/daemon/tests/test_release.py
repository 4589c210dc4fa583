"""Tests of the name of the release that runs."""

from __future__ import annotations

import pathlib

import pytest

from yuccarouter import release


@pytest.mark.parametrize(
    ('content', 'expected'),
    [
        (b'9f0c2ab41d3e\n', '9f0c2ab41d3e'),
        (b'unknown\n', release.UNKNOWN),
        (b'', release.UNKNOWN),
        (b'\xff\x00', release.UNKNOWN),
        (None, release.UNKNOWN),
    ],
)
def test_release_of_a_build(
    tmp_path: pathlib.Path, content: bytes | None, expected: str
) -> None:
    """Guards against a start that fails as the build has named no release."""
    path = tmp_path / 'release'
    if content is not None:
        path.write_bytes(content)
    assert release.read(str(path)) == expected
