"""Fixtures of the gateway's tests."""

from __future__ import annotations

import pathlib
import sys

import pytest

from yuccarouter_common import clocks

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import gateway_makers  # noqa: E402


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> gateway_makers.Clock:
    """Replace the monotonic clocks by one that only the test advances."""
    manual_clock = gateway_makers.Clock()
    monkeypatch.setattr(clocks, 'monotonic_ms', manual_clock)
    monkeypatch.setattr(clocks, 'boot_ms', manual_clock)
    return manual_clock
